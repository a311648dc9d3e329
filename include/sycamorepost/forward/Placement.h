// The choice of where a request runs: one target for a plain call, and for a prompt the engine that
// decodes, the helpers that prefill parts of it, and the memory to reserve on them.
#ifndef SYCAMOREPOST_FORWARD_PLACEMENT_H_
#define SYCAMOREPOST_FORWARD_PLACEMENT_H_

#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "sycamorepost/forward/LoadBook.h"
#include "sycamorepost/forward/RouteTable.h"
#include "sycamorepost/forward/TargetDirectory.h"

namespace sycamorepost {

// The request to place.
struct PlacementAsk
{
  const ServiceTraits* service = nullptr;
  std::uint32_t promptTokens = 0; // 0 for a plain call.
  std::uint32_t answerTokens = 0;
  Duration objective{};        // The first event is on time within it.
  Duration tightGap{};         // The shortest gap objective of all streams,
  Duration looseGap{};         // and the shortest one of the relaxed streams.
  Duration gapObjective{};     // The gap objective of the request's route.
  std::set<std::string> tried; // Instances that must not be used again.
  std::string domain;          // The failure domain of the entry.
  double unseen = 0;           // Expected prompts placed by other entries and not yet reported.
};

// An engine that prefills a part of the prompt.
struct ReadingHelper
{
  std::string instance;
  std::string address;
  std::uint64_t reserveTokens = 0; // KV cache to reserve there; 0 for none.
};

// Whether the request was placed, or why not.
enum class PlacementEnd
{
  Placed,
  NoTarget, // No usable target is registered.
  Full,     // No combination of engines has enough free memory.
  TooLarge, // The prompt exceeds the memory of all engines together.
};

// The chosen target with its helpers, and the predicted times.
struct Placement
{
  PlacementEnd end = PlacementEnd::NoTarget;
  RegisteredTarget target;
  std::vector<ReadingHelper> helpers;
  std::vector<PlacedWork> works; // The load that it adds, by target.
  double firstMs = 0;            // Predicted time to the first event; 0 for a plain call.
  double waitMs = 0;             // When full: predicted time until there is capacity.
};

// Chooses the target and the helpers of one request. Returns a status other than Placed when there
// is none.
Placement
Place(const PlacementAsk& aRequest,
      const std::map<std::string, RegisteredTarget>& aTargets,
      const LoadBook& aLoadTracker,
      std::mt19937_64& aRandom,
      Instant aNow);

} // namespace sycamorepost

#endif // SYCAMOREPOST_FORWARD_PLACEMENT_H_
