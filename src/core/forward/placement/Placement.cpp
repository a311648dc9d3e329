#include "sycamorepost/forward/placement/Placement.h"

#include <algorithm>
#include <limits>

#include "PlacementMemory.h"
#include "sycamorepost/forward/load/EngineEstimate.h"

namespace sycamorepost {

using internal::Candidate;
using internal::kPlannedMemoryShare;
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
    const bool usable =
      exclusion == Exclusion::None || (aIncludeAvoided && exclusion == Exclusion::Avoided);
    if (usable) {
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

double
CommonCost(const PlacementRequest& aRequest,
           const Candidate& aCandidate,
           double aRemoteMs,
           double aColdMs,
           const LoadTracker& aLoadTracker)
{
  const double distance = aCandidate.target->domain == aRequest.domain ? 0 : aRemoteMs;
  const double coldness = aCandidate.isCold ? aColdMs : 0;
  return distance + coldness +
         aLoadTracker.FailureRate(aCandidate.target->instance) * kFailureRateMs;
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

// A plain call waits for the calls before it. Their duration is unknown, so a position in the queue
// counts as much as a round trip. On a slow target it costs more, and so does the call itself.
Placement
PlacePlain(const PlacementRequest& aRequest,
           std::vector<Candidate> aCandidates,
           const LoadTracker& aLoadTracker,
           std::mt19937_64& aRandom)
{
  for (Candidate& candidate : aCandidates) {
    const double load =
      static_cast<double>(candidate.load.running) / std::max(1U, candidate.target->slots);
    candidate.cost = load * 2 * kRemoteDomainMs * candidate.paceFactor +
                     CommonCost(aRequest, candidate, kRemoteDomainMs, kColdPlainMs, aLoadTracker);
    candidate.cost += load >= 1 ? 2 * kRemoteDomainMs * candidate.paceFactor : 0;
    candidate.cost += (candidate.paceFactor - 1) * 2 * kRemoteDomainMs;
  }
  SortByCost(aCandidates, aRandom);
  Placement placement;
  placement.status = PlacementStatus::Placed;
  placement.target = *aCandidates.front().target;
  placement.placedWork.push_back({ placement.target.instance, 0, 0, true, false });
  return placement;
}

// Returns the time until an engine starts a new prefill, including the wait for a slot.
double
WaitMs(const EngineTraits& aTraits, const Candidate& aCandidate)
{
  const double decodingRequests = aCandidate.load.running;
  const double pass =
    EstimatePassMs(aTraits, decodingRequests, static_cast<double>(aCandidate.load.kvTokens)) *
    aCandidate.paceFactor;
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
double
DecodeCost(const EngineTraits& aTraits, const Candidate& aCandidate)
{
  const double passMs = EstimatePassMs(
    aTraits, aCandidate.load.running + 1, static_cast<double>(aCandidate.load.kvTokens));
  const double memory = static_cast<double>(aCandidate.load.kvTokens) /
                        std::max<double>(1, static_cast<double>(aTraits.kvCapacityTokens));
  const bool hasOwnKind = aCandidate.load.running > aCandidate.load.strictStreams;
  return aCandidate.waitMs + aCandidate.load.strictStreams * kStrictStreamMs +
         memory * kFullMemoryMs - (hasOwnKind ? kFirstOfKindMs : 0) +
         (aCandidate.paceFactor - 1) * passMs * kDecodePasses;
}

// Moves the engine that decodes to the front; the others keep their order.
void
MoveDecoderFirst(std::vector<Candidate>& aCandidates, const EngineTraits& aTraits)
{
  const auto best = std::min_element(
    aCandidates.begin(), aCandidates.end(), [&](const Candidate& aLeft, const Candidate& aRight) {
      return DecodeCost(aTraits, aLeft) < DecodeCost(aTraits, aRight);
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
  const double gap = EstimatePassMs(aTraits,
                                    aCandidate.load.running,
                                    static_cast<double>(aCandidate.load.kvTokens)) *
                       aCandidate.paceFactor +
                     aCandidate.prefillMs + aPartMs * aCandidate.paceFactor;
  return aCandidate.load.strictStreams * MissProbability(gap, ToMs(aRequest.strictGap)) +
         RelaxedWeight(aCandidate) * MissProbability(gap, ToMs(aRequest.relaxedGap));
}

double
FirstEventMs(const PlacementRequest& aRequest,
             const std::vector<Candidate>& aSorted,
             std::size_t aParts)
{
  const EngineTraits& traits = *aRequest.service->engine;
  const double partMs =
    EstimatePrefillMs(traits, aRequest.promptTokens) / static_cast<double>(aParts);
  double prefilled = 0;
  for (std::size_t i = 0; i < aParts; ++i) {
    prefilled = std::max(prefilled, aSorted[i].waitMs + partMs * aSorted[i].paceFactor);
  }
  return prefilled + EstimatePassMs(traits, 1, aRequest.promptTokens) * aSorted.front().paceFactor;
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
  const double prefillMs = EstimatePrefillMs(traits, aRequest.promptTokens);
  const double weight = aRequest.promptTokens / kTokensPerWeight;
  const std::size_t maxParts = std::min(aSorted.size(), kMaxHelpers + 1);
  PartChoice best;
  for (std::size_t parts = 1; parts <= maxParts; ++parts) {
    const double firstEventMs = FirstEventMs(aRequest, aSorted, parts);
    const double objectiveMs = ToMs(aRequest.objective);
    double costToOthers = kHelperWeight * static_cast<double>(parts);
    for (std::size_t i = 0; i < parts; ++i) {
      costToOthers +=
        InterferenceCost(aRequest, traits, aSorted[i], prefillMs / static_cast<double>(parts));
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

// Returns the cost, in milliseconds, of running a short request on an engine, beside the wait
// there.
double
ShortCost(const PlacementRequest& aRequest, const Candidate& aCandidate)
{
  const EngineTraits& traits = *aRequest.service->engine;
  const double firstEventMs =
    aCandidate.waitMs + EstimatePrefillMs(traits, aRequest.promptTokens) * aCandidate.paceFactor +
    EstimatePassMs(traits, 1, aRequest.promptTokens) * aCandidate.paceFactor;
  const double maxStrict = kStrictSlotShare * traits.slots;
  const double excess = std::max(0.0, aCandidate.load.strictStreams + 1 - maxStrict);
  const double packed = std::min<double>(aCandidate.load.strictStreams, maxStrict);
  return MissProbability(firstEventMs, ToMs(aRequest.objective)) * kLateShortMs +
         excess * kCrowdingMs + (aCandidate.load.strictStreams == 0 ? kFirstOfKindMs : 0) -
         packed * kPackingGainMs;
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
  const EngineTraits& traits = *aRequest.service->engine;
  const double partMs =
    EstimatePrefillMs(traits, aRequest.promptTokens) / static_cast<double>(aChosen.size());
  Placement placement;
  placement.target = *aChosen.front().target;
  placement.firstEventMs = aFirstEventMs;
  placement.paceFactor = aChosen.front().paceFactor;
  placement.waitMs = aFirstEventMs;
  for (const Candidate& candidate : aChosen) {
    const bool decodes = &candidate == &aChosen.front();
    const RegisteredTarget& target = *candidate.target;
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
void
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
  std::rotate(aSorted.begin(), aSorted.begin() + pick, aSorted.begin() + pick + 1);
}

// A cold target gets no part of a prompt whose other parts wait for it, and so neither calls of
// another engine nor reservations. It decodes a long prompt only if no target is warm.
void
KeepWarmParts(bool aIsShort, std::vector<Candidate>& aSorted)
{
  const bool isOneWarm = std::any_of(
    aSorted.begin(), aSorted.end(), [](const Candidate& aCandidate) { return !aCandidate.isCold; });
  const bool keepsFirst = aIsShort || !isOneWarm;
  const auto isCold = [](const Candidate& aCandidate) { return aCandidate.isCold; };
  aSorted.erase(std::remove_if(aSorted.begin() + (keepsFirst ? 1 : 0), aSorted.end(), isCold),
                aSorted.end());
}

Placement
PlacePrompt(const PlacementRequest& aRequest,
            std::vector<Candidate> aCandidates,
            const LoadTracker& aLoadTracker,
            std::mt19937_64& aRandom)
{
  const EngineTraits& traits = *aRequest.service->engine;
  const bool isShort = EstimatePrefillMs(traits, aRequest.promptTokens) <=
                       kShortPromptShare * ToMs(aRequest.strictGap);
  // Without reports the own domain is no better known than the others.
  const double remoteMs =
    isShort && aRequest.hearsNeighbours ? kRemoteShortPromptMs : kRemoteDomainMs;
  const double parts =
    isShort ? 1 : static_cast<double>(std::min(aCandidates.size(), kMaxHelpers + 1));
  for (Candidate& candidate : aCandidates) {
    candidate.waitMs = WaitMs(traits, candidate);
    candidate.cost = candidate.waitMs +
                     CommonCost(aRequest, candidate, remoteMs, kColdPromptMs, aLoadTracker) +
                     (isShort ? ShortCost(aRequest, candidate)
                              : candidate.load.strictStreams * kStrictStreamMs +
                                  RelaxedWeight(candidate) * kRelaxedWeightMs) +
                     SlowRunCost(aRequest, candidate, parts);
  }
  SortByCost(aCandidates, aRandom);
  const std::size_t allCount = aCandidates.size();
  if (isShort) {
    const bool isLocal = aCandidates.front().target->domain == aRequest.domain;
    SpreadChoice(isLocal ? aRequest.unreportedPrompts : aRequest.unreportedPromptsElsewhere,
                 aCandidates,
                 aRandom);
    KeepWarmParts(true, aCandidates);
  } else {
    KeepWarmParts(false, aCandidates);
    MoveDecoderFirst(aCandidates, traits);
  }
  const std::uint64_t need = std::uint64_t{ aRequest.promptTokens } + aRequest.outputTokens;
  const std::size_t maxParts = std::min(aCandidates.size(), kMaxHelpers + 1);
  Placement placement;
  const PartChoice choice = isShort ? PartChoice{} : ChoosePartCount(aRequest, aCandidates);
  if (!isShort && choice.costToOthers >= kNoticeableCost &&
      choice.cost > aRequest.maxCostShare * aRequest.promptTokens / kTokensPerWeight) {
    placement.status = PlacementStatus::TooCostly;
    placement.waitMs = FirstEventMs(aRequest, aCandidates, choice.parts);
    return placement;
  }
  // With too little memory on the first engines, more of them are used.
  for (std::size_t parts = choice.parts; parts <= maxParts; ++parts) {
    std::vector<Candidate> chosen(aCandidates.begin(),
                                  aCandidates.begin() + static_cast<std::ptrdiff_t>(parts));
    placement = MakePlacement(aRequest, chosen, FirstEventMs(aRequest, aCandidates, parts));
    if (PlanMemory(traits, need, chosen, placement)) {
      placement.status = PlacementStatus::Placed;
      return placement;
    }
  }
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
                Instant aNow)
{
  std::vector<Candidate> candidates =
    CollectCandidates(aRequest, aTargets, aLoadTracker, false, aNow);
  if (candidates.empty()) {
    candidates = CollectCandidates(aRequest, aTargets, aLoadTracker, true, aNow);
  }
  if (candidates.empty()) {
    return MakeUnplaced(aRequest, aTargets, aNow);
  }
  const bool isPrompt = aRequest.service->engine.has_value() && aRequest.promptTokens > 0;
  return isPrompt ? PlacePrompt(aRequest, std::move(candidates), aLoadTracker, aRandom)
                  : PlacePlain(aRequest, std::move(candidates), aLoadTracker, aRandom);
}

} // namespace sycamorepost
