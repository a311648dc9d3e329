// Declares a deployment in virtual time whose engines crash: real reducers of several entries,
// engines that decode streams, and callers whose prompts consist of parts.
#ifndef SYCAMOREPOST_TEST_HARNESS_CRASH_FLEET_H_
#define SYCAMOREPOST_TEST_HARNESS_CRASH_FLEET_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "sycamorepost/forward/ForwardReducer.h"

namespace sycamorepost::harness {

// The size of a deployment and its load.
struct CrashFleetPlan
{
  int entries = 4;
  int engines = 16;
  double soundPerSecond = 30;   // Sound prompts, over all entries.
  double crashingPerSecond = 4; // Prompts with a part that crashes engines, once that has begun.
  std::uint64_t seed = 1;
};

// A request of a caller, and what became of it.
struct FleetRequest
{
  PartSet parts;
  Instant sentAt;
  int entry = 0;
  bool isCrashing = false;
  int arrivals = 0; // At engines.
  bool hasBegun = false;
  std::optional<int> refusal; // The status of the entry's own response.
  Duration retryAfter{};
};

class CrashFleet
{
public:
  explicit CrashFleet(const CrashFleetPlan& aPlan);
  ~CrashFleet();
  CrashFleet(const CrashFleet&) = delete;
  CrashFleet& operator=(const CrashFleet&) = delete;

  void Run(Duration aDuration);

  // From now on requests come whose prompts have this part and crash each engine that decodes them.
  void BeginCrashing(std::uint64_t aPart) { this->crashingPart = aPart; }
  void EndCrashing() { this->crashingPart.reset(); }

  // Sends one sound prompt to an entry; returns the number of the request.
  std::uint64_t SendPrompt(int aEntry, PartSet aParts);

  // Crashes engines for another reason than a request.
  void CrashEngines(int aCount);
  // Resets all connections between entries and engines; the engines go on.
  void ResetConnections();

  // Kills an entry; it starts again without any memory.
  void RestartEntry(int aEntry);
  // Loses all messages between an entry and the others.
  void CutEntry(int aEntry, Duration aDuration);
  // The entry stands still; what reaches it meanwhile is handled afterwards.
  void SuspendEntry(int aEntry, Duration aDuration);
  // The entry neither sends nor understands the messages about crashes.
  void MakeEntryOld(int aEntry);

  // Returns the crashes that requests with the part have caused so far.
  int CrashesByPart() const { return static_cast<int>(this->crashes.size()); }

  // Returns how many requests with the part reached engines later than aDelay after the fifth
  // crash, through entries that were neither restarted, cut nor suspended for as long.
  int ArrivalsAfterFifthCrash(Duration aDelay) const;

  // Returns the share of the sound requests sent in a period whose response began without a
  // refusal.
  double BegunShare(Instant aFrom, Instant aUntil) const;

  // Returns the number of sound requests sent in a period that were refused.
  int RefusedCount(Instant aFrom, Instant aUntil) const;

  const std::map<std::uint64_t, FleetRequest>& Requests() const { return this->requests; }
  nlohmann::json Dump(int aEntry) const;
  Instant Now() const { return this->now; }

private:
  struct Entry;
  struct Engine;
  struct Running;
  struct Event
  {
    Instant at;
    std::uint64_t sequence = 0; // Events at the same time happen in order.
    std::function<void()> action;

    bool operator<(const Event& aOther) const
    {
      return std::tie(aOther.at, aOther.sequence) < std::tie(this->at, this->sequence);
    }
  };

  void At(Instant aAt, std::function<void()> aAction);
  void After(Duration aDelay, std::function<void()> aAction);
  void StartEntry(int aEntry);
  void ScheduleArrival(bool aIsCrashing);
  std::uint64_t Send(int aEntry, PartSet aParts, bool aIsCrashing);
  void Step(int aEntry, const ForwardEvent& aEvent);
  void StepLater(int aEntry, Duration aDelay, const ForwardEvent& aEvent);
  void Execute(int aEntry, const ForwardEffect& aEffect);
  void Broadcast(int aFrom,
                 const std::vector<std::string>& aRecipients,
                 const ForwardEvent& aEvent,
                 bool aIsAboutCrashes);
  void Serve(int aEntry, const StartAttempt& aStart);
  void Decode(const std::shared_ptr<Running>& aRunning);
  void CrashEngine(Engine& aEngine);
  void RegisterTargets();
  Engine* FindEngine(const std::string& aInstance);
  bool IsListening(const std::string& aAddress) const;

  CrashFleetPlan plan;
  std::mt19937_64 random;
  Instant now{ std::chrono::hours(1) };
  std::uint64_t sequence = 0;
  std::priority_queue<Event> events;
  std::vector<std::unique_ptr<Entry>> entries;
  std::vector<std::unique_ptr<Engine>> engines;
  std::map<std::string, RegisteredTarget> targets; // As registered.
  std::map<std::uint64_t, FleetRequest> requests;  // By handle.
  std::optional<std::uint64_t> crashingPart;
  std::vector<Instant> crashes; // By requests with the part.
  // When requests with the part reached engines, and through which entry.
  std::vector<std::pair<Instant, int>> crashingArrivals;
  std::uint64_t lastHandle = 0;
};

} // namespace sycamorepost::harness

#endif // SYCAMOREPOST_TEST_HARNESS_CRASH_FLEET_H_
