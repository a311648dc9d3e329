// Offers the candidates of a placement, and the planning of a prompt's memory over those chosen.
#ifndef SYCAMOREPOST_CORE_FORWARD_PLACEMENT_MEMORY_H_
#define SYCAMOREPOST_CORE_FORWARD_PLACEMENT_MEMORY_H_

#include <cstdint>
#include <vector>

#include "sycamorepost/forward/Placement.h"

namespace sycamorepost::internal {

// The part of an engine's memory that is planned with: the rest is for answers that turn out
// longer.
inline constexpr double kPlannedMemoryShare = 0.9;

// A target that may be chosen.
struct Candidate
{
  const RegisteredTarget* target = nullptr;
  TargetLoad load;
  double prefillMs = 0; // Reading that is left there.
  double waitMs = 0;    // Until it begins to read something new.
  double cost = 0;
};

// Spreads the memory of a large prompt over reservations, in tokens; the engine that writes is
// chosen first. Returns false when it does not fit.
bool
PlanMemory(const EngineTraits& aTraits,
           std::uint64_t aNeededTokens,
           const std::vector<Candidate>& aChosen,
           Placement& aPlacement);

} // namespace sycamorepost::internal

#endif // SYCAMOREPOST_CORE_FORWARD_PLACEMENT_MEMORY_H_
