#include "sycamorepost/forward/targets/TargetNotices.h"

#include <algorithm>

namespace sycamorepost {

namespace {

constexpr Duration kMaxPause = std::chrono::hours(24);

// Longer than a registration may stay away during an outage of the store.
constexpr Duration kUnregisteredTtl = std::chrono::minutes(10);

} // namespace

bool
TargetNotices::Record(const std::string& aInstance,
                      std::int64_t aStartedAtMs,
                      const TargetAnnouncement& aAnnouncement,
                      Instant aNow)
{
  if (!aAnnouncement.isLeaving && !aAnnouncement.pause) {
    return false;
  }
  Notice& notice = this->notices[aInstance];
  if (notice.startedAtMs != aStartedAtMs) {
    notice = { .startedAtMs = aStartedAtMs };
  }
  notice.recordedAt = aNow;
  if (aAnnouncement.pause) {
    notice.pausedUntil =
      std::max(notice.pausedUntil, aNow + std::min(*aAnnouncement.pause, kMaxPause));
  }
  const bool isNew = aAnnouncement.isLeaving && !notice.isLeaving;
  notice.isLeaving = notice.isLeaving || aAnnouncement.isLeaving;
  return isNew;
}

const TargetNotices::Notice*
TargetNotices::Find(const RegisteredTarget& aTarget) const
{
  const auto found = this->notices.find(aTarget.instance);
  const bool sameIncarnation =
    found != this->notices.end() && found->second.startedAtMs == aTarget.startedAtMs;
  return sameIncarnation ? &found->second : nullptr;
}

bool
TargetNotices::MayReceive(const RegisteredTarget& aTarget, Instant aNow) const
{
  const Notice* notice = this->Find(aTarget);
  return !notice || (!notice->isLeaving && notice->pausedUntil <= aNow);
}

bool
TargetNotices::IsLeaving(const RegisteredTarget& aTarget) const
{
  const Notice* notice = this->Find(aTarget);
  return notice && notice->isLeaving;
}

Instant
TargetNotices::PausedUntil(const RegisteredTarget& aTarget) const
{
  const Notice* notice = this->Find(aTarget);
  return notice ? notice->pausedUntil : Instant();
}

void
TargetNotices::Expire(const std::map<std::string, RegisteredTarget>& aTargets, Instant aNow)
{
  std::erase_if(this->notices, [&](const auto& aItem) {
    const Notice& notice = aItem.second;
    const bool ended = !notice.isLeaving && notice.pausedUntil <= aNow;
    return ended ||
           (!aTargets.contains(aItem.first) && notice.recordedAt + kUnregisteredTtl < aNow);
  });
}

} // namespace sycamorepost
