#include "sycamorepost/Suspects.h"

#include <algorithm>

namespace sycamorepost {

void
Suspects::Note(std::uint64_t aFingerprint, std::uint32_t aCrashes, Instant aExpiresAt)
{
  Entry& entry = this->entries[aFingerprint];
  entry.crashes = std::max(entry.crashes, aCrashes);
  entry.expiresAt = std::max(entry.expiresAt, aExpiresAt);
}

void
Suspects::Clear(std::uint64_t aFingerprint)
{
  const auto entry = this->entries.find(aFingerprint);
  if (entry != this->entries.end() && entry->second.crashes < kBlockingDeaths) {
    this->entries.erase(entry);
  }
}

Suspicion
Suspects::Check(std::uint64_t aFingerprint, Instant aNow)
{
  const auto entry = this->entries.find(aFingerprint);
  if (entry == this->entries.end()) {
    return Suspicion::None;
  }
  if (entry->second.expiresAt <= aNow) {
    this->entries.erase(entry);
    return Suspicion::None;
  }
  return entry->second.crashes >= kBlockingDeaths ? Suspicion::Blocked : Suspicion::Suspect;
}

} // namespace sycamorepost
