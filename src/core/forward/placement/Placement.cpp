#include "sycamorepost/forward/placement/Placement.h"

#include <algorithm>
#include <functional>
#include <limits>

#include "PlacementCost.h"
#include "PlacementMemory.h"
#include "sycamorepost/forward/load/EngineEstimate.h"

namespace sycamorepost {

using internal::Candidate;
using internal::CostPart;
using internal::kCostParts;
using internal::kPlannedMemoryShare;
using internal::PlacementCost;
using internal::PlanMemory;

namespace {

// Protocol limit on the helpers of one request.
constexpr std::size_t kMaxHelpers = 16;

// A prompt is short when its prefill takes less than this fraction of the strict gap objective: two
// of them and a pass fit into one gap.
constexpr double kShortPromptShare = 0.5;

// Strict streams are packed onto few engines, so that long prompts are prefilled on the others.
// They cause no crowding cost up to this fraction of the slots of an engine; the other slots are
// left for what other entries place at the same moment.
constexpr double kStrictSlotShare = 0.6;

// Cost, in milliseconds, of placing a short request on an engine without strict streams: as much as
// two other short prompts that are prefilled before it. A long request gains the same on an engine
// that decodes relaxed streams already.
constexpr double kFirstOfKindMs = 60;

// Gain, in milliseconds, of a short request from each strict stream of the engine that it joins:
// with kStrictSlotShare reached, it outweighs two other short prompts, so that the engines with few
// streams become empty.
constexpr double kPackingGainMs = 8;

// Extra cost, in milliseconds, up to which an engine is chosen instead of the cheapest one, so that
// entries do not all choose the same: as much as two other short prompts that are prefilled before.
constexpr double kSpreadToleranceMs = 60;

// Cost, in milliseconds, of a late first event of a short request: it outweighs the distance of an
// engine that is in time.
constexpr double kLateShortMs = 300;

// Cost, in milliseconds, of each strict stream beyond kStrictSlotShare.
constexpr double kCrowdingMs = 40;

// Cost, in milliseconds, of each strict stream on an engine that is considered for a long prompt: a
// queue on other engines that is shorter than this costs callers less than the gaps of the stream.
constexpr double kStrictStreamMs = 300;

// The same for each unit of RelaxedWeight().
constexpr double kRelaxedWeightMs = 30;

// Cost, in milliseconds, of a full KV cache on the decoding engine: about ten passes in which
// another request is evicted from it.
constexpr double kFullMemoryMs = 500;

// Prompt tokens that weigh as much as one short request.
constexpr double kTokensPerWeight = 7000;

// Fraction of a gap objective, or of the objective for the first event, from which on a prediction
// may turn out late.
constexpr double kRiskStart = 0.6;

// Fraction of the weight of a request that is lost when its first event is late, and the multiple
// of the objective after which callers have disconnected.
constexpr double kLateFirstEventLoss = 0.75;
constexpr double kAbandonObjectives = 3;

// A long prompt that costs others less than one short request is never refused for its own delay.
constexpr double kNoticeableCost = 1;

// Passes of a response whose delay on a slow engine counts: a third of a typical response.
constexpr double kDecodePasses = 10;

// Cost of each further helper, in short requests: the calls of two reservation commands.
constexpr double kHelperWeight = 0.02;

// Passes until a request of a full batch of typical streams ends: about thirty events each, over a
// batch of about sixteen.
constexpr double kPassesPerFreeSlot = 2;

// Cost of a call across failure domains, in milliseconds: one round trip.
constexpr double kRemoteDomainMs = 10;

// The same for a short prompt. The load of engines in other failure domains is known with a delay,
// in which other entries may have placed as much as this. A long prompt needs more engines than a
// domain may have free, and outlasts the delay.
constexpr double kRemoteShortPromptMs = 100;

// Cost of a cold target, in milliseconds, for a plain call and for a prompt: that of two calls
// across failure domains. A warm target of another domain is preferred unless it is clearly busier,
// so that a domain that returns takes load gradually.
constexpr double kColdPlainMs = 2 * kRemoteDomainMs;
constexpr double kColdPromptMs = 2 * kRemoteShortPromptMs;

// Cost of failed exchanges, in milliseconds of waiting per unit of the failure rate: one failed
// exchange in two costs about a second attempt.
constexpr double kFailureRateMs = 600;

bool
IsCandidate(Exclusion aExclusion, bool aIncludeAvoided)
{
  return aExclusion == Exclusion::None || (aIncludeAvoided && aExclusion == Exclusion::Avoided);
}

// Returns the targets of the service that are no candidates.
std::vector<std::pair<const RegisteredTarget*, Exclusion>>
ListExcluded(const PlacementRequest& aRequest,
             const std::map<std::string, RegisteredTarget>& aTargets,
             const LoadTracker& aLoadTracker,
             bool aIncludeAvoided,
             Instant aNow)
{
  std::vector<std::pair<const RegisteredTarget*, Exclusion>> excluded;
  for (const auto& [instance, target] : aTargets) {
    const Exclusion exclusion = FindExclusion(aRequest, target, aLoadTracker, aNow);
    if (exclusion != Exclusion::OtherService && !IsCandidate(exclusion, aIncludeAvoided)) {
      excluded.emplace_back(&target, exclusion);
    }
  }
  return excluded;
}

std::vector<Candidate>
CollectCandidates(const PlacementRequest& aRequest,
                  const std::map<std::string, RegisteredTarget>& aTargets,
                  const LoadTracker& aLoadTracker,
                  bool aIncludeAvoided,
                  Instant aNow)
{
  std::vector<Candidate> candidates;
  for (const auto& [instance, target] : aTargets) {
    const Exclusion exclusion = FindExclusion(aRequest, target, aLoadTracker, aNow);
    if (IsCandidate(exclusion, aIncludeAvoided)) {
      Candidate candidate{ .target = &target, .load = aLoadTracker.LoadOf(instance, aNow) };
      candidate.paceFactor = aRequest.pace ? aRequest.pace->FactorOf(instance) : 1;
      candidate.prefillMs = candidate.load.PrefillMs(aNow) * candidate.paceFactor;
      candidate.isCold = aRequest.coldShares && aRequest.coldShares->IsCold(instance, aNow);
      candidates.push_back(candidate);
    }
  }
  return candidates;
}

// Returns a placement without a target. When all usable targets want no work for a while, or may
// not get it as they are cold, its wait ends when the first of them may be used.
Placement
MakeUnplaced(const PlacementRequest& aRequest,
             const std::map<std::string, RegisteredTarget>& aTargets,
             Instant aNow)
{
  Instant firstEnd = Instant::max();
  bool endsPause = false;
  for (const auto& [instance, target] : aTargets) {
    if (target.service != aRequest.service->name || target.draining ||
        (aRequest.evacuated && aRequest.evacuated->Contains(target.domain)) ||
        (aRequest.notices && aRequest.notices->IsLeaving(target))) {
      continue;
    }
    const Instant pausedUntil =
      aRequest.notices ? aRequest.notices->PausedUntil(target) : Instant();
    const Instant shareAt =
      aRequest.coldShares ? aRequest.coldShares->NextSendAt(instance, aNow) : Instant();
    if (std::max(pausedUntil, shareAt) < firstEnd) {
      firstEnd = std::max(pausedUntil, shareAt);
      endsPause = pausedUntil >= shareAt;
    }
  }
  Placement placement;
  if (firstEnd != Instant::max() && firstEnd > aNow) {
    placement.status = endsPause ? PlacementStatus::Paused : PlacementStatus::ColdSharesSpent;
    placement.waitMs = ToMs(firstEnd - aNow);
  }
  return placement;
}

PlacementCost
CommonCost(const PlacementRequest& aRequest,
           const Candidate& aCandidate,
           double aRemoteMs,
           double aColdMs,
           const LoadTracker& aLoadTracker)
{
  PlacementCost cost;
  cost.distance = aCandidate.target->domain == aRequest.domain ? 0 : aRemoteMs;
  cost.coldness = aCandidate.isCold ? aColdMs : 0;
  cost.failures = aLoadTracker.FailureRate(aCandidate.target->instance) * kFailureRateMs;
  return cost;
}

// What candidates are compared by.
using CostFunction = std::function<PlacementCost(const Candidate&)>;

// Explains why a candidate lost against a chosen one. The first criterion that differs decides;
// without a difference the choice between the two was random.
LosingTarget
CompareWithChosen(const Candidate& aLoser,
                  const Candidate& aChosen,
                  const std::vector<CostFunction>& aCriteria)
{
  LosingTarget loser{ .target = aLoser.target, .comparedWith = aChosen.target };
  for (const CostFunction& costOf : aCriteria) {
    const PlacementCost cost = costOf(aLoser);
    const PlacementCost chosenCost = costOf(aChosen);
    if (cost.Total() > chosenCost.Total()) {
      const auto extra = [&](const CostPart& aPart) {
        return cost.*aPart.ms - chosenCost.*aPart.ms;
      };
      const auto* main = std::max_element(
        kCostParts.begin(), kCostParts.end(), [&](const CostPart& aLeft, const CostPart& aRight) {
          return extra(aLeft) < extra(aRight);
        });
      loser.extraCostMs = cost.Total() - chosenCost.Total();
      loser.mainCost = main->name;
      break;
    }
  }
  return loser;
}

void
SortByCost(std::vector<Candidate>& aCandidates, std::mt19937_64& aRandom)
{
  std::shuffle(aCandidates.begin(), aCandidates.end(), aRandom);
  std::stable_sort(
    aCandidates.begin(), aCandidates.end(), [](const Candidate& aLeft, const Candidate& aRight) {
      return aLeft.cost < aRight.cost;
    });
}

// Returns how many candidates cost no more than aCost.
std::size_t
CountUpTo(const std::vector<Candidate>& aCandidates, double aCost)
{
  return static_cast<std::size_t>(
    std::count_if(aCandidates.begin(), aCandidates.end(), [aCost](const Candidate& aCandidate) {
      return aCandidate.cost <= aCost;
    }));
}

// A plain call waits for the calls before it. Their duration is unknown, so a position in the queue
// counts as much as a round trip. On a slow target it costs more, and so does the call itself.
Placement
PlacePlain(const PlacementRequest& aRequest,
           std::vector<Candidate> aCandidates,
           const LoadTracker& aLoadTracker,
           std::mt19937_64& aRandom,
           PlacementRanking* aRanking)
{
  const CostFunction costOf = [&](const Candidate& aCandidate) {
    const double load =
      static_cast<double>(aCandidate.load.running) / std::max(1U, aCandidate.target->slots);
    PlacementCost cost =
      CommonCost(aRequest, aCandidate, kRemoteDomainMs, kColdPlainMs, aLoadTracker);
    cost.wait = load * 2 * kRemoteDomainMs * aCandidate.paceFactor;
    cost.fullTarget = load >= 1 ? 2 * kRemoteDomainMs * aCandidate.paceFactor : 0;
    cost.slowness = (aCandidate.paceFactor - 1) * 2 * kRemoteDomainMs;
    return cost;
  };
  for (Candidate& candidate : aCandidates) {
    candidate.cost = costOf(candidate).Total();
  }
  SortByCost(aCandidates, aRandom);
  if (aRanking) {
    aRanking->equalChoices = CountUpTo(aCandidates, aCandidates.front().cost);
    for (std::size_t i = 1; i < aCandidates.size(); ++i) {
      aRanking->losers.push_back(
        CompareWithChosen(aCandidates[i], aCandidates.front(), { costOf }));
    }
  }
  Placement placement;
  placement.status = PlacementStatus::Placed;
  placement.target = *aCandidates.front().target;
  placement.placedWork.push_back({ placement.target.instance, 0, 0, true, false });
  return placement;
}

// The next three functions return the predicted times on one engine. All costs and predictions get
// these times from them, so what makes one engine slower than another belongs here; the remaining
// prefill time of its load is set by CollectCandidates.

// Returns the time of a pass of an engine with its present load.
double
PassMs(const EngineTraits& aTraits, const Candidate& aCandidate)
{
  return EstimatePassMs(
           aTraits, aCandidate.load.running, static_cast<double>(aCandidate.load.kvTokens)) *
         aCandidate.paceFactor;
}

// Returns the time in which an engine prefills one of aParts equal parts of the prompt.
double
PartMs(const PlacementRequest& aRequest, const Candidate& aCandidate, std::size_t aParts)
{
  return EstimatePrefillMs(*aRequest.service->engine, aRequest.promptTokens) /
         static_cast<double>(aParts) * aCandidate.paceFactor;
}

// Returns the time of the pass that generates the first event.
double
FirstPassMs(const PlacementRequest& aRequest, const Candidate& aCandidate)
{
  return EstimatePassMs(*aRequest.service->engine, 1, aRequest.promptTokens) *
         aCandidate.paceFactor;
}

// Returns the time until an engine starts a new prefill, including the wait for a slot.
double
WaitMs(const EngineTraits& aTraits, const Candidate& aCandidate)
{
  const double decodingRequests = aCandidate.load.running;
  const double pass = PassMs(aTraits, aCandidate);
  double wait = aCandidate.prefillMs + pass / 2;
  if (decodingRequests >= aTraits.slots) {
    // Each request ahead in the queue needs a running one to end.
    wait += (decodingRequests - aTraits.slots + 1) * kPassesPerFreeSlot * pass;
  }
  return wait;
}

// Returns the probability that an operation predicted to take aMs exceeds aLimitMs: 0 up to
// kRiskStart of the limit, rising to 1 as far beyond the limit.
double
MissProbability(double aMs, double aLimitMs)
{
  const double riskStartMs = kRiskStart * aLimitMs;
  return std::clamp((aMs - riskStartMs) / (2 * (1 - kRiskStart) * aLimitMs), 0.0, 1.0);
}

// Returns the weight of the relaxed streams of an engine, in short requests, estimated from the KV
// cache that their prompts occupy.
double
RelaxedWeight(const Candidate& aCandidate)
{
  if (aCandidate.load.running <= aCandidate.load.strictStreams) {
    return 0;
  }
  return std::max(1.0,
                  static_cast<double>(aCandidate.load.kvTokens) / kTokensPerWeight -
                    aCandidate.load.strictStreams);
}

// Returns the cost, in milliseconds, of decoding a long request on an engine. Preferred are free KV
// cache, no strict stream, and relaxed streams over an engine that only prefills.
PlacementCost
DecodeCost(const EngineTraits& aTraits, const Candidate& aCandidate)
{
  const double passMs = EstimatePassMs(
    aTraits, aCandidate.load.running + 1, static_cast<double>(aCandidate.load.kvTokens));
  const double memory = static_cast<double>(aCandidate.load.kvTokens) /
                        std::max<double>(1, static_cast<double>(aTraits.kvCapacityTokens));
  const bool hasOwnKind = aCandidate.load.running > aCandidate.load.strictStreams;
  PlacementCost cost;
  cost.wait = aCandidate.waitMs;
  cost.strictStreams = aCandidate.load.strictStreams * kStrictStreamMs;
  cost.memory = memory * kFullMemoryMs;
  cost.firstOfKind = hasOwnKind ? -kFirstOfKindMs : 0;
  cost.slowness = (aCandidate.paceFactor - 1) * passMs * kDecodePasses;
  return cost;
}

// Moves the engine that decodes to the front; the others keep their order.
void
MoveDecoderFirst(std::vector<Candidate>& aCandidates, const EngineTraits& aTraits)
{
  const auto best = std::min_element(
    aCandidates.begin(), aCandidates.end(), [&](const Candidate& aLeft, const Candidate& aRight) {
      return DecodeCost(aTraits, aLeft).Total() < DecodeCost(aTraits, aRight).Total();
    });
  std::rotate(aCandidates.begin(), best, best + 1);
}

// Returns the cost that the prefill of a part has for the streams of an engine, in short requests
// that become late.
double
InterferenceCost(const PlacementRequest& aRequest,
                 const EngineTraits& aTraits,
                 const Candidate& aCandidate,
                 double aPartMs)
{
  const double gap =
    PassMs(aTraits, aCandidate) + aCandidate.prefillMs + aPartMs * aCandidate.paceFactor;
  return aCandidate.load.strictStreams * MissProbability(gap, ToMs(aRequest.strictGap)) +
         RelaxedWeight(aCandidate) * MissProbability(gap, ToMs(aRequest.relaxedGap));
}

// Returns the predicted time to the first event when the first aParts engines prefill a part each
// and the first one decodes.
double
FirstEventMs(const PlacementRequest& aRequest,
             const std::vector<Candidate>& aSorted,
             std::size_t aParts)
{
  double prefilledMs = 0;
  for (std::size_t i = 0; i < aParts; ++i) {
    prefilledMs = std::max(prefilledMs, aSorted[i].waitMs + PartMs(aRequest, aSorted[i], aParts));
  }
  return prefilledMs + FirstPassMs(aRequest, aSorted.front());
}

// Returns the predicted time to the first event on one engine alone.
double
FirstEventMs(const PlacementRequest& aRequest, const Candidate& aCandidate)
{
  return aCandidate.waitMs + PartMs(aRequest, aCandidate, 1) + FirstPassMs(aRequest, aCandidate);
}

// The number of engines that prefill a long prompt, and what that costs callers, in short requests.
struct PartChoice
{
  std::size_t parts = 1;
  double cost = std::numeric_limits<double>::max(); // To all callers,
  double costToOthers = 0;                          // and without its own delay.
};

// Returns the number of engines that prefill a long prompt with the least total cost of its own
// delay and of the longer gaps of other streams.
PartChoice
ChoosePartCount(const PlacementRequest& aRequest, const std::vector<Candidate>& aSorted)
{
  const EngineTraits& traits = *aRequest.service->engine;
  const double weight = aRequest.promptTokens / kTokensPerWeight;
  const std::size_t maxParts = std::min(aSorted.size(), kMaxHelpers + 1);
  PartChoice best;
  for (std::size_t parts = 1; parts <= maxParts; ++parts) {
    const double firstEventMs = FirstEventMs(aRequest, aSorted, parts);
    const double objectiveMs = ToMs(aRequest.objective);
    double costToOthers = kHelperWeight * static_cast<double>(parts);
    for (std::size_t i = 0; i < parts; ++i) {
      costToOthers +=
        InterferenceCost(aRequest, traits, aSorted[i], PartMs(aRequest, aSorted[i], parts));
    }
    const double cost =
      costToOthers + weight * (kLateFirstEventLoss * MissProbability(firstEventMs, objectiveMs) +
                               (1 - kLateFirstEventLoss) *
                                 MissProbability(firstEventMs, kAbandonObjectives * objectiveMs));
    if (cost < best.cost) {
      best = { parts, cost, costToOthers };
    }
  }
  return best;
}

bool
IsStrict(const PlacementRequest& aRequest)
{
  return aRequest.gapObjective <= aRequest.strictGap;
}

// Adds the cost of running a short request on an engine, beside the wait there.
void
AddShortCost(const PlacementRequest& aRequest, const Candidate& aCandidate, PlacementCost& aCost)
{
  const double firstEventMs = FirstEventMs(aRequest, aCandidate);
  const double maxStrict = kStrictSlotShare * aRequest.service->engine->slots;
  const double excess = std::max(0.0, aCandidate.load.strictStreams + 1 - maxStrict);
  const double packed = std::min<double>(aCandidate.load.strictStreams, maxStrict);
  aCost.lateness = MissProbability(firstEventMs, ToMs(aRequest.objective)) * kLateShortMs;
  aCost.crowding = excess * kCrowdingMs;
  aCost.firstOfKind = aCandidate.load.strictStreams == 0 ? kFirstOfKindMs : 0;
  aCost.packing = -packed * kPackingGainMs;
}

// Returns the cost, in milliseconds, of the time that a request takes longer on an engine than on a
// normal one: its prefill, of which the engine gets one of aParts, its first pass, and the gaps
// that become late. The wait there is not included. It is 0 for a factor of 1.
double
SlowRunCost(const PlacementRequest& aRequest, const Candidate& aCandidate, double aParts)
{
  const EngineTraits& traits = *aRequest.service->engine;
  const double runMs = EstimatePrefillMs(traits, aRequest.promptTokens) / aParts +
                       EstimatePassMs(traits, 1, aRequest.promptTokens);
  const double passMs =
    EstimatePassMs(traits,
                   aCandidate.load.running + 1,
                   static_cast<double>(aCandidate.load.kvTokens) + aRequest.promptTokens);
  const double gapMs = ToMs(aRequest.gapObjective);
  const double moreLate =
    MissProbability(passMs * aCandidate.paceFactor, gapMs) - MissProbability(passMs, gapMs);
  return (aCandidate.paceFactor - 1) * runMs + moreLate * kLateShortMs;
}

// Returns a placement with the decoding engine, the helpers and the prefill time of each.
Placement
MakePlacement(const PlacementRequest& aRequest,
              const std::vector<Candidate>& aChosen,
              double aFirstEventMs)
{
  Placement placement;
  placement.target = *aChosen.front().target;
  placement.firstEventMs = aFirstEventMs;
  placement.paceFactor = aChosen.front().paceFactor;
  placement.waitMs = aFirstEventMs;
  for (const Candidate& candidate : aChosen) {
    const bool decodes = &candidate == &aChosen.front();
    const RegisteredTarget& target = *candidate.target;
    const double partMs = PartMs(aRequest, candidate, aChosen.size());
    placement.placedWork.push_back(
      { target.instance, partMs, 0, decodes, decodes && IsStrict(aRequest) });
    if (!decodes) {
      placement.helpers.push_back({ target.instance, target.address, 0 });
    }
  }
  return placement;
}

// Entries with the same knowledge would all choose the same engine. Chooses at random among as many
// engines as there may be prompts that this entry does not know of, if they cost little more.
// Returns the number of engines that could have become the chosen one.
std::size_t
SpreadChoice(double aUnreportedPrompts, std::vector<Candidate>& aSorted, std::mt19937_64& aRandom)
{
  const double maxCost = aSorted.front().cost + kSpreadToleranceMs;
  const auto tooCostly =
    std::find_if(aSorted.begin(), aSorted.end(), [maxCost](const Candidate& aCandidate) {
      return aCandidate.cost > maxCost;
    });
  const auto closeCount = static_cast<double>(std::distance(aSorted.begin(), tooCostly));
  const auto last = static_cast<std::ptrdiff_t>(std::min(aUnreportedPrompts, closeCount - 1));
  const auto pick = std::uniform_int_distribution<std::ptrdiff_t>(0, last)(aRandom);
  const std::size_t equalChoices = CountUpTo(aSorted, aSorted[static_cast<std::size_t>(last)].cost);
  std::rotate(aSorted.begin(), aSorted.begin() + pick, aSorted.begin() + pick + 1);
  return equalChoices;
}

// Describes the choice of the first aChosenCount candidates of aOrdered; 0 when the prompt was not
// placed. By aCriteria the engine that decodes was chosen, and by the last of them
// the helpers. The choice was random among the first aSpreadCount candidates.
void
DescribeChoice(const PlacementRequest& aRequest,
               const std::vector<Candidate>& aOrdered,
               std::size_t aChosenCount,
               const std::vector<CostFunction>& aCriteria,
               std::size_t aSpreadCount,
               PlacementRanking& aRanking)
{
  const std::vector<CostFunction> helperCriteria{ aCriteria.back() };
  for (std::size_t i = aChosenCount; i < aOrdered.size(); ++i) {
    LosingTarget loser{ .target = aOrdered[i].target };
    if (aChosenCount == 1 && i < aSpreadCount) {
      loser.comparedWith = aOrdered.front().target;
    } else if (aChosenCount > 0) {
      loser = CompareWithChosen(
        aOrdered[i], aOrdered[aChosenCount - 1], aChosenCount == 1 ? aCriteria : helperCriteria);
    }
    loser.firstEventMs = FirstEventMs(aRequest, aOrdered[i]);
    aRanking.losers.push_back(loser);
  }
  const auto equalsFirst = [&](const Candidate& aCandidate) {
    return std::all_of(aCriteria.begin(), aCriteria.end(), [&](const CostFunction& aCostOf) {
      return aCostOf(aCandidate).Total() == aCostOf(aOrdered.front()).Total();
    });
  };
  const auto equals = std::count_if(aOrdered.begin(), aOrdered.end(), equalsFirst);
  aRanking.equalChoices =
    aChosenCount == 0 ? 0 : std::max(aSpreadCount, static_cast<std::size_t>(equals));
}

// A cold target gets no part of a prompt whose other parts wait for it, and so neither calls of
// another engine nor reservations. It decodes a long prompt only if no target is warm, in which
// case the first one is kept, as for a short prompt. Returns the cold targets that were removed.
std::vector<Candidate>
KeepWarmParts(bool aKeepsFirst, std::vector<Candidate>& aSorted)
{
  const auto firstCold =
    std::stable_partition(aSorted.begin() + (aKeepsFirst ? 1 : 0),
                          aSorted.end(),
                          [](const Candidate& aCandidate) { return !aCandidate.isCold; });
  std::vector<Candidate> removed(firstCold, aSorted.end());
  aSorted.erase(firstCold, aSorted.end());
  return removed;
}

Placement
PlacePrompt(const PlacementRequest& aRequest,
            std::vector<Candidate> aCandidates,
            const LoadTracker& aLoadTracker,
            std::mt19937_64& aRandom,
            PlacementRanking* aRanking)
{
  const EngineTraits& traits = *aRequest.service->engine;
  const bool isShort = EstimatePrefillMs(traits, aRequest.promptTokens) <=
                       kShortPromptShare * ToMs(aRequest.strictGap);
  // Without reports the own domain is no better known than the others.
  const double remoteMs =
    isShort && aRequest.hearsNeighbours ? kRemoteShortPromptMs : kRemoteDomainMs;
  const double partCount =
    isShort ? 1 : static_cast<double>(std::min(aCandidates.size(), kMaxHelpers + 1));
  const CostFunction costOf = [&](const Candidate& aCandidate) {
    PlacementCost cost = CommonCost(aRequest, aCandidate, remoteMs, kColdPromptMs, aLoadTracker);
    cost.wait = aCandidate.waitMs;
    if (isShort) {
      AddShortCost(aRequest, aCandidate, cost);
    } else {
      cost.strictStreams = aCandidate.load.strictStreams * kStrictStreamMs;
      cost.relaxedStreams = RelaxedWeight(aCandidate) * kRelaxedWeightMs;
    }
    cost.slowness = SlowRunCost(aRequest, aCandidate, partCount);
    return cost;
  };
  const CostFunction decodeCostOf = [&](const Candidate& aCandidate) {
    return DecodeCost(traits, aCandidate);
  };
  for (Candidate& candidate : aCandidates) {
    candidate.waitMs = WaitMs(traits, candidate);
    candidate.cost = costOf(candidate).Total();
  }
  SortByCost(aCandidates, aRandom);
  const bool isOneWarm =
    std::any_of(aCandidates.begin(), aCandidates.end(), [](const Candidate& aCandidate) {
      return !aCandidate.isCold;
    });
  std::size_t spreadCount = 1;
  if (isShort) {
    const bool isLocal = aCandidates.front().target->domain == aRequest.domain;
    spreadCount =
      SpreadChoice(isLocal ? aRequest.unreportedPrompts : aRequest.unreportedPromptsElsewhere,
                   aCandidates,
                   aRandom);
  }
  const std::size_t allCount = aCandidates.size();
  // The first candidate was chosen by its cost alone, among the cold ones too.
  const bool isChosenAmongAll = isShort || !isOneWarm;
  const std::vector<Candidate> all =
    aRanking && isChosenAmongAll ? aCandidates : std::vector<Candidate>{};
  const std::vector<Candidate> cold = KeepWarmParts(isChosenAmongAll, aCandidates);
  if (!isShort) {
    MoveDecoderFirst(aCandidates, traits);
  }
  const auto describe = [&](std::size_t aChosenCount) {
    if (!aRanking) {
      return;
    }
    const std::vector<CostFunction> criteria =
      isChosenAmongAll ? std::vector<CostFunction>{ costOf }
                       : std::vector<CostFunction>{ decodeCostOf, costOf };
    const bool isOneChosenAmongAll = isChosenAmongAll && aChosenCount == 1;
    DescribeChoice(aRequest,
                   isOneChosenAmongAll ? all : aCandidates,
                   aChosenCount,
                   criteria,
                   spreadCount,
                   *aRanking);
    for (std::size_t i = 0; i < cold.size() && !isOneChosenAmongAll; ++i) {
      aRanking->losers.push_back({ .target = cold[i].target,
                                   .firstEventMs = FirstEventMs(aRequest, cold[i]),
                                   .isKeptOut = true });
    }
  };
  const std::uint64_t need = std::uint64_t{ aRequest.promptTokens } + aRequest.outputTokens;
  const std::size_t maxParts = std::min(aCandidates.size(), kMaxHelpers + 1);
  Placement placement;
  const PartChoice choice = isShort ? PartChoice{} : ChoosePartCount(aRequest, aCandidates);
  if (!isShort && choice.costToOthers >= kNoticeableCost &&
      choice.cost > aRequest.maxCostShare * aRequest.promptTokens / kTokensPerWeight) {
    placement.status = PlacementStatus::TooCostly;
    placement.waitMs = FirstEventMs(aRequest, aCandidates, choice.parts);
    describe(0);
    return placement;
  }
  // With too little memory on the first engines, more of them are used.
  for (std::size_t parts = choice.parts; parts <= maxParts; ++parts) {
    std::vector<Candidate> chosen(aCandidates.begin(),
                                  aCandidates.begin() + static_cast<std::ptrdiff_t>(parts));
    placement = MakePlacement(aRequest, chosen, FirstEventMs(aRequest, aCandidates, parts));
    if (PlanMemory(traits, need, chosen, placement)) {
      placement.status = PlacementStatus::Placed;
      describe(parts);
      return placement;
    }
  }
  describe(0);
  const double plannedTokens =
    kPlannedMemoryShare *
    static_cast<double>(traits.kvCapacityTokens * std::min(allCount, kMaxHelpers + 1));
  placement.status =
    static_cast<double>(need) > plannedTokens ? PlacementStatus::TooLarge : PlacementStatus::Full;
  return placement;
}

} // namespace

Exclusion
FindExclusion(const PlacementRequest& aRequest,
              const RegisteredTarget& aTarget,
              const LoadTracker& aLoadTracker,
              Instant aNow)
{
  if (aTarget.service != aRequest.service->name) {
    return Exclusion::OtherService;
  }
  if (aTarget.draining) {
    return Exclusion::Draining;
  }
  if (aRequest.evacuated && aRequest.evacuated->Contains(aTarget.domain)) {
    return Exclusion::Evacuated;
  }
  if (aRequest.triedInstances.contains(aTarget.instance)) {
    return Exclusion::Tried;
  }
  if (aRequest.notices && !aRequest.notices->MayReceive(aTarget, aNow)) {
    return Exclusion::WantsNoWork;
  }
  if (aRequest.coldShares && !aRequest.coldShares->MaySend(aTarget.instance, aNow)) {
    return Exclusion::ColdShareSpent;
  }
  return aLoadTracker.IsAvoided(aTarget.instance, aNow) ? Exclusion::Avoided : Exclusion::None;
}

Placement
ChoosePlacement(const PlacementRequest& aRequest,
                const std::map<std::string, RegisteredTarget>& aTargets,
                const LoadTracker& aLoadTracker,
                std::mt19937_64& aRandom,
                Instant aNow,
                PlacementRanking* aRanking)
{
  std::vector<Candidate> candidates =
    CollectCandidates(aRequest, aTargets, aLoadTracker, false, aNow);
  const bool includesAvoided = candidates.empty();
  if (includesAvoided) {
    candidates = CollectCandidates(aRequest, aTargets, aLoadTracker, true, aNow);
  }
  if (aRanking) {
    aRanking->candidates = candidates.size();
    aRanking->excluded = ListExcluded(aRequest, aTargets, aLoadTracker, includesAvoided, aNow);
  }
  if (candidates.empty()) {
    return MakeUnplaced(aRequest, aTargets, aNow);
  }
  const bool isPrompt = aRequest.service->engine.has_value() && aRequest.promptTokens > 0;
  return isPrompt ? PlacePrompt(aRequest, std::move(candidates), aLoadTracker, aRandom, aRanking)
                  : PlacePlain(aRequest, std::move(candidates), aLoadTracker, aRandom, aRanking);
}

} // namespace sycamorepost
