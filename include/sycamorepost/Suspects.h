// Offers the record of request fingerprints that were running when engines died. Entries and
// sidecars keep one each and fill it from notices.
#ifndef SYCAMOREPOST_SUSPECTS_H_
#define SYCAMOREPOST_SUSPECTS_H_

#include <cstdint>
#include <map>

#include "sycamorepost/Types.h"

namespace sycamorepost {

// A fingerprint with this many deaths is blocked.
inline constexpr std::uint32_t kBlockingDeaths = 2;

// How long a suspicion or a block stays in force.
inline constexpr Duration kSuspectTime = std::chrono::minutes(10);

// How far a fingerprint is suspected.
enum class Suspicion
{
  None,
  Suspect, // It may only run alone on a quarantine engine.
  Blocked, // It may not run.
};

// The record. Deaths only ever rise until the entry expires or is cleared.
class Suspects
{
public:
  // Notes deaths that somebody saw.
  void Note(std::uint64_t aFingerprint, std::uint32_t aCrashes, Instant aExpiresAt);

  // Clears a suspicion; a block stays.
  void Clear(std::uint64_t aFingerprint);

  // Returns the state of a fingerprint.
  Suspicion Check(std::uint64_t aFingerprint, Instant aNow);

  // Returns the number of fingerprints on record.
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

#endif // SYCAMOREPOST_SUSPECTS_H_
