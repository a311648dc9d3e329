// Offers the order of work on one engine: predictions, admission and the choice of what runs next.
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

// What the engine's prefix cache is believed to hold, learned from what ran there.
class PrefixMemory
{
public:
  // Returns how many prompt tokens are believed to be cached.
  std::uint32_t CachedTokens(const std::vector<PrefixMark>& aPrefix) const;

  // Notes that a prompt was prefilled.
  void Add(const std::vector<PrefixMark>& aPrefix);

  // Forgets all, as the engine has restarted.
  void Clear();

private:
  std::list<std::uint32_t> leastRecentlyUsed; // Oldest first.
  std::unordered_map<std::uint32_t, std::list<std::uint32_t>::iterator> marks;
};

// One piece of work, queued or running.
struct EngineItem
{
  std::uint64_t attempt = 0;
  std::uint32_t uncachedTokens = 0; // Prompt tokens to prefill.
  std::uint32_t memoryTokens = 0;   // Prompt and answer.
  std::uint32_t maxTokens = 0;
  double weight = 1;
  bool alone = false;
  Instant arrivedAt;
  Instant deadline;
  std::optional<Instant> startedAt;
  std::optional<Instant> firstTokenAt;
  std::int64_t sortKey = 0; // The smallest runs first.
};

// A prediction for work that is not there yet.
struct Prediction
{
  bool fits = false;     // The work fits into the engine's memory at all.
  Duration firstToken{}; // Time to first token.
  Duration finish{};     // Time to the last token.
};

// The queue.
class EngineQueue
{
public:
  CostModel cost;

  // Selects the order strategy by name.
  void SetOrder(const std::string& aName);

  // Sets the engine's memory in tokens.
  void SetCapacity(std::uint64_t aTokens) { this->capacity = aTokens; }

  // Sets the memory that is held for other engines' prompts.
  void SetHeld(std::uint64_t aTokens) { this->held = aTokens; }

  // Returns the memory that nothing uses or holds.
  std::uint64_t FreeTokens() const;

  // Predicts when work would start and finish if it came now.
  Prediction Predict(const EngineItem& aItem, Instant aNow) const;

  // Adds work to the queue.
  void Add(EngineItem aItem, Instant aNow);

  // Removes work, queued or running.
  void Remove(std::uint64_t aAttempt);

  // Puts running work back into the queue, as the engine had no room for it.
  void Requeue(std::uint64_t aAttempt);

  // Notes the first token of running work.
  void NoteFirstToken(std::uint64_t aAttempt, Instant aNow);

  // Takes the next work that may start now; nothing when none may.
  std::optional<EngineItem> TakeNext(std::uint32_t aMaxRunning, Instant aNow);

  // Returns one item or null.
  const EngineItem* Find(std::uint64_t aAttempt) const;

  // Returns the time that the engine needs for all prefill that it has.
  Duration Backlog(Instant aNow) const;

  std::size_t Queued() const;
  std::size_t Running() const;
  std::uint64_t UsedTokens() const;
  std::uint64_t Capacity() const { return this->capacity; }

private:
  std::int64_t SortKey(const EngineItem& aItem) const;
  Duration RemainingPrefill(const EngineItem& aItem, Instant aNow) const;
  Duration MemoryWait(std::uint64_t aNeed, std::int64_t aSortKey, Instant aNow) const;
  Duration RemainingTime(const EngineItem& aItem, Instant aNow) const;

  std::uint64_t capacity = 0;
  std::uint64_t held = 0;
  std::string order = "slack";
  std::map<std::uint64_t, EngineItem> items; // By attempt.
};

} // namespace sycamorepost::internal

#endif // SYCAMOREPOST_CORE_ENGINE_QUEUE_H_
