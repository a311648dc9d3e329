// The load of every target: the work that this entry placed there, the work that the other entries
// report, and the results of recent exchanges.
#ifndef SYCAMOREPOST_FORWARD_LOAD_BOOK_H_
#define SYCAMOREPOST_FORWARD_LOAD_BOOK_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "sycamorepost/Types.h"
#include "sycamorepost/forward/TargetShare.h"

namespace sycamorepost {

// The work of one request on one target.
struct PlacedWork
{
  std::string instance;
  double readMs = 0;        // Prefill time that it adds there.
  std::uint64_t memory = 0; // Tokens of KV cache that it occupies there.
  bool writes = false;      // It occupies a slot; a helper only prefills.
  bool isTight = false;     // Its gap objective is the shortest of all streams.
};

// The load that one entry has placed on one target.
struct TargetLoad
{
  std::uint32_t running = 0;
  std::uint32_t tight = 0; // Of these, streams with the shortest gap objective.
  std::uint64_t memory = 0;
  Instant readUntil;   // When the placed prefill should be done.
  double unreadMs = 0; // Prefill time of requests without a first event.

  // Returns the remaining prefill time in milliseconds. Requests without a first event still count
  // in part when their predicted time has passed.
  double ReadMs(Instant aNow) const;
  // Returns whether nothing is placed there.
  bool Idle(Instant aNow) const
  {
    return this->running == 0 && this->memory == 0 && this->ReadMs(aNow) <= 0;
  }
};

// Tracks the load and the health of all targets.
class LoadBook
{
public:
  // Add and remove the work of one request. MarkPrefilled ends its prefill at the first event;
  // before that, the remaining prefill time decreases with the clock.
  void Place(const PlacedWork& aWork, Instant aNow);
  void MarkRead(const PlacedWork& aWork, Instant aNow);
  void Remove(const PlacedWork& aWork, bool aWasPrefilled, Instant aNow);

  // Apply the load that a peer reports, and drop all reports of a peer that is down.
  void TakeTold(const std::string& aPeer, const std::vector<TargetShare>& aReports, Instant aNow);
  void ForgetPeer(const std::string& aPeer) { this->peers.erase(aPeer); }

  // Returns this entry's own load on the targets where it changed since the last call.
  std::vector<TargetShare> TakeChanges(Instant aNow);
  bool HasChanges() const { return !this->changed.empty(); }

  // Returns all of this entry's own load.
  std::vector<TargetShare> Snapshot(Instant aNow) const;

  // Returns the load of all entries on a target.
  TargetLoad LoadOf(const std::string& aInstance, Instant aNow) const;

  // Record how an exchange with a target ended.
  void NoteSuccess(const std::string& aInstance);
  void NoteFailure(const std::string& aInstance, Instant aNow);
  void NoteUnreachable(const std::string& aInstance, Instant aNow);

  // Returns whether a target should be avoided for now.
  bool Suspected(const std::string& aInstance, Instant aNow) const;

  // Returns the fraction of recent exchanges that failed, from 0 to 1.
  double FailureShare(const std::string& aInstance) const;

  // Drops the load and health of a target that is no longer listed.
  void Forget(const std::string& aInstance);

private:
  struct Health
  {
    double failureShare = 0;
    std::uint32_t failuresInARow = 0;
    Instant avoidUntil;
  };

  using Loads = std::map<std::string, TargetLoad>; // By instance.

  Health& CountFailure(const std::string& aInstance);
  void BackOff(Health& aHealth, Instant aNow);

  Loads own;
  std::map<std::string, Loads> peers;
  std::map<std::string, Health> health;
  std::set<std::string> changed;
};

} // namespace sycamorepost

#endif // SYCAMOREPOST_FORWARD_LOAD_BOOK_H_
