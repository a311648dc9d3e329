// Where a request would go now, and why: what an operator asks a running entry.
#ifndef SYCAMOREPOST_FORWARD_PLACEMENT_EXPLANATION_H_
#define SYCAMOREPOST_FORWARD_PLACEMENT_EXPLANATION_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "sycamorepost/Types.h"
#include "sycamorepost/forward/admission/RouteTable.h"

namespace sycamorepost {

// A target in an explanation.
struct ExplainedTarget
{
  std::string instance;
  std::string address;
  std::string domain;
  // Predicted for the request on this target alone; empty for plain calls and excluded targets.
  std::optional<double> firstEventMs;
  std::string reason;       // Why it was not chosen; empty for a chosen one.
  std::vector<Field> facts; // What else the decision takes into account, as name and value.
};

// An engine that would prefill a part of the prompt.
struct ExplainedHelper
{
  ExplainedTarget target;
  double prefillMs = 0;            // Prefill time that the request adds there.
  std::uint64_t reserveTokens = 0; // KV cache that would be reserved there.
};

// The refusal of a request.
struct ExplainedRefusal
{
  int status = 0;
  std::string reason;
  // The range from which the Retry-After is drawn; empty when the refusal has none.
  std::optional<Duration> minRetryAfter;
  std::optional<Duration> maxRetryAfter;
};

// What an entry would do with a request. It is placed, refused, or held after the start of the
// entry: until it has read the configuration and the registrations, or, for a long prompt, for the
// first load reports of its neighbours. A held request is placed by what is known afterwards.
struct PlacementExplanation
{
  std::uint64_t configurationVersion = 0; // 0 when no configuration is known.
  std::optional<Duration> heldFor;        // The longest time for which it would be held.
  std::string heldUntil;                  // What it would wait for, in words; empty likewise.
  std::optional<ExplainedRefusal> refusal;

  std::string route;                     // Empty when no route matches.
  std::string account;                   // Empty for a request without a key.
  std::vector<WeightedService> services; // Of the route; one is chosen at random by weight.
  std::string service;                   // The chosen one.

  // Where it would run. With a refusal because of the predicted first event, where it would have
  // run otherwise.
  std::optional<ExplainedTarget> target;
  std::vector<ExplainedHelper> helpers;
  std::optional<double> firstEventMs;    // Predicted, with the helpers; empty for plain calls.
  std::optional<double> maxFirstEventMs; // The longest wait for it that is accepted; likewise.
  // The number of targets among which the choice is random, as they are equal or nearly so.
  std::size_t equalChoices = 0;

  std::size_t candidates = 0;                // Targets that could be chosen.
  std::vector<ExplainedTarget> alternatives; // The best of those that lost, the best first.
  std::vector<ExplainedTarget> excluded;     // Targets of the service that could not be chosen.
};

} // namespace sycamorepost

#endif // SYCAMOREPOST_FORWARD_PLACEMENT_EXPLANATION_H_
