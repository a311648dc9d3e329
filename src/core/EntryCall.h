// The state of one request inside an entry.
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

// The phase of a request.
enum class CallPhase
{
  Reserving,  // Waiting for KV reservations on the engines of a group.
  Probing,    // Waiting for probe replies.
  BackingOff, // Waiting before the next round of probes.
  Running,    // An attempt is running.
};

inline constexpr std::array<std::string_view, 4> kCallPhaseNames{ "gathering",
                                                                  "probing",
                                                                  "backing-off",
                                                                  "running" };

// One probe of the current round and its reply.
struct ProbeSlot
{
  std::string target;
  std::string address;
  std::optional<ProbeReply> reply;
};

// The running attempt of a request.
struct RunningAttempt
{
  std::uint64_t id = 0;
  std::uint64_t ticket = 0;
  std::string target;
  std::string address;
  StreamDigest digest;    // Digest of the text that this attempt produced.
  Instant lastReceivedAt; // Time of the attempt's last message, or of its start.
};

// One engine of a group and the prompt segment assigned to it.
struct GroupMember
{
  std::string target;
  SegmentLocation segment;
  bool granted = false;
  Instant requestedAt; // When the reservation was first requested.
};

// The engines that share the KV cache of a prompt too large for one engine. The last member runs
// the prompt and keeps the last segment; the others store the leading ones. Reservations are
// requested in ascending order of target name.
struct EngineGroup
{
  std::vector<GroupMember> members;

  // Returns the member that runs the prompt. Starting the attempt consumes its reservation.
  GroupMember& Runner() { return this->members.back(); }
  const GroupMember& Runner() const { return this->members.back(); }

  // Returns the number of prompt tokens stored on the other members.
  std::uint32_t RemoteTokens() const { return this->Runner().segment.from; }
};

// A request in flight.
struct Call
{
  CallerRequest request;
  std::string account;
  std::string pool;
  TargetKind kind = TargetKind::Engine;
  std::uint64_t fingerprint = 0;
  std::string ledgerKey; // Empty if the call may run more than once.
  std::uint32_t shards = 0;
  Instant arrivedAt;
  Instant deadline;
  Instant wakeAt;

  CallPhase phase = CallPhase::Probing;
  Instant roundStartedAt;
  std::map<std::uint64_t, ProbeSlot> probes;
  std::optional<RunningAttempt> attempt;
  std::optional<EngineGroup> group;
  std::set<std::string> tried; // Targets excluded from the next probe round.

  int attempts = 0;             // Number of attempts started.
  std::uint64_t nextOffset = 0; // Output tokens sent to the caller; the next expected chunk offset.
  bool mayHaveRun = false;      // An at-most-once attempt was lost and may have been executed.
  bool alone = false;           // It is a crash suspect and must run alone on a quarantine engine.
  bool sawBusy = false;
  bool sawTooLarge = false;
  std::uint64_t capacityTokens = 0; // Largest engine memory reported, in tokens.
  std::int64_t retryAfterMs = 0;

  bool IsAtMostOnce() const { return !this->ledgerKey.empty(); }
};

} // namespace sycamorepost::internal

#endif // SYCAMOREPOST_CORE_ENTRY_CALL_H_
