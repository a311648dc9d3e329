// Real reducers of many entries in virtual time, with a network between them that has a delay. What
// the targets do is the user's.
#ifndef SYCAMOREPOST_TEST_HARNESS_VIRTUAL_FLEET_H_
#define SYCAMOREPOST_TEST_HARNESS_VIRTUAL_FLEET_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <tuple>
#include <vector>

#include "sycamorepost/forward/ForwardReducer.h"

namespace sycamorepost::harness {

// What happens at given times; events of the same time happen in the order in which they were
// added.
class VirtualEvents
{
public:
  void At(Instant aAt, std::function<void()> aAction)
  {
    this->events.push({ aAt, ++this->sequence, std::move(aAction) });
  }

  // Runs all events before a time.
  void RunUntil(Instant aEnd)
  {
    while (!this->events.empty() && this->events.top().at < aEnd) {
      const Event event = this->events.top();
      this->events.pop();
      this->now = event.at;
      event.action();
    }
  }

  Instant now{ std::chrono::hours(1) };

private:
  struct Event
  {
    Instant at;
    std::uint64_t sequence = 0;
    std::function<void()> action;

    bool operator<(const Event& aOther) const
    {
      return std::tie(aOther.at, aOther.sequence) < std::tie(this->at, this->sequence);
    }
  };

  std::priority_queue<Event> events;
  std::uint64_t sequence = 0;
};

struct FleetOptions
{
  std::uint32_t entries = 1;
  std::uint32_t domains = 1; // As registered.
  std::uint64_t seed = 1;
  bool learnPace = true;
};

// The entries.
class VirtualFleet
{
public:
  // A message between entries; in bytes, and whether it crosses failure domains.
  using SendObserver = std::function<void(std::uint32_t aFrom, std::size_t aBytes, bool aCrosses)>;
  using EffectHandler = std::function<void(std::uint32_t aEntry, const ForwardEffect& aEffect)>;

  // Handles the effects that are no messages between entries.
  VirtualFleet(const FleetOptions& aOptions,
               VirtualEvents& aEvents,
               EffectHandler aOnEffect,
               SendObserver aOnSend);

  // Tells all entries the routes, the targets and each other.
  void Begin(const std::shared_ptr<const RouteTable>& aTable,
             const std::map<std::string, RegisteredTarget>& aTargets);

  // Lets the reducer of an entry handle an event.
  void Step(std::uint32_t aEntry, const ForwardEvent& aEvent);

  // Returns the name of the failure domain of an entry or a target.
  std::string DomainOf(std::uint32_t aIndex) const;
  // Returns whether two of them are in different failure domains of the network. There are five,
  // whatever is registered.
  static bool Crosses(std::uint32_t aLeft, std::uint32_t aRight);

  std::uint32_t Size() const { return static_cast<std::uint32_t>(this->entries.size()); }
  ForwardReducer& ReducerOf(std::uint32_t aEntry) { return *this->entries[aEntry].reducer; }

private:
  struct Entry
  {
    std::string address;
    std::unique_ptr<ForwardReducer> reducer;
    Instant wakeAt = Instant::max();
  };

  void Send(std::uint32_t aFrom,
            const std::vector<std::string>& aRecipients,
            std::size_t aBytes,
            const ForwardEvent& aEvent);

  FleetOptions options;
  VirtualEvents& events;
  EffectHandler onEffect;
  SendObserver onSend;
  std::vector<Entry> entries;
  std::map<std::string, RegisteredEntry> registered;
  std::map<std::string, std::uint32_t> indexByAddress;
};

} // namespace sycamorepost::harness

#endif // SYCAMOREPOST_TEST_HARNESS_VIRTUAL_FLEET_H_
