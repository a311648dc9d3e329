// The routes, services, limits and callers' keys that are in force, as one immutable table.
#ifndef SYCAMOREPOST_FORWARD_ADMISSION_ROUTE_TABLE_H_
#define SYCAMOREPOST_FORWARD_ADMISSION_ROUTE_TABLE_H_

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "sycamorepost/Types.h"

namespace sycamorepost {

// The kind of a route, which determines what may be retried.
enum class RouteKind
{
  Idempotent,    // A request may run more than once.
  NonIdempotent, // A request may run at most once.
  Stream,        // The response is a sequence of events with increasing ids.
};

inline constexpr std::array<std::string_view, 3> kRouteKindNames{ "idempotent",
                                                                  "non-idempotent",
                                                                  "stream" };

// A service of a route, with its weight among the services of the route.
struct WeightedService
{
  std::string service;
  double weight = 1;
};

// A route: the requests to a host whose path begins with a prefix.
struct RouteRule
{
  std::string name;
  std::string host;
  std::string pathPrefix; // Begins and ends with a slash.
  RouteKind kind = RouteKind::NonIdempotent;
  std::vector<WeightedService> services;
  Duration timeout{};            // The deadline of a request, from its arrival.
  Duration objective{};          // The first byte is on time within it.
  Duration gapObjective{};       // The longest gap between two events that is on time.
  std::uint32_t priority = 0;    // 0 is the most urgent.
  std::uint32_t maxAttempts = 1; // Targets that one request may run on.
  bool allowsAnonymous = false;  // Requests without a key are accepted.
  bool isResumable = false;      // A stream may resume at another target after its last event.

  // Returns whether a request that may have run may be sent again.
  bool IsRetryable() const
  {
    return this->kind == RouteKind::Idempotent ||
           (this->kind == RouteKind::Stream && this->isResumable);
  }
};

// The published cost figures of a model engine.
struct EngineTraits
{
  double stepMs = 1;                   // Base time of one token step of a pass.
  double stepMsPerSequence = 0;        // Added to a step by each decoding request.
  double stepMsPerThousandTokens = 0;  // Added to a step by each thousand context tokens.
  double prefillTokensPerMs = 1;       // Prompt tokens prefilled in a millisecond.
  double prefillMsPerMillionPairs = 0; // Added to the prefill by a million pairs of prompt tokens.
  std::uint32_t stepsPerPass = 1;      // Steps of a pass while any request decodes.
  std::uint64_t kvCapacityTokens = 0;  // Capacity of the KV cache in tokens.
  std::uint32_t slots = 1;             // Requests that run concurrently.
};

// A service and the limits of its targets.
struct ServiceTraits
{
  std::string name;
  std::uint32_t maxConnections = 0;   // Accepted by a target from all callers together.
  std::optional<EngineTraits> engine; // Empty for a plain service.
  Duration coldStart{};               // How long a target is cold after its start.
  double coldPerSecond = 0;           // Requests that a cold target bears; 0 for no limit.
};

// The limits on what a caller may send.
struct CallerLimits
{
  std::uint32_t maxHeaderBytes = 16 * 1024;
  std::uint64_t maxBodyBytes = 16 * 1024 * 1024;
  Duration headerTimeout = std::chrono::seconds(30);
  Duration idleTimeout = std::chrono::seconds(60);
};

// A client account as defined by the routes.
struct RouteAccount
{
  std::string name;
  std::optional<std::uint32_t> priority; // Overrides the route's priority.
};

// The table. It is filled once, and shared without changes afterwards.
class RouteTable
{
public:
  std::uint64_t version = 0;
  CallerLimits limits;
  std::map<std::string, ServiceTraits> services;

  // Adds a route. A route with the same host and prefix as an earlier one is ignored.
  void AddRoute(RouteRule aRoute);

  // Adds an account with its keys.
  void AddAccount(RouteAccount aAccount, const std::vector<std::string>& aKeys);

  // Returns the route with the longest prefix of the path, or null. A port in the host and a query
  // in the path are ignored.
  const RouteRule* FindRoute(std::string_view aHost, std::string_view aPath) const;

  // Returns the account that a key belongs to, or null.
  const RouteAccount* FindAccountByKey(const std::string& aKey) const;

  // Returns one of the keys of an account, or null when the account is unknown or has none. Takes
  // time proportional to the number of keys.
  const std::string* FindKeyOf(const std::string& aAccountName) const;

  // Returns a service, or null.
  const ServiceTraits* FindService(const std::string& aName) const;

  // MinGapObjective returns the shortest gap objective of all streams, or one second without any
  // stream; RelaxedGapObjective returns the shortest one above 1.5 times that, or the same when
  // there is none.
  Duration MinGapObjective() const;
  Duration RelaxedGapObjective() const;

  std::size_t RouteCount() const { return this->routes.size(); }
  bool HasAccounts() const { return !this->accounts.empty(); }

  // Returns the routes as rule lines, each with a comment that has the version of the operator's
  // configuration.
  std::string Format() const;

private:
  std::unordered_map<std::string, RouteRule> routes; // By lower-case host and prefix.
  std::set<Duration> gapObjectives;                  // Of all streams.
  std::vector<RouteAccount> accounts;
  std::unordered_map<std::string, std::size_t> accountIndexByKey; // Index into accounts.
};

} // namespace sycamorepost

#endif // SYCAMOREPOST_FORWARD_ADMISSION_ROUTE_TABLE_H_
