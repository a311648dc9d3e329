#include "sycamorepost/forward/TargetDirectory.h"

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
  if (isNew || isChanged || wasKept) {
    this->events.push_back({ aTarget.instance,
                             isNew     ? DirectoryChange::Added
                             : wasKept ? DirectoryChange::Renewed
                                       : DirectoryChange::Changed });
  }
  known->second = aTarget;
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
    return this->RemoveOrDefer(aChange.instance, aNow);
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
    changed = this->RemoveOrDefer(instance, aNow) || changed;
  }
  return changed;
}

// The neighbour has decided already whether a lapsed registration is kept for a while.
bool
TargetDirectory::Adopt(const std::vector<RegisteredTarget>& aChanged,
                       const std::vector<std::string>& aRemoved)
{
  bool changed = false;
  for (const RegisteredTarget& target : aChanged) {
    changed = this->Put(target) || changed;
  }
  for (const std::string& instance : aRemoved) {
    this->lapsedExpiry.erase(instance);
    changed = this->Erase(instance, DirectoryChange::Removed) || changed;
  }
  return changed;
}

void
TargetDirectory::RecordStoreUnreachable(Instant aNow)
{
  this->storeUnreachable = true;
  this->lastUnreachableAt = aNow;
}

// The grace period starts at the earliest possible return of the store, so that a target that
// deregisters for good just after the return is not kept any longer.
void
TargetDirectory::RecordStoreReachable()
{
  if (!this->storeUnreachable) {
    return;
  }
  this->storeUnreachable = false;
  for (auto& [instance, until] : this->lapsedExpiry) {
    until = std::min(until, this->lastUnreachableAt + kReregistrationGrace);
  }
}

bool
TargetDirectory::RemoveOrDefer(const std::string& aInstance, Instant aNow)
{
  const auto found = this->targets.find(aInstance);
  if (found == this->targets.end() || this->lapsedExpiry.contains(aInstance)) {
    return false;
  }
  const bool afterOutage =
    this->storeUnreachable ||
    (this->lastUnreachableAt != Instant() && aNow < this->lastUnreachableAt + kReregistrationGrace);
  // A draining target does not register again.
  if (!afterOutage || found->second.draining) {
    return this->Erase(aInstance, DirectoryChange::Removed);
  }
  this->events.push_back({ aInstance, DirectoryChange::Kept });
  this->lapsedExpiry[aInstance] =
    this->storeUnreachable ? Instant::max() : this->lastUnreachableAt + kReregistrationGrace;
  return false;
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
