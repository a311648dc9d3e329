#include "EngineQueue.h"

#include <algorithm>
#include <array>

namespace sycamorepost::internal {

namespace {

constexpr std::size_t kMaxPrefixMarks = 4096;
constexpr std::uint32_t kTokensPerBlock = 256;

Duration
Seconds(double aSeconds)
{
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(aSeconds));
}

std::int64_t
Micros(Instant aInstant)
{
  return aInstant.time_since_epoch().count();
}

std::int64_t
ArrivalKey(const EngineWorkItem& aItem, Duration /*aCost*/)
{
  return Micros(aItem.arrivedAt);
}

std::int64_t
CostKey(const EngineWorkItem& /*aItem*/, Duration aCost)
{
  return aCost.count();
}

// Returns the latest start time that still meets the deadline, with the slack divided by the
// account's weight. The key does not change while the work waits, so waiting work gets ahead of
// later arrivals.
std::int64_t
LatestStartKey(const EngineWorkItem& aItem, Duration aCost)
{
  const Duration slack = aItem.deadline - aItem.arrivedAt - aCost;
  const auto weighted =
    static_cast<std::int64_t>(static_cast<double>(slack.count()) / aItem.weight);
  return Micros(aItem.arrivedAt) + weighted;
}

struct OrderEntry
{
  std::string_view name;
  std::int64_t (*key)(const EngineWorkItem&, Duration);
};

constexpr std::array<OrderEntry, 3> kOrders{ {
  { "fifo", ArrivalKey },
  { "shortest", CostKey },
  { "slack", LatestStartKey },
} };

} // namespace

// ---- PrefixCacheEstimate ----

std::uint32_t
PrefixCacheEstimate::CachedTokens(const std::vector<PrefixHash>& aPrefix) const
{
  std::uint32_t blocks = 0;
  for (const PrefixHash& mark : aPrefix) {
    if (this->marks.contains(mark.hash)) {
      blocks = std::max(blocks, mark.blocks);
    }
  }
  return blocks * kTokensPerBlock;
}

void
PrefixCacheEstimate::Add(const std::vector<PrefixHash>& aPrefix)
{
  for (const PrefixHash& mark : aPrefix) {
    const auto found = this->marks.find(mark.hash);
    if (found != this->marks.end()) {
      this->recencyOrder.splice(this->recencyOrder.end(), this->recencyOrder, found->second);
      continue;
    }
    this->marks[mark.hash] = this->recencyOrder.insert(this->recencyOrder.end(), mark.hash);
    if (this->marks.size() > kMaxPrefixMarks) {
      this->marks.erase(this->recencyOrder.front());
      this->recencyOrder.pop_front();
    }
  }
}

void
PrefixCacheEstimate::Clear()
{
  this->recencyOrder.clear();
  this->marks.clear();
}

// ---- EngineQueue ----

void
EngineQueue::SetOrderStrategy(const std::string& aName)
{
  if (this->orderStrategy == aName) {
    return;
  }
  this->orderStrategy = aName;
  for (auto& [attempt, item] : this->items) {
    item.sortKey = this->SortKey(item);
  }
}

std::int64_t
EngineQueue::SortKey(const EngineWorkItem& aItem) const
{
  const auto* const entry =
    std::find_if(kOrders.begin(), kOrders.end(), [this](const OrderEntry& aEntry) {
      return aEntry.name == this->orderStrategy;
    });
  const double seconds =
    this->cost.PrefillSeconds(aItem.uncachedTokens) + this->cost.DecodeSeconds(aItem.maxTokens);
  return entry->key(aItem, Seconds(seconds));
}

Duration
EngineQueue::RemainingPrefill(const EngineWorkItem& aItem, Instant aNow) const
{
  if (aItem.firstTokenAt) {
    return Duration::zero();
  }
  const Duration whole = Seconds(this->cost.PrefillSeconds(aItem.uncachedTokens));
  if (!aItem.startedAt) {
    return whole;
  }
  // Progress is unknown while work shares the engine, so at most half counts as done.
  const Duration passed = aNow - *aItem.startedAt;
  return whole - std::min(whole / 2, passed);
}

Duration
EngineQueue::RemainingTime(const EngineWorkItem& aItem, Instant aNow) const
{
  const Duration decode = Seconds(this->cost.DecodeSeconds(aItem.maxTokens));
  if (!aItem.firstTokenAt) {
    return this->RemainingPrefill(aItem, aNow) + decode;
  }
  return std::max(Duration::zero(), decode - (aNow - *aItem.firstTokenAt));
}

// Returns the predicted time until enough running work has ended to free the memory that is needed
// by aNeed and by the queued work that precedes it.
Duration
EngineQueue::MemoryWait(std::uint64_t aNeed, std::int64_t aSortKey, Instant aNow) const
{
  std::uint64_t wanted = aNeed;
  std::vector<std::pair<Duration, std::uint32_t>> running;
  std::uint64_t used = 0;
  for (const auto& [attempt, item] : this->items) {
    if (item.startedAt) {
      used += item.memoryTokens;
      running.emplace_back(this->RemainingTime(item, aNow), item.memoryTokens);
    } else if (item.sortKey <= aSortKey) {
      wanted += item.memoryTokens;
    }
  }
  std::sort(running.begin(), running.end());
  Duration wait = Duration::zero();
  for (const auto& [remaining, tokens] : running) {
    if (used + wanted + this->reservedTokens <= this->capacity) {
      break;
    }
    wait = remaining;
    used -= tokens;
  }
  return wait;
}

LatencyPrediction
EngineQueue::Predict(const EngineWorkItem& aItem, Instant aNow) const
{
  LatencyPrediction prediction;
  if (aItem.memoryTokens > this->capacity) {
    return prediction;
  }
  prediction.fits = true;
  const std::int64_t key = this->SortKey(aItem);
  Duration ahead = Duration::zero();
  for (const auto& [attempt, item] : this->items) {
    if (item.sortKey <= key) {
      ahead += this->RemainingPrefill(item, aNow);
    }
  }
  const Duration memoryWait = this->MemoryWait(aItem.memoryTokens, key, aNow);
  const Duration own = Seconds(this->cost.PrefillSeconds(aItem.uncachedTokens));
  prediction.timeToFirstToken = std::max(ahead, memoryWait) + own;
  prediction.timeToFinish =
    prediction.timeToFirstToken + Seconds(this->cost.DecodeSeconds(aItem.maxTokens));
  return prediction;
}

void
EngineQueue::Add(EngineWorkItem aItem, Instant aNow)
{
  aItem.arrivedAt = aNow;
  aItem.sortKey = this->SortKey(aItem);
  this->items[aItem.attempt] = aItem;
}

void
EngineQueue::Remove(std::uint64_t aAttempt)
{
  this->items.erase(aAttempt);
}

void
EngineQueue::Requeue(std::uint64_t aAttempt)
{
  const auto item = this->items.find(aAttempt);
  if (item != this->items.end()) {
    item->second.startedAt.reset();
  }
}

void
EngineQueue::RecordFirstToken(std::uint64_t aAttempt, Instant aNow)
{
  const auto item = this->items.find(aAttempt);
  if (item != this->items.end() && !item->second.firstTokenAt) {
    item->second.firstTokenAt = aNow;
  }
}

// Only the first item by sort key is considered: letting smaller work overtake it could starve it.
std::optional<EngineWorkItem>
EngineQueue::StartNext(std::uint32_t aMaxRunning, Instant aNow)
{
  EngineWorkItem* first = nullptr;
  std::uint64_t used = 0;
  std::size_t running = 0;
  bool exclusiveRunning = false;
  for (auto& [attempt, item] : this->items) {
    if (item.startedAt) {
      used += item.memoryTokens;
      ++running;
      exclusiveRunning = exclusiveRunning || item.alone;
    } else if (!first || item.sortKey < first->sortKey) {
      first = &item;
    }
  }
  const bool fitsNow = first && running < aMaxRunning &&
                       used + first->memoryTokens + this->reservedTokens <= this->capacity;
  if (!fitsNow || exclusiveRunning || (first->alone && running > 0)) {
    return std::nullopt;
  }
  first->startedAt = aNow;
  return *first;
}

const EngineWorkItem*
EngineQueue::Find(std::uint64_t aAttempt) const
{
  const auto item = this->items.find(aAttempt);
  return item == this->items.end() ? nullptr : &item->second;
}

Duration
EngineQueue::PrefillBacklog(Instant aNow) const
{
  Duration sum = Duration::zero();
  for (const auto& [attempt, item] : this->items) {
    sum += this->RemainingPrefill(item, aNow);
  }
  return sum;
}

std::size_t
EngineQueue::Queued() const
{
  return this->items.size() - this->Running();
}

std::size_t
EngineQueue::Running() const
{
  return static_cast<std::size_t>(
    std::count_if(this->items.begin(), this->items.end(), [](const auto& aItem) {
      return aItem.second.startedAt.has_value();
    }));
}

std::uint64_t
EngineQueue::FreeTokens() const
{
  const std::uint64_t taken = this->reservedTokens + this->UsedTokens();
  return this->capacity - std::min(this->capacity, taken);
}

std::uint64_t
EngineQueue::UsedTokens() const
{
  std::uint64_t used = 0;
  for (const auto& [attempt, item] : this->items) {
    used += item.startedAt ? item.memoryTokens : 0;
  }
  return used;
}

} // namespace sycamorepost::internal
