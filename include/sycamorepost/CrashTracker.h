// Declares the tracker of request fingerprints that were running when engines crashed. Each entry
// and each sidecar has one, and updates it from the notices of its peers.
#ifndef SYCAMOREPOST_CRASH_TRACKER_H_
#define SYCAMOREPOST_CRASH_TRACKER_H_

#include <cstdint>
#include <map>

#include "sycamorepost/Types.h"

namespace sycamorepost {

// A fingerprint with this many crashes is blocked.
inline constexpr std::uint32_t kBlockingCrashes = 2;

// How long a crash record, and so a block, stays valid.
inline constexpr Duration kCrashRecordTtl = std::chrono::minutes(10);

// Whether a fingerprint is suspected of crashing engines.
enum class CrashStatus
{
  None,
  Suspect, // May only run alone on a quarantine engine.
  Blocked, // May not run.
};

// Crash counts by fingerprint. A count never decreases until its record expires or is cleared.
class CrashTracker
{
public:
  // Raises a fingerprint's crash count to at least aCrashes and its expiry to at least aExpiresAt.
  void RecordCrashes(std::uint64_t aFingerprint, std::uint32_t aCrashes, Instant aExpiresAt);

  // Removes a fingerprint's record unless it is blocked.
  void Clear(std::uint64_t aFingerprint);

  // Returns the status of a fingerprint and removes its record if it has expired.
  CrashStatus Check(std::uint64_t aFingerprint, Instant aNow);

  // Returns the number of recorded fingerprints.
  std::size_t Size() const { return this->entries.size(); }

private:
  struct Entry
  {
    std::uint32_t crashes = 0;
    Instant expiresAt;
  };

  std::map<std::uint64_t, Entry> entries;
};

} // namespace sycamorepost

#endif // SYCAMOREPOST_CRASH_TRACKER_H_
