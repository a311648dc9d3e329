#include "PlacementMemory.h"

#include <algorithm>

namespace sycamorepost::internal {

namespace {

// The fraction of an engine's KV cache that one prompt may take without reservations on other
// engines: more than half is left for a full batch of typical prompts.
constexpr double kMaxLocalShare = 0.4;

// The size of one reservation as a fraction of an engine's KV cache: small enough to be free beside
// a batch of typical prompts.
constexpr double kReservationShare = 0.16;

// KV cache is allocated in blocks of this many tokens; a reservation is rounded up and one block
// added.
constexpr std::uint64_t kBlockTokens = 16;

} // namespace

bool
PlanMemory(const EngineTraits& aTraits,
           std::uint64_t aNeededTokens,
           const std::vector<Candidate>& aChosen,
           Placement& aPlacement)
{
  const auto totalTokens = static_cast<double>(aTraits.kvCapacityTokens);
  const auto neededTokens = static_cast<double>(aNeededTokens);
  const auto freeOf = [&](const Candidate& aCandidate) {
    return kPlannedMemoryShare * totalTokens - static_cast<double>(aCandidate.load.kvTokens);
  };
  if (neededTokens <= kMaxLocalShare * totalTokens && neededTokens <= freeOf(aChosen.front())) {
    aPlacement.placedWork.front().kvTokens = aNeededTokens;
    return true;
  }
  const double partTokens =
    std::max(kReservationShare * totalTokens, neededTokens / static_cast<double>(aChosen.size()));
  double remainingTokens =
    neededTokens - std::min(partTokens, std::max(0.0, freeOf(aChosen.front())));
  for (std::size_t i = 1; i < aChosen.size() && remainingTokens > 0; ++i) {
    const double shareTokens = std::min(remainingTokens, partTokens);
    if (freeOf(aChosen[i]) < shareTokens) {
      continue;
    }
    PrefillHelper& helper = aPlacement.helpers[i - 1];
    helper.reserveTokens =
      (static_cast<std::uint64_t>(shareTokens) / kBlockTokens + 2) * kBlockTokens;
    aPlacement.placedWork[i].kvTokens = helper.reserveTokens;
    remainingTokens -= shareTokens;
  }
  const double ownTokens =
    std::min(partTokens, std::max(0.0, freeOf(aChosen.front()))) + std::max(0.0, remainingTokens);
  aPlacement.placedWork.front().kvTokens = static_cast<std::uint64_t>(ownTokens);
  return ownTokens <= std::max(0.0, freeOf(aChosen.front()));
}

} // namespace sycamorepost::internal
