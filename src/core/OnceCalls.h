// Offers the non-idempotent calls of one sidecar: each key runs at most once, decided by the order
// of intents in the log.
//
// A call moves through these steps. Its intent is appended to the key's stream. The stream is then
// read past that intent. Only when the intent is the first live one of its key does the call go to
// the target. The answer follows as a result record; an intent that will never run is voided.
#ifndef SYCAMOREPOST_CORE_ONCE_CALLS_H_
#define SYCAMOREPOST_CORE_ONCE_CALLS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "sycamorepost/KeyLedger.h"
#include "sycamorepost/SidecarReducer.h"

namespace sycamorepost::internal {

// Somebody who waits for the answer of a key.
struct KeyWaiter
{
  std::uint64_t attempt = 0;
  std::string digest; // Hash of the waiter's own call.
  Instant deadline;
};

// Where this sidecar stands with a key.
enum class KeyPhase
{
  Pending, // Its intent is not yet known to be in the log.
  Running, // The call is at the target.
  Foreign, // Another intent owns the key; its result is awaited.
};

// One key with somebody waiting for it, or with a call at the target.
struct ActiveKey
{
  KeyPhase phase = KeyPhase::Pending;
  KeyIntent intent; // This sidecar's own.
  Start call;
  SharedBody body;
  std::vector<KeyWaiter> waiters;
  Instant foreignDeadline;
  bool intentSeen = false; // The own intent was read back from the log.
};

// How the waiters of a key are told of its end. The owner turns these into messages.
struct KeyEnd
{
  std::uint64_t attempt = 0;
  std::optional<KeyResult> result;     // The answer.
  std::optional<RefuseReason> refusal; // Proof that it did not run.
  std::string unknownReason;           // When neither is set.
};

// The calls of all shards.
class AtMostOnceCalls
{
public:
  AtMostOnceCalls(const SidecarConfig& aConfig, std::vector<SidecarEffect>& aEffects)
    : config(aConfig)
    , effects(aEffects)
  {
  }

  // Takes a call that an entry started.
  void Begin(const Start& aStart, SharedBody aBody, Instant aDeadline, Instant aNow);

  // Forgets a waiter that has gone.
  void DropWaiter(std::uint64_t aAttempt);

  // Takes the end of a call at the target; returns false when the call is not one of these.
  bool OnServiceEnded(const ServiceEnded& aEnded, Instant aNow);

  void OnAppendEnded(const LogAppendEnded& aEnded, Instant aNow);
  void OnReadEnded(const LogReadEnded& aEnded, Instant aNow);
  void OnWake(Instant aNow);

  // Sets how long keys are remembered.
  void SetKeyRetention(Duration aRetention) { this->keyRetention = aRetention; }

  // Returns the ends that have come up since the last call.
  std::vector<KeyEnd> TakeEnds();

  std::optional<Instant> NextWake() const;

  // Returns whether nothing is in flight: no call, no waiter, no record still to append.
  bool Idle() const;

  nlohmann::json Dump() const;

private:
  struct Shard
  {
    std::string stream;
    KeyLedger ledger;
    std::uint64_t nextOffset = 0;     // The next offset to read.
    std::uint64_t requiredOffset = 0; // The stream must be read up to this offset.
    bool mustReadToEnd = false;       // A lost append may have landed; read to the end once.
    bool reading = false;
    bool appending = false;
    std::vector<KeyRecord> pendingRecords;  // Not yet sent.
    std::vector<KeyRecord> inFlightRecords; // Sent, with no answer yet.
    std::string batchId;
    Instant nextAppendAt; // The earliest time of the next append.
    Instant nextReadAt;   // The earliest time of the next read.
    std::optional<Instant> failingSince;
    std::map<std::string, ActiveKey> activeKeys;
  };

  Shard& FindShard(const Start& aStart);
  void AddWaiter(ActiveKey& aKey, KeyWaiter aWaiter);
  void
  FinishWithResult(const KeyWaiter& aWaiter, const KeyIntent& aIntent, const KeyResult& aResult);
  void FinishRefused(const KeyWaiter& aWaiter, RefuseReason aReason);
  void FinishUnknown(const KeyWaiter& aWaiter, const std::string& aReason);
  const KeyResult* FindResult(const KeyEntry& aEntry) const;
  std::string MakeRecordId();
  void BeginIntent(Shard& aShard, ActiveKey& aKey);
  void ApplyRecord(Shard& aShard, const KeyRecord& aRecord, Instant aNow);
  void AdvanceKeys(Shard& aShard, Instant aNow);
  bool AdvanceKey(Shard& aShard, ActiveKey& aKey, Instant aNow);
  void RunCall(Shard& aShard, ActiveKey& aKey, Instant aNow);
  void DropExpired(Shard& aShard, Instant aNow);
  void WithdrawIntent(Shard& aShard, const ActiveKey& aKey);
  void FinishIfLogDown(Shard& aShard, Instant aNow);
  void RecordLogFailure(Shard& aShard, Instant aNow);
  void StartLogRequests(Shard& aShard, Instant aNow);
  bool NeedsRead(const Shard& aShard) const;
  bool AwaitsForeign(const Shard& aShard) const;

  const SidecarConfig& config;
  std::vector<SidecarEffect>& effects;
  std::map<std::string, Shard> shards; // By stream.
  std::vector<KeyEnd> ends;
  std::map<std::uint64_t, std::pair<std::string, std::string>>
    runningCalls;                                      // Stream and key by call id.
  std::map<std::string, KeyResult> unconfirmedResults; // Own results by intent id, until read back.
  std::uint64_t sequence = 0;
  Duration keyRetention = std::chrono::hours(24);
  Instant lastPrunedAt;
};

} // namespace sycamorepost::internal

#endif // SYCAMOREPOST_CORE_ONCE_CALLS_H_
