#include "sycamorepost/forward/Placement.h"

#include <algorithm>
#include <limits>

#include "PlacementMemory.h"
#include "sycamorepost/forward/EngineEstimate.h"

namespace sycamorepost {

using internal::Candidate;
using internal::kPlannedMemoryShare;
using internal::PlanMemory;

namespace {

// The protocol's bound on helpers of one request.
constexpr std::size_t kMaxHelpers = 16;

// A request is short when its reading takes less than this share of the tightest pause: two of them
// and a pass fit into one pause.
constexpr double kShortPromptShare = 0.5;

// Streams whose pauses must be short are kept together on few engines, so that long prompts are
// read on the others. Up to this share of an engine's slots they come there for nothing; the rest
// of the slots is for what other entries place at the same moment.
constexpr double kStrictSlotShare = 0.6;

// What it costs a short request to open another engine for its kind, in milliseconds: as much as
// two other short prompts that are read before it.
constexpr double kFirstOfKindMs = 60;

// What each tight stream on an engine gains a short request that joins it, in milliseconds: a full
// share outweighs two other short prompts, so that the engines with few streams run empty.
constexpr double kPackingGainMs = 8;

// How much dearer than the cheapest one an engine may be that is taken so that entries do not all
// choose the same: as much as two other short prompts that are read before.
constexpr double kSpreadToleranceMs = 60;

// What each tight stream beyond its share costs, in milliseconds.
constexpr double kCrowdingMs = 40;

// How far each tight stream on an engine moves it back among those that may read a long prompt, in
// milliseconds.
constexpr double kStrictStreamMs = 100;

// The same for each unit of what its other streams are worth.
constexpr double kRelaxedWeightMs = 30;

// What a full memory costs an engine that is to write, in milliseconds: about ten passes in which
// something else is put out of it.
constexpr double kFullMemoryMs = 500;

// A long prompt of this many tokens is worth as much as one short request.
constexpr double kTokensPerWeight = 7000;

// The share of a pause, or of a first event's objective, from which on it may turn out late.
constexpr double kRiskStart = 0.6;

// The share of an answer's worth that is lost when its first event is late, and the multiple of the
// objective after which callers have gone.
constexpr double kLateFirstEventLoss = 0.75;
constexpr double kAbandonObjectives = 3;

// What each further helper costs: two orders' worth of calls, in units of a short request.
constexpr double kHelperWeight = 0.02;

// The passes until one of a full batch of usual streams ends: some thirty events each, over a batch
// of some sixteen.
constexpr double kPassesPerFreeSlot = 2;

// The cost of a call across failure domains, in milliseconds: one round trip.
constexpr double kRemoteDomainMs = 10;

// What one failed exchange in two is worth, in milliseconds of waiting: about a second attempt.
constexpr double kFailureRateMs = 600;

std::vector<Candidate>
CollectCandidates(const PlacementAsk& aRequest,
                  const std::map<std::string, RegisteredTarget>& aTargets,
                  const LoadBook& aLoadTracker,
                  bool aIncludeAvoided,
                  Instant aNow)
{
  std::vector<Candidate> candidates;
  for (const auto& [instance, target] : aTargets) {
    const bool usable = target.service == aRequest.service->name && !target.draining &&
                        !aRequest.tried.contains(instance) &&
                        (aIncludeAvoided || !aLoadTracker.Suspected(instance, aNow));
    if (usable) {
      Candidate candidate{ .target = &target, .load = aLoadTracker.LoadOf(instance, aNow) };
      candidate.prefillMs = candidate.load.ReadMs(aNow);
      candidates.push_back(candidate);
    }
  }
  return candidates;
}

double
CommonCost(const PlacementAsk& aRequest, const Candidate& aCandidate, const LoadBook& aLoadTracker)
{
  const double distance = aCandidate.target->domain == aRequest.domain ? 0 : kRemoteDomainMs;
  return distance + aLoadTracker.FailureShare(aCandidate.target->instance) * kFailureRateMs;
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

// A plain call waits for the calls before it; the time of one is not known, so a queue place counts
// as much as a round trip.
Placement
PlacePlain(const PlacementAsk& aRequest,
           std::vector<Candidate> aCandidates,
           const LoadBook& aLoadTracker,
           std::mt19937_64& aRandom)
{
  for (Candidate& candidate : aCandidates) {
    const double load =
      static_cast<double>(candidate.load.running) / std::max(1U, candidate.target->slots);
    candidate.cost = load * 2 * kRemoteDomainMs + CommonCost(aRequest, candidate, aLoadTracker);
    candidate.cost += load >= 1 ? 2 * kRemoteDomainMs : 0;
  }
  SortByCost(aCandidates, aRandom);
  Placement placement;
  placement.end = PlacementEnd::Placed;
  placement.target = *aCandidates.front().target;
  placement.works.push_back({ placement.target.instance, 0, 0, true, false });
  return placement;
}

// The time until an engine begins to read something new, and what waiting for a place adds.
double
WaitMs(const EngineTraits& aTraits, const Candidate& aCandidate)
{
  const double decodingRequests = aCandidate.load.running;
  const double pass =
    EstimatePassMs(aTraits, decodingRequests, static_cast<double>(aCandidate.load.memory));
  double wait = aCandidate.prefillMs + pass / 2;
  if (decodingRequests >= aTraits.slots) {
    // Each request ahead in the queue needs a running one to end.
    wait += (decodingRequests - aTraits.slots + 1) * kPassesPerFreeSlot * pass;
  }
  return wait;
}

// The chance that something that takes a time misses its bound: 0 up to some way before it, 1 at a
// time that is as far beyond it.
double
MissProbability(double aMs, double aLimitMs)
{
  const double riskStartMs = kRiskStart * aLimitMs;
  return std::clamp((aMs - riskStartMs) / (2 * (1 - kRiskStart) * aLimitMs), 0.0, 1.0);
}

// Returns what the streams of an engine beside the tight ones are worth, in short requests: their
// prompts lie in its memory.
double
RelaxedWeight(const Candidate& aCandidate)
{
  if (aCandidate.load.running <= aCandidate.load.tight) {
    return 0;
  }
  return std::max(
    1.0, static_cast<double>(aCandidate.load.memory) / kTokensPerWeight - aCandidate.load.tight);
}

// What it costs a long request to write on an engine, in milliseconds: there should be room and no
// tight stream, and streams of its own kind rather than an engine that only reads.
double
DecodeCost(const EngineTraits& aTraits, const Candidate& aCandidate)
{
  const double memory = static_cast<double>(aCandidate.load.memory) /
                        std::max<double>(1, static_cast<double>(aTraits.memoryTokens));
  const bool hasOwnKind = aCandidate.load.running > aCandidate.load.tight;
  return aCandidate.waitMs + aCandidate.load.tight * kStrictStreamMs + memory * kFullMemoryMs -
         (hasOwnKind ? kFirstOfKindMs : 0);
}

// Puts the engine that writes first; the rest keeps its order.
void
MoveDecoderFirst(std::vector<Candidate>& aCandidates, const EngineTraits& aTraits)
{
  const auto best = std::min_element(
    aCandidates.begin(), aCandidates.end(), [&](const Candidate& aLeft, const Candidate& aRight) {
      return DecodeCost(aTraits, aLeft) < DecodeCost(aTraits, aRight);
    });
  std::rotate(aCandidates.begin(), best, best + 1);
}

// What reading a part does to the streams of an engine, in short requests that it makes late.
double
InterferenceCost(const PlacementAsk& aRequest,
                 const EngineTraits& aTraits,
                 const Candidate& aCandidate,
                 double aPartMs)
{
  const double gap =
    EstimatePassMs(aTraits, aCandidate.load.running, static_cast<double>(aCandidate.load.memory)) +
    aCandidate.prefillMs + aPartMs;
  return aCandidate.load.tight * MissProbability(gap, ToMs(aRequest.tightGap)) +
         RelaxedWeight(aCandidate) * MissProbability(gap, ToMs(aRequest.looseGap));
}

double
FirstEventMs(const PlacementAsk& aRequest,
             const std::vector<Candidate>& aSorted,
             std::size_t aParts)
{
  const EngineTraits& traits = *aRequest.service->engine;
  double wait = 0;
  for (std::size_t i = 0; i < aParts; ++i) {
    wait = std::max(wait, aSorted[i].waitMs);
  }
  return wait + EstimateReadMs(traits, aRequest.promptTokens) / static_cast<double>(aParts) +
         EstimatePassMs(traits, 1, aRequest.promptTokens);
}

// Returns the number of engines that should read a long prompt: what its own delay and the pauses
// of others cost together is least.
std::size_t
ChoosePartCount(const PlacementAsk& aRequest, const std::vector<Candidate>& aSorted)
{
  const EngineTraits& traits = *aRequest.service->engine;
  const double prefillMs = EstimateReadMs(traits, aRequest.promptTokens);
  const double weight = aRequest.promptTokens / kTokensPerWeight;
  const std::size_t maxParts = std::min(aSorted.size(), kMaxHelpers + 1);
  std::size_t best = 1;
  double bestCost = std::numeric_limits<double>::max();
  for (std::size_t parts = 1; parts <= maxParts; ++parts) {
    const double firstMs = FirstEventMs(aRequest, aSorted, parts);
    const double objectiveMs = ToMs(aRequest.objective);
    double cost = weight * (kLateFirstEventLoss * MissProbability(firstMs, objectiveMs) +
                            (1 - kLateFirstEventLoss) *
                              MissProbability(firstMs, kAbandonObjectives * objectiveMs)) +
                  kHelperWeight * static_cast<double>(parts);
    for (std::size_t i = 0; i < parts; ++i) {
      cost +=
        InterferenceCost(aRequest, traits, aSorted[i], prefillMs / static_cast<double>(parts));
    }
    if (cost < bestCost) {
      bestCost = cost;
      best = parts;
    }
  }
  return best;
}

bool
IsStrict(const PlacementAsk& aRequest)
{
  return aRequest.gapObjective <= aRequest.tightGap;
}

// What it costs a short request to run on an engine, beside waiting there.
double
ShortCost(const EngineTraits& aTraits, const Candidate& aCandidate)
{
  const double maxStrict = kStrictSlotShare * aTraits.slots;
  const double excess = std::max(0.0, aCandidate.load.tight + 1 - maxStrict);
  const double packed = std::min<double>(aCandidate.load.tight, maxStrict);
  return excess * kCrowdingMs + (aCandidate.load.tight == 0 ? kFirstOfKindMs : 0) -
         packed * kPackingGainMs;
}

// Fills in who reads, who writes and what it costs.
Placement
MakePlacement(const PlacementAsk& aRequest, const std::vector<Candidate>& aChosen, double aFirstMs)
{
  const EngineTraits& traits = *aRequest.service->engine;
  const double partMs =
    EstimateReadMs(traits, aRequest.promptTokens) / static_cast<double>(aChosen.size());
  Placement placement;
  placement.target = *aChosen.front().target;
  placement.firstMs = aFirstMs;
  placement.waitMs = aFirstMs;
  for (const Candidate& candidate : aChosen) {
    const bool decodes = &candidate == &aChosen.front();
    const RegisteredTarget& target = *candidate.target;
    placement.works.push_back(
      { target.instance, partMs, 0, decodes, decodes && IsStrict(aRequest) });
    if (!decodes) {
      placement.helpers.push_back({ target.instance, target.address, 0 });
    }
  }
  return placement;
}

// Entries that know the same would all choose the same engine. One of as many engines is taken as
// there may be prompts that this entry does not know of, if it is hardly worse.
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

Placement
PlacePrompt(const PlacementAsk& aRequest,
            std::vector<Candidate> aCandidates,
            const LoadBook& aLoadTracker,
            std::mt19937_64& aRandom)
{
  const EngineTraits& traits = *aRequest.service->engine;
  const bool isShort =
    EstimateReadMs(traits, aRequest.promptTokens) <= kShortPromptShare * ToMs(aRequest.tightGap);
  for (Candidate& candidate : aCandidates) {
    candidate.waitMs = WaitMs(traits, candidate);
    candidate.cost = candidate.waitMs + CommonCost(aRequest, candidate, aLoadTracker) +
                     (isShort ? ShortCost(traits, candidate)
                              : candidate.load.tight * kStrictStreamMs +
                                  RelaxedWeight(candidate) * kRelaxedWeightMs);
  }
  SortByCost(aCandidates, aRandom);
  if (isShort) {
    SpreadChoice(aRequest.unseen, aCandidates, aRandom);
  } else {
    MoveDecoderFirst(aCandidates, traits);
  }
  const std::uint64_t need = std::uint64_t{ aRequest.promptTokens } + aRequest.answerTokens;
  const std::size_t maxParts = std::min(aCandidates.size(), kMaxHelpers + 1);
  Placement placement;
  // With too little memory on the engines that are free first, more of them are taken.
  for (std::size_t parts = isShort ? 1 : ChoosePartCount(aRequest, aCandidates); parts <= maxParts;
       ++parts) {
    std::vector<Candidate> chosen(aCandidates.begin(),
                                  aCandidates.begin() + static_cast<std::ptrdiff_t>(parts));
    placement = MakePlacement(aRequest, chosen, FirstEventMs(aRequest, aCandidates, parts));
    if (PlanMemory(traits, need, chosen, placement)) {
      placement.end = PlacementEnd::Placed;
      return placement;
    }
  }
  const double plannedTokens =
    kPlannedMemoryShare * static_cast<double>(traits.memoryTokens * maxParts);
  placement.end =
    static_cast<double>(need) > plannedTokens ? PlacementEnd::TooLarge : PlacementEnd::Full;
  return placement;
}

} // namespace

Placement
Place(const PlacementAsk& aRequest,
      const std::map<std::string, RegisteredTarget>& aTargets,
      const LoadBook& aLoadTracker,
      std::mt19937_64& aRandom,
      Instant aNow)
{
  std::vector<Candidate> candidates =
    CollectCandidates(aRequest, aTargets, aLoadTracker, false, aNow);
  if (candidates.empty()) {
    candidates = CollectCandidates(aRequest, aTargets, aLoadTracker, true, aNow);
  }
  if (candidates.empty()) {
    return {};
  }
  const bool isPrompt = aRequest.service->engine.has_value() && aRequest.promptTokens > 0;
  return isPrompt ? PlacePrompt(aRequest, std::move(candidates), aLoadTracker, aRandom)
                  : PlacePlain(aRequest, std::move(candidates), aLoadTracker, aRandom);
}

} // namespace sycamorepost
