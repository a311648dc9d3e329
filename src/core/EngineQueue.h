// The work queue of one engine: latency predictions, admission by memory and scheduling order.
#ifndef SYCAMOREPOST_CORE_ENGINE_QUEUE_H_
#define SYCAMOREPOST_CORE_ENGINE_QUEUE_H_

#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "sycamorepost/CostModel.h"
#include "sycamorepost/Message.h"
#include "sycamorepost/Types.h"

namespace sycamorepost::internal {

// An estimate of the contents of an engine's prefix cache, derived from the prompts that ran there.
// It keeps the most recently used prefix marks.
class PrefixCacheEstimate
{
public:
  // Returns the estimated number of prompt tokens that are cached.
  std::uint32_t CachedTokens(const std::vector<PrefixHash>& aPrefix) const;

  // Records that a prompt was prefilled.
  void Add(const std::vector<PrefixHash>& aPrefix);

  // Drops all marks, because the engine has restarted with an empty cache.
  void Clear();

private:
  std::list<std::uint32_t> recencyOrder; // Least recently used first.
  std::unordered_map<std::uint32_t, std::list<std::uint32_t>::iterator> marks;
};

// One attempt, queued or running.
struct EngineWorkItem
{
  std::uint64_t attempt = 0;
  std::uint32_t uncachedTokens = 0; // Prompt tokens that need prefill.
  std::uint32_t memoryTokens = 0;   // KV memory for prompt and output.
  std::uint32_t maxTokens = 0;
  double weight = 1;
  bool alone = false; // Must not share the engine with other work.
  Instant arrivedAt;
  Instant deadline;
  std::optional<Instant> startedAt;
  std::optional<Instant> firstTokenAt;
  std::int64_t sortKey = 0; // Work with the smallest key runs first.
};

// The predicted latency of work that is not in the queue yet.
struct LatencyPrediction
{
  bool fits = false;           // Whether the work fits into the engine's total memory.
  Duration timeToFirstToken{}; // Time to first token.
  Duration timeToFinish{};     // Time to the last token.
};

// Orders the work of one engine, limits what runs by KV memory and predicts latencies.
class EngineQueue
{
public:
  CostModel cost;

  // Selects the scheduling strategy by name ("fifo", "shortest" or "slack") and reorders the queue.
  // The name must be one of these.
  void SetOrderStrategy(const std::string& aName);

  // Sets the engine's KV memory in tokens.
  void SetCapacity(std::uint64_t aTokens) { this->capacity = aTokens; }

  // Sets the KV memory, in tokens, that is reserved for prompt segments of other engines.
  void SetReservedTokens(std::uint64_t aTokens) { this->reservedTokens = aTokens; }

  // Returns the KV memory, in tokens, that is neither used nor reserved.
  std::uint64_t FreeTokens() const;

  // Predicts time to first token and time to completion of work that arrives now.
  LatencyPrediction Predict(const EngineWorkItem& aItem, Instant aNow) const;

  // Queues work, arriving at aNow. Replaces work with the same attempt id.
  void Add(EngineWorkItem aItem, Instant aNow);

  // Removes an attempt, queued or running; does nothing if it is unknown.
  void Remove(std::uint64_t aAttempt);

  // Moves running work back to the queue after the engine refused it for lack of capacity.
  void Requeue(std::uint64_t aAttempt);

  // Records the time of an attempt's first token; later calls have no effect.
  void RecordFirstToken(std::uint64_t aAttempt, Instant aNow);

  // Marks the next work that can start now as running and returns it, or nullopt if none can.
  std::optional<EngineWorkItem> StartNext(std::uint32_t aMaxRunning, Instant aNow);

  // Returns the work of an attempt, or null.
  const EngineWorkItem* Find(std::uint64_t aAttempt) const;

  // Returns the predicted time to finish all pending prefill, queued and running.
  Duration PrefillBacklog(Instant aNow) const;

  std::size_t Queued() const;
  std::size_t Running() const;
  std::uint64_t UsedTokens() const;
  std::uint64_t Capacity() const { return this->capacity; }

private:
  std::int64_t SortKey(const EngineWorkItem& aItem) const;
  Duration RemainingPrefill(const EngineWorkItem& aItem, Instant aNow) const;
  Duration MemoryWait(std::uint64_t aNeed, std::int64_t aSortKey, Instant aNow) const;
  Duration RemainingTime(const EngineWorkItem& aItem, Instant aNow) const;

  std::uint64_t capacity = 0;
  std::uint64_t reservedTokens = 0;
  std::string orderStrategy = "slack";
  std::map<std::uint64_t, EngineWorkItem> items; // By attempt id.
};

} // namespace sycamorepost::internal

#endif // SYCAMOREPOST_CORE_ENGINE_QUEUE_H_
