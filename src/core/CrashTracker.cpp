#include "sycamorepost/CrashTracker.h"

#include <algorithm>

namespace sycamorepost {

void
CrashTracker::RecordCrashes(std::uint64_t aFingerprint, std::uint32_t aCrashes, Instant aExpiresAt)
{
  Entry& entry = this->entries[aFingerprint];
  entry.crashes = std::max(entry.crashes, aCrashes);
  entry.expiresAt = std::max(entry.expiresAt, aExpiresAt);
}

void
CrashTracker::Clear(std::uint64_t aFingerprint)
{
  const auto entry = this->entries.find(aFingerprint);
  if (entry != this->entries.end() && entry->second.crashes < kBlockingCrashes) {
    this->entries.erase(entry);
  }
}

CrashStatus
CrashTracker::Check(std::uint64_t aFingerprint, Instant aNow)
{
  const auto entry = this->entries.find(aFingerprint);
  if (entry == this->entries.end()) {
    return CrashStatus::None;
  }
  if (entry->second.expiresAt <= aNow) {
    this->entries.erase(entry);
    return CrashStatus::None;
  }
  return entry->second.crashes >= kBlockingCrashes ? CrashStatus::Blocked : CrashStatus::Suspect;
}

} // namespace sycamorepost
