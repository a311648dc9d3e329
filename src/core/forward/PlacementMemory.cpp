#include "PlacementMemory.h"

#include <algorithm>

namespace sycamorepost::internal {

namespace {

// The part of an engine's memory that one prompt may take without reserving memory elsewhere: more
// than half is left for a full batch of usual prompts.
constexpr double kOwnMemoryShare = 0.4;

// The memory that one reservation takes, as a part of an engine's memory: small enough to find
// beside a batch of usual prompts.
constexpr double kReserveShare = 0.16;

// Memory comes in blocks of this many tokens; a reservation is rounded up by one of them.
constexpr std::uint64_t kBlockTokens = 16;

} // namespace

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

} // namespace sycamorepost::internal
