// Offers the directory of targets that have registered themselves, each under its instance id.
#ifndef SYCAMOREPOST_FORWARD_TARGET_DIRECTORY_H_
#define SYCAMOREPOST_FORWARD_TARGET_DIRECTORY_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "sycamorepost/Types.h"

namespace sycamorepost {

// One registered target.
struct RegisteredTarget
{
  std::string instance; // Unique; a new start mostly has a new one.
  std::string service;
  std::string address; // "ip:port".
  std::string domain;  // The failure domain.
  std::uint32_t slots = 1;
  bool draining = false;
  std::int64_t startedAtMs = 0; // Unix time of its start; 0 when it does not say.

  bool operator==(const RegisteredTarget&) const = default;
};

// One change of the directory: a registration, or the end of one.
struct RegistrationChange
{
  std::string instance;
  std::optional<RegisteredTarget> target; // Empty when the registration was removed.
};

// The directory. A registration that lapses while the store is away is kept until the store has
// been back for a while, as the targets of lapsed registrations still live and register again.
class TargetDirectory
{
public:
  // Takes a change; returns whether the set of usable targets changed.
  bool Apply(const RegistrationChange& aChange, Instant aNow);

  // Replaces the whole content by a full listing; whoever is missing counts as removed.
  bool ApplyListing(const std::vector<RegisteredTarget>& aTargets, Instant aNow);

  // Notes that the store was not reached, each time, or that it is reached.
  void NoteStoreLost(Instant aNow);
  void NoteStoreReached();

  // Removes what stayed away for too long; returns whether anything was removed.
  bool Expire(Instant aNow);

  const std::map<std::string, RegisteredTarget>& Targets() const { return this->targets; }

private:
  bool RemoveOrDefer(const std::string& aInstance, Instant aNow);

  std::map<std::string, RegisteredTarget> targets;
  std::map<std::string, Instant> lapsedUntil; // When a lapsed registration is removed.
  bool storeLost = false;
  Instant
    lostAt; // When the store was last not reached; it has been back since then at the earliest.
};

} // namespace sycamorepost

#endif // SYCAMOREPOST_FORWARD_TARGET_DIRECTORY_H_
