#include "sycamorepost/EngineChoice.h"

#include <algorithm>
#include <array>
#include <iterator>

#include "sycamorepost/Hash.h"

namespace sycamorepost {

namespace {

// One request in this many probes a random local engine instead of the one with the best recent
// prediction.
constexpr std::uint64_t kExploreInterval = 4;

const EngineStats&
StatsOf(const ChoiceInput& aInput, const std::string& aName)
{
  static const EngineStats sNoStats;
  const auto found = aInput.stats->find(aName);
  return found == aInput.stats->end() ? sNoStats : found->second;
}

// Returns the engine with the lowest metric, or null if there is none. Ties are broken at random.
template<typename Metric>
const TargetInfo*
LowestBy(const ChoiceInput& aInput, ChoiceState& aState, Metric aMetric)
{
  TargetList best;
  for (const TargetInfo* target : aInput.usable) {
    const auto metric = aMetric(StatsOf(aInput, target->name));
    if (!best.empty() && metric > aMetric(StatsOf(aInput, best.front()->name))) {
      continue;
    }
    if (!best.empty() && metric < aMetric(StatsOf(aInput, best.front()->name))) {
      best.clear();
    }
    best.push_back(target);
  }
  return best.empty() ? nullptr : best[aState.random() % best.size()];
}

// Returns a random engine of the entry's own failure domain, or of any domain if it has none.
const TargetInfo*
RandomLocal(const ChoiceInput& aInput, ChoiceState& aState)
{
  TargetList local;
  std::copy_if(aInput.usable.begin(),
               aInput.usable.end(),
               std::back_inserter(local),
               [&](const TargetInfo* aTarget) { return aTarget->domain == aInput.domain; });
  const TargetList& pool = local.empty() ? aInput.usable : local;
  return pool.empty() ? nullptr : pool[aState.random() % pool.size()];
}

// Chooses the engine most likely to cache the prefix, and the one with the best recent prediction
// and the fewest attempts of this entry. One request in kExploreInterval replaces the latter by a
// random local engine, so that engines that were busy once are tried again.
TargetList
ChooseByProbe(const ChoiceInput& aInput, ChoiceState& aState)
{
  TargetList chosen;
  if (aInput.usable.empty()) {
    return chosen;
  }
  if (!aInput.prefix.empty()) {
    chosen.push_back(RendezvousFirst(aInput.prefix.front().hash, aInput.usable));
  }
  const bool explore = ++aState.requestCount % kExploreInterval == 0;
  const TargetInfo* second = explore
                               ? RandomLocal(aInput, aState)
                               : LowestBy(aInput, aState, [](const EngineStats& aMemory) {
                                   return std::pair(aMemory.firstTokenMs, aMemory.outstanding);
                                 });
  if (chosen.empty() || chosen.front() != second) {
    chosen.push_back(second);
  }
  return chosen;
}

TargetList
ChooseRoundRobin(const ChoiceInput& aInput, ChoiceState& aState)
{
  if (aInput.usable.empty()) {
    return {};
  }
  return { aInput.usable[aState.requestCount++ % aInput.usable.size()] };
}

TargetList
OneOrNone(const TargetInfo* aTarget)
{
  return aTarget ? TargetList{ aTarget } : TargetList{};
}

TargetList
ChooseLeastOutstanding(const ChoiceInput& aInput, ChoiceState& aState)
{
  return OneOrNone(
    LowestBy(aInput, aState, [](const EngineStats& aMemory) { return aMemory.outstanding; }));
}

// Chooses by the load factor of the mod_cluster paper, which the nodes compute and push to entries.
TargetList
ChooseByPushedLoad(const ChoiceInput& aInput, ChoiceState& aState)
{
  return OneOrNone(
    LowestBy(aInput, aState, [](const EngineStats& aMemory) { return aMemory.queuedMs; }));
}

struct NamedChoice
{
  std::string_view name;
  ChoiceStrategy strategy;
};

constexpr std::array<NamedChoice, 4> kChoices{ {
  { "probe", ChooseByProbe },
  { "round-robin", ChooseRoundRobin },
  { "least-outstanding", ChooseLeastOutstanding },
  { "pushed", ChooseByPushedLoad },
} };

} // namespace

const TargetInfo*
RendezvousFirst(std::uint64_t aKey, const TargetList& aTargets)
{
  const TargetInfo* best = nullptr;
  std::uint64_t bestWeight = 0;
  for (const TargetInfo* target : aTargets) {
    const std::uint64_t weight = RendezvousWeight(aKey, target->name);
    if (!best || weight > bestWeight) {
      best = target;
      bestWeight = weight;
    }
  }
  return best;
}

ChoiceStrategy
FindChoiceStrategy(std::string_view aName)
{
  const auto* const found =
    std::find_if(kChoices.begin(), kChoices.end(), [aName](const NamedChoice& aChoice) {
      return aChoice.name == aName;
    });
  return found == kChoices.end() ? ChooseByProbe : found->strategy;
}

} // namespace sycamorepost
