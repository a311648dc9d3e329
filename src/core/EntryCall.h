// Offers the state of one request inside an entry.
#ifndef SYCAMOREPOST_CORE_ENTRY_CALL_H_
#define SYCAMOREPOST_CORE_ENTRY_CALL_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "sycamorepost/EntryReducer.h"
#include "sycamorepost/Hash.h"

namespace sycamorepost::internal {

// Where a request stands.
enum class CallPhase
{
  Reserving,  // Waiting for other engines to hold parts of a long prompt.
  Probing,    // Waiting for answers to probes.
  BackingOff, // Waiting before the next round of probes.
  Running,    // An attempt was started.
};

inline constexpr std::array<std::string_view, 4> kCallPhaseNames{ "gathering",
                                                                  "probing",
                                                                  "backing-off",
                                                                  "running" };

// One probe of the current round.
struct ProbeSlot
{
  std::string target;
  std::string address;
  std::optional<ProbeReply> reply;
};

// The attempt that is running.
struct RunningAttempt
{
  std::uint64_t id = 0;
  std::uint64_t ticket = 0;
  std::string target;
  std::string address;
  StreamDigest digest;    // Of the text that this attempt produced.
  Instant lastReceivedAt; // The last message of this attempt, or its start.
};

// One engine that holds a part of a prompt.
struct GroupMember
{
  std::string target;
  SpanPlace segment;
  bool granted = false;
  Instant reservedAt; // When the hold was first asked for.
};

// The engines that together hold a prompt too large for one. The last one runs the prompt and keeps
// the last part; the others are its holders. All are asked for room in ascending order of target.
struct EngineGroup
{
  std::vector<GroupMember> members;

  // Returns the one that runs the prompt. Its hold is used up when the attempt starts.
  GroupMember& Runner() { return this->members.back(); }
  const GroupMember& Runner() const { return this->members.back(); }

  // Returns the prompt tokens that the holders keep.
  std::uint32_t HeldTokens() const { return this->Runner().segment.from; }
};

// One request.
struct Call
{
  CallerRequest request;
  std::string account;
  std::string pool;
  TargetKind kind = TargetKind::Engine;
  std::uint64_t fingerprint = 0;
  std::string ledgerKey; // Empty when the call may be repeated.
  std::uint32_t shards = 0;
  Instant arrivedAt;
  Instant deadline;
  Instant wakeAt;

  CallPhase phase = CallPhase::Probing;
  Instant roundStartedAt;
  std::map<std::uint64_t, ProbeSlot> probes;
  std::optional<RunningAttempt> attempt;
  std::optional<EngineGroup> group;
  std::set<std::string> tried; // Targets that this request passes over.

  int attempts = 0;             // Attempts started.
  std::uint64_t nextOffset = 0; // Answer tokens passed on.
  bool mayHaveRun = false;      // A non-repeatable attempt was lost without proof.
  bool alone = false;           // It must run alone on a quarantine engine.
  bool sawBusy = false;
  bool sawTooLarge = false;
  std::uint64_t capacityTokens = 0; // The largest engine memory seen.
  std::int64_t retryAfterMs = 0;

  bool IsAtMostOnce() const { return !this->ledgerKey.empty(); }
};

} // namespace sycamorepost::internal

#endif // SYCAMOREPOST_CORE_ENTRY_CALL_H_
