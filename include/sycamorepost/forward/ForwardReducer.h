// Offers the decisions of an entry that forwards requests to targets by itself: routes and keys,
// choice, retries, resumed streams, deadlines and reservations. One reducer takes every event and
// returns its effects as data. It does no I/O and reads no clock.
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
#include "sycamorepost/forward/LoadBook.h"
#include "sycamorepost/forward/RouteTable.h"
#include "sycamorepost/forward/TargetDirectory.h"

namespace sycamorepost {

// ---- Events ----

// A caller's request has been read whole.
struct ForwardRequest
{
  std::uint64_t handle = 0; // The runtime's name for the caller's exchange.
  std::string requestId;
  std::string method;
  std::string path; // With its query.
  std::string host;
  std::vector<Field> fields; // Those that are passed on.
  SharedBody body;
  std::optional<std::string> key;           // The bearer key.
  std::optional<Duration> deadline;         // From the request's arrival.
  std::optional<std::uint64_t> resumeAfter; // The last event that the caller has.
  std::uint32_t promptTokens = 0;           // 0 for a plain call.
  std::uint32_t answerTokens = 0;
  std::uint64_t fingerprint = 0; // Hash of key, path and body.
};

// The caller has closed its connection.
struct ForwardCallerGone
{
  std::uint64_t handle = 0;
};

// The head of a target's answer.
struct AttemptHead
{
  std::uint64_t attempt = 0;
  int status = 0;
  std::vector<Field> fields; // Those that are passed back.
  bool isSigned = false;     // The target vouches for the answer.
  bool notExecuted = false;  // The target says that it has not run the request and will not.
  bool misdirected = false;  // Another instance has the address.
  bool otherRequest = false; // The answer names another request.
  bool plainEncoding = true; // The body is the target's own bytes.
  std::string faultyAddress; // The helper that is at fault, if any.
};

// Bytes of the body of a target's answer.
struct AttemptData
{
  std::uint64_t attempt = 0;
  std::string bytes;
};

// How an exchange with a target ended.
enum class AttemptEndKind
{
  Complete,   // The whole answer has come.
  NotReached, // No connection, so not a byte was sent.
  Broken,     // The connection broke off, or the bytes are no answer.
};

struct AttemptEnd
{
  std::uint64_t attempt = 0;
  AttemptEndKind kind = AttemptEndKind::Broken;
  std::string reason;
};

// The end of an order to reserve or release memory.
struct OrderEnd
{
  std::uint64_t order = 0;
  bool answered = false;
  bool granted = false;
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
};

// A peer tells its load.
struct PeerLoadTold
{
  std::string peer;
  std::uint64_t incarnation = 0; // Changes at each start of the peer.
  std::vector<TargetShare> loads;
  bool whole = false; // What is not named is idle.
};

// A peer tells that a request broke off where it ran.
struct PeerBreakTold
{
  std::uint64_t fingerprint = 0;
};

using ForwardEvent = std::variant<ForwardRequest,
                                  ForwardCallerGone,
                                  AttemptHead,
                                  AttemptData,
                                  AttemptEnd,
                                  OrderEnd,
                                  RoutesChanged,
                                  TargetsChanged,
                                  PeerLoadTold,
                                  PeerBreakTold,
                                  Wake>;

// ---- Effects ----

// An engine that helps to read, as the writing engine is told of it.
struct HelperName
{
  std::string address;
  std::string reservation; // Empty when no memory was reserved there.
};

// Sends a request to a target.
struct StartAttempt
{
  std::uint64_t attempt = 0;
  std::uint64_t handle = 0;
  std::string address;
  std::string instance;
  std::string account; // Empty on open routes.
  Duration remaining{};
  Duration connectTimeout{};
  std::optional<std::uint64_t> resumeAfter;
  std::optional<std::uint32_t> urgency; // 0 is the most urgent of 10.
  std::vector<HelperName> helpers;
};

// Closes the connection of an attempt; no event follows.
struct CancelAttempt
{
  std::uint64_t attempt = 0;
};

// Begins the answer of a stream.
struct BeginAnswer
{
  std::uint64_t handle = 0;
  int status = 0;
  std::vector<Field> fields;
};

// Passes whole events on.
struct ContinueAnswer
{
  std::uint64_t handle = 0;
  std::string bytes;
};

// Ends a stream that is whole.
struct CompleteAnswer
{
  std::uint64_t handle = 0;
};

// Closes the caller's connection so that the answer does not look whole.
struct BreakAnswer
{
  std::uint64_t handle = 0;
};

// Sends a whole answer: a target's, or a refusal.
struct WholeAnswer
{
  std::uint64_t handle = 0;
  int status = 0;
  std::vector<Field> fields;
  std::optional<Duration> retryAfter;
  std::string body;
};

// Orders an engine to reserve or to release memory.
struct SendOrder
{
  std::uint64_t order = 0;
  std::string address;
  std::string instance;
  std::string reservation;
  std::uint64_t tokens = 0; // 0 releases.
  Duration lease{};
};

// Tells all peers of this entry's load.
struct TellLoad
{
  std::vector<TargetShare> loads;
  bool whole = false;
};

// Tells all peers that a request broke off where it ran.
struct TellBreak
{
  std::uint64_t fingerprint = 0;
};

// One decision for the log. The fields are name and value.
struct LogDecision
{
  std::string decision;
  std::string requestId; // Empty when it touches no request.
  std::vector<Field> fields;
  bool isFailure = false; // Never sampled away.
};

using ForwardEffect = std::variant<StartAttempt,
                                   CancelAttempt,
                                   BeginAnswer,
                                   ContinueAnswer,
                                   CompleteAnswer,
                                   BreakAnswer,
                                   WholeAnswer,
                                   SendOrder,
                                   TellLoad,
                                   TellBreak,
                                   CountEvent,
                                   LogDecision>;

// ---- The reducer ----

// The settings of the reducer.
struct ForwardConfig
{
  std::string name; // Unique among the entries.
  std::string domain;
  std::uint64_t seed = 0;
  double retryRatio = 0.2; // Repeats per request that all entries together may make,
  double retrySlack = 20;  // and repeats beside them.
  Duration reservationLease = std::chrono::seconds(3); // Shorter than engines may hold it unused.
};

// The reducer.
class ForwardReducer
{
public:
  explicit ForwardReducer(ForwardConfig aConfig);
  ~ForwardReducer();
  ForwardReducer(const ForwardReducer&) = delete;
  ForwardReducer& operator=(const ForwardReducer&) = delete;

  // Takes one event and returns its effects, in the order in which they must be carried out.
  std::vector<ForwardEffect> Step(const ForwardEvent& aEvent, Instant aNow);

  // Returns when the next Wake is due; nothing when no timer runs.
  std::optional<Instant> NextWake() const;

  // Returns whether requests can be served: routes and a target are known.
  bool Ready() const;

  // Returns whether a request is still in flight.
  bool Knows(std::uint64_t aHandle) const;

  // Returns the number of requests in flight.
  std::size_t InFlight() const;

  // Returns the whole state for a person to read.
  nlohmann::json Dump(Instant aNow) const;

private:
  class Impl;
  std::unique_ptr<Impl> impl;
};

} // namespace sycamorepost

#endif // SYCAMOREPOST_FORWARD_FORWARD_REDUCER_H_
