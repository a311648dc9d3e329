// The decision logic of an entry, as a reducer: it handles the events of the role and returns the
// resulting effects as data. It does no I/O and reads no clock.
#ifndef SYCAMOREPOST_ENTRY_REDUCER_H_
#define SYCAMOREPOST_ENTRY_REDUCER_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "sycamorepost/AccountLimits.h"
#include "sycamorepost/CrashTracker.h"
#include "sycamorepost/Effects.h"
#include "sycamorepost/EngineChoice.h"
#include "sycamorepost/Message.h"
#include "sycamorepost/Rules.h"
#include "sycamorepost/TokenBucket.h"
#include "sycamorepost/Types.h"

namespace sycamorepost {

// Parameters of a completion request, parsed from its body.
struct CompletionParams
{
  std::string model;
  std::uint32_t promptTokens = 0;
  std::uint32_t maxTokens = 0;
  std::vector<PrefixHash> prefix;
};

// A caller's request as parsed by the HTTP server.
struct CallerRequest
{
  std::uint64_t handle = 0; // Identifies the request in effects; assigned by the runtime.
  std::string requestId;
  std::string keyDigest; // SHA-256 of the bearer key in hexadecimal; empty if none was sent.
  std::string method;
  std::string path;
  std::vector<Field> headers; // Header fields to forward to a plain service.
  SharedBody body;
  std::string idempotencyKey;
  std::optional<Duration> timeout;
  std::optional<CompletionParams> completion; // Empty for requests to a plain service.
  std::int64_t wallClockMs = 0; // Unix time of arrival; used only for the age of UUIDv7 keys.
};

// The caller closed its connection before the response was complete.
struct CallerDisconnected
{
  std::uint64_t handle = 0;
};

using EntryEvent = std::
  variant<CallerRequest, CallerDisconnected, MessageReceived, RulesChanged, FleetChanged, Wake>;

// Sends a piece of the response to the caller.
struct ResponseText
{
  std::uint64_t handle = 0;
  SharedBody text;
  std::uint32_t tokens = 0;
};

// Completes the response to a caller.
struct ResponseEnd
{
  std::uint64_t handle = 0;
  Outcome outcome = Outcome::NotRun;
  int status = 0;
  std::string code;    // Stable error code; empty if there was no error.
  std::string message; // Human-readable error message.
  std::optional<std::int64_t> retryAfterSeconds;
  std::vector<Field> headers; // Response headers of a plain service.
  SharedBody body;            // Response body of a plain service.
  std::uint64_t tokens = 0;   // Output tokens of a completion.
};

using EntryEffect =
  std::variant<SendMessage, ResetConnection, ResponseText, ResponseEnd, CountEvent, LogLine>;

// Settings of the reducer.
struct EntryConfig
{
  std::string address; // The entry's own message address, "ip:port".
  std::string domain;
  std::uint64_t seed = 0;
  // How long a probe round waits for further replies after the first grant.
  Duration grantedProbeTimeout = std::chrono::milliseconds(40);
  // How long a probe round waits for replies while no target has granted.
  Duration probeTimeout = std::chrono::milliseconds(400);
  // How often peers with outstanding work are checked.
  Duration peerCheckInterval = std::chrono::milliseconds(250);
  // A peer that has been silent this long is pinged.
  Duration peerPingTimeout = std::chrono::milliseconds(750);
  // After this long a silence the connection to the peer is reset.
  Duration peerReconnectTimeout = std::chrono::milliseconds(1500);
  // After this long a silence the peer's attempts count as lost.
  Duration peerLostTimeout = std::chrono::milliseconds(3000);
  // How often a peer that is not silent is pinged, to renew the leases of its attempts.
  Duration renewInterval = std::chrono::seconds(20);
};

// Decides admission, placement, retries and outcomes for all requests of one entry.
class EntryReducer
{
public:
  explicit EntryReducer(EntryConfig aConfig);
  ~EntryReducer();
  EntryReducer(const EntryReducer&) = delete;
  EntryReducer& operator=(const EntryReducer&) = delete;

  // Applies one event and returns its effects in the order in which they must be executed.
  std::vector<EntryEffect> Step(const EntryEvent& aEvent, Instant aNow);

  // Returns when the next Wake event is due, or nullopt if no timer is armed.
  std::optional<Instant> NextWake() const;

  // Returns the number of requests in flight.
  std::size_t InFlight() const;

  // Returns the state as JSON for operators.
  nlohmann::json Dump(Instant aNow) const;

private:
  class Impl;
  std::unique_ptr<Impl> impl;
};

} // namespace sycamorepost

#endif // SYCAMOREPOST_ENTRY_REDUCER_H_
