#include "sycamorepost/forward/LoadTracker.h"

#include <algorithm>

namespace sycamorepost {

namespace {

// Weight of the newest exchange: about the last five determine the rate.
constexpr double kFailureWeight = 0.2;

// The first backoff is about a round trip with one retransmission; the longest is how soon a
// restarted target should be found again.
constexpr Duration kInitialBackoff = std::chrono::milliseconds(250);
constexpr Duration kMaxBackoff = std::chrono::seconds(2);
constexpr std::uint32_t kMaxBackoffDoublings = 3;

// Consecutive failures before a target is avoided: a single one may be caused by the request.
constexpr std::uint32_t kFailuresBeforeBackoff = 2;

// The fraction of overdue prefill that still counts as remaining: on average half of it is done.
constexpr double kPendingPrefillShare = 0.5;

TargetLoadReport
ReportOf(const std::string& aInstance, const TargetLoad& aLoad, Instant aNow)
{
  return { aInstance,      aLoad.running,         aLoad.strictStreams,
           aLoad.kvTokens, aLoad.PrefillMs(aNow), aLoad.pendingPrefillMs };
}

} // namespace

double
TargetLoad::PrefillMs(Instant aNow) const
{
  const double planned = ToMs(this->prefillUntil - aNow);
  return std::max({ 0.0, planned, kPendingPrefillShare * this->pendingPrefillMs });
}

void
LoadTracker::Place(const PlacedWork& aWork, Instant aNow)
{
  TargetLoad& load = this->ownLoads[aWork.instance];
  load.running += aWork.decodes ? 1 : 0;
  load.strictStreams += aWork.isStrict ? 1 : 0;
  load.kvTokens += aWork.kvTokens;
  load.prefillUntil = std::max(load.prefillUntil, aNow) + FromMs(aWork.prefillMs);
  load.pendingPrefillMs += aWork.prefillMs;
  this->changedInstances.insert(aWork.instance);
}

void
LoadTracker::Remove(const PlacedWork& aWork, bool aWasPrefilled, Instant aNow)
{
  const auto found = this->ownLoads.find(aWork.instance);
  if (found == this->ownLoads.end()) {
    return;
  }
  TargetLoad& load = found->second;
  load.running -= aWork.decodes && load.running > 0 ? 1 : 0;
  load.strictStreams -= aWork.isStrict && load.strictStreams > 0 ? 1 : 0;
  load.kvTokens -= std::min(load.kvTokens, aWork.kvTokens);
  this->changedInstances.insert(aWork.instance);
  if (!aWasPrefilled) {
    this->MarkPrefilled(aWork, aNow);
  }
}

void
LoadTracker::MarkPrefilled(const PlacedWork& aWork, Instant aNow)
{
  const auto found = this->ownLoads.find(aWork.instance);
  if (found == this->ownLoads.end()) {
    return;
  }
  TargetLoad& load = found->second;
  load.pendingPrefillMs = std::max(0.0, load.pendingPrefillMs - aWork.prefillMs);
  load.prefillUntil = std::min(load.prefillUntil, aNow + FromMs(load.pendingPrefillMs));
  this->changedInstances.insert(aWork.instance);
}

void
LoadTracker::ApplyReport(const std::string& aPeer,
                         const std::vector<TargetLoadReport>& aReports,
                         Instant aNow)
{
  LoadByInstance& loads = this->peerLoads[aPeer];
  for (const TargetLoadReport& report : aReports) {
    if (report.running == 0 && report.kvTokens == 0 && report.pendingPrefillMs <= 0) {
      loads.erase(report.instance);
    } else {
      loads[report.instance] = { report.running,
                                 report.strictStreams,
                                 report.kvTokens,
                                 aNow + FromMs(report.prefillMs),
                                 report.pendingPrefillMs };
    }
  }
}

std::vector<TargetLoadReport>
LoadTracker::TakeChanges(Instant aNow)
{
  std::vector<TargetLoadReport> reports;
  for (const std::string& instance : this->changedInstances) {
    const TargetLoad& load = this->ownLoads[instance];
    reports.push_back(ReportOf(instance, load, aNow));
    if (load.IsIdle(aNow)) {
      this->ownLoads.erase(instance);
    }
  }
  this->changedInstances.clear();
  return reports;
}

std::vector<TargetLoadReport>
LoadTracker::Snapshot(Instant aNow) const
{
  std::vector<TargetLoadReport> reports;
  for (const auto& [instance, load] : this->ownLoads) {
    reports.push_back(ReportOf(instance, load, aNow));
  }
  return reports;
}

TargetLoad
LoadTracker::LoadOf(const std::string& aInstance, Instant aNow) const
{
  TargetLoad sum;
  double prefillMs = 0;
  const auto add = [&](const LoadByInstance& aLoads) {
    const auto found = aLoads.find(aInstance);
    if (found != aLoads.end()) {
      sum.running += found->second.running;
      sum.strictStreams += found->second.strictStreams;
      sum.pendingPrefillMs += found->second.pendingPrefillMs;
      sum.kvTokens += found->second.kvTokens;
      prefillMs += found->second.PrefillMs(aNow);
    }
  };
  add(this->ownLoads);
  for (const auto& [name, loads] : this->peerLoads) {
    add(loads);
  }
  sum.prefillUntil = aNow + FromMs(prefillMs);
  return sum;
}

void
LoadTracker::RecordSuccess(const std::string& aInstance)
{
  const auto found = this->health.find(aInstance);
  if (found != this->health.end()) {
    found->second.failureRate *= 1 - kFailureWeight;
    found->second.consecutiveFailures = 0;
    found->second.avoidUntil = {};
  }
}

LoadTracker::TargetHealth&
LoadTracker::CountFailure(const std::string& aInstance)
{
  TargetHealth& health = this->health[aInstance];
  health.failureRate += kFailureWeight * (1 - health.failureRate);
  ++health.consecutiveFailures;
  return health;
}

void
LoadTracker::RecordFailure(const std::string& aInstance, Instant aNow)
{
  TargetHealth& health = this->CountFailure(aInstance);
  if (health.consecutiveFailures >= kFailuresBeforeBackoff) {
    this->BackOff(health, aNow);
  }
}

void
LoadTracker::RecordUnreachable(const std::string& aInstance, Instant aNow)
{
  this->BackOff(this->CountFailure(aInstance), aNow);
}

void
LoadTracker::BackOff(TargetHealth& aHealth, Instant aNow)
{
  const std::uint32_t doublings = std::min(aHealth.consecutiveFailures - 1, kMaxBackoffDoublings);
  aHealth.avoidUntil = aNow + std::min(kMaxBackoff, kInitialBackoff * (1U << doublings));
}

bool
LoadTracker::IsAvoided(const std::string& aInstance, Instant aNow) const
{
  const auto found = this->health.find(aInstance);
  return found != this->health.end() && found->second.avoidUntil > aNow;
}

double
LoadTracker::FailureRate(const std::string& aInstance) const
{
  const auto found = this->health.find(aInstance);
  return found == this->health.end() ? 0 : found->second.failureRate;
}

void
LoadTracker::RemoveTarget(const std::string& aInstance)
{
  this->ownLoads.erase(aInstance);
  this->health.erase(aInstance);
  this->changedInstances.erase(aInstance);
  for (auto& [name, loads] : this->peerLoads) {
    loads.erase(aInstance);
  }
}

} // namespace sycamorepost
