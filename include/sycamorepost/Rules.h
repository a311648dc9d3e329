// The rules that operators publish: their parsed form, the parser, which rejects a text with any
// error as a whole, and line deltas between two versions of a text.
#ifndef SYCAMOREPOST_RULES_H_
#define SYCAMOREPOST_RULES_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "sycamorepost/AccountTable.h"
#include "sycamorepost/Types.h"

namespace sycamorepost {

// What happens to at-most-once calls while the log service is unavailable.
enum class OutagePolicy
{
  Refuse, // Refuse calls whose intent cannot be written to the log.
};

// The rule of one plain service.
struct ServiceRule
{
  std::string name;
  std::string path; // Path prefix of requests that are routed to the service.
  std::set<std::string> atMostOnceMethods; // Methods that run at most once per idempotency key.
  Duration timeout = std::chrono::seconds(30);
  Duration keyRetention = std::chrono::hours(24); // How long idempotency keys are kept.
  std::uint32_t shards = 8;                       // Number of log streams that store its keys.
  OutagePolicy outagePolicy = OutagePolicy::Refuse;
};

// The rule of one model.
struct ModelRule
{
  std::string name;
  std::uint32_t engineCount = 0; // Number of engines that should load it; 0 disables placement.
  std::string version;
  std::string adapter;
  std::uint32_t maxContextTokens = 1'048'576; // Maximum prompt plus output tokens.
  Duration timeout = std::chrono::seconds(600);
};

// Reserves engines of a failure domain for short prompts.
struct ReserveRule
{
  std::string domain;
  std::uint32_t maxPromptTokens = 0; // Longest prompt, in tokens, that the reserved engines admit.
  std::uint32_t engineCount = 0;     // Number of engines reserved, per pool.
};

// The parsed rules of one version.
struct RuleSet
{
  AccountTable accounts;
  std::map<std::string, ServiceRule> services;
  std::map<std::string, ModelRule> models;
  std::map<std::string, ReserveRule> reserves; // By failure domain.
  std::set<std::string> drainingTargets;       // Targets that get no new work.
  std::set<std::string> quarantineEngines;     // Quarantine engines, which run crash suspects.
  std::map<std::string, bool>
    checksFencingNumber;                // By target: whether it checks the fencing number.
  std::string orderStrategy = "slack";  // Strategy that orders the work queued at an engine.
  std::string choiceStrategy = "probe"; // Strategy that chooses the engines to probe.
  double retryRatio = 0.1;              // Retries allowed per request admitted.

  // Returns the service whose path is the longest prefix of the given path, or null.
  const ServiceRule* ServiceForPath(std::string_view aPath) const;
};

// One line with an error.
struct RuleError
{
  std::size_t line = 0; // 1-based line number.
  std::string reason;
};

// The result of parsing a rule text: either the rules or at least one error.
struct RuleParseResult
{
  std::optional<RuleSet> rules;
  std::vector<RuleError> errors; // At most one per line, in line order.
};

// Parses a complete rule text. If any line has an error, no rules are returned.
RuleParseResult
ParseRules(std::string_view aText);

// Parses a duration such as "250ms", "10s", "5m" or "24h": a count from 1 to 10,000,000 and a unit.
// Returns nullopt for any other text.
std::optional<Duration>
ParseDuration(std::string_view aText);

// Replaces one contiguous range of lines.
struct LineDelta
{
  std::size_t first = 0;          // 0-based index of the first replaced line.
  std::size_t removed = 0;        // Number of lines removed.
  std::vector<std::string> added; // Lines inserted in their place.
};

// Returns the smallest single replacement that turns aOld into aNew.
LineDelta
DiffLines(std::string_view aOld, std::string_view aNew);

// Applies a delta; returns nullopt if its line range is outside the text.
std::optional<std::string>
ApplyDelta(std::string_view aOld, const LineDelta& aDelta);

} // namespace sycamorepost

#endif // SYCAMOREPOST_RULES_H_
