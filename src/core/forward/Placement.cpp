#include "sycamorepost/forward/Placement.h"

#include <algorithm>
#include <cmath>

#include "sycamorepost/forward/EngineEstimate.h"

namespace sycamorepost {

namespace {

// The protocol's bound on helpers of one request.
constexpr std::size_t kMaxHelpers = 16;

// A part may take this share of the shortest pause that is on time; the rest is for the pass itself
// and for one other part in the same pass.
constexpr double kPartShare = 0.5;

// The part of an engine's memory that one prompt may take without reserving memory elsewhere: half
// is left for a full batch of usual prompts.
constexpr double kOwnMemoryShare = 0.4;

// The part of an engine's memory that is planned with: the rest is for answers that turn out
// longer.
constexpr double kPlannedMemoryShare = 0.9;

// The memory that one reservation takes, as a part of an engine's memory: small enough to find
// beside a batch of usual prompts.
constexpr double kReserveShare = 0.16;

// Memory comes in blocks of this many tokens; a reservation is rounded up by one of them.
constexpr std::uint64_t kBlockTokens = 16;

// The cost of a call across failure domains, in milliseconds: one round trip.
constexpr double kDistanceMs = 10;

// What one failed exchange in two is worth, in milliseconds of waiting: about a second attempt.
constexpr double kFailureMs = 600;

struct Candidate
{
  const RegisteredTarget* target = nullptr;
  TargetLoad load;
  double readMs = 0;
  double cost = 0;
};

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
      candidates.push_back(std::move(candidate));
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
  placement.works.push_back({ placement.target.instance, 0, 0, true });
  return placement;
}

std::size_t
CountParts(const PlacementAsk& aAsk, double aReadMs, std::size_t aCandidates)
{
  const double gapMs = std::chrono::duration<double, std::milli>(aAsk.gapObjective).count();
  const double partMs = std::max(1.0, gapMs * kPartShare);
  const auto parts = static_cast<std::size_t>(std::ceil(aReadMs / partMs));
  return std::clamp<std::size_t>(parts, 1, std::min(aCandidates, kMaxHelpers + 1));
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
    wait += (writers - aTraits.slots + 1) * 4 * pass;
  }
  return wait;
}

// Puts the engine that writes first: of those chosen, the one with the most room.
void
PutWriterFirst(std::vector<Candidate>& aChosen, const EngineTraits& aTraits)
{
  const auto room = [&aTraits](const Candidate& aCandidate) {
    const double slots = static_cast<double>(aCandidate.load.running) / aTraits.slots;
    const double memory = static_cast<double>(aCandidate.load.memory) /
                          std::max<double>(1, static_cast<double>(aTraits.memoryTokens));
    return std::max(slots, memory);
  };
  const auto best = std::min_element(
    aChosen.begin(), aChosen.end(), [&](const Candidate& aLeft, const Candidate& aRight) {
      return room(aLeft) < room(aRight);
    });
  std::iter_swap(aChosen.begin(), best);
}

// Spreads the memory of a large prompt over reservations; returns false when it does not fit.
bool
PlanMemory(const EngineTraits& aTraits,
           std::uint64_t aNeed,
           const std::vector<Candidate>& aChosen,
           Placement& aPlacement)
{
  const auto total = static_cast<double>(aTraits.memoryTokens);
  const auto need = static_cast<double>(aNeed);
  const auto freeOf = [&](const Candidate& aCandidate) {
    return kPlannedMemoryShare * total - static_cast<double>(aCandidate.load.memory);
  };
  if (need <= kOwnMemoryShare * total && need <= freeOf(aChosen.front())) {
    aPlacement.works.front().memory = aNeed;
    return true;
  }
  const double piece = std::max(kReserveShare * total, need / static_cast<double>(aChosen.size()));
  double left = need - std::min(piece, std::max(0.0, freeOf(aChosen.front())));
  for (std::size_t i = 1; i < aChosen.size() && left > 0; ++i) {
    const double share = std::min(left, piece);
    if (freeOf(aChosen[i]) < share) {
      continue;
    }
    ReadingHelper& helper = aPlacement.helpers[i - 1];
    helper.reserveTokens = (static_cast<std::uint64_t>(share) / kBlockTokens + 2) * kBlockTokens;
    aPlacement.works[i].memory = helper.reserveTokens;
    left -= share;
  }
  const double own = std::min(piece, std::max(0.0, freeOf(aChosen.front()))) + std::max(0.0, left);
  aPlacement.works.front().memory = static_cast<std::uint64_t>(own);
  return own <= std::max(0.0, freeOf(aChosen.front()));
}

Placement
PlacePrompt(const PlacementAsk& aAsk,
            std::vector<Candidate> aCandidates,
            const LoadBook& aBook,
            std::mt19937_64& aRandom)
{
  const EngineTraits& traits = *aAsk.service->engine;
  for (Candidate& candidate : aCandidates) {
    candidate.cost = WaitMs(traits, candidate) + CommonCost(aAsk, candidate, aBook);
  }
  SortByCost(aCandidates, aRandom);
  const double readMs = EstimateReadMs(traits, aAsk.promptTokens);
  const std::uint64_t need = std::uint64_t{ aAsk.promptTokens } + aAsk.answerTokens;
  std::size_t parts = CountParts(aAsk, readMs, aCandidates.size());
  Placement placement;
  bool fits = false;
  // With too little memory on the engines that are free first, more of them are taken.
  for (; !fits && parts <= std::min(aCandidates.size(), kMaxHelpers + 1); ++parts) {
    std::vector<Candidate> chosen(aCandidates.begin(),
                                  aCandidates.begin() + static_cast<std::ptrdiff_t>(parts));
    PutWriterFirst(chosen, traits);
    placement = {};
    placement.target = *chosen.front().target;
    const double partMs = readMs / static_cast<double>(parts);
    double last = 0;
    for (const Candidate& candidate : chosen) {
      const bool writes = &candidate == &chosen.front();
      placement.works.push_back({ candidate.target->instance, partMs, 0, writes });
      if (!writes) {
        placement.helpers.push_back({ candidate.target->instance, candidate.target->address, 0 });
      }
      last = std::max(last, candidate.cost);
    }
    placement.firstMs = last + partMs + EstimatePassMs(traits, 1, aAsk.promptTokens);
    fits = PlanMemory(traits, need, chosen, placement);
  }
  const bool never = static_cast<double>(need) >
                     kPlannedMemoryShare * static_cast<double>(traits.memoryTokens) *
                       static_cast<double>(std::min(aCandidates.size(), kMaxHelpers + 1));
  placement.end =
    fits ? PlacementEnd::Placed : (never ? PlacementEnd::TooLarge : PlacementEnd::Full);
  placement.waitMs = placement.firstMs;
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
