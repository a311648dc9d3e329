// The choice of where a request runs: one target for a plain call, and for a prompt the engine that
// decodes, the helpers that prefill parts of it, and the memory to reserve on them.
#ifndef SYCAMOREPOST_FORWARD_PLACEMENT_PLACEMENT_H_
#define SYCAMOREPOST_FORWARD_PLACEMENT_PLACEMENT_H_

#include <array>
#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "sycamorepost/forward/admission/RouteTable.h"
#include "sycamorepost/forward/load/LoadTracker.h"
#include "sycamorepost/forward/load/TargetPace.h"
#include "sycamorepost/forward/targets/ColdShares.h"
#include "sycamorepost/forward/targets/EvacuatedDomains.h"
#include "sycamorepost/forward/targets/TargetDirectory.h"
#include "sycamorepost/forward/targets/TargetNotices.h"

namespace sycamorepost {

// The request to place.
struct PlacementRequest
{
  const ServiceTraits* service = nullptr;
  std::uint32_t promptTokens = 0; // 0 for a plain call.
  std::uint32_t outputTokens = 0;
  Duration objective{};                        // The first event is on time within it.
  Duration strictGap{};                        // The shortest gap objective of all streams,
  Duration relaxedGap{};                       // and the shortest one of the relaxed streams.
  Duration gapObjective{};                     // The gap objective of the request's route.
  std::set<std::string> triedInstances;        // Instances that must not be used again.
  const TargetNotices* notices = nullptr;      // Targets that want no work; may be null.
  const EvacuatedDomains* evacuated = nullptr; // May be null.
  const ColdShares* coldShares = nullptr;      // May be null.
  const TargetPace* pace = nullptr;            // May be null: all targets are equally fast.
  std::string domain;                          // The failure domain of the entry.
  // The greatest cost of a long prompt to all callers, its own delay included, as a share of its
  // weight.
  double maxCostShare = 0.5;
  bool hearsNeighbours = true; // The load in the entry's own failure domain is known.
  // Expected prompts that other entries have placed and not yet reported: those of the entry's own
  // failure domain, and all.
  double unreportedPrompts = 0;
  double unreportedPromptsElsewhere = 0;
};

// Why a target must not get a request.
enum class Exclusion
{
  None,
  OtherService,
  Draining,
  Evacuated,      // Its failure domain is.
  Tried,          // The request has used it already.
  WantsNoWork,    // It has announced that it is leaving, or that it wants no work for a while.
  ColdShareSpent, // It is cold, and this entry has sent it what it may.
  Avoided,        // It has just failed. Used if no other target is left.
};

inline constexpr std::array<const char*, 8> kExclusionNames{
  "none",  "other service", "draining",         "evacuated",
  "tried", "wants no work", "cold share spent", "avoided"
};

// Returns why a target must not get a request; the first reason, if there are several.
Exclusion
FindExclusion(const PlacementRequest& aRequest,
              const RegisteredTarget& aTarget,
              const LoadTracker& aLoadTracker,
              Instant aNow);

// An engine that prefills a part of the prompt.
struct PrefillHelper
{
  std::string instance;
  std::string address;
  std::uint64_t reserveTokens = 0; // KV cache to reserve there; 0 for none.
};

// Whether the request was placed, or why not.
enum class PlacementStatus
{
  Placed,
  NoTarget,        // No usable target is registered.
  Full,            // No combination of engines has enough free memory.
  TooLarge,        // The prompt exceeds the memory of all engines together.
  Paused,          // All targets want no work for a while.
  ColdSharesSpent, // The targets that want work are cold, and this entry has sent them what it may.
  TooCostly,       // The gaps that a long prompt adds to other streams cost more than it is worth.
};

// The chosen target with its helpers, and the predicted times.
struct Placement
{
  PlacementStatus status = PlacementStatus::NoTarget;
  RegisteredTarget target;
  std::vector<PrefillHelper> helpers;
  std::vector<PlacedWork> placedWork; // The load that it adds, by target.
  double firstEventMs = 0;            // Predicted time to the first event; 0 for a plain call.
  double paceFactor = 1;              // That of the target, which the prediction contains.
  double waitMs = 0;                  // When not placed: time until it may be, if that is known.
};

// A target that could have been chosen and was not.
struct LosingTarget
{
  const RegisteredTarget* target = nullptr;
  double firstEventMs = 0; // Predicted for the request on this target alone; 0 for a plain call.
  // The chosen target that it was compared with; null when it was compared with none, because the
  // request was not placed or the target was kept out.
  const RegisteredTarget* comparedWith = nullptr;
  double extraCostMs = 0;    // What it costs more; 0 when the choice between the two was random.
  const char* mainCost = ""; // What causes most of it, in words.
  bool isKeptOut = false;    // It is cold, and gets no part of a long or divided prompt.
};

// How a placement came about. Valid as long as the targets.
struct PlacementRanking
{
  std::vector<LosingTarget> losers; // The best first.
  std::size_t candidates = 0;       // Targets that could be chosen, with the chosen ones.
  // The target was chosen at random among so many, as they are equal or nearly so.
  std::size_t equalChoices = 0;
  std::vector<std::pair<const RegisteredTarget*, Exclusion>> excluded; // Those of the service.
};

// Chooses the target and the helpers of one request. Returns a status other than Placed when there
// is none. Describes the choice in aRanking, unless that is null.
Placement
ChoosePlacement(const PlacementRequest& aRequest,
                const std::map<std::string, RegisteredTarget>& aTargets,
                const LoadTracker& aLoadTracker,
                std::mt19937_64& aRandom,
                Instant aNow,
                PlacementRanking* aRanking = nullptr);

} // namespace sycamorepost

#endif // SYCAMOREPOST_FORWARD_PLACEMENT_PLACEMENT_H_
