#include "sycamorepost/forward/LoadBook.h"

#include <algorithm>

namespace sycamorepost {

namespace {

// The weight of the newest exchange: about the last five decide.
constexpr double kFailureWeight = 0.2;

// The first pause after a failure is about a round trip with one retransmission; the longest is
// how soon a restarted target should be found again.
constexpr Duration kFirstAvoidance = std::chrono::milliseconds(250);
constexpr Duration kLongestAvoidance = std::chrono::seconds(2);
constexpr std::uint32_t kMostDoublings = 3;

// Failures of one target in a row before it is avoided: one may be the request's own fault.
constexpr std::uint32_t kFailuresToAvoid = 2;

// The share of reading that is late which still counts: on the average half of it is done.
constexpr double kUnreadShare = 0.5;
TargetShare
ShareOf(const std::string& aInstance, const TargetLoad& aLoad, Instant aNow)
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
  return std::max({ 0.0, planned, kUnreadShare * this->unreadMs });
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
LoadBook::Remove(const PlacedWork& aWork, bool aWasRead, Instant aNow)
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
  if (!aWasRead) {
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
LoadBook::TakeTold(const std::string& aPeer, const std::vector<TargetShare>& aLoads, Instant aNow)
{
  Loads& loads = this->peers[aPeer];
  for (const TargetShare& told : aLoads) {
    if (told.running == 0 && told.memory == 0 && told.unreadMs <= 0) {
      loads.erase(told.instance);
    } else {
      loads[told.instance] = {
        told.running, told.tight, told.memory, aNow + FromMs(told.readMs), told.unreadMs
      };
    }
  }
}

std::vector<TargetShare>
LoadBook::TakeChanges(Instant aNow)
{
  std::vector<TargetShare> told;
  for (const std::string& instance : this->changed) {
    const TargetLoad& load = this->own[instance];
    told.push_back(ShareOf(instance, load, aNow));
    if (load.Idle(aNow)) {
      this->own.erase(instance);
    }
  }
  this->changed.clear();
  return told;
}

std::vector<TargetShare>
LoadBook::Snapshot(Instant aNow) const
{
  std::vector<TargetShare> told;
  for (const auto& [instance, load] : this->own) {
    told.push_back(ShareOf(instance, load, aNow));
  }
  return told;
}

TargetLoad
LoadBook::LoadOf(const std::string& aInstance, Instant aNow) const
{
  TargetLoad sum;
  double readMs = 0;
  const auto add = [&](const Loads& aLoads) {
    const auto found = aLoads.find(aInstance);
    if (found != aLoads.end()) {
      sum.running += found->second.running;
      sum.tight += found->second.tight;
      sum.unreadMs += found->second.unreadMs;
      sum.memory += found->second.memory;
      readMs += found->second.ReadMs(aNow);
    }
  };
  add(this->own);
  for (const auto& [name, loads] : this->peers) {
    add(loads);
  }
  sum.readUntil = aNow + FromMs(readMs);
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
  if (health.failuresInARow >= kFailuresToAvoid) {
    this->Avoid(health, aNow);
  }
}

void
LoadBook::NoteUnreachable(const std::string& aInstance, Instant aNow)
{
  this->Avoid(this->CountFailure(aInstance), aNow);
}

void
LoadBook::Avoid(Health& aHealth, Instant aNow)
{
  const std::uint32_t doublings = std::min(aHealth.failuresInARow - 1, kMostDoublings);
  aHealth.avoidUntil = aNow + std::min(kLongestAvoidance, kFirstAvoidance * (1U << doublings));
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
