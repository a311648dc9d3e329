// The decision logic of an entry that forwards requests to targets by itself: routes and keys,
// placement, retries, resumed streams, deadlines and reservations. One reducer handles every event
// and returns its effects as data. It does no I/O and reads no clock.
#ifndef SYCAMOREPOST_FORWARD_FORWARD_REDUCER_H_
#define SYCAMOREPOST_FORWARD_FORWARD_REDUCER_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "sycamorepost/Effects.h"
#include "sycamorepost/forward/admission/RouteTable.h"
#include "sycamorepost/forward/load/LoadTracker.h"
#include "sycamorepost/forward/placement/Explanation.h"
#include "sycamorepost/forward/sharing/EntryGroup.h"
#include "sycamorepost/forward/targets/ColdShares.h"
#include "sycamorepost/forward/targets/EvacuatedDomains.h"
#include "sycamorepost/forward/targets/PartQuarantine.h"
#include "sycamorepost/forward/targets/TargetDirectory.h"
#include "sycamorepost/forward/targets/TargetNotices.h"

namespace sycamorepost {

// ---- Events ----

// A complete request of a caller.
struct ForwardRequest
{
  std::uint64_t handle = 0; // The runtime's id of the caller's exchange.
  std::string requestId;
  std::string method;
  std::string path; // Including the query.
  std::string host;
  std::vector<Field> fields; // Only those that are forwarded.
  SharedBody body;
  std::optional<std::string> key;           // The bearer token.
  std::optional<Duration> deadline;         // Relative to the request's arrival.
  std::optional<std::uint64_t> resumeAfter; // Id of the last event that the caller received.
  std::uint32_t promptTokens = 0;           // 0 for a plain call.
  std::uint32_t outputTokens = 0;
  std::uint64_t fingerprint = 0; // Hash of key, path and body.
  PartSet promptParts;           // The parts of the prompt that other requests may share.
};

// The caller has closed its connection.
struct ForwardCallerDisconnected
{
  std::uint64_t handle = 0;
};

// The status and header fields of a target's response.
struct AttemptHead
{
  std::uint64_t attempt = 0;
  int status = 0;
  std::vector<Field> fields;     // Only those that are returned to the caller.
  bool isSigned = false;         // It carries the target's response signature field.
  bool notExecuted = false;      // The target guarantees that the request did not and will not run.
  bool instanceMismatch = false; // Another instance listens at the address now.
  bool requestMismatch = false;  // The response carries the id of another request.
  bool isIdentityEncoded = true; // The body has no content encoding.
  std::string failedHelperAddress; // The helper that caused the failure, if any.
  TargetAnnouncement announcement;
};

// A part of the body of a target's response.
struct AttemptData
{
  std::uint64_t attempt = 0;
  std::string bytes;
};

// How an exchange with a target ended.
enum class AttemptEndKind
{
  Complete,     // The response was received completely.
  NotConnected, // No connection was established, so no byte was sent.
  Aborted,      // The connection failed, or the bytes are no valid response.
};

struct AttemptEnd
{
  std::uint64_t attempt = 0;
  AttemptEndKind kind = AttemptEndKind::Aborted;
  std::string reason;
  // When complete: the end of the connection is what ended the response, as it stated no length.
  bool endedByClose = false;
};

// The result of a CheckTarget.
struct TargetChecked
{
  std::string instance;
  Reachability reachability = Reachability::NoReply;
};

// The end of a command to reserve or release memory.
struct ReservationCommandEnd
{
  std::uint64_t command = 0;
  bool replied = false;
  bool granted = false;
  std::string instance; // The target that was commanded.
  TargetAnnouncement announcement;
};

// Another version of the routes is in force.
struct RoutesChanged
{
  std::shared_ptr<const RouteTable> table;
};

// The registered targets have changed.
struct TargetsChanged
{
  std::map<std::string, RegisteredTarget> targets;
  std::optional<Instant> readAt; // When the registrations were read; empty for now.
  std::int64_t unixMs = 0;       // See RegistrationReading.
};

// Another entry reports which failure domains are evacuated; a read of the store is an
// EvacuationRead.
struct PeerEvacuationReport
{
  std::string peer;
  EvacuationView view;
};

// The registered entries have changed; this one is among them.
struct EntriesChanged
{
  std::map<std::string, RegisteredEntry> entries; // By name.
};

// A peer reports its load.
struct PeerLoadReport
{
  std::string peer;
  std::uint64_t incarnation = 0; // Changes at each start of the peer.
  std::vector<TargetLoadReport> loads;
  bool isSnapshot = false;                // Targets that are not listed are idle.
  std::uint64_t configurationVersion = 0; // The version in force there.
};

// A peer has responded to a RequestConfiguration. RoutesChanged comes first if that brought a newer
// version into force.
struct PeerConfigurationReceived
{
  std::string peer;
};

// A read of the configuration from the store has ended. RoutesChanged follows if it brought a newer
// version into force.
struct ConfigurationReadEnd
{
  bool reached = false; // The store responded.
};

// A peer reports an aborted attempt of a request.
struct PeerAbortReport
{
  std::uint64_t fingerprint = 0;
};

// A peer reports that a target has announced that it is leaving.
struct PeerLeavingReport
{
  std::string instance;
  std::int64_t startedAtMs = 0; // See RegisteredTarget.
};

// The process is about to stop: every request, also a later one, must have ended by then.
struct StopAnnounced
{
  Instant endsAt;
};

// A peer reports what is quarantined or cleared.
struct PeerQuarantineReport
{
  std::string peer;
  QuarantineReport report;
};

using ForwardEvent = std::variant<ForwardRequest,
                                  ForwardCallerDisconnected,
                                  AttemptHead,
                                  AttemptData,
                                  AttemptEnd,
                                  ReservationCommandEnd,
                                  RoutesChanged,
                                  TargetsChanged,
                                  EvacuationRead,
                                  PeerEvacuationReport,
                                  EntriesChanged,
                                  PeerLoadReport,
                                  DomainLoadReport,
                                  PeerConfigurationReceived,
                                  ConfigurationReadEnd,
                                  PeerAbortReport,
                                  PeerLeavingReport,
                                  TargetChecked,
                                  TargetCrashReport,
                                  PeerQuarantineReport,
                                  StopAnnounced,
                                  Wake>;

// ---- Effects ----

// An engine that prefills a part of the prompt, as named to the decoding engine.
struct HelperAssignment
{
  std::string address;
  std::string reservation; // Empty when no memory is reserved there.
};

// Sends a request to a target.
struct StartAttempt
{
  std::uint64_t attempt = 0;
  std::uint64_t handle = 0;
  std::string address;
  std::string instance;
  std::string account; // Empty when the caller has no known key.
  Duration remaining{};
  Duration connectTimeout{};
  std::optional<std::uint64_t> resumeAfter;
  std::optional<std::uint32_t> urgency; // 0 (most urgent) to 9.
  std::vector<HelperAssignment> helpers;
};

// Closes the connection of an attempt; no event follows for it.
struct CancelAttempt
{
  std::uint64_t attempt = 0;
};

// Begins the response of a stream.
struct BeginResponse
{
  std::uint64_t handle = 0;
  int status = 0;
  std::vector<Field> fields;
};

// Writes complete events to the caller.
struct WriteResponse
{
  std::uint64_t handle = 0;
  std::string bytes;
};

// Ends a stream that is complete.
struct CompleteResponse
{
  std::uint64_t handle = 0;
};

// Closes the caller's connection in such a way that the response is seen to be incomplete.
struct AbortResponse
{
  std::uint64_t handle = 0;
};

// Sends a complete response: that of a target, or a refusal.
struct SendResponse
{
  std::uint64_t handle = 0;
  int status = 0;
  std::vector<Field> fields;
  std::optional<Duration> retryAfter;
  std::string body;
};

// Commands an engine to reserve or release memory.
struct SendReservationCommand
{
  std::uint64_t command = 0;
  std::string address;
  std::string instance;
  std::string reservation;
  std::uint64_t tokens = 0; // 0 releases the reservation.
  Duration lease{};
};

// Reports this entry's load to the peers at the given addresses.
struct BroadcastLoad
{
  std::vector<TargetLoadReport> loads;
  bool isSnapshot = false;
  std::vector<std::string> recipients;
};

// Sends the load of a failure domain to the entries at the given addresses.
struct SendDomainLoad
{
  DomainLoadReport report;
  std::vector<std::string> recipients;
};

// Reports an aborted attempt of a request to the peers at the given addresses.
struct BroadcastAbort
{
  std::uint64_t fingerprint = 0;
  std::vector<std::string> recipients;
};

// Reports to the peers at the given addresses that a target has announced that it is leaving.
struct BroadcastLeaving
{
  std::string instance;
  std::int64_t startedAtMs = 0; // See RegisteredTarget.
  std::vector<std::string> recipients;
};

// Opens a connection to a target and closes it again; TargetChecked tells the result.
struct CheckTarget
{
  std::string instance;
  std::string address;
};

// Reports a crash to the peers at the given addresses.
struct BroadcastCrash
{
  TargetCrashReport report;
  std::vector<std::string> recipients;
};

// Reports what is quarantined or cleared to the peers at the given addresses.
struct BroadcastQuarantine
{
  QuarantineReport report;
  std::vector<std::string> recipients;
};

// Requests the configuration from a peer, which responds if it has a newer version.
struct RequestConfiguration
{
  std::string peer;
  std::uint64_t version = 0; // The version in force here.
};

// A decision for the log, with its fields as name and value.
struct LogDecision
{
  std::string decision;
  std::string requestId; // Empty when it concerns no request.
  std::vector<Field> fields;
  bool isFailure = false; // Always logged, whatever the sampling rate.
};

using ForwardEffect = std::variant<StartAttempt,
                                   CancelAttempt,
                                   BeginResponse,
                                   WriteResponse,
                                   CompleteResponse,
                                   AbortResponse,
                                   SendResponse,
                                   SendReservationCommand,
                                   BroadcastLoad,
                                   SendDomainLoad,
                                   BroadcastAbort,
                                   BroadcastLeaving,
                                   CheckTarget,
                                   BroadcastCrash,
                                   BroadcastQuarantine,
                                   RequestConfiguration,
                                   CountEvent,
                                   LogDecision>;

// ---- The reducer ----

// The settings of the reducer.
struct ForwardConfig
{
  std::string name;    // Unique among the entries.
  std::string address; // Where the peers reach this entry, "ip:port".
  std::string domain;
  std::uint64_t seed = 0;
  // Retries that all entries together may make: a number per request, and a slack beside it.
  double retryRatio = 0.2;
  double retrySlack = 20;
  // Shorter than the time for which engines keep an unused reservation.
  Duration reservationLease = std::chrono::seconds(3);
  // The time within which a new version of the configuration must be in force.
  Duration changeBound = std::chrono::seconds(2);
  // Requests that all entries together may send to a cold target.
  ColdBound coldBound;
  // What all attempts may buffer of responses together. Beyond it, those with more than an equal
  // share are aborted.
  std::uint64_t maxBufferedBytes = 64ULL * 1024 * 1024;
  // Whether placement takes into account how fast each target has proved to be; see TargetPace.
  bool learnPace = true;
};

// Decides for all requests of one entry. Not thread-safe.
class ForwardReducer
{
public:
  explicit ForwardReducer(ForwardConfig aConfig);
  ~ForwardReducer();
  ForwardReducer(const ForwardReducer&) = delete;
  ForwardReducer& operator=(const ForwardReducer&) = delete;

  // Handles one event and returns its effects, in the order in which they must be executed.
  std::vector<ForwardEffect> Step(const ForwardEvent& aEvent, Instant aNow);

  // Returns when the next Wake is due; nothing when no timer is armed.
  std::optional<Instant> NextWake() const;

  // Returns whether requests can be served, i.e. routes and at least one target are known.
  bool IsReady() const;

  // Returns whether a request is still in flight.
  bool HasRequest(std::uint64_t aHandle) const;

  // Returns the registered entries.
  const EntryGroup& Entries() const;

  // Returns which failure domains are evacuated.
  const EvacuationView& Evacuations() const;

  // Returns the number of targets that are known to be slow.
  std::size_t SlowTargets() const;

  // Returns the rank of this entry among the live ones of its failure domain; see EntryGroup.
  std::size_t DomainRank(Instant aNow) const;

  // Returns the number of requests in flight.
  std::size_t InFlight() const;

  // Returns what would be done with a request that arrived now, and why. Nothing is sent, reserved,
  // counted or logged. Random choices are those that the next request would get, as they are drawn
  // from a copy of the random generator.
  PlacementExplanation Explain(const ForwardRequest& aRequest, Instant aNow) const;

  // Returns the complete state in a human-readable form.
  nlohmann::json Dump(Instant aNow) const;

private:
  class Impl;
  std::unique_ptr<Impl> impl;
};

} // namespace sycamorepost

#endif // SYCAMOREPOST_FORWARD_FORWARD_REDUCER_H_
