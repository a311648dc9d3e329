// The load of every target: the work that this entry placed there, the work that the other entries
// report, and the results of recent exchanges.
#ifndef SYCAMOREPOST_FORWARD_LOAD_LOAD_TRACKER_H_
#define SYCAMOREPOST_FORWARD_LOAD_LOAD_TRACKER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "sycamorepost/Types.h"
#include "sycamorepost/forward/load/TargetLoadReport.h"

namespace sycamorepost {

// The work of one request on one target.
struct PlacedWork
{
  std::string instance;
  double prefillMs = 0;       // Prefill time that it adds there.
  std::uint64_t kvTokens = 0; // Tokens of KV cache that it occupies there.
  bool decodes = false;       // It occupies a slot; a helper only prefills.
  bool isStrict = false;      // Its gap objective is the shortest of all streams.
};

// The load that one entry has placed on one target.
struct TargetLoad
{
  std::uint32_t running = 0;
  std::uint32_t strictStreams = 0; // Of these, streams with the shortest gap objective.
  std::uint64_t kvTokens = 0;
  Instant prefillUntil;        // When the placed prefill should be done.
  double pendingPrefillMs = 0; // Prefill time of requests without a first event.

  // Returns the remaining prefill time in milliseconds. Requests without a first event still count
  // in part when their predicted time has passed.
  double PrefillMs(Instant aNow) const;
  // Returns whether nothing is placed there.
  bool IsIdle(Instant aNow) const
  {
    return this->running == 0 && this->kvTokens == 0 && this->PrefillMs(aNow) <= 0;
  }
};

// Tracks the load and the health of all targets.
class LoadTracker
{
public:
  // Add and remove the work of one request. MarkPrefilled ends its prefill at the first event;
  // before that, the remaining prefill time decreases with the clock.
  void Place(const PlacedWork& aWork, Instant aNow);
  void MarkPrefilled(const PlacedWork& aWork, Instant aNow);
  void Remove(const PlacedWork& aWork, bool aWasPrefilled, Instant aNow);

  // Apply the load that a peer reports, and drop all reports of a peer that is down. A peer is
  // another entry, or all entries of another failure domain together. Reports with invalid times
  // are ignored.
  void ApplyReport(const std::string& aPeer,
                   const std::vector<TargetLoadReport>& aReports,
                   Instant aNow);
  void RemovePeer(const std::string& aPeer);

  // Returns this entry's own load on the targets where it changed since the last call.
  std::vector<TargetLoadReport> TakeChanges(Instant aNow);
  bool HasChanges() const { return !this->changedInstances.empty(); }

  // Includes a target in the next changes although this entry's load there is the same.
  void ReportAgain(const std::string& aInstance) { this->changedInstances.insert(aInstance); }

  // Returns all of this entry's own load.
  std::vector<TargetLoadReport> Snapshot(Instant aNow) const;

  // Returns the load of this entry and of the peers that aIncludes accepts, summed by target.
  std::vector<TargetLoadReport>
  SnapshotOf(const std::function<bool(const std::string& aPeer)>& aIncludes, Instant aNow) const;

  // Returns the load of all entries on a target.
  TargetLoad LoadOf(const std::string& aInstance, Instant aNow) const;

  // Record how an exchange with a target ended.
  void RecordSuccess(const std::string& aInstance);
  void RecordFailure(const std::string& aInstance, Instant aNow);
  void RecordUnreachable(const std::string& aInstance, Instant aNow);

  // Returns whether a target should be avoided for now.
  bool IsAvoided(const std::string& aInstance, Instant aNow) const;

  // Returns the fraction of recent exchanges that failed, from 0 to 1.
  double FailureRate(const std::string& aInstance) const;

  // Drops the load and health of a target that is no longer listed.
  void RemoveTarget(const std::string& aInstance);

private:
  struct TargetHealth
  {
    double failureRate = 0;
    std::uint32_t consecutiveFailures = 0;
    Instant avoidUntil;
  };

  // The load that one peer has placed on a target. Few peers have any on one target at a time.
  struct PeerLoad
  {
    std::uint32_t peer = 0; // Its number.
    TargetLoad load;
  };

  TargetHealth& CountFailure(const std::string& aInstance);
  void BackOff(TargetHealth& aHealth, Instant aNow);
  void SetPeerLoad(std::uint32_t aPeer, const TargetLoadReport& aReport, Instant aNow);

  std::map<std::string, TargetLoad> ownLoads;                       // By instance.
  std::unordered_map<std::string, std::vector<PeerLoad>> peerLoads; // By instance.
  std::unordered_map<std::string, std::uint32_t> peerNumbers;       // By peer.
  std::uint32_t lastPeerNumber = 0;
  std::unordered_map<std::string, TargetHealth> health; // By instance; only after failures.
  std::set<std::string> changedInstances;
};

} // namespace sycamorepost

#endif // SYCAMOREPOST_FORWARD_LOAD_LOAD_TRACKER_H_
