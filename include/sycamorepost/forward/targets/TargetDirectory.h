// The directory of registered targets, by instance id.
#ifndef SYCAMOREPOST_FORWARD_TARGETS_TARGET_DIRECTORY_H_
#define SYCAMOREPOST_FORWARD_TARGETS_TARGET_DIRECTORY_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "sycamorepost/Types.h"

namespace sycamorepost {

// A registered target.
struct RegisteredTarget
{
  std::string instance; // Unique; usually changes with each start.
  std::string service;
  std::string address; // "ip:port".
  std::string domain;  // The failure domain.
  std::uint32_t slots = 1;
  bool draining = false;
  std::int64_t startedAtMs = 0; // Unix time of its start; 0 when not given.
  // Milliseconds for which it remains cold, as of the registration; negative when not given.
  std::int64_t coldRemainingMs = -1;

  bool operator==(const RegisteredTarget&) const = default;
};

// A change of the directory: a registration, or the end of one.
struct RegistrationChange
{
  std::string instance;
  std::optional<RegisteredTarget> target; // Empty when the registration was removed.
};

// What happens to a target in the directory.
enum class DirectoryChange : std::uint8_t
{
  Added,
  Changed,
  Removed, // Its registration ended.
  Kept,    // Its registration ended, and it stays usable for a while.
  Renewed, // It was kept and is registered again.
  Dropped, // It was kept and did not register again in time.
};

// Returns the name of a change for the log.
const char*
NameOf(DirectoryChange aChange);

// One change of one target.
struct DirectoryEvent
{
  std::string instance;
  DirectoryChange change = DirectoryChange::Added;
};

// The directory. A registration that lapses while the store is unreachable is kept until the store
// has been reachable again for a while: its target may be alive and register again. Only what the
// store lists is passed on to neighbours; which targets are kept is each entry's own decision, as
// the store may be unreachable for some entries only.
class TargetDirectory
{
public:
  // Applies a change; returns whether the set of usable targets changed.
  bool Apply(const RegistrationChange& aChange, Instant aNow);

  // Replaces the content by a complete listing; targets that are not listed count as removed.
  // Returns whether the set of usable targets changed.
  bool ApplyListing(const std::vector<RegisteredTarget>& aTargets, Instant aNow);

  // Applies what a neighbour has found in the store. The store has served it without a failure
  // since aServedSince, if that is known. Returns whether the set of usable targets changed.
  bool Adopt(const std::vector<RegisteredTarget>& aChanged,
             const std::vector<std::string>& aRemoved,
             std::optional<Instant> aServedSince,
             Instant aNow);

  // Record that a read of the registrations begins, each failed attempt to reach the store, and a
  // successful one.
  void RecordReadStarted() { this->isAwaitingStore = true; }
  void RecordStoreUnreachable(Instant aNow);
  void RecordStoreReachable();

  // Records that the store has served a neighbour, which knows the same registrations, without a
  // failure since an instant.
  void RecordNeighbourServed(Instant aSince) { this->ShortenGrace(aSince); }

  // Returns since when the store has served this entry without a failure: an instant in the past
  // when it has never failed, nothing while it fails or does not respond.
  std::optional<Instant> ServedSince() const;

  // Returns when the next kept target is dropped, if there is one.
  std::optional<Instant> NextExpiry() const;

  // Removes lapsed registrations that were not renewed in time; returns whether any was removed.
  bool Expire(Instant aNow);

  const std::map<std::string, RegisteredTarget>& Targets() const { return this->targets; }

  // Returns the targets that the store lists, without those that are only kept.
  const std::map<std::string, RegisteredTarget>& Registered() const { return this->registered; }

  // Returns what has happened to targets since the last call.
  std::vector<DirectoryEvent> TakeEvents() { return std::exchange(this->events, {}); }

private:
  bool
  RemoveOrKeep(const std::string& aInstance, std::optional<Instant> aServedSince, Instant aNow);
  void ShortenGrace(Instant aServedSince);
  bool Put(const RegisteredTarget& aTarget);
  bool Erase(const std::string& aInstance, DirectoryChange aChange);

  std::map<std::string, RegisteredTarget> targets;    // Those that are registered or kept.
  std::map<std::string, RegisteredTarget> registered; // Those that the store lists.
  std::map<std::string, Instant> lapsedExpiry;        // When a kept target is dropped.
  bool storeUnreachable = false;
  bool isAwaitingStore = false; // A read has no response yet.
  // When the store was last found unreachable, which is the earliest time of its return.
  Instant lastUnreachableAt;
  std::vector<DirectoryEvent> events;
};

} // namespace sycamorepost

#endif // SYCAMOREPOST_FORWARD_TARGETS_TARGET_DIRECTORY_H_
