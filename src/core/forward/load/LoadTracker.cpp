#include "sycamorepost/forward/load/LoadTracker.h"

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

// Longer than any prefill, in milliseconds.
constexpr double kMaxPrefillMs = 1e7;

bool
IsPrefillTime(double aMs)
{
  return aMs >= 0 && aMs <= kMaxPrefillMs; // False for what is no number.
}

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
  const auto [number, isNew] = this->peerNumbers.try_emplace(aPeer, this->lastPeerNumber + 1);
  this->lastPeerNumber += isNew ? 1 : 0;
  for (const TargetLoadReport& report : aReports) {
    if (IsPrefillTime(report.prefillMs) && IsPrefillTime(report.pendingPrefillMs)) {
      this->SetPeerLoad(number->second, report, aNow);
    }
  }
}

void
LoadTracker::SetPeerLoad(std::uint32_t aPeer, const TargetLoadReport& aReport, Instant aNow)
{
  const bool isIdle =
    aReport.running == 0 && aReport.kvTokens == 0 && aReport.pendingPrefillMs <= 0;
  const auto known = this->peerLoads.find(aReport.instance);
  if (known == this->peerLoads.end() && isIdle) {
    return;
  }
  std::vector<PeerLoad>& loads =
    known == this->peerLoads.end() ? this->peerLoads[aReport.instance] : known->second;
  auto load = std::find_if(
    loads.begin(), loads.end(), [aPeer](const PeerLoad& aLoad) { return aLoad.peer == aPeer; });
  if (load == loads.end()) {
    load = loads.insert(loads.end(), { aPeer, {} });
  }
  if (isIdle) {
    *load = loads.back();
    loads.pop_back();
    return;
  }
  load->load = { aReport.running,
                 aReport.strictStreams,
                 aReport.kvTokens,
                 aNow + FromMs(aReport.prefillMs),
                 aReport.pendingPrefillMs };
}

void
LoadTracker::RemovePeer(const std::string& aPeer)
{
  const auto number = this->peerNumbers.find(aPeer);
  if (number == this->peerNumbers.end()) {
    return;
  }
  for (auto& [instance, loads] : this->peerLoads) {
    std::erase_if(loads, [&](const PeerLoad& aLoad) { return aLoad.peer == number->second; });
  }
  this->peerNumbers.erase(number);
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

std::vector<TargetLoadReport>
LoadTracker::SnapshotOf(const std::function<bool(const std::string& aPeer)>& aIncludes,
                        Instant aNow) const
{
  std::set<std::uint32_t> included;
  for (const auto& [peer, number] : this->peerNumbers) {
    if (aIncludes(peer)) {
      included.insert(number);
    }
  }
  std::map<std::string, TargetLoadReport> sums;
  const auto add = [&](const std::string& aInstance, const TargetLoad& aLoad) {
    TargetLoadReport& sum = sums[aInstance];
    sum.instance = aInstance;
    sum.running += aLoad.running;
    sum.strictStreams += aLoad.strictStreams;
    sum.kvTokens += aLoad.kvTokens;
    sum.prefillMs += aLoad.PrefillMs(aNow);
    sum.pendingPrefillMs += aLoad.pendingPrefillMs;
  };
  for (const auto& [instance, load] : this->ownLoads) {
    add(instance, load);
  }
  for (const auto& [instance, loads] : this->peerLoads) {
    for (const PeerLoad& load : loads) {
      if (included.contains(load.peer)) {
        add(instance, load.load);
      }
    }
  }
  std::vector<TargetLoadReport> reports;
  for (auto& [instance, sum] : sums) {
    reports.push_back(std::move(sum));
  }
  return reports;
}

TargetLoad
LoadTracker::LoadOf(const std::string& aInstance, Instant aNow) const
{
  TargetLoad sum;
  double prefillMs = 0;
  const auto add = [&](const TargetLoad& aLoad) {
    sum.running += aLoad.running;
    sum.strictStreams += aLoad.strictStreams;
    sum.pendingPrefillMs += aLoad.pendingPrefillMs;
    sum.kvTokens += aLoad.kvTokens;
    prefillMs += aLoad.PrefillMs(aNow);
  };
  const auto own = this->ownLoads.find(aInstance);
  if (own != this->ownLoads.end()) {
    add(own->second);
  }
  const auto peers = this->peerLoads.find(aInstance);
  if (peers != this->peerLoads.end()) {
    for (const PeerLoad& load : peers->second) {
      add(load.load);
    }
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
  this->peerLoads.erase(aInstance);
}

} // namespace sycamorepost
