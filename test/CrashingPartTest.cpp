// Tests of the guard against parts of prompts that crash engines: its decisions, and several
// entries with it in virtual time. The guard is tested from both sides: what it lets through, and
// which sound requests it refuses.
#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

#include "harness/CrashFleet.h"
#include "sycamorepost/forward/targets/PartQuarantine.h"

namespace sycamorepost {
namespace {

using harness::CrashFleet;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

// The operator's bound: this long after the fifth crash, few more requests may reach engines.
constexpr Duration kBound = seconds(3);
constexpr int kMaxArrivals = 3;

constexpr std::uint64_t kCrashingPart = 0xbad;
constexpr std::uint64_t kSeeds = 10;

// Runs a deployment for each seed. aDisturb is called once a second while requests with the
// crashing part come; the time is that since the first of them.
void
RunStory(const harness::CrashFleetPlan& aPlan,
         const std::function<void(CrashFleet& aFleet, int aSecond)>& aDisturb,
         const std::function<void(const CrashFleet& aFleet, Instant aBegin)>& aCheck)
{
  static constexpr int kCalmSeconds = 5;
  static constexpr int kCrashingSeconds = 40;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    harness::CrashFleetPlan plan = aPlan;
    plan.seed = seed;
    CrashFleet fleet(plan);
    fleet.Run(seconds(kCalmSeconds));
    const Instant begin = fleet.Now();
    fleet.BeginCrashing(kCrashingPart);
    for (int second = 0; second < kCrashingSeconds; ++second) {
      fleet.Run(seconds(1));
      aDisturb(fleet, second);
    }
    const int arrivals = fleet.ArrivalsAfterFifthCrash(kBound);
    CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed) + ": " + std::to_string(arrivals) +
                             " arrivals, " + std::to_string(fleet.CrashesByPart()) + " crashes",
                           arrivals <= kMaxArrivals);
    aCheck(fleet, begin);
  }
}

void
Undisturbed(CrashFleet& /*aFleet*/, int /*aSecond*/)
{
}

void
Unchecked(const CrashFleet& /*aFleet*/, Instant /*aBegin*/)
{
}

// Crashes and responses in the view of one entry, one second after the other.
struct Story
{
  PartQuarantine quarantine;
  Instant now{ std::chrono::hours(1) };
  int crashes = 0;

  void Crash(const std::vector<PartSet>& aPrompts)
  {
    this->now += seconds(1);
    this->quarantine.RecordCrash({ "engine-" + std::to_string(++this->crashes), 1, aPrompts },
                                 this->now);
    this->now += milliseconds(50);
    this->quarantine.Evaluate(this->now);
  }

  void Progress(const PartSet& aParts)
  {
    this->now += seconds(1);
    this->quarantine.RecordProgress(aParts, this->now);
  }

  bool IsQuarantined(const PartSet& aParts) const
  {
    return this->quarantine.Decide(aParts, this->now).verdict != PartVerdict::Allowed;
  }
};

class CrashingPartTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(CrashingPartTest);
  CPPUNIT_TEST(PartThatCrashesEnginesIsStopped);
  CPPUNIT_TEST(SoundRequestsAreServedBesideIt);
  CPPUNIT_TEST(RareAndFrequentRequestsWithItAreStopped);
  CPPUNIT_TEST(EntriesThatRestartKnowIt);
  CPPUNIT_TEST(EntryThatStartsIsToldAtOnce);
  CPPUNIT_TEST(EntriesThatWereCutOffOrSuspendedKnowIt);
  CPPUNIT_TEST(EntriesOfTheLastVersionDoNoHarm);
  CPPUNIT_TEST(EnginesThatCrashTogetherMakeNoPartSuspect);
  CPPUNIT_TEST(ResetConnectionsMakeNoPartSuspect);
  CPPUNIT_TEST(PartThatStopsCrashingIsServedAgain);
  CPPUNIT_TEST(PartsThatCannotBeToldApartAreQuarantinedTogether);
  CPPUNIT_TEST(TrialsBecomeRare);
  CPPUNIT_TEST(ClearedPartIsNotQuarantinedByAnOldReport);
  CPPUNIT_TEST(QuarantineThatIsPassedOnEndsInTime);
  CPPUNIT_TEST(CrashesOfOneInstanceAreToldApart);
  CPPUNIT_TEST(StateIsBounded);
  CPPUNIT_TEST(PartWithProgressIsNeverQuarantined);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against requests of one kind, no two of them alike, that crash one engine after the
  // other because a part of their prompts does.
  void PartThatCrashesEnginesIsStopped() { RunStory({}, Undisturbed, Unchecked); }

  // Guards against a guard that refuses requests which share the account and the other parts with
  // those that crash engines.
  void SoundRequestsAreServedBesideIt()
  {
    RunStory({}, Undisturbed, [](const CrashFleet& aFleet, Instant aBegin) {
      const Instant settled = aBegin + seconds(10);
      const int refused = aFleet.RefusedCount(settled, aFleet.Now());
      CPPUNIT_ASSERT_MESSAGE(std::to_string(refused) + " sound requests refused", refused <= 2);
      const double begun = aFleet.BegunShare(settled, aFleet.Now() - seconds(1));
      CPPUNIT_ASSERT_MESSAGE(std::to_string(begun), begun > 0.98);
    });
  }

  // Guards against thresholds that fit one rate only.
  void RareAndFrequentRequestsWithItAreStopped()
  {
    for (const double rate : { 0.5, 1.0, 12.0 }) {
      RunStory({ .crashingPerSecond = rate }, Undisturbed, Unchecked);
    }
    for (const double rate : { 3.0, 100.0 }) {
      RunStory({ .soundPerSecond = rate }, Undisturbed, Unchecked);
    }
    RunStory({ .entries = 30, .engines = 60, .soundPerSecond = 100 }, Undisturbed, Unchecked);
    RunStory({ .entries = 1, .engines = 8 }, Undisturbed, Unchecked);
  }

  // Guards against knowledge that is lost with the entries that have it.
  void EntriesThatRestartKnowIt()
  {
    const auto restartOneAfterTheOther = [](CrashFleet& aFleet, int aSecond) {
      if (aSecond % 2 == 1) {
        aFleet.RestartEntry(aSecond / 2 % 4);
      }
    };
    RunStory({}, restartOneAfterTheOther, Unchecked);
    // A pair at a time.
    RunStory(
      {},
      [](CrashFleet& aFleet, int aSecond) {
        if (aSecond % 7 == 2) {
          aFleet.RestartEntry(aSecond % 4);
          aFleet.RestartEntry((aSecond + 1) % 4);
        }
      },
      Unchecked);
  }

  // Guards against an engine that crashes at each start of an entry, also of one without
  // neighbours.
  void EntryThatStartsIsToldAtOnce()
  {
    CrashFleet fleet({});
    fleet.Run(seconds(5));
    fleet.BeginCrashing(kCrashingPart);
    fleet.Run(seconds(10));
    for (int entry = 0; entry < 4; ++entry) {
      fleet.RestartEntry(entry);
      fleet.Run(milliseconds(25));
      CPPUNIT_ASSERT_MESSAGE(std::to_string(entry), fleet.Dump(entry).contains("quarantined"));
    }
  }

  // Guards against entries that missed what the others reported.
  void EntriesThatWereCutOffOrSuspendedKnowIt()
  {
    for (const int length : { 1, 2, 3, 8 }) {
      RunStory(
        {},
        [length](CrashFleet& aFleet, int aSecond) {
          if (aSecond % 10 == 0) {
            aFleet.CutEntry(aSecond / 10, seconds(length));
          } else if (aSecond % 10 == 5) {
            aFleet.SuspendEntry(aSecond / 10, seconds(length));
          }
        },
        Unchecked);
    }
  }

  // Guards against a rolling upgrade in which entries that do not report crashes, and go on sending
  // such requests, have the others quarantine sound parts.
  void EntriesOfTheLastVersionDoNoHarm()
  {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      CrashFleet fleet({ .seed = seed });
      fleet.MakeEntryOld(3);
      fleet.Run(seconds(5));
      fleet.BeginCrashing(kCrashingPart);
      fleet.Run(seconds(5));
      const Instant settled = fleet.Now();
      fleet.Run(seconds(20));
      int refused = 0;
      int all = 0;
      for (const auto& [number, request] : fleet.Requests()) {
        const bool counts = !request.isCrashing && request.entry != 3 && request.sentAt >= settled;
        all += counts ? 1 : 0;
        refused += counts && request.refusal ? 1 : 0;
      }
      // The entry of the last version goes on to crash an engine each second.
      CPPUNIT_ASSERT_MESSAGE(std::to_string(refused) + " of " + std::to_string(all),
                             refused * 10 <= all);
    }
  }

  // Guards against a guard that takes what many prompts have in common for the cause when a rack of
  // engines, or all of them, crash for another reason.
  void EnginesThatCrashTogetherMakeNoPartSuspect()
  {
    for (const int count : { 5, 15, 16 }) {
      for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
        CrashFleet fleet({ .seed = seed });
        for (int i = 0; i < 5; ++i) {
          fleet.Run(seconds(6));
          fleet.CrashEngines(count);
        }
        fleet.Run(seconds(5));
        for (int entry = 0; entry < 4; ++entry) {
          CPPUNIT_ASSERT(!fleet.Dump(entry).contains("quarantined"));
        }
        const double begun = fleet.BegunShare(fleet.Now() - seconds(2), fleet.Now() - seconds(1));
        CPPUNIT_ASSERT_MESSAGE(std::to_string(begun), begun > 0.95);
      }
    }
  }

  // Guards against a network fault that is taken for a crash.
  void ResetConnectionsMakeNoPartSuspect()
  {
    CrashFleet fleet({});
    for (int i = 0; i < 30; ++i) {
      fleet.Run(seconds(1));
      fleet.ResetConnections();
      fleet.Run(milliseconds(100));
      for (int entry = 0; entry < 4; ++entry) {
        const auto dump = fleet.Dump(entry);
        CPPUNIT_ASSERT(!dump.contains("quarantined"));
        CPPUNIT_ASSERT_EQUAL(0, dump["crashes_not_explained"].get<int>());
      }
    }
  }

  // Guards against a part that stays out of service after its engines have been repaired, and
  // against callers who are not told when to return.
  void PartThatStopsCrashingIsServedAgain()
  {
    CrashFleet fleet({});
    fleet.Run(seconds(5));
    fleet.BeginCrashing(kCrashingPart);
    fleet.Run(seconds(20));
    fleet.EndCrashing();
    const auto refused = fleet.SendPrompt(0, { 1, kCrashingPart });
    fleet.Run(milliseconds(1));
    CPPUNIT_ASSERT_EQUAL(503, fleet.Requests().at(refused).refusal.value_or(0));
    const Duration retryAfter = fleet.Requests().at(refused).retryAfter;
    CPPUNIT_ASSERT(retryAfter > seconds(1) && retryAfter <= minutes(2));

    fleet.Run(retryAfter);
    const auto trial = fleet.SendPrompt(1, { 1, kCrashingPart });
    fleet.Run(milliseconds(20));
    const auto meanwhile = fleet.SendPrompt(2, { 1, kCrashingPart });
    fleet.Run(seconds(2));
    CPPUNIT_ASSERT(fleet.Requests().at(trial).hasBegun);
    CPPUNIT_ASSERT_EQUAL(503, fleet.Requests().at(meanwhile).refusal.value_or(0));
    for (int entry = 0; entry < 4; ++entry) {
      const auto after = fleet.SendPrompt(entry, { 1, kCrashingPart });
      fleet.Run(seconds(2));
      CPPUNIT_ASSERT(fleet.Requests().at(after).hasBegun);
    }
  }

  // Guards against requests with one part of two that are refused because the other crashes
  // engines.
  void PartsThatCannotBeToldApartAreQuarantinedTogether()
  {
    Story story;
    story.Crash({ { 1, 2, 3 }, { 4 } });
    story.Crash({ { 1, 2, 3 } });
    story.Progress({ 1 });
    story.Crash({ { 1, 2, 3 }, { 5 } });
    CPPUNIT_ASSERT(story.IsQuarantined({ 1, 2, 3 }) && story.IsQuarantined({ 2, 3, 9 }));
    CPPUNIT_ASSERT(!story.IsQuarantined({ 1, 2 }) && !story.IsQuarantined({ 3 }) &&
                   !story.IsQuarantined({ 4 }));

    // A prompt with one of the two crashes an engine: it is this one.
    story.Crash({ { 3, 7 } });
    CPPUNIT_ASSERT(story.IsQuarantined({ 3 }) && !story.IsQuarantined({ 2 }));

    // Or a response with one of them goes on: it is the other one.
    Story other;
    for (int i = 0; i < 3; ++i) {
      other.Crash({ { 2, 3 } });
    }
    other.Progress({ 2 });
    CPPUNIT_ASSERT(other.IsQuarantined({ 3 }) && !other.IsQuarantined({ 2 }));
  }

  // Guards against trials that crash an engine every few seconds for hours.
  void TrialsBecomeRare()
  {
    Story story;
    for (int i = 0; i < 3; ++i) {
      story.Crash({ { 7 } });
    }
    std::vector<std::int64_t> trialSeconds;
    const Instant begin = story.now;
    while (story.now < begin + minutes(60)) {
      if (story.quarantine.Decide({ 7 }, story.now).verdict == PartVerdict::Trial) {
        trialSeconds.push_back(ToMillis(story.now - begin) / 1000);
        story.quarantine.BeginTrial({ 7 }, story.now);
        CPPUNIT_ASSERT(story.quarantine.Decide({ 7 }, story.now).verdict == PartVerdict::Refused);
        story.Crash({ { 7 } });
      }
      story.now += seconds(1);
      story.quarantine.Expire(story.now);
    }
    CPPUNIT_ASSERT_MESSAGE(std::to_string(trialSeconds.size()), trialSeconds.size() <= 9);
    CPPUNIT_ASSERT(trialSeconds.size() >= 4 && trialSeconds[2] >= 60);
  }

  // Guards against an entry that missed the clearing of a part and has the others quarantine it
  // again and again.
  void ClearedPartIsNotQuarantinedByAnOldReport()
  {
    Story story;
    for (int i = 0; i < 3; ++i) {
      story.Crash({ { 7 } });
    }
    const auto old = story.quarantine.Snapshot(story.now);
    CPPUNIT_ASSERT(story.quarantine.RecordProgress({ 7, 8 }, story.now) == PartSet{ 7 });
    CPPUNIT_ASSERT(story.quarantine.Merge(old, story.now) == PartSet{ 7 });
    CPPUNIT_ASSERT(!story.IsQuarantined({ 7 }));

    // New crashes count all the same.
    for (int i = 0; i < 3; ++i) {
      story.Crash({ { 7 } });
    }
    CPPUNIT_ASSERT(story.IsQuarantined({ 7 }));
  }

  // Guards against entries that renew each other's quarantine of a part for ever: what one had
  // heard of the other counted as news of the present.
  void QuarantineThatIsPassedOnEndsInTime()
  {
    Story first;
    for (int i = 0; i < 3; ++i) {
      first.Crash({ { 7 } });
    }
    Instant now = first.now;
    PartQuarantine second;
    second.Merge(first.quarantine.Snapshot(now), now);
    CPPUNIT_ASSERT(second.HasQuarantined());

    // The entries share what they know each second, with some delay, and nobody asks for the part.
    static constexpr milliseconds kDelay(20);
    const Instant end = now + minutes(12);
    while (now < end) {
      const auto toSecond = first.quarantine.Snapshot(now);
      const auto toFirst = second.Snapshot(now);
      now += kDelay;
      second.Merge(toSecond, now);
      first.quarantine.Merge(toFirst, now);
      now += seconds(1);
      first.quarantine.Expire(now);
      second.Expire(now);
      // The time to the first trial has passed, and trials are allowed.
      const bool isEarly = now < first.now + minutes(1);
      CPPUNIT_ASSERT(isEarly || second.Decide({ 7 }, now).verdict != PartVerdict::Refused);
    }
    CPPUNIT_ASSERT(!first.quarantine.HasQuarantined());
    CPPUNIT_ASSERT(!second.HasQuarantined());
  }

  // Guards against crashes that do not count because the target starts again under its name and
  // crashes before its registration has changed, and against late reports that count twice.
  void CrashesOfOneInstanceAreToldApart()
  {
    Story story;
    const auto report = [&story](milliseconds aAfter) {
      story.now += aAfter;
      story.quarantine.RecordCrash({ "engine", 1, { { 7 } } }, story.now);
      story.quarantine.Evaluate(story.now + milliseconds(50));
    };
    for (int i = 0; i < 4; ++i) {
      report(milliseconds(240));
    }
    CPPUNIT_ASSERT(!story.IsQuarantined({ 7 }));
    report(seconds(2));
    report(seconds(2));
    CPPUNIT_ASSERT(story.IsQuarantined({ 7 }));
  }

  // Guards against an entry that prompts with many parts, or faulty peers, run out of memory.
  void StateIsBounded()
  {
    Story story;
    std::uint64_t part = 0;
    for (int i = 0; i < 200; ++i) {
      std::vector<PartSet> prompts(200);
      for (PartSet& prompt : prompts) {
        for (std::size_t k = 0; k < kMaxPromptParts; ++k) {
          prompt.push_back(++part);
        }
      }
      prompts.push_back(PartSet(10'000, part));
      story.Crash(prompts);
    }
    CPPUNIT_ASSERT(story.quarantine.CrashCount() <= 128);
    std::vector<QuarantinedParts> reported;
    for (std::uint64_t i = 0; i < 10'000; ++i) {
      reported.push_back({ { ++part }, 4'000'000'000, i % 2 == 0 ? -1 : 1LL << 62 });
    }
    story.quarantine.Merge(reported, story.now);
    CPPUNIT_ASSERT(story.quarantine.Snapshot(story.now).size() <= 64);
    // A report that claims an endless quarantine does not outlast the longest one.
    for (const QuarantinedParts& quarantined : story.quarantine.Snapshot(story.now)) {
      CPPUNIT_ASSERT(quarantined.trialInMs <= ToMillis(minutes(10)));
    }
    story.now += minutes(30);
    story.quarantine.Expire(story.now);
    CPPUNIT_ASSERT(story.quarantine.IsEmpty());
  }

  void PartWithProgressIsNeverQuarantined()
  {
    rc::check("a part whose responses go on between crashes is never refused", [] {
      Story story;
      const int steps = *rc::gen::inRange(1, 60);
      int crashesSinceProgress = 0;
      for (int i = 0; i < steps; ++i) {
        const auto other = *rc::gen::inRange<std::uint64_t>(2, 6);
        const bool isTogether = *rc::gen::arbitrary<bool>();
        if (crashesSinceProgress >= 2 || *rc::gen::arbitrary<bool>()) {
          story.Progress({ 1 });
          crashesSinceProgress = 0;
        } else {
          story.Crash(isTogether ? std::vector<PartSet>{ { 1, other } }
                                 : std::vector<PartSet>{ { 1 }, { other } });
          ++crashesSinceProgress;
        }
        RC_ASSERT(!story.IsQuarantined({ 1 }));
      }
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrashingPartTest);

} // namespace
} // namespace sycamorepost
