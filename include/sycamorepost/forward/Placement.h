// Offers the choice of where a request runs: one target for a plain call, and for a prompt the
// engine that writes, the engines that help to read it, and the memory to reserve on them.
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

// What has to be placed.
struct PlacementAsk
{
  const ServiceTraits* service = nullptr;
  std::uint32_t promptTokens = 0; // 0 for a plain call.
  std::uint32_t answerTokens = 0;
  Duration objective{};        // The first event is on time within it.
  Duration tightGap{};         // The shortest gap objective of all streams,
  Duration looseGap{};         // and the shortest one well above it.
  Duration gapObjective{};     // The shortest pause that the engine's streams may show.
  std::set<std::string> tried; // Instances that are not to be used again.
  std::string domain;          // The entry's failure domain.
  double unseen = 0;           // Prompts that others may have placed and not told of yet.
};

// An engine that reads a part of the prompt.
struct ReadingHelper
{
  std::string instance;
  std::string address;
  std::uint64_t reserveTokens = 0; // Memory to reserve there; 0 for none.
};

// Why nothing was placed.
enum class PlacementEnd
{
  Placed,
  NoTarget, // No usable target is registered.
  Full,     // All are full.
  TooLarge, // The prompt does not fit into the memory of all engines together.
};

// The result.
struct Placement
{
  PlacementEnd end = PlacementEnd::NoTarget;
  RegisteredTarget target;
  std::vector<ReadingHelper> helpers;
  std::vector<PlacedWork> works; // What the placement costs, by target.
  double firstMs = 0;            // Predicted time to the first event; 0 for a plain call.
  double waitMs = 0;             // When full: the predicted time until a place is free.
};

// Chooses for one request.
Placement
Place(const PlacementAsk& aRequest,
      const std::map<std::string, RegisteredTarget>& aTargets,
      const LoadBook& aLoadTracker,
      std::mt19937_64& aRandom,
      Instant aNow);

} // namespace sycamorepost

#endif // SYCAMOREPOST_FORWARD_PLACEMENT_H_
