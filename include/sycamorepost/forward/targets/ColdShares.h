// Which targets are cold, and how many requests this entry may send to each of them.
#ifndef SYCAMOREPOST_FORWARD_TARGETS_COLD_SHARES_H_
#define SYCAMOREPOST_FORWARD_TARGETS_COLD_SHARES_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "sycamorepost/TokenBucket.h"
#include "sycamorepost/forward/admission/RouteTable.h"
#include "sycamorepost/forward/targets/TargetDirectory.h"

namespace sycamorepost {

// What all entries together may send to one cold target in any one second: this multiple of the
// rate that its service names, and a number of requests beside it.
struct ColdBound
{
  double overage = 1.5;
  double slack = 5;
};

// When a registration was read.
struct RegistrationReading
{
  Instant at;
  // The Unix time in milliseconds at that instant, by the clock of this process; 0 when unknown.
  std::int64_t unixMs = 0;
};

// The part of the bound that one of the entries that share it uses: a token bucket.
struct ColdShare
{
  std::size_t holders = 0; // The entries that have a share; the others send nothing.
  double perSecond = 0;
  double burst = 0;
};

// Divides the bound on the cold targets of a service among aEntries entries. In any one second the
// shares of all holders together stay within the bound. A holder may send at least one request at
// once, so with many entries not all of them are holders.
ColdShare
DivideColdBound(double aColdPerSecond, const ColdBound& aBound, std::size_t aEntries);

// Knows the cold targets, and grants requests to them without coordination. Which entries hold the
// shares of a target follows from the registered entries and from the target alone, so that entries
// that know the same agree. An entry uses its shares once the others have had the time to read its
// registration, and counts each entry for as long after the end of its registration. So the shares
// in use never add up to more than the bound while entries learn of each other within that time.
class ColdShares
{
public:
  // aAddress is the one under which this entry is registered.
  ColdShares(std::string aAddress, ColdBound aBound);

  // Replaces the registered entries, which are given by address.
  void SetEntries(const std::set<std::string>& aAddresses, Instant aNow);

  // Records that an entry was heard, which may not be registered yet.
  void RecordEntryHeard(const std::string& aAddress, Instant aNow);

  // Records that a failure domain has reported more entries than are registered there.
  void RecordUnlistedEntries(const std::string& aDomain, std::size_t aCount, Instant aNow);

  // Replaces the services, whose limits apply.
  void SetServices(const std::map<std::string, ServiceTraits>& aServices, Instant aNow);

  // Records a registration. What it states counts when it differs from the last one. Returns
  // whether the target has become cold.
  bool RecordRegistration(const RegisteredTarget& aTarget,
                          const RegistrationReading& aReading,
                          Instant aNow);

  // Records how much longer a target remains cold, as it states in a response. Returns whether it
  // has become cold. A target or incarnation that is not registered is ignored.
  bool RecordResponse(const RegisteredTarget& aTarget, Duration aRemaining, Instant aNow);

  // Returns until when a target is cold; an instant in the past when it is not.
  Instant ColdUntil(const std::string& aInstance) const;
  bool IsCold(const std::string& aInstance, Instant aNow) const
  {
    return this->lastColdUntil > aNow && this->ColdUntil(aInstance) > aNow;
  }

  // Returns when the next request may be sent to a target; not after aNow if it may be sent now.
  Instant NextSendAt(const std::string& aInstance, Instant aNow) const;
  bool MaySend(const std::string& aInstance, Instant aNow) const
  {
    return this->NextSendAt(aInstance, aNow) <= aNow;
  }

  // Counts a request that is sent. Returns whether it used a share, that is, its target is cold.
  bool RecordSent(const std::string& aInstance, Instant aNow);

  // Drops entries that no longer count, and targets that are not registered and not cold.
  void Expire(const std::map<std::string, RegisteredTarget>& aTargets, Instant aNow);

  // Returns the number of entries that are assumed to share the bound, with this one.
  std::size_t EntryCount() const;

  // Returns since when this entry uses its shares; Instant::max() while it is not registered.
  Instant InForceAt() const;

private:
  struct Limits
  {
    Duration coldStart{};
    double perSecond = 0; // 0 for no limit.
  };

  struct Target
  {
    std::int64_t startedAtMs = 0;
    std::string service;
    std::int64_t statedMs = -1;    // What its registration has stated last.
    Instant coldUntil;             // As stated.
    std::optional<Instant> bornAt; // When it started, if it has not stated more.
    // While it is cold:
    std::size_t entriesAhead = 0; // Entries that get a share of it before this one.
    TokenBucket bucket = TokenBucket(0, 0);
  };

  const Limits* LimitsOf(const Target& aTarget) const;
  Instant ColdUntil(const Target& aTarget) const;
  bool BeginIfCold(const std::string& aInstance, Target& aTarget, bool aIsFull, Instant aNow);
  void Rank(const std::string& aInstance, Target& aTarget) const;
  void Configure(Target& aTarget, Instant aNow) const;
  void Refresh(Instant aNow);
  Duration SettleTime() const;

  std::string address;
  ColdBound bound;
  std::map<std::string, Instant> entries; // Other entries by address, and until when they count.
  struct Unlisted
  {
    std::size_t count = 0;
    Instant until;
  };
  std::map<std::string, Unlisted> unlisted; // By failure domain.
  std::optional<Instant> listedSince;       // When this entry was first seen to be registered.
  std::map<std::string, Limits> limits;     // By service.
  std::map<std::string, Target> targets;    // By instance.
  // No target is cold from then on, as far as is known: placements need not look them up.
  Instant lastColdUntil;
};

} // namespace sycamorepost

#endif // SYCAMOREPOST_FORWARD_TARGETS_COLD_SHARES_H_
