#include "sycamorepost/forward/LoadBook.h"

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

TargetShare
ReportOf(const std::string& aInstance, const TargetLoad& aLoad, Instant aNow)
{
  return {
    aInstance, aLoad.running, aLoad.tight, aLoad.memory, aLoad.ReadMs(aNow), aLoad.unreadMs
  };
}

} // namespace

double
TargetLoad::ReadMs(Instant aNow) const
{
  const double planned = ToMs(this->readUntil - aNow);
  return std::max({ 0.0, planned, kPendingPrefillShare * this->unreadMs });
}

void
LoadBook::Place(const PlacedWork& aWork, Instant aNow)
{
  TargetLoad& load = this->own[aWork.instance];
  load.running += aWork.writes ? 1 : 0;
  load.tight += aWork.isTight ? 1 : 0;
  load.memory += aWork.memory;
  load.readUntil = std::max(load.readUntil, aNow) + FromMs(aWork.readMs);
  load.unreadMs += aWork.readMs;
  this->changed.insert(aWork.instance);
}

void
LoadBook::Remove(const PlacedWork& aWork, bool aWasPrefilled, Instant aNow)
{
  const auto found = this->own.find(aWork.instance);
  if (found == this->own.end()) {
    return;
  }
  TargetLoad& load = found->second;
  load.running -= aWork.writes && load.running > 0 ? 1 : 0;
  load.tight -= aWork.isTight && load.tight > 0 ? 1 : 0;
  load.memory -= std::min(load.memory, aWork.memory);
  this->changed.insert(aWork.instance);
  if (!aWasPrefilled) {
    this->MarkRead(aWork, aNow);
  }
}

void
LoadBook::MarkRead(const PlacedWork& aWork, Instant aNow)
{
  const auto found = this->own.find(aWork.instance);
  if (found == this->own.end()) {
    return;
  }
  TargetLoad& load = found->second;
  load.unreadMs = std::max(0.0, load.unreadMs - aWork.readMs);
  load.readUntil = std::min(load.readUntil, aNow + FromMs(load.unreadMs));
  this->changed.insert(aWork.instance);
}

void
LoadBook::TakeTold(const std::string& aPeer, const std::vector<TargetShare>& aReports, Instant aNow)
{
  Loads& loads = this->peers[aPeer];
  for (const TargetShare& report : aReports) {
    if (report.running == 0 && report.memory == 0 && report.unreadMs <= 0) {
      loads.erase(report.instance);
    } else {
      loads[report.instance] = {
        report.running, report.tight, report.memory, aNow + FromMs(report.readMs), report.unreadMs
      };
    }
  }
}

std::vector<TargetShare>
LoadBook::TakeChanges(Instant aNow)
{
  std::vector<TargetShare> reports;
  for (const std::string& instance : this->changed) {
    const TargetLoad& load = this->own[instance];
    reports.push_back(ReportOf(instance, load, aNow));
    if (load.Idle(aNow)) {
      this->own.erase(instance);
    }
  }
  this->changed.clear();
  return reports;
}

std::vector<TargetShare>
LoadBook::Snapshot(Instant aNow) const
{
  std::vector<TargetShare> reports;
  for (const auto& [instance, load] : this->own) {
    reports.push_back(ReportOf(instance, load, aNow));
  }
  return reports;
}

TargetLoad
LoadBook::LoadOf(const std::string& aInstance, Instant aNow) const
{
  TargetLoad sum;
  double prefillMs = 0;
  const auto add = [&](const Loads& aLoads) {
    const auto found = aLoads.find(aInstance);
    if (found != aLoads.end()) {
      sum.running += found->second.running;
      sum.tight += found->second.tight;
      sum.unreadMs += found->second.unreadMs;
      sum.memory += found->second.memory;
      prefillMs += found->second.ReadMs(aNow);
    }
  };
  add(this->own);
  for (const auto& [name, loads] : this->peers) {
    add(loads);
  }
  sum.readUntil = aNow + FromMs(prefillMs);
  return sum;
}

void
LoadBook::NoteSuccess(const std::string& aInstance)
{
  const auto found = this->health.find(aInstance);
  if (found != this->health.end()) {
    found->second.failureShare *= 1 - kFailureWeight;
    found->second.failuresInARow = 0;
    found->second.avoidUntil = {};
  }
}

LoadBook::Health&
LoadBook::CountFailure(const std::string& aInstance)
{
  Health& health = this->health[aInstance];
  health.failureShare += kFailureWeight * (1 - health.failureShare);
  ++health.failuresInARow;
  return health;
}

void
LoadBook::NoteFailure(const std::string& aInstance, Instant aNow)
{
  Health& health = this->CountFailure(aInstance);
  if (health.failuresInARow >= kFailuresBeforeBackoff) {
    this->BackOff(health, aNow);
  }
}

void
LoadBook::NoteUnreachable(const std::string& aInstance, Instant aNow)
{
  this->BackOff(this->CountFailure(aInstance), aNow);
}

void
LoadBook::BackOff(Health& aHealth, Instant aNow)
{
  const std::uint32_t doublings = std::min(aHealth.failuresInARow - 1, kMaxBackoffDoublings);
  aHealth.avoidUntil = aNow + std::min(kMaxBackoff, kInitialBackoff * (1U << doublings));
}

bool
LoadBook::Suspected(const std::string& aInstance, Instant aNow) const
{
  const auto found = this->health.find(aInstance);
  return found != this->health.end() && found->second.avoidUntil > aNow;
}

double
LoadBook::FailureShare(const std::string& aInstance) const
{
  const auto found = this->health.find(aInstance);
  return found == this->health.end() ? 0 : found->second.failureShare;
}

void
LoadBook::Forget(const std::string& aInstance)
{
  this->own.erase(aInstance);
  this->health.erase(aInstance);
  this->changed.erase(aInstance);
  for (auto& [name, loads] : this->peers) {
    loads.erase(aInstance);
  }
}

} // namespace sycamorepost
