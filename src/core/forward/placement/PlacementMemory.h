// The candidates of a placement, and the distribution of a prompt's KV cache over the chosen ones.
#ifndef SYCAMOREPOST_CORE_FORWARD_PLACEMENT_MEMORY_H_
#define SYCAMOREPOST_CORE_FORWARD_PLACEMENT_MEMORY_H_

#include <cstdint>
#include <vector>

#include "sycamorepost/forward/placement/Placement.h"

namespace sycamorepost::internal {

// The fraction of an engine's KV cache that placements may use; the rest is for responses that
// become longer than expected.
inline constexpr double kPlannedMemoryShare = 0.9;

// A target that may be chosen.
struct Candidate
{
  const RegisteredTarget* target = nullptr;
  TargetLoad load;
  double prefillMs = 0; // Remaining prefill time there.
  double waitMs = 0;    // Predicted time until it starts a new prefill.
  double cost = 0;
  bool isCold = false;
};

// Distributes the KV cache of a prompt, in tokens, over the chosen engines, with reservations on
// the helpers. The decoding engine is the first of aChosen. Returns false when the memory does not
// suffice.
bool
PlanMemory(const EngineTraits& aTraits,
           std::uint64_t aNeededTokens,
           const std::vector<Candidate>& aChosen,
           Placement& aPlacement);

} // namespace sycamorepost::internal

#endif // SYCAMOREPOST_CORE_FORWARD_PLACEMENT_MEMORY_H_
