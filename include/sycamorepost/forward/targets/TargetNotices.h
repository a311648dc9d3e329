// What targets announce in their responses: that they are leaving, that they want no work for a
// while, or that they are cold.
#ifndef SYCAMOREPOST_FORWARD_TARGETS_TARGET_NOTICES_H_
#define SYCAMOREPOST_FORWARD_TARGETS_TARGET_NOTICES_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "sycamorepost/Types.h"
#include "sycamorepost/forward/targets/TargetDirectory.h"

namespace sycamorepost {

// The announcements of one response.
struct TargetAnnouncement
{
  bool isLeaving = false;        // The target is about to end and wants no new work.
  std::optional<Duration> pause; // It wants nothing from this entry for so long.
  Duration coldRemaining{};      // How much longer it is cold; 0 when not given. See ColdShares.
};

// Remembers announcements by the incarnation of a target. An announcement outlives the target's
// registration, which may lapse and return while the store is unreachable.
class TargetNotices
{
public:
  // Records the announcements of a response of a target's incarnation, which started at
  // aStartedAtMs (Unix time; 0 when unknown). Returns whether its leaving is new. A pause that is
  // longer than a day counts as a day.
  bool Record(const std::string& aInstance,
              std::int64_t aStartedAtMs,
              const TargetAnnouncement& aAnnouncement,
              Instant aNow);

  // Returns whether new work, or memory reservations, may be sent to a target.
  bool MayReceive(const RegisteredTarget& aTarget, Instant aNow) const;

  // Returns whether a target has announced that it is leaving.
  bool IsLeaving(const RegisteredTarget& aTarget) const;

  // Returns when the pause of a target ends; a time in the past when there is none.
  Instant PausedUntil(const RegisteredTarget& aTarget) const;

  // Drops what concerns targets that are not registered any more, some minutes after its recording.
  void Expire(const std::map<std::string, RegisteredTarget>& aTargets, Instant aNow);

private:
  struct Notice
  {
    std::int64_t startedAtMs = 0;
    bool isLeaving = false;
    Instant pausedUntil;
    Instant recordedAt;
  };

  const Notice* Find(const RegisteredTarget& aTarget) const;

  std::map<std::string, Notice> notices; // By instance.
};

} // namespace sycamorepost

#endif // SYCAMOREPOST_FORWARD_TARGETS_TARGET_NOTICES_H_
