#include "sycamorepost/forward/targets/ColdShares.h"

#include <algorithm>
#include <cmath>

#include "sycamorepost/Hash.h"

namespace sycamorepost {

namespace {

// The time within which entries learn of a registered one: their reads are spaced by so much for
// each entry, up to a limit (StoreFollower), and the rest is for the read itself.
constexpr Duration kReadIntervalPerEntry = std::chrono::milliseconds(20);
constexpr Duration kMaxReadInterval = std::chrono::seconds(2);
constexpr Duration kReadTime = std::chrono::milliseconds(300);

// The length of the windows in which the requests are bounded.
constexpr Duration kWindow = std::chrono::seconds(1);

// Fraction of the requests that a holder may send in a window to which its rate is limited, so that
// a bucket of one request never grants one more within the window.
constexpr double kMaxRateShare = 0.99;

// The longest time for which one statement makes a target cold.
constexpr std::int64_t kMaxStatedMs = 24 * 3600 * 1000;

// The level of a bucket that is cut to the share of this entry once that is known.
constexpr double kUnlimited = 1e9;

// How far the clock of a target may be ahead of this process's for its start to be believed.
constexpr std::int64_t kMaxClockLeadMs = 1000;

// Returns whether a target may be cold because it started at a Unix time, as seen at another one;
// both are 0 when unknown.
bool
IsRecent(std::int64_t aStartedAtMs, std::int64_t aUnixMs)
{
  return aStartedAtMs != 0 && aUnixMs != 0 && aStartedAtMs > aUnixMs - kMaxStatedMs &&
         aStartedAtMs <= aUnixMs + kMaxClockLeadMs;
}

} // namespace

ColdShare
DivideColdBound(double aColdPerSecond, const ColdBound& aBound, std::size_t aEntries)
{
  const double inWindow = aColdPerSecond * aBound.overage + aBound.slack;
  ColdShare share;
  share.holders = static_cast<std::size_t>(
    std::max(0.0, std::min(static_cast<double>(aEntries), std::floor(inWindow))));
  if (share.holders == 0) {
    return share;
  }
  // A bucket grants floor(burst + perSecond) requests in a second at the most.
  const auto holders = static_cast<double>(share.holders);
  const double each = inWindow / holders;
  share.perSecond = std::min(aColdPerSecond / holders, kMaxRateShare * std::floor(each));
  share.burst = std::max(1.0, each - share.perSecond);
  return share;
}

ColdShares::ColdShares(std::string aAddress, ColdBound aBound)
  : address(std::move(aAddress))
  , bound(aBound)
{
}

std::size_t
ColdShares::EntryCount() const
{
  std::size_t count = this->entries.size() + 1;
  for (const auto& [domain, more] : this->unlisted) {
    count += more.count;
  }
  return count;
}

// Returns the time after which all entries know of a change of the entries, and none has sent a
// request within the last window that it would not send now.
Duration
ColdShares::SettleTime() const
{
  const auto count = static_cast<std::int64_t>(this->EntryCount());
  return std::min(kReadIntervalPerEntry * count, kMaxReadInterval) + kReadTime + kWindow;
}

Instant
ColdShares::InForceAt() const
{
  return this->listedSince ? *this->listedSince + this->SettleTime() : Instant::max();
}

void
ColdShares::SetEntries(const std::set<std::string>& aAddresses, Instant aNow)
{
  const Duration settleTime = this->SettleTime();
  for (auto& [known, until] : this->entries) {
    if (until == Instant::max() && !aAddresses.contains(known)) {
      until = aNow + settleTime;
    }
  }
  for (const std::string& registered : aAddresses) {
    if (registered != this->address) {
      this->entries[registered] = Instant::max();
    }
  }
  if (!aAddresses.contains(this->address)) {
    this->listedSince.reset();
  } else if (!this->listedSince) {
    this->listedSince = aNow;
  }
  this->Refresh(aNow);
}

void
ColdShares::RecordEntryHeard(const std::string& aAddress, Instant aNow)
{
  const Instant until = aNow + this->SettleTime();
  const auto [known, isNew] = this->entries.try_emplace(aAddress, until);
  known->second = std::max(known->second, until);
  if (isNew) {
    this->Refresh(aNow);
  }
}

void
ColdShares::RecordUnlistedEntries(const std::string& aDomain, std::size_t aCount, Instant aNow)
{
  Unlisted& known = this->unlisted[aDomain];
  if (aCount >= known.count) {
    known.until = aNow + this->SettleTime();
  }
  if (aCount > known.count) {
    known.count = aCount;
    this->Refresh(aNow);
  }
}

void
ColdShares::SetServices(const std::map<std::string, ServiceTraits>& aServices, Instant aNow)
{
  this->limits.clear();
  for (const auto& [name, service] : aServices) {
    this->limits[name] = { service.coldStart, service.coldPerSecond };
  }
  this->Refresh(aNow);
}

bool
ColdShares::RecordRegistration(const RegisteredTarget& aTarget,
                               const RegistrationReading& aReading,
                               Instant aNow)
{
  const auto [found, isNew] = this->targets.try_emplace(aTarget.instance);
  Target& known = found->second;
  const bool isNewIncarnation = isNew || known.startedAtMs != aTarget.startedAtMs;
  if (isNewIncarnation) {
    known = Target{ .startedAtMs = aTarget.startedAtMs, .service = aTarget.service };
    if (IsRecent(aTarget.startedAtMs, aReading.unixMs)) {
      const std::chrono::milliseconds age(aReading.unixMs - aTarget.startedAtMs);
      known.bornAt = aReading.at - std::max<Duration>(age, Duration::zero());
    }
  }
  const bool wasCold = !isNewIncarnation && this->ColdUntil(known) > aNow;
  const std::int64_t statedBefore = std::exchange(known.statedMs, aTarget.coldRemainingMs);
  if (aTarget.coldRemainingMs >= 0) {
    known.bornAt.reset();
  }
  if (aTarget.coldRemainingMs > 0 && aTarget.coldRemainingMs != statedBefore) {
    const std::chrono::milliseconds remaining(std::min(aTarget.coldRemainingMs, kMaxStatedMs));
    known.coldUntil = std::max(known.coldUntil, aReading.at + remaining);
  } else if (aTarget.coldRemainingMs <= 0 && statedBefore > 0) {
    known.coldUntil = Instant();
  }
  this->lastColdUntil = std::max(this->lastColdUntil, this->ColdUntil(known));
  return !wasCold && this->BeginIfCold(aTarget.instance, known, isNewIncarnation, aNow);
}

bool
ColdShares::RecordResponse(const RegisteredTarget& aTarget, Duration aRemaining, Instant aNow)
{
  const auto found = this->targets.find(aTarget.instance);
  if (found == this->targets.end() || found->second.startedAtMs != aTarget.startedAtMs) {
    return false;
  }
  Target& known = found->second;
  const bool wasCold = this->ColdUntil(known) > aNow;
  const Duration remaining =
    std::min<Duration>(aRemaining, std::chrono::milliseconds(kMaxStatedMs));
  known.coldUntil = std::max(known.coldUntil, aNow + remaining);
  this->lastColdUntil = std::max(this->lastColdUntil, known.coldUntil);
  return !wasCold && this->BeginIfCold(aTarget.instance, known, false, aNow);
}

// A target that becomes cold while it is in use has just got requests that were not counted, so its
// shares start empty. Returns whether it is cold.
bool
ColdShares::BeginIfCold(const std::string& aInstance, Target& aTarget, bool aIsFull, Instant aNow)
{
  if (this->ColdUntil(aTarget) <= aNow) {
    return false;
  }
  aTarget.bucket = aIsFull ? TokenBucket(kUnlimited, 0) : TokenBucket(0, 0);
  this->Rank(aInstance, aTarget);
  this->Configure(aTarget, aNow);
  return true;
}

const ColdShares::Limits*
ColdShares::LimitsOf(const Target& aTarget) const
{
  const auto found = this->limits.find(aTarget.service);
  return found == this->limits.end() ? nullptr : &found->second;
}

Instant
ColdShares::ColdUntil(const Target& aTarget) const
{
  const Limits* limitsOf = this->LimitsOf(aTarget);
  return aTarget.bornAt && limitsOf
           ? std::max(aTarget.coldUntil, *aTarget.bornAt + limitsOf->coldStart)
           : aTarget.coldUntil;
}

Instant
ColdShares::ColdUntil(const std::string& aInstance) const
{
  const auto found = this->targets.find(aInstance);
  return found == this->targets.end() ? Instant() : this->ColdUntil(found->second);
}

Instant
ColdShares::NextSendAt(const std::string& aInstance, Instant aNow) const
{
  if (this->lastColdUntil <= aNow) {
    return aNow;
  }
  const auto found = this->targets.find(aInstance);
  if (found == this->targets.end()) {
    return aNow;
  }
  const Target& target = found->second;
  const Limits* limitsOf = this->LimitsOf(target);
  const Instant coldUntil = this->ColdUntil(target);
  if (coldUntil <= aNow || !limitsOf || limitsOf->perSecond <= 0) {
    return aNow;
  }
  const ColdShare share = DivideColdBound(limitsOf->perSecond, this->bound, this->EntryCount());
  if (target.entriesAhead >= share.holders) {
    return coldUntil;
  }
  TokenBucket bucket = target.bucket;
  // Rounded up, as the bucket rounds down.
  const Duration wait =
    bucket.TryTake(1, aNow) ? Duration::zero() : bucket.TimeUntil(1) + Duration(1);
  return std::min(coldUntil, std::max(aNow + wait, this->InForceAt()));
}

bool
ColdShares::RecordSent(const std::string& aInstance, Instant aNow)
{
  const auto found = this->targets.find(aInstance);
  if (found == this->targets.end() || this->ColdUntil(found->second) <= aNow) {
    return false;
  }
  const Limits* limitsOf = this->LimitsOf(found->second);
  if (!limitsOf || limitsOf->perSecond <= 0) {
    return false;
  }
  found->second.bucket.TakeWithDebt(1, aNow);
  return true;
}

void
ColdShares::Expire(const std::map<std::string, RegisteredTarget>& aTargets, Instant aNow)
{
  std::erase_if(this->targets, [&](const auto& aItem) {
    return !aTargets.contains(aItem.first) && this->ColdUntil(aItem.second) <= aNow;
  });
  const std::size_t before = this->EntryCount();
  std::erase_if(this->entries, [aNow](const auto& aItem) { return aItem.second <= aNow; });
  std::erase_if(this->unlisted, [aNow](const auto& aItem) { return aItem.second.until <= aNow; });
  if (this->EntryCount() != before) {
    this->Refresh(aNow);
  }
}

// The order of the entries differs from target to target, so that each gets shares of some.
void
ColdShares::Rank(const std::string& aInstance, Target& aTarget) const
{
  const std::uint64_t key = HashText(aInstance, static_cast<std::uint64_t>(aTarget.startedAtMs));
  const std::uint64_t ownWeight = RendezvousWeight(key, this->address);
  const auto ahead =
    std::count_if(this->entries.begin(), this->entries.end(), [&](const auto& aItem) {
      return RendezvousWeight(key, aItem.first) > ownWeight;
    });
  // Of unlisted entries only the number is known: they are all assumed to be ahead.
  aTarget.entriesAhead =
    static_cast<std::size_t>(ahead) + this->EntryCount() - this->entries.size() - 1;
}

// Applies the share of this entry to a bucket, after its refill at the rate so far.
void
ColdShares::Configure(Target& aTarget, Instant aNow) const
{
  aTarget.bucket.TakeWithDebt(0, aNow);
  if (const Limits* limitsOf = this->LimitsOf(aTarget)) {
    const ColdShare share = DivideColdBound(limitsOf->perSecond, this->bound, this->EntryCount());
    aTarget.bucket.Configure(share.burst, share.perSecond);
  }
}

void
ColdShares::Refresh(Instant aNow)
{
  for (auto& [instance, target] : this->targets) {
    this->lastColdUntil = std::max(this->lastColdUntil, this->ColdUntil(target));
    if (this->ColdUntil(target) > aNow) {
      this->Rank(instance, target);
      this->Configure(target, aNow);
    }
  }
}

} // namespace sycamorepost
