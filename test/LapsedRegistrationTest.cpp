// Tests of how the entries of a failure domain tell targets that have left from those whose
// registrations have lapsed in an outage of the store. Virtual time, no network.
#include <algorithm>
#include <functional>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>

#include "sycamorepost/forward/sharing/RegistrationView.h"
#include "sycamorepost/forward/sharing/StoreSharing.h"

namespace sycamorepost {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kTick{ 10 };
constexpr milliseconds kRoundTrip{ 40 };

// A read that hangs ends this much after its timeout, and kept targets are dropped at these
// intervals.
constexpr milliseconds kTimerDelay{ 30 };
constexpr milliseconds kExpireInterval{ 100 };

// A target renews its registration this often; it lapses after three intervals without renewal.
constexpr milliseconds kHeartbeat{ 1'200 };
constexpr milliseconds kLapse = 3 * kHeartbeat;

// An entry that reached the store all this time knows what the store has acknowledged.
constexpr milliseconds kStableFor{ 3'000 };

enum class FailureMode : std::uint8_t
{
  Refused, // The store answers with an error.
  Silent,  // It does not respond.
};

// A span of time in which the store fails the reads of one entry, or of all, and then the
// registrations of targets, too.
struct Outage
{
  Instant from;
  Instant until;
  FailureMode mode = FailureMode::Refused;
  std::size_t entry = kAllEntries;

  static constexpr std::size_t kAllEntries = 1'000;
};

// The store's topic of registrations.
class Topic
{
public:
  void Append(const std::string& aInstance, bool aIsRegistered)
  {
    ++this->end;
    if (aIsRegistered) {
      this->registered.insert(aInstance);
    } else {
      this->registered.erase(aInstance);
    }
  }

  std::uint64_t End() const { return this->end; }

  bool Lists(const std::string& aInstance) const { return this->registered.contains(aInstance); }

  RegistrationRead ReadListing() const
  {
    RegistrationRead read{ .isListing = true };
    for (const std::string& instance : this->registered) {
      read.changes.push_back({ instance, MakeTarget(instance) });
    }
    return read;
  }

private:
  static RegisteredTarget MakeTarget(const std::string& aInstance)
  {
    return { .instance = aInstance, .service = "model", .address = "10.0.0.9:80" };
  }

  std::uint64_t end = 0;
  std::set<std::string> registered;
};

// A target that renews its registration while the store accepts it.
struct Target
{
  std::string instance;
  Instant renewsAt;
  Instant renewedAt;
  Instant leavesAt = Instant::max(); // When it removes its registration.
};

// An entry, with its reads of the store as StoreFollower makes them.
struct Entry
{
  RegistrationView view;
  ReadSchedule schedule;
  TopicPosition next;
  Instant retryAt;
  Instant expireAt;

  // The read that is under way.
  bool isReading = false;
  bool fails = false;
  Instant readStartedAt;
  Instant readEndsAt;
};

// The entries of a failure domain, a store and its targets.
class Domain
{
public:
  Domain(std::uint64_t aSeed, milliseconds aBound, std::size_t aEntries, std::size_t aTargets)
    : random(aSeed)
  {
    for (std::size_t i = 0; i < aEntries; ++i) {
      auto entry = std::make_unique<Entry>();
      entry->expireAt = this->now + this->Draw(kExpireInterval);
      entry->schedule = ReadSchedule({ .interval = aBound * 45 / 100,
                                       .heirDelay = aBound * 8 / 100,
                                       .heirStep = aBound * 3 / 100 });
      this->entries.push_back(std::move(entry));
    }
    for (std::size_t i = 0; i < aTargets; ++i) {
      Target target{ .instance = "target-" + std::to_string(i) };
      target.renewedAt = this->now;
      target.renewsAt = this->now + this->Draw(kHeartbeat);
      this->topic.Append(target.instance, true);
      this->targets.push_back(target);
    }
    this->Run(std::chrono::seconds(5));
  }

  Instant Time() const { return this->now; }

  milliseconds Draw(milliseconds aLimit)
  {
    return milliseconds(
      std::uniform_int_distribution<std::int64_t>(0, aLimit.count() - 1)(this->random));
  }

  void Add(Outage aOutage) { this->outages.push_back(aOutage); }

  void Leave(std::size_t aTarget, Instant aAt) { this->targets[aTarget].leavesAt = aAt; }

  bool Uses(std::size_t aEntry, std::size_t aTarget) const
  {
    return this->entries[aEntry]->view.Targets().contains(this->targets[aTarget].instance);
  }

  // Returns whether the store has served an entry for so long without an outage.
  bool IsStable(std::size_t aEntry) const
  {
    return std::none_of(this->outages.begin(), this->outages.end(), [&](const Outage& aOutage) {
      const bool concerns = aOutage.entry == aEntry || aOutage.entry == Outage::kAllEntries;
      return concerns && aOutage.from <= this->now && this->now < aOutage.until + kStableFor;
    });
  }

  // Returns how often a registration has lapsed.
  int Lapses() const { return this->lapses; }

  void Run(
    milliseconds aDuration,
    const std::function<void()>& aCheck = [] {})
  {
    for (const Instant end = this->now + aDuration; this->now < end; this->now += kTick) {
      this->RunTargets();
      for (std::size_t i = 0; i < this->entries.size(); ++i) {
        this->RunEntry(i);
      }
      aCheck();
    }
  }

private:
  const Outage* OutageOf(std::size_t aEntry) const
  {
    const auto found =
      std::find_if(this->outages.begin(), this->outages.end(), [&](const Outage& aOutage) {
        const bool concerns = aOutage.entry == aEntry || aOutage.entry == Outage::kAllEntries;
        return concerns && aOutage.from <= this->now && this->now < aOutage.until;
      });
    return found == this->outages.end() ? nullptr : &*found;
  }

  void RunTargets()
  {
    const bool storeIsDown = this->OutageOf(Outage::kAllEntries) != nullptr;
    for (Target& target : this->targets) {
      const bool isListed = this->topic.Lists(target.instance);
      const bool hasLeft = target.leavesAt <= this->now;
      if (isListed && (hasLeft || target.renewedAt + kLapse <= this->now)) {
        this->lapses += hasLeft ? 0 : 1;
        this->topic.Append(target.instance, false);
      }
      if (hasLeft || target.renewsAt > this->now) {
        continue;
      }
      target.renewsAt = this->now + kHeartbeat;
      if (!storeIsDown) {
        target.renewedAt = this->now;
        if (!this->topic.Lists(target.instance)) {
          this->topic.Append(target.instance, true);
        }
      }
    }
  }

  void RunEntry(std::size_t aIndex)
  {
    Entry& entry = *this->entries[aIndex];
    if (entry.expireAt <= this->now) {
      entry.expireAt = this->now + kExpireInterval;
      entry.view.Expire(this->now);
    }
    const Instant dueAt = std::max(entry.schedule.DueAt(aIndex), entry.retryAt);
    if (!entry.isReading && dueAt <= this->now) {
      const Outage* outage = this->OutageOf(aIndex);
      const bool hangs = outage && outage->mode == FailureMode::Silent;
      entry.isReading = true;
      entry.fails = outage != nullptr;
      entry.readStartedAt = this->now;
      entry.readEndsAt =
        this->now + (hangs ? kRegistrationReadTimeout + kTimerDelay : Duration(kRoundTrip));
      entry.view.RecordReadStarted();
    }
    if (entry.isReading && entry.readEndsAt <= this->now) {
      this->EndRead(aIndex);
    }
  }

  void EndRead(std::size_t aIndex)
  {
    Entry& entry = *this->entries[aIndex];
    entry.isReading = false;
    if (entry.fails || this->OutageOf(aIndex)) {
      entry.view.RecordReadEnd(ReadOutcome::NotServed, this->now);
      entry.retryAt = this->now + milliseconds(100) + this->Draw(milliseconds(200));
      return;
    }
    entry.view.RecordReadEnd(ReadOutcome::Served, this->now);
    entry.view.ApplyRead(this->topic.ReadListing(), this->now);
    entry.next = { 1, this->topic.End() };
    entry.schedule.RecordKnown(entry.readStartedAt);
    ScheduleFinalRead(entry);
    const RegistrationReport report = entry.view.MakeReport(entry.next, this->now);
    for (std::size_t i = 0; i < this->entries.size(); ++i) {
      if (i != aIndex) {
        this->Deliver(report, entry.readStartedAt, *this->entries[i]);
      }
    }
  }

  void Deliver(const RegistrationReport& aReport, Instant aAsOf, Entry& aNeighbour)
  {
    if (!Continues(aReport, aNeighbour.next)) {
      return;
    }
    aNeighbour.next = aReport.next;
    aNeighbour.view.Accept(aReport, this->now);
    if (aNeighbour.view.Agrees(aReport)) {
      aNeighbour.schedule.RecordKnown(aAsOf);
    }
    ScheduleFinalRead(aNeighbour);
  }

  static void ScheduleFinalRead(Entry& aEntry)
  {
    if (const auto decisionAt = aEntry.view.NextDecisionAt()) {
      aEntry.schedule.RequireKnown(*decisionAt);
    }
  }

  std::mt19937_64 random;
  Instant now{ std::chrono::hours(1) };
  Topic topic;
  std::vector<Target> targets;
  std::vector<std::unique_ptr<Entry>> entries;
  std::vector<Outage> outages;
  int lapses = 0;
};

class LapsedRegistrationTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(LapsedRegistrationTest);
  CPPUNIT_TEST(TargetThatLeftIsNotUsedOnTheWordOfANeighbourThatKeepsIt);
  CPPUNIT_TEST(TargetsThatLapsedAreUsedUntilTheyHadTimeToRegisterAgain);
  CPPUNIT_TEST(TargetThatLeftIsNotKeptForTheTimeThatAReadHung);
  CPPUNIT_TEST(OneConnectionThatFailsIsNoOutage);
  CPPUNIT_TEST(TargetsThatARestoreHasLostAreKept);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against an entry that keeps a target after a failed read, and tells its neighbours that
  // the store lists it: they sent requests there later than the bound after the target had left.
  void TargetThatLeftIsNotUsedOnTheWordOfANeighbourThatKeepsIt()
  {
    // Single entries lose the store in turn, while targets leave.
    struct Losses
    {
      milliseconds duration;
      milliseconds spacing;
      milliseconds leavesWithin;
    };
    for (const Losses& losses :
         { Losses{ milliseconds(1'000), milliseconds(1'500), milliseconds(1'200) },
           Losses{ milliseconds(2'500), milliseconds(6'000), milliseconds(4'500) } }) {
      ForEachDomain([&](std::uint64_t aSeed, milliseconds aBound, std::size_t aEntries) {
        static constexpr std::size_t kTargets = 8;
        Domain domain(aSeed, aBound, aEntries, kTargets);
        std::vector<Instant> leftAt;
        for (std::size_t i = 0; i < kTargets; ++i) {
          const Instant lostAt = domain.Time() + losses.spacing * static_cast<std::int64_t>(i);
          domain.Add({ .from = lostAt,
                       .until = lostAt + losses.duration,
                       .mode = i % 3 == 2 ? FailureMode::Silent : FailureMode::Refused,
                       .entry = i % aEntries });
          leftAt.push_back(lostAt + domain.Draw(losses.leavesWithin));
          domain.Leave(i, leftAt.back());
        }
        domain.Run(losses.spacing * static_cast<std::int64_t>(kTargets + 1), [&] {
          for (std::size_t entry = 0; entry < aEntries; ++entry) {
            for (std::size_t target = 0; target < kTargets; ++target) {
              const bool mustHaveLeft =
                domain.IsStable(entry) && domain.Time() >= leftAt[target] + aBound;
              if (mustHaveLeft && domain.Uses(entry, target)) {
                CPPUNIT_FAIL(Describe(aSeed, aBound, aEntries));
              }
            }
          }
        });
      });
    }
  }

  // Guards against entries that drop live targets after an outage of the store: those that a
  // neighbour never missed were not reported as registered again, and were dropped all at once.
  void TargetsThatLapsedAreUsedUntilTheyHadTimeToRegisterAgain()
  {
    int lapses = 0;
    ForEachDomain([&](std::uint64_t aSeed, milliseconds aBound, std::size_t aEntries) {
      static constexpr std::size_t kTargets = 20;
      Domain domain(aSeed, aBound, aEntries, kTargets);
      const Instant lostAt = domain.Time() + domain.Draw(std::chrono::seconds(2));
      domain.Add({ .from = lostAt,
                   .until = lostAt + milliseconds(2'000) + domain.Draw(milliseconds(4'000)),
                   .mode = aSeed % 2 == 0 ? FailureMode::Silent : FailureMode::Refused });
      domain.Run(std::chrono::seconds(15), [&] {
        for (std::size_t entry = 0; entry < aEntries; ++entry) {
          for (std::size_t target = 0; target < kTargets; ++target) {
            if (!domain.Uses(entry, target)) {
              CPPUNIT_FAIL(Describe(aSeed, aBound, aEntries));
            }
          }
        }
      });
      lapses += domain.Lapses();
    });
    CPPUNIT_ASSERT(lapses > 1'000);
  }

  // Guards against an entry that counts the time for which a read hung as an outage: the store was
  // back long before, and a target that had left was used later than the bound.
  void TargetThatLeftIsNotKeptForTheTimeThatAReadHung()
  {
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
      static constexpr milliseconds kBound{ 2'000 };
      Domain domain(seed, kBound, 1, 1);
      const Instant lostAt = domain.Time() + domain.Draw(milliseconds(900));
      domain.Add({ .from = lostAt,
                   .until = lostAt + std::chrono::seconds(1),
                   .mode = FailureMode::Silent,
                   .entry = 0 });
      const Instant leftAt = lostAt + domain.Draw(milliseconds(1'500));
      domain.Leave(0, leftAt);
      domain.Run(std::chrono::seconds(8), [&] {
        const bool mustHaveLeft = domain.IsStable(0) && domain.Time() >= leftAt + kBound;
        if (mustHaveLeft && domain.Uses(0, 0)) {
          CPPUNIT_FAIL(Describe(seed, kBound, 1));
        }
      });
    }
  }

  // Guards against an entry that keeps a target which has left, longer than the bound, because one
  // packet to the store was lost, and against one that takes a silent store for such a packet.
  void OneConnectionThatFailsIsNoOutage()
  {
    RegistrationView view;
    Instant now{ std::chrono::hours(1) };
    const auto read = [&](ReadOutcome aOutcome, const std::vector<std::string>& aListed) {
      now += std::chrono::milliseconds(100);
      view.RecordReadStarted();
      now += kRegistrationReadTimeout;
      view.RecordReadEnd(aOutcome, now);
      if (aOutcome != ReadOutcome::Served) {
        return;
      }
      RegistrationRead result{ .isListing = true };
      for (const std::string& instance : aListed) {
        result.changes.push_back({ instance, RegisteredTarget{ .instance = instance } });
      }
      view.ApplyRead(result, now);
      view.Expire(now);
    };
    const auto uses = [&](const char* aInstance) { return view.Targets().contains(aInstance); };
    read(ReadOutcome::Served, { "target-1", "target-2", "target-3", "target-4" });

    // The first target has left, and one connection failed.
    read(ReadOutcome::NotConnected, {});
    read(ReadOutcome::Served, { "target-2", "target-3", "target-4" });
    CPPUNIT_ASSERT(!uses("target-1"));

    // A neighbour tells, before this entry has read again after a failure, that the second one is
    // gone. Whether the store was lost is not known yet.
    read(ReadOutcome::NotConnected, {});
    RegistrationReport report;
    report.removed = { "target-2" };
    view.Accept(report, now);
    CPPUNIT_ASSERT(uses("target-2"));
    read(ReadOutcome::Served, { "target-3", "target-4" });
    CPPUNIT_ASSERT(!uses("target-2"));

    // Two connections in a row failed: the registration may have lapsed meanwhile.
    read(ReadOutcome::NotConnected, {});
    read(ReadOutcome::NotConnected, {});
    read(ReadOutcome::Served, { "target-4" });
    CPPUNIT_ASSERT(uses("target-3"));

    // Much later, the store took one connection and did not respond.
    now += std::chrono::seconds(10);
    read(ReadOutcome::Served, { "target-4" });
    CPPUNIT_ASSERT(!uses("target-3"));
    read(ReadOutcome::NotServed, {});
    read(ReadOutcome::Served, {});
    CPPUNIT_ASSERT(uses("target-4"));
  }

private:
  static void
  ForEachDomain(const std::function<void(std::uint64_t, milliseconds, std::size_t)>& aRun)
  {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
      for (const milliseconds bound :
           { milliseconds(2'000), milliseconds(3'000), milliseconds(4'000) }) {
        for (const std::size_t entries : { 1, 2, 7 }) {
          aRun(seed, bound, entries);
        }
      }
    }
  }

  static std::string Describe(std::uint64_t aSeed, milliseconds aBound, std::size_t aEntries)
  {
    return "seed " + std::to_string(aSeed) + ", bound " + std::to_string(aBound.count()) + " ms, " +
           std::to_string(aEntries) + " entries";
  }

  // Guards against the loss of all targets that registered shortly before the store was restored
  // from an older copy: no read has failed, so their registrations look removed.
  void TargetsThatARestoreHasLostAreKept()
  {
    const auto listingOf = [](const std::vector<std::string>& aInstances) {
      RegistrationRead read{ .isListing = true };
      for (const std::string& instance : aInstances) {
        read.changes.push_back({ instance, RegisteredTarget{ .instance = instance } });
      }
      return read;
    };
    RegistrationView view;
    Instant now{ std::chrono::hours(1) };
    const auto read = [&](const RegistrationRead& aRead, bool aIsRestored) {
      view.RecordReadStarted();
      view.RecordReadEnd(ReadOutcome::Served, now);
      if (aIsRestored) {
        view.RecordRestore(now);
      }
      view.ApplyRead(aRead, now);
      view.Expire(now);
    };
    read(listingOf({ "engine-1", "engine-2", "engine-3" }), false);
    now += std::chrono::minutes(1);
    read(listingOf({ "engine-1" }), true);
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), view.Targets().size());
    now += std::chrono::seconds(1);
    read(listingOf({ "engine-1", "engine-2" }), false); // One has registered again.
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), view.Targets().size());
    now += std::chrono::seconds(2);
    read(listingOf({ "engine-1", "engine-2" }), false);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), view.Targets().size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LapsedRegistrationTest);

} // namespace
} // namespace sycamorepost
