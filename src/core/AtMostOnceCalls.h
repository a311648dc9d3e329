// Declares the execution of one sidecar's non-idempotent calls: a call runs at most once per
// idempotency key, decided by the order of intents in the log.
//
// A call is executed in these steps:
// 1. Its intent is appended to the key's stream.
// 2. The stream is read until that intent has been read back.
// 3. Only if it is the first intent of its key that is not void, the call is sent to the target.
// 4. The response is appended as a result record. An intent whose call will never run is voided.
#ifndef SYCAMOREPOST_CORE_AT_MOST_ONCE_CALLS_H_
#define SYCAMOREPOST_CORE_AT_MOST_ONCE_CALLS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "sycamorepost/KeyLedger.h"
#include "sycamorepost/SidecarReducer.h"

namespace sycamorepost::internal {

// An attempt that waits for the result of a key.
struct KeyWaiter
{
  std::uint64_t attempt = 0;
  std::string digest; // The hash of the attempt's own call.
  Instant deadline;
};

// The progress of a key on this sidecar.
enum class KeyPhase
{
  Pending, // This sidecar's intent has not been read back from the log.
  Running, // The call was sent to the target.
  Foreign, // Another intent owns the key; this sidecar waits for its result.
};

// A key with waiting attempts or a running call.
struct ActiveKey
{
  KeyPhase phase = KeyPhase::Pending;
  KeyIntent intent; // The intent of this sidecar.
  Start call;
  SharedBody body;
  std::vector<KeyWaiter> waiters;
  Instant foreignDeadline; // When to stop waiting for another intent's result.
  bool intentSeen = false; // Whether the intent was read back from the log.
};

// The end of a waiting attempt, which SidecarReducer::Impl reports to the entry.
struct KeyEnd
{
  std::uint64_t attempt = 0;
  std::optional<KeyResult> result;      // The response.
  std::optional<RefusalReason> refusal; // Why the call did not run and never will.
  std::string unknownReason;            // If neither is set: why the outcome is unknown.
};

// The non-idempotent calls of all shards.
class AtMostOnceCalls
{
public:
  AtMostOnceCalls(const SidecarConfig& aConfig, std::vector<SidecarEffect>& aEffects)
    : config(aConfig)
    , effects(aEffects)
  {
  }

  // Starts the call of an attempt, or waits for the result if the key is known.
  void Begin(const Start& aStart, SharedBody aBody, Instant aDeadline, Instant aNow);

  // Removes an abandoned attempt from the waiters of its key.
  void DropWaiter(std::uint64_t aAttempt);

  // Handles the end of a call to the target. Returns false if the call is not one of these.
  bool OnServiceEnded(const ServiceEnded& aEnded, Instant aNow);

  void OnAppendEnded(const LogAppendEnded& aEnded, Instant aNow);
  void OnReadEnded(const LogReadEnded& aEnded, Instant aNow);
  void OnWake(Instant aNow);

  // Sets how long keys are retained.
  void SetKeyRetention(Duration aRetention) { this->keyRetention = aRetention; }

  // Returns the ends of attempts since the last call of this function.
  std::vector<KeyEnd> TakeEnds();

  std::optional<Instant> NextWake() const;

  // Returns whether no attempt waits, no call runs and no record is left to append.
  bool Idle() const;

  nlohmann::json Dump() const;

private:
  struct Shard
  {
    std::string stream;
    KeyLedger ledger;
    std::uint64_t nextOffset = 0;     // The offset of the next record to read.
    std::uint64_t requiredOffset = 0; // Read at least up to this offset.
    bool mustReadToEnd = false; // An append was lost, but may have succeeded: read to the end once.
    bool reading = false;
    bool appending = false;
    std::vector<KeyRecord> pendingRecords;  // Not yet sent to the log.
    std::vector<KeyRecord> inFlightRecords; // Sent to the log, not yet acknowledged.
    std::string batchId;                    // The record id of the append in flight.
    Instant nextAppendAt;                   // The next append is not sent before this.
    Instant nextReadAt;                     // The next read is not sent before this.
    std::optional<Instant> failingSince;
    std::map<std::string, ActiveKey> activeKeys;
  };

  Shard& FindShard(const Start& aStart);
  void AddWaiter(ActiveKey& aKey, KeyWaiter aWaiter);
  void
  FinishWithResult(const KeyWaiter& aWaiter, const KeyIntent& aIntent, const KeyResult& aResult);
  void FinishRefused(const KeyWaiter& aWaiter, RefusalReason aReason);
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
  // Stream and key, by call id.
  std::map<std::uint64_t, std::pair<std::string, std::string>> runningCalls;
  // This sidecar's results by intent id, until they are read back from the log.
  std::map<std::string, KeyResult> unconfirmedResults;
  std::uint64_t sequence = 0;
  Duration keyRetention = std::chrono::hours(24);
  Instant lastPrunedAt;
};

} // namespace sycamorepost::internal

#endif // SYCAMOREPOST_CORE_AT_MOST_ONCE_CALLS_H_
