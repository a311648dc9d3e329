// The cost of running a request on a target, by what causes it. The target with the least total is
// chosen; the parts say why another one was not.
#ifndef SYCAMOREPOST_CORE_FORWARD_PLACEMENT_COST_H_
#define SYCAMOREPOST_CORE_FORWARD_PLACEMENT_COST_H_

#include <array>

namespace sycamorepost::internal {

// All in milliseconds. A negative part is a gain.
struct PlacementCost
{
  double wait = 0;
  double distance = 0;
  double coldness = 0;
  double slowness = 0;
  double failures = 0;
  double lateness = 0;
  double crowding = 0;
  double firstOfKind = 0;
  double packing = 0;
  double strictStreams = 0;
  double relaxedStreams = 0;
  double memory = 0;
  double fullTarget = 0;

  double Total() const
  {
    return this->wait + (this->distance + this->coldness + this->slowness + this->failures) +
           (this->lateness + this->crowding + this->firstOfKind + this->packing +
            this->strictStreams + this->relaxedStreams + this->memory + this->fullTarget);
  }
};

// A part of the cost, as it is named to operators.
struct CostPart
{
  const char* name;
  double PlacementCost::*ms;
};

inline constexpr std::array<CostPart, 13> kCostParts{ {
  { "the wait for the work there", &PlacementCost::wait },
  { "the distance to its failure domain", &PlacementCost::distance },
  { "its being cold", &PlacementCost::coldness },
  { "its being slow", &PlacementCost::slowness },
  { "recent failures", &PlacementCost::failures },
  { "a late first event", &PlacementCost::lateness },
  { "too many short streams", &PlacementCost::crowding },
  { "no stream of this kind running there", &PlacementCost::firstOfKind },
  { "fewer short streams to join", &PlacementCost::packing },
  { "short streams that would be delayed", &PlacementCost::strictStreams },
  { "other streams that would be delayed", &PlacementCost::relaxedStreams },
  { "memory in use", &PlacementCost::memory },
  { "all slots in use", &PlacementCost::fullTarget },
} };

} // namespace sycamorepost::internal

#endif // SYCAMOREPOST_CORE_FORWARD_PLACEMENT_COST_H_
