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
constexpr double kShortShare = 0.5;

// Streams whose pauses must be short are kept together on few engines, so that long prompts are
// read on the others. Up to this share of an engine's slots they come there for nothing; the rest
// of the slots is for what other entries place at the same moment.
constexpr double kTightShare = 0.6;

// What it costs a short request to open another engine for its kind, in milliseconds: as much as
// two other short prompts that are read before it.
constexpr double kOpenMs = 60;

// What each tight stream on an engine gains a short request that joins it, in milliseconds: a full
// share outweighs two other short prompts, so that the engines with few streams run empty.
constexpr double kPackMs = 8;

// How much dearer than the cheapest one an engine may be that is taken so that entries do not all
// choose the same: as much as two other short prompts that are read before.
constexpr double kSpreadMs = 60;

// What each tight stream beyond its share costs, in milliseconds.
constexpr double kCrowdMs = 40;

// How far each tight stream on an engine moves it back among those that may read a long prompt, in
// milliseconds.
constexpr double kTightMs = 100;

// The same for each unit of what its other streams are worth.
constexpr double kLooseMs = 30;

// What a full memory costs an engine that is to write, in milliseconds: about ten passes in which
// something else is put out of it.
constexpr double kMemoryMs = 500;

// A long prompt of this many tokens is worth as much as one short request.
constexpr double kTokensPerWorth = 7000;

// The share of a pause, or of a first event's objective, from which on it may turn out late.
constexpr double kRiskFrom = 0.6;

// The share of an answer's worth that is lost when its first event is late, and the multiple of the
// objective after which callers have gone.
constexpr double kOnTimeShare = 0.75;
constexpr double kPatience = 3;

// What each further helper costs: two orders' worth of calls, in units of a short request.
constexpr double kHelperWorth = 0.02;

// The passes until one of a full batch of usual streams ends: some thirty events each, over a batch
// of some sixteen.
constexpr double kPassesToPlace = 2;

// The cost of a call across failure domains, in milliseconds: one round trip.
constexpr double kDistanceMs = 10;

// What one failed exchange in two is worth, in milliseconds of waiting: about a second attempt.
constexpr double kFailureMs = 600;

std::vector<Candidate>
Collect(const PlacementAsk& aAsk,
        const std::map<std::string, RegisteredTarget>& aTargets,
        const LoadBook& aBook,
        bool aSuspectsToo,
        Instant aNow)
{
  std::vector<Candidate> candidates;
  for (const auto& [instance, target] : aTargets) {
    const bool usable = target.service == aAsk.service->name && !target.draining &&
                        !aAsk.tried.contains(instance) &&
                        (aSuspectsToo || !aBook.Suspected(instance, aNow));
    if (usable) {
      Candidate candidate{ .target = &target, .load = aBook.LoadOf(instance, aNow) };
      candidate.readMs = candidate.load.ReadMs(aNow);
      candidates.push_back(candidate);
    }
  }
  return candidates;
}

double
CommonCost(const PlacementAsk& aAsk, const Candidate& aCandidate, const LoadBook& aBook)
{
  const double distance = aCandidate.target->domain == aAsk.domain ? 0 : kDistanceMs;
  return distance + aBook.FailureShare(aCandidate.target->instance) * kFailureMs;
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
PlacePlain(const PlacementAsk& aAsk,
           std::vector<Candidate> aCandidates,
           const LoadBook& aBook,
           std::mt19937_64& aRandom)
{
  for (Candidate& candidate : aCandidates) {
    const double load =
      static_cast<double>(candidate.load.running) / std::max(1U, candidate.target->slots);
    candidate.cost = load * 2 * kDistanceMs + CommonCost(aAsk, candidate, aBook);
    candidate.cost += load >= 1 ? 2 * kDistanceMs : 0;
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
  const double writers = aCandidate.load.running;
  const double pass = EstimatePassMs(aTraits, writers, static_cast<double>(aCandidate.load.memory));
  double wait = aCandidate.readMs + pass / 2;
  if (writers >= aTraits.slots) {
    // Each request ahead in the queue needs a running one to end.
    wait += (writers - aTraits.slots + 1) * kPassesToPlace * pass;
  }
  return wait;
}

// The chance that something that takes a time misses its bound: 0 up to some way before it, 1 at a
// time that is as far beyond it.
double
RiskOf(double aMs, double aBoundMs)
{
  const double from = kRiskFrom * aBoundMs;
  return std::clamp((aMs - from) / (2 * (1 - kRiskFrom) * aBoundMs), 0.0, 1.0);
}

// Returns what the streams of an engine beside the tight ones are worth, in short requests: their
// prompts lie in its memory.
double
LooseWorth(const Candidate& aCandidate)
{
  if (aCandidate.load.running <= aCandidate.load.tight) {
    return 0;
  }
  return std::max(
    1.0, static_cast<double>(aCandidate.load.memory) / kTokensPerWorth - aCandidate.load.tight);
}

// What it costs a long request to write on an engine, in milliseconds: there should be room and no
// tight stream, and streams of its own kind rather than an engine that only reads.
double
WriterCost(const EngineTraits& aTraits, const Candidate& aCandidate)
{
  const double memory = static_cast<double>(aCandidate.load.memory) /
                        std::max<double>(1, static_cast<double>(aTraits.memoryTokens));
  const bool hasOwnKind = aCandidate.load.running > aCandidate.load.tight;
  return aCandidate.waitMs + aCandidate.load.tight * kTightMs + memory * kMemoryMs -
         (hasOwnKind ? kOpenMs : 0);
}

// Puts the engine that writes first; the rest keeps its order.
void
PutWriterFirst(std::vector<Candidate>& aCandidates, const EngineTraits& aTraits)
{
  const auto best = std::min_element(
    aCandidates.begin(), aCandidates.end(), [&](const Candidate& aLeft, const Candidate& aRight) {
      return WriterCost(aTraits, aLeft) < WriterCost(aTraits, aRight);
    });
  std::rotate(aCandidates.begin(), best, best + 1);
}

// What reading a part does to the streams of an engine, in short requests that it makes late.
double
HarmOf(const PlacementAsk& aAsk,
       const EngineTraits& aTraits,
       const Candidate& aCandidate,
       double aPartMs)
{
  const double pause =
    EstimatePassMs(aTraits, aCandidate.load.running, static_cast<double>(aCandidate.load.memory)) +
    aCandidate.readMs + aPartMs;
  return aCandidate.load.tight * RiskOf(pause, ToMs(aAsk.tightGap)) +
         LooseWorth(aCandidate) * RiskOf(pause, ToMs(aAsk.looseGap));
}

double
FirstEventMs(const PlacementAsk& aAsk, const std::vector<Candidate>& aSorted, std::size_t aParts)
{
  const EngineTraits& traits = *aAsk.service->engine;
  double wait = 0;
  for (std::size_t i = 0; i < aParts; ++i) {
    wait = std::max(wait, aSorted[i].waitMs);
  }
  return wait + EstimateReadMs(traits, aAsk.promptTokens) / static_cast<double>(aParts) +
         EstimatePassMs(traits, 1, aAsk.promptTokens);
}

// Returns the number of engines that should read a long prompt: what its own delay and the pauses
// of others cost together is least.
std::size_t
CountParts(const PlacementAsk& aAsk, const std::vector<Candidate>& aSorted)
{
  const EngineTraits& traits = *aAsk.service->engine;
  const double readMs = EstimateReadMs(traits, aAsk.promptTokens);
  const double worth = aAsk.promptTokens / kTokensPerWorth;
  const std::size_t most = std::min(aSorted.size(), kMaxHelpers + 1);
  std::size_t best = 1;
  double bestCost = std::numeric_limits<double>::max();
  for (std::size_t parts = 1; parts <= most; ++parts) {
    const double firstMs = FirstEventMs(aAsk, aSorted, parts);
    const double objectiveMs = ToMs(aAsk.objective);
    double cost = worth * (kOnTimeShare * RiskOf(firstMs, objectiveMs) +
                           (1 - kOnTimeShare) * RiskOf(firstMs, kPatience * objectiveMs)) +
                  kHelperWorth * static_cast<double>(parts);
    for (std::size_t i = 0; i < parts; ++i) {
      cost += HarmOf(aAsk, traits, aSorted[i], readMs / static_cast<double>(parts));
    }
    if (cost < bestCost) {
      bestCost = cost;
      best = parts;
    }
  }
  return best;
}

bool
IsTight(const PlacementAsk& aAsk)
{
  return aAsk.gapObjective <= aAsk.tightGap;
}

// What it costs a short request to run on an engine, beside waiting there.
double
ShortCost(const EngineTraits& aTraits, const Candidate& aCandidate)
{
  const double most = kTightShare * aTraits.slots;
  const double over = std::max(0.0, aCandidate.load.tight + 1 - most);
  const double beside = std::min<double>(aCandidate.load.tight, most);
  return over * kCrowdMs + (aCandidate.load.tight == 0 ? kOpenMs : 0) - beside * kPackMs;
}

// Fills in who reads, who writes and what it costs.
Placement
MakePlacement(const PlacementAsk& aAsk, const std::vector<Candidate>& aChosen, double aFirstMs)
{
  const EngineTraits& traits = *aAsk.service->engine;
  const double partMs =
    EstimateReadMs(traits, aAsk.promptTokens) / static_cast<double>(aChosen.size());
  Placement placement;
  placement.target = *aChosen.front().target;
  placement.firstMs = aFirstMs;
  placement.waitMs = aFirstMs;
  for (const Candidate& candidate : aChosen) {
    const bool writes = &candidate == &aChosen.front();
    const RegisteredTarget& target = *candidate.target;
    placement.works.push_back({ target.instance, partMs, 0, writes, writes && IsTight(aAsk) });
    if (!writes) {
      placement.helpers.push_back({ target.instance, target.address, 0 });
    }
  }
  return placement;
}

// Entries that know the same would all choose the same engine. One of as many engines is taken as
// there may be prompts that this entry does not know of, if it is hardly worse.
void
SpreadChoice(double aUnseen, std::vector<Candidate>& aSorted, std::mt19937_64& aRandom)
{
  const double most = aSorted.front().cost + kSpreadMs;
  const auto tooDear =
    std::find_if(aSorted.begin(), aSorted.end(), [most](const Candidate& aCandidate) {
      return aCandidate.cost > most;
    });
  const auto close = static_cast<double>(std::distance(aSorted.begin(), tooDear));
  const auto last = static_cast<std::ptrdiff_t>(std::min(aUnseen, close - 1));
  const auto pick = std::uniform_int_distribution<std::ptrdiff_t>(0, last)(aRandom);
  std::rotate(aSorted.begin(), aSorted.begin() + pick, aSorted.begin() + pick + 1);
}

Placement
PlacePrompt(const PlacementAsk& aAsk,
            std::vector<Candidate> aCandidates,
            const LoadBook& aBook,
            std::mt19937_64& aRandom)
{
  const EngineTraits& traits = *aAsk.service->engine;
  const bool isShort =
    EstimateReadMs(traits, aAsk.promptTokens) <= kShortShare * ToMs(aAsk.tightGap);
  for (Candidate& candidate : aCandidates) {
    candidate.waitMs = WaitMs(traits, candidate);
    candidate.cost = candidate.waitMs + CommonCost(aAsk, candidate, aBook) +
                     (isShort ? ShortCost(traits, candidate)
                              : candidate.load.tight * kTightMs + LooseWorth(candidate) * kLooseMs);
  }
  SortByCost(aCandidates, aRandom);
  if (isShort) {
    SpreadChoice(aAsk.unseen, aCandidates, aRandom);
  } else {
    PutWriterFirst(aCandidates, traits);
  }
  const std::uint64_t need = std::uint64_t{ aAsk.promptTokens } + aAsk.answerTokens;
  const std::size_t most = std::min(aCandidates.size(), kMaxHelpers + 1);
  Placement placement;
  // With too little memory on the engines that are free first, more of them are taken.
  for (std::size_t parts = isShort ? 1 : CountParts(aAsk, aCandidates); parts <= most; ++parts) {
    std::vector<Candidate> chosen(aCandidates.begin(),
                                  aCandidates.begin() + static_cast<std::ptrdiff_t>(parts));
    placement = MakePlacement(aAsk, chosen, FirstEventMs(aAsk, aCandidates, parts));
    if (PlanMemory(traits, need, chosen, placement)) {
      placement.end = PlacementEnd::Placed;
      return placement;
    }
  }
  const double all = kPlannedMemoryShare * static_cast<double>(traits.memoryTokens * most);
  placement.end = static_cast<double>(need) > all ? PlacementEnd::TooLarge : PlacementEnd::Full;
  return placement;
}

} // namespace

Placement
Place(const PlacementAsk& aAsk,
      const std::map<std::string, RegisteredTarget>& aTargets,
      const LoadBook& aBook,
      std::mt19937_64& aRandom,
      Instant aNow)
{
  std::vector<Candidate> candidates = Collect(aAsk, aTargets, aBook, false, aNow);
  if (candidates.empty()) {
    candidates = Collect(aAsk, aTargets, aBook, true, aNow);
  }
  if (candidates.empty()) {
    return {};
  }
  const bool prompt = aAsk.service->engine.has_value() && aAsk.promptTokens > 0;
  return prompt ? PlacePrompt(aAsk, std::move(candidates), aBook, aRandom)
                : PlacePlain(aAsk, std::move(candidates), aBook, aRandom);
}

} // namespace sycamorepost
