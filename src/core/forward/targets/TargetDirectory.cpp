#include "sycamorepost/forward/targets/TargetDirectory.h"

#include <algorithm>
#include <array>

namespace sycamorepost {

namespace {

// Live targets register again within two seconds of the return of the store; the rest is for the
// propagation of the record to this process.
constexpr Duration kReregistrationGrace = std::chrono::milliseconds(2100);

constexpr std::array<const char*, 6> kChangeNames{
  "registered", "changed", "removed", "kept", "registered again", "dropped",
};

} // namespace

const char*
NameOf(DirectoryChange aChange)
{
  return kChangeNames.at(static_cast<std::size_t>(aChange));
}

// Adds a target or replaces what is known of it; returns whether the usable targets changed.
bool
TargetDirectory::Put(const RegisteredTarget& aTarget)
{
  const bool wasKept = this->lapsedExpiry.erase(aTarget.instance) > 0;
  const auto [known, isNew] = this->targets.try_emplace(aTarget.instance, aTarget);
  const bool isChanged = !isNew && known->second != aTarget;
  RegisteredTarget before = known->second;
  before.coldRemainingMs = aTarget.coldRemainingMs; // Each registration of a cold target differs.
  if (isNew || before != aTarget || wasKept) {
    this->events.push_back({ aTarget.instance,
                             isNew     ? DirectoryChange::Added
                             : wasKept ? DirectoryChange::Renewed
                                       : DirectoryChange::Changed });
  }
  known->second = aTarget;
  this->registered[aTarget.instance] = aTarget;
  return isNew || isChanged;
}

// Removes a target; returns whether there was one.
bool
TargetDirectory::Erase(const std::string& aInstance, DirectoryChange aChange)
{
  const bool wasKnown = this->targets.erase(aInstance) > 0;
  if (wasKnown) {
    this->events.push_back({ aInstance, aChange });
  }
  return wasKnown;
}

bool
TargetDirectory::Apply(const RegistrationChange& aChange, Instant aNow)
{
  if (!aChange.target) {
    return this->RemoveOrKeep(aChange.instance, this->ServedSince(), aNow);
  }
  return this->Put(*aChange.target);
}

bool
TargetDirectory::ApplyListing(const std::vector<RegisteredTarget>& aTargets, Instant aNow)
{
  bool changed = false;
  std::vector<std::string> missing;
  for (const auto& known : this->targets) {
    const bool listed =
      std::any_of(aTargets.begin(), aTargets.end(), [&known](const RegisteredTarget& aTarget) {
        return aTarget.instance == known.first;
      });
    if (!listed) {
      missing.push_back(known.first);
    }
  }
  for (const RegisteredTarget& target : aTargets) {
    changed = this->Apply({ target.instance, target }, aNow) || changed;
  }
  for (const std::string& instance : missing) {
    changed = this->RemoveOrKeep(instance, this->ServedSince(), aNow) || changed;
  }
  return changed;
}

// A registration cannot have lapsed in an outage of the store that has served one of both entries
// all the time. When neither was served, the report shows that the store is back.
bool
TargetDirectory::Adopt(const std::vector<RegisteredTarget>& aChanged,
                       const std::vector<std::string>& aRemoved,
                       std::optional<Instant> aServedSince,
                       Instant aNow)
{
  bool changed = false;
  for (const RegisteredTarget& target : aChanged) {
    changed = this->Put(target) || changed;
  }
  const std::optional<Instant> ownSince = this->ServedSince();
  const Instant since = std::min(ownSince.value_or(aNow), aServedSince.value_or(aNow));
  for (const std::string& instance : aRemoved) {
    changed = this->RemoveOrKeep(instance, since, aNow) || changed;
  }
  return changed;
}

void
TargetDirectory::RecordStoreUnreachable(Instant aNow)
{
  this->isAwaitingStore = false;
  this->storeUnreachable = true;
  this->lastUnreachableAt = aNow;
}

void
TargetDirectory::RecordStoreReachable()
{
  this->isAwaitingStore = false;
  this->storeUnreachable = false;
  this->ShortenGrace(this->lastUnreachableAt);
}

// The last failure is the earliest time of the store's return: a target that deregisters for good
// just after the return is not kept any longer.
std::optional<Instant>
TargetDirectory::ServedSince() const
{
  const bool isServed = !this->storeUnreachable && !this->isAwaitingStore;
  return isServed ? std::optional(this->lastUnreachableAt) : std::nullopt;
}

void
TargetDirectory::ShortenGrace(Instant aServedSince)
{
  for (auto& [instance, until] : this->lapsedExpiry) {
    until = std::min(until, aServedSince + kReregistrationGrace);
  }
}

// Removes a target whose registration has ended, or keeps it if the registration may have lapsed in
// an outage of the store. Returns whether the set of usable targets changed.
bool
TargetDirectory::RemoveOrKeep(const std::string& aInstance,
                              std::optional<Instant> aServedSince,
                              Instant aNow)
{
  const auto found = this->targets.find(aInstance);
  if (found == this->targets.end() || this->lapsedExpiry.contains(aInstance)) {
    return false;
  }
  this->registered.erase(aInstance);
  const Instant until = aServedSince ? *aServedSince + kReregistrationGrace : Instant::max();
  // A draining target does not register again.
  if (until <= aNow || found->second.draining) {
    return this->Erase(aInstance, DirectoryChange::Removed);
  }
  this->events.push_back({ aInstance, DirectoryChange::Kept });
  this->lapsedExpiry[aInstance] = until;
  return false;
}

std::optional<Instant>
TargetDirectory::NextExpiry() const
{
  std::optional<Instant> next;
  for (const auto& [instance, until] : this->lapsedExpiry) {
    next = std::min(next.value_or(until), until);
  }
  return next;
}

bool
TargetDirectory::Expire(Instant aNow)
{
  bool changed = false;
  for (auto lapsed = this->lapsedExpiry.begin(); lapsed != this->lapsedExpiry.end();) {
    if (lapsed->second > aNow) {
      ++lapsed;
      continue;
    }
    changed = this->Erase(lapsed->first, DirectoryChange::Dropped) || changed;
    lapsed = this->lapsedExpiry.erase(lapsed);
  }
  return changed;
}

} // namespace sycamorepost
