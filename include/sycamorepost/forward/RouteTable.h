// Offers the routes, services, limits and callers' keys that are in force, as one immutable table.
#ifndef SYCAMOREPOST_FORWARD_ROUTE_TABLE_H_
#define SYCAMOREPOST_FORWARD_ROUTE_TABLE_H_

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

// What may be repeated on a route.
enum class RouteKind
{
  Idempotent,    // A request may run more than once.
  NonIdempotent, // A request may run once at most.
  Stream,        // The answer is a series of events with rising ids.
};

inline constexpr std::array<std::string_view, 3> kRouteKindNames{ "idempotent",
                                                                  "non-idempotent",
                                                                  "stream" };

// One service of a route and its share of the route's requests.
struct ServiceShare
{
  std::string service;
  double weight = 1;
};

// One route: the requests of a host whose path begins with a prefix.
struct RouteRule
{
  std::string name;
  std::string host;
  std::string pathPrefix; // Begins and ends with a slash.
  RouteKind kind = RouteKind::NonIdempotent;
  std::vector<ServiceShare> services;
  Duration timeout{};         // The longest that a caller is kept waiting.
  Duration objective{};       // The first byte is on time within it.
  Duration gapObjective{};    // The longest pause between two events that is on time.
  std::uint32_t priority = 0; // 0 is the most urgent.
  std::uint32_t attempts = 1; // Targets that one request may run on.
  bool open = false;          // Needs no key.
  bool resumable = false;     // A stream may go on at another target after its last event.

  // Returns whether a request that may have run may be sent again.
  bool Repeatable() const
  {
    return this->kind == RouteKind::Idempotent ||
           (this->kind == RouteKind::Stream && this->resumable);
  }
};

// The published cost figures of a model engine.
struct EngineTraits
{
  double stepMs = 1;                // One token step of a pass.
  double stepMsPerSequence = 0;     // What each writing request adds to a step.
  double stepMsPerThousand = 0;     // What each thousand tokens of context add to a step.
  double readTokensPerMs = 1;       // Prompt tokens read in a millisecond.
  double readMsPerMillionPairs = 0; // What a million pairs of prompt tokens add to reading.
  std::uint32_t stepsPerPass = 1;   // Steps of a pass while something is written.
  std::uint64_t memoryTokens = 0;   // KV cache.
  std::uint32_t slots = 1;          // Requests that run at once.
};

// One service.
struct ServiceTraits
{
  std::string name;
  std::uint32_t connections = 0;      // What a target accepts from all callers together.
  std::optional<EngineTraits> engine; // Empty for a plain service.
};

// What a caller may send.
struct CallerLimits
{
  std::uint32_t headerBytes = 16 * 1024;
  std::uint64_t bodyBytes = 16 * 1024 * 1024;
  Duration headerTimeout = std::chrono::seconds(30);
  Duration idleTimeout = std::chrono::seconds(60);
};

// A client account as the routes know it.
struct RouteAccount
{
  std::string name;
  std::optional<std::uint32_t> priority; // Goes before the route's.
};

// The table. It is filled once and then shared.
class RouteTable
{
public:
  std::uint64_t version = 0;
  CallerLimits limits;
  std::map<std::string, ServiceTraits> services;

  // Adds a route; of two with the same host and prefix the first stays.
  void AddRoute(RouteRule aRoute);

  // Adds an account with its keys.
  void AddAccount(RouteAccount aAccount, const std::vector<std::string>& aKeys);

  // Returns the route of the longest prefix that begins the path, or null. A port in the host and
  // a query in the path are ignored.
  const RouteRule* FindRoute(std::string_view aHost, std::string_view aPath) const;

  // Returns the account that holds a key, or null.
  const RouteAccount* FindKey(const std::string& aKey) const;

  // Returns a service's traits, or null.
  const ServiceTraits* FindService(const std::string& aName) const;

  // Returns the shortest gap objective of all streams, and the shortest one well above it.
  Duration ShortestGap() const;
  Duration NextGap() const;

  std::size_t Routes() const { return this->routes.size(); }
  bool HasAccounts() const { return !this->accounts.empty(); }

  // Returns the routes as rule lines whose comment names the operator's version.
  std::string Format() const;

private:
  std::unordered_map<std::string, RouteRule> routes; // By lower-case host and prefix.
  std::set<Duration> gaps;                           // The gap objectives of all streams.
  std::vector<RouteAccount> accounts;
  std::unordered_map<std::string, std::size_t> accountIndexByKey; // Index into accounts.
};

} // namespace sycamorepost

#endif // SYCAMOREPOST_FORWARD_ROUTE_TABLE_H_
