// Tests of TargetPace: what counts as a sample, how views of several entries are put together, and
// in virtual time that requests avoid slow targets, that these get work again once they have
// recovered, and that entries do not swing between targets.
#include <algorithm>
#include <limits>
#include <random>

#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

#include "harness/PacePatterns.h"
#include "sycamorepost/Message.h"
#include "sycamorepost/forward/ForwardReducer.h"
#include "sycamorepost/forward/load/TargetPace.h"
#include "sycamorepost/forward/placement/Placement.h"

namespace sycamorepost {
namespace {

using harness::kPaceEnd;
using harness::kPaceOnset;
using harness::MakePaceTrial;
using harness::PacePattern;
using harness::PaceStrategy;
using harness::PaceTrialOptions;
using harness::PaceTrialResult;
using harness::RunPaceTrial;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char* kHost = "example";

std::string
NameOf(int aIndex)
{
  return "target-" + std::to_string(aIndex);
}

std::map<std::string, RegisteredTarget>
MakeTargets(int aCount)
{
  std::map<std::string, RegisteredTarget> targets;
  for (int i = 0; i < aCount; ++i) {
    targets[NameOf(i)] = {
      .instance = NameOf(i), .service = "quiz", .address = NameOf(i), .slots = 16
    };
  }
  return targets;
}

// Five targets of one service, and what is known of them.
struct PaceDriver
{
  // Lets every target take a multiple of the predicted time, every 50 ms.
  void Run(Duration aDuration, const std::vector<double>& aRatios)
  {
    for (const Instant end = this->now + aDuration; this->now < end;
         this->now += milliseconds(50)) {
      for (std::size_t i = 0; i < aRatios.size(); ++i) {
        this->pace.RecordFirstEvent(
          "quiz", NameOf(static_cast<int>(i)), 100 * aRatios[i], 100, this->now);
      }
      this->pace.Refresh(this->targets, this->now);
    }
  }

  double FactorOf(int aIndex) const { return this->pace.FactorOf(NameOf(aIndex)); }

  TargetPace pace;
  std::map<std::string, RegisteredTarget> targets = MakeTargets(5);
  Instant now{ std::chrono::hours(1) };
};

EngineTraits
MakeTraits()
{
  return { .stepMs = 1,
           .prefillTokensPerMs = 100,
           .prefillMsPerMillionPairs = 0.2,
           .stepsPerPass = 50,
           .kvCapacityTokens = 300'000,
           .slots = 16 };
}

// An entry before three engines and three targets of a plain service.
class EntryDriver
{
public:
  EntryDriver()
    : reducer(ForwardConfig{ .name = "entry-1", .address = "10.0.0.1:1", .domain = "hobart" })
  {
    auto table = std::make_shared<RouteTable>();
    table->version = 1;
    for (const bool isStream : { true, false }) {
      RouteRule route{ .name = isStream ? "draft" : "look",
                       .host = kHost,
                       .pathPrefix = isStream ? "/draft/" : "/look/" };
      route.kind = isStream ? RouteKind::Stream : RouteKind::NonIdempotent;
      route.services = { { isStream ? "quiz" : "ledger", 1 } };
      route.timeout = seconds(10);
      route.objective = seconds(1);
      route.gapObjective = milliseconds(300);
      route.allowsAnonymous = true;
      table->AddRoute(route);
    }
    table->services["quiz"] = { "quiz", 0, MakeTraits() };
    table->services["ledger"].name = "ledger";
    std::map<std::string, RegisteredTarget> targets = MakeTargets(3);
    for (int i = 3; i < 6; ++i) {
      targets[NameOf(i)] = { .instance = NameOf(i), .service = "ledger", .address = NameOf(i) };
    }
    this->Step(RoutesChanged{ table });
    this->Step(TargetsChanged{ targets });
    this->Step(EntriesChanged{
      { { "entry-1", { "10.0.0.1:1", "hobart" } }, { "entry-2", { "10.0.0.2:1", "hobart" } } } });
  }

  void Step(const ForwardEvent& aEvent)
  {
    for (const ForwardEffect& effect : this->reducer.Step(aEvent, this->now)) {
      if (const auto* attempt = std::get_if<StartAttempt>(&effect)) {
        this->start = *attempt;
      } else if (const auto* broadcast = std::get_if<BroadcastLoad>(&effect)) {
        this->broadcasts.push_back(*broadcast);
      }
    }
  }

  void Send(const std::string& aPath, std::uint32_t aTokens)
  {
    this->Step(ForwardRequest{ .handle = ++this->lastHandle,
                               .path = aPath,
                               .host = kHost,
                               .body = MakeBody(""),
                               .promptTokens = aTokens,
                               .outputTokens = aTokens > 0 ? 100U : 0U,
                               .fingerprint = this->lastHandle });
  }

  void Respond(int aStatus)
  {
    this->Step(AttemptHead{ .attempt = this->start.attempt, .status = aStatus, .isSigned = true });
  }

  void ReceiveEvents(int aFirst, int aCount)
  {
    std::string bytes;
    for (int id = aFirst; id < aFirst + aCount; ++id) {
      bytes += "id: " + std::to_string(id) + "\ndata: x\n\n";
    }
    this->Step(AttemptData{ this->start.attempt, bytes });
  }

  // Returns the number of samples of the target of the last request, also of half believed ones.
  double Samples()
  {
    this->now += milliseconds(250);
    this->Step(Wake{});
    return this->reducer.Dump(this->now)["targets"][this->start.instance]["pace_samples"];
  }

  ForwardReducer reducer;
  Instant now{ std::chrono::hours(1) };
  StartAttempt start;
  std::vector<BroadcastLoad> broadcasts;
  std::uint64_t lastHandle = 0;
};

// The sums over some seeds.
struct Shares
{
  double late = 0; // Of the requests from 1 s after the onset to the end.
  double back = 0; // Of the work from 3 s to 5 s after the end, on the slow targets.
};

Shares
RunSeeds(const PacePattern& aPattern, PaceStrategy aStrategy, double aRate, bool aIsPlain)
{
  static constexpr int kSeeds = 3;
  Shares shares;
  for (int seed = 1; seed <= kSeeds; ++seed) {
    PaceTrialOptions options = MakePaceTrial(aPattern, 40);
    options.strategy = aStrategy;
    options.seed = seed;
    options.rate = aRate;
    options.isPlain = aIsPlain;
    const PaceTrialResult result = RunPaceTrial(options);
    shares.late += result.LateShare(kPaceOnset + seconds(1), kPaceEnd) / kSeeds;
    shares.back += result.ShareBelow(8, kPaceEnd + seconds(3), kPaceEnd + seconds(5)) / kSeeds;
  }
  return shares;
}

std::string
Describe(const char* aName, double aLearned, double aUnlearned)
{
  return std::string(aName) + ": " + std::to_string(aLearned) + ", without learn_pace " +
         std::to_string(aUnlearned);
}

const PacePattern&
FindPattern(const std::string& aName)
{
  return *std::find_if(harness::kPacePatterns.begin(),
                       harness::kPacePatterns.end(),
                       [&](const PacePattern& aPattern) { return aPattern.name == aName; });
}

// The share of requests that are late because of the slow targets falls by two thirds. Those that
// are late when no target is slow do not count.
void
CheckFewerLate(const PacePattern& aPattern, double aRate, bool aIsPlain)
{
  const PacePattern& none = FindPattern("none slow");
  const double otherwise = RunSeeds(none, PaceStrategy::Unlearned, aRate, aIsPlain).late;
  const double late = RunSeeds(aPattern, PaceStrategy::Learned, aRate, aIsPlain).late - otherwise;
  const double lateUnlearned =
    RunSeeds(aPattern, PaceStrategy::Unlearned, aRate, aIsPlain).late - otherwise;
  CPPUNIT_ASSERT_MESSAGE(Describe(aPattern.name, late, lateUnlearned), lateUnlearned > 0.02);
  CPPUNIT_ASSERT_MESSAGE(Describe(aPattern.name, late, lateUnlearned), late <= lateUnlearned / 3);
}

class TargetPaceTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(TargetPaceTest);
  CPPUNIT_TEST(FactorIsRelativeToTheService);
  CPPUNIT_TEST(OldSamplesAndOtherIncarnationsAreForgotten);
  CPPUNIT_TEST(SingleOutlierIsNoSlowTarget);
  CPPUNIT_TEST(PendingPrefillExplainsGap);
  CPPUNIT_TEST(OnlySingleEventsOfOneEngineAreSamples);
  CPPUNIT_TEST(FastFailuresAreNoSamples);
  CPPUNIT_TEST(StartingEntryAdoptsViewsByAge);
  CPPUNIT_TEST(ViewsTravelWithTheLoad);
  CPPUNIT_TEST(EquallyFastTargetsArePlacedAsBefore);
  CPPUNIT_TEST(SlowFifthIsAvoidedWithinOneSecond);
  CPPUNIT_TEST(TargetsSlowFromTheThirdRequestAreAvoided);
  CPPUNIT_TEST(RecoveredTargetsGetTheirShareAgain);
  CPPUNIT_TEST(NoTargetIsSlowWhenAllAre);
  CPPUNIT_TEST(FlappingTargetsDoNoHarm);
  CPPUNIT_TEST(FastFailuresAttractNoWork);
  CPPUNIT_TEST(EntriesDoNotSwing);
  CPPUNIT_TEST_SUITE_END();

public:
  // ---- Samples and factors ----

  // Guards against a slow service, or a wrong prediction, that counts as slow targets.
  void FactorIsRelativeToTheService()
  {
    PaceDriver driver;
    driver.Run(seconds(1), { 1, 1, 2.7, 1, 1 });
    CPPUNIT_ASSERT(driver.FactorOf(2) > 2);
    CPPUNIT_ASSERT_EQUAL(1.0, driver.FactorOf(0));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), driver.pace.SlowCount());
    const auto changes = driver.pace.TakeChanges(driver.now);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), changes.size());
    CPPUNIT_ASSERT(changes[0].isSlow && changes[0].instance == NameOf(2));

    driver.Run(seconds(3), { 2.7, 2.7, 2.7, 2.7, 2.7 });
    for (int i = 0; i < 5; ++i) {
      CPPUNIT_ASSERT_EQUAL(1.0, driver.FactorOf(i));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), driver.pace.SlowCount());
    // Two of five are in use and become slow: the others are worth trying.
    PaceDriver few;
    few.Run(seconds(5), { 1, 1 });
    few.Run(seconds(1), { 2.7, 2.7 });
    CPPUNIT_ASSERT(few.FactorOf(0) > 1.5);
    CPPUNIT_ASSERT_EQUAL(1.0, few.FactorOf(4));
  }

  // Guards against a target that gets no work for as long as nothing is sent to it.
  void OldSamplesAndOtherIncarnationsAreForgotten()
  {
    PaceDriver driver;
    driver.Run(seconds(1), { 1, 1, 2.7, 1, 1 });
    driver.Run(seconds(3), { 1, 1 });
    CPPUNIT_ASSERT_EQUAL(1.0, driver.FactorOf(2));

    driver.Run(seconds(1), { 1, 1, 2.7, 1, 1 });
    driver.pace.RemoveTarget(NameOf(2));
    CPPUNIT_ASSERT_EQUAL(1.0, driver.FactorOf(2));
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), driver.pace.SlowCount());
  }

  void SingleOutlierIsNoSlowTarget()
  {
    PaceDriver driver;
    driver.Run(milliseconds(50), { 1, 1, 30, 1, 1 });
    driver.now += milliseconds(250);
    driver.pace.Refresh(driver.targets, driver.now);
    CPPUNIT_ASSERT(driver.FactorOf(2) < 1.5);
    driver.Run(seconds(1), { 1, 1, 1, 1, 1 });
    driver.pace.RecordFirstEvent("quiz", NameOf(2), 3000, 100, driver.now);
    driver.Run(milliseconds(250), {});
    CPPUNIT_ASSERT_EQUAL(1.0, driver.FactorOf(2));
  }

  // Guards against an engine that counts as slow because it prefills long prompts.
  void PendingPrefillExplainsGap()
  {
    PaceDriver driver;
    for (int i = 0; i < 20; ++i, driver.now += milliseconds(50)) {
      for (int target = 0; target < 4; ++target) {
        driver.pace.RecordGap("quiz", NameOf(target), 50, 50, 0, driver.now);
      }
      driver.pace.RecordGap("quiz", NameOf(4), 50 + 10 * (i % 10), 50, 100, driver.now);
      driver.pace.Refresh(driver.targets, driver.now);
    }
    CPPUNIT_ASSERT_EQUAL(1.0, driver.FactorOf(4));
    // What goes beyond it does not.
    for (int i = 0; i < 20; ++i, driver.now += milliseconds(50)) {
      driver.pace.RecordGap("quiz", NameOf(4), 400, 50, 100, driver.now);
      driver.pace.Refresh(driver.targets, driver.now);
    }
    CPPUNIT_ASSERT(driver.FactorOf(4) > 1.5);
  }

  // Guards against samples of several engines together, and of times at which an event was read
  // rather than sent.
  void OnlySingleEventsOfOneEngineAreSamples()
  {
    EntryDriver together;
    together.Send("/draft/", 4'000);
    together.now += milliseconds(100);
    together.Respond(200);
    together.ReceiveEvents(1, 2);
    CPPUNIT_ASSERT_EQUAL(0.0, together.Samples());
    together.ReceiveEvents(3, 1);
    CPPUNIT_ASSERT(together.Samples() > 0);

    EntryDriver split;
    split.now += seconds(1); // Right after its start a long prompt waits.
    split.Send("/draft/", 90'000);
    CPPUNIT_ASSERT(!split.start.helpers.empty());
    split.now += milliseconds(900);
    split.Respond(200);
    split.ReceiveEvents(1, 1);
    CPPUNIT_ASSERT_EQUAL(0.0, split.Samples());
  }

  // Guards against a target that is preferred because it fails faster than others respond.
  void FastFailuresAreNoSamples()
  {
    for (const int status : { 500, 404, 200 }) {
      EntryDriver driver;
      driver.Send("/look/", 0);
      driver.now += milliseconds(5);
      driver.Respond(status);
      driver.Step(AttemptEnd{ driver.start.attempt, AttemptEndKind::Complete, "" });
      CPPUNIT_ASSERT_EQUAL_MESSAGE(std::to_string(status), status == 200, driver.Samples() > 0);
    }
  }

  // ---- Views of several entries ----

  // Guards against an entry that sends work to slow targets until it has found out by itself, and
  // against old news that outweigh new ones.
  void StartingEntryAdoptsViewsByAge()
  {
    const auto factorWith = [](std::uint32_t aSlowAgeMs) {
      PaceDriver driver;
      driver.pace.ApplyReport(
        "old", false, { { NameOf(0), 0, 0, 0, 0, 0, 270, 8, aSlowAgeMs } }, driver.now);
      driver.pace.ApplyReport(
        "new", false, { { NameOf(0), 0, 0, 0, 0, 0, 100, 4, 0 } }, driver.now);
      driver.pace.Refresh(driver.targets, driver.now);
      return driver.FactorOf(0);
    };
    CPPUNIT_ASSERT(factorWith(0) > 1.5);
    CPPUNIT_ASSERT_EQUAL(1.0, factorWith(2'500));
    // Impossible values do no harm.
    PaceDriver driver;
    const std::uint32_t most = std::numeric_limits<std::uint32_t>::max();
    driver.pace.ApplyReport("x", true, { { NameOf(0), 0, 0, 0, 0, 0, most, most, 0 } }, driver.now);
    driver.pace.ApplyReport("x", true, { { NameOf(1), 0, 0, 0, 0, 0, 0, 1, most } }, driver.now);
    driver.pace.Refresh(driver.targets, driver.now);
    CPPUNIT_ASSERT(driver.FactorOf(0) <= 8);
    CPPUNIT_ASSERT_EQUAL(1.0, driver.FactorOf(1));
  }

  // Guards against views that never leave their entry, that need messages of their own, or that
  // make an entry of the version before drop a report.
  void ViewsTravelWithTheLoad()
  {
    EntryDriver driver;
    driver.Send("/draft/", 4'000);
    driver.Respond(200);
    std::size_t idleBroadcasts = 0;
    std::uint32_t reportedSamples = 0;
    for (int id = 1; id <= 10; ++id) {
      driver.now += milliseconds(300);
      driver.ReceiveEvents(id, 1);
      driver.broadcasts.clear();
      driver.Step(Wake{});
      idleBroadcasts += id > 2 ? driver.broadcasts.size() : 0;
      for (const BroadcastLoad& broadcast : driver.broadcasts) {
        for (const TargetLoadReport& load : broadcast.loads) {
          reportedSamples = std::max(reportedSamples, load.paceSamples);
        }
      }
    }
    CPPUNIT_ASSERT(reportedSamples >= 2); // More than the first event, with which the load changes.
    CPPUNIT_ASSERT(idleBroadcasts <= 4);  // One a second.
    driver.now += seconds(1);
    driver.Step(Wake{});
    const std::vector<TargetLoadReport> none{ { "a", 1, 0, 5, 0, 0 } };
    const std::vector<TargetLoadReport> some{ { "a", 1, 0, 5, 0, 0, 270, 8, 15 } };
    const auto encode = [](const std::vector<TargetLoadReport>& aReports) {
      Envelope sent;
      sent.message = EntryLoad{ aReports, false, 1 };
      return EncodeHeader(sent);
    };
    std::string reason;
    const auto received = DecodeHeader(encode(some), reason);
    CPPUNIT_ASSERT_MESSAGE(reason, received.has_value());
    const TargetLoadReport& report = std::get<EntryLoad>(received->message).reports.at(0);
    CPPUNIT_ASSERT_EQUAL(270U, report.pacePercent);
    CPPUNIT_ASSERT_EQUAL(8U, report.paceSamples);
    CPPUNIT_ASSERT_EQUAL(15U, report.paceAgeMs);
    // Without a view the report has the six fields of earlier versions.
    CPPUNIT_ASSERT(encode(none).find('\x96') != std::string::npos);
    CPPUNIT_ASSERT(DecodeHeader(encode(none), reason).has_value());
  }

  // ---- Placement ----

  void EquallyFastTargetsArePlacedAsBefore()
  {
    const bool holds = rc::check("same seed, same placements", [] {
      const Instant now{ std::chrono::hours(1) };
      const auto targets = MakeTargets(12);
      const bool isPlain = *rc::gen::arbitrary<bool>();
      ServiceTraits service{ .name = "quiz" };
      if (!isPlain) {
        service.engine = MakeTraits();
      }
      TargetPace pace;
      LoadTracker tracker;
      for (int i = 0; i < 12; ++i) {
        const auto running = *rc::gen::inRange<std::uint32_t>(0, 20);
        for (std::uint32_t k = 0; k < running; ++k) {
          tracker.Place(
            { NameOf(i), isPlain ? 0.0 : 3.0 * k, isPlain ? 0U : 4'000U, true, k % 3 == 0 }, now);
        }
        for (int k = *rc::gen::inRange(0, 12); k > 0; --k) {
          pace.RecordFirstEvent("quiz", NameOf(i), 100 + *rc::gen::inRange(-8, 9), 100, now);
        }
      }
      pace.Refresh(targets, now);
      PlacementRequest request;
      request.service = &service;
      request.promptTokens = isPlain ? 0 : *rc::gen::inRange<std::uint32_t>(100, 200'000);
      request.outputTokens = 500;
      request.objective = milliseconds(600);
      request.strictGap = milliseconds(200);
      request.relaxedGap = milliseconds(400);
      request.gapObjective = milliseconds(*rc::gen::element(200, 400));
      request.unreportedPrompts = *rc::gen::inRange(0, 5);
      const auto seed = *rc::gen::arbitrary<std::uint64_t>();
      const auto place = [&](const TargetPace* aPace) {
        std::mt19937_64 random(seed);
        request.pace = aPace;
        const Placement placement = ChoosePlacement(request, targets, tracker, random, now);
        std::string text = placement.target.instance + " " + std::to_string(placement.firstEventMs);
        for (const PrefillHelper& helper : placement.helpers) {
          text += " " + helper.instance + " " + std::to_string(helper.reserveTokens);
        }
        return text + " " + std::to_string(random());
      };
      RC_ASSERT(place(&pace) == place(nullptr));
    });
    CPPUNIT_ASSERT(holds);
  }

  // ---- Trials in virtual time ----

  void SlowFifthIsAvoidedWithinOneSecond()
  {
    CheckFewerLate(FindPattern("a fifth slow"), 3, false);
    CheckFewerLate(FindPattern("a fifth slow"), 20, true);
  }

  void TargetsSlowFromTheThirdRequestAreAvoided()
  {
    CheckFewerLate(FindPattern("a fifth slow from the third request"), 3, false);
  }

  // The factors are 1 again after 3 s under any load. The work returns where all engines are
  // needed: with less load, strict streams stay packed on the engines that have some.
  void RecoveredTargetsGetTheirShareAgain()
  {
    const PacePattern& pattern = FindPattern("a fifth slow");
    const PaceTrialResult result = RunPaceTrial(MakePaceTrial(pattern, 40));
    CPPUNIT_ASSERT(result.greatestFactor[20] > 1.5); // After 10 s, 1 s before the end.
    for (std::size_t i = 28; i < result.greatestFactor.size(); ++i) {
      CPPUNIT_ASSERT_EQUAL(1.0, result.greatestFactor[i]);
    }
    for (const bool isPlain : { false, true }) {
      const double rate = isPlain ? 20 : 6;
      const Shares learned = RunSeeds(pattern, PaceStrategy::Learned, rate, isPlain);
      const Shares unlearned = RunSeeds(pattern, PaceStrategy::Unlearned, rate, isPlain);
      CPPUNIT_ASSERT_MESSAGE(Describe("work of the slow", learned.back, unlearned.back),
                             learned.back >= 0.9 * unlearned.back);
    }
  }

  // A slow service must not lose requests to a search for faster targets.
  void NoTargetIsSlowWhenAllAre()
  {
    const PacePattern& pattern = FindPattern("all slow");
    for (const bool isPlain : { false, true }) {
      const Shares learned = RunSeeds(pattern, PaceStrategy::Learned, isPlain ? 8 : 3, isPlain);
      const Shares unlearned = RunSeeds(pattern, PaceStrategy::Unlearned, isPlain ? 8 : 3, isPlain);
      CPPUNIT_ASSERT_MESSAGE(Describe("late", learned.late, unlearned.late),
                             learned.late <= unlearned.late + 0.02);
      PaceTrialOptions options = MakePaceTrial(pattern, 40);
      options.isPlain = isPlain;
      options.rate = isPlain ? 8 : 3;
      const PaceTrialResult result = RunPaceTrial(options);
      for (std::size_t i = 80; i < 110; ++i) { // From 3 s after the onset.
        CPPUNIT_ASSERT(result.slowTargetCount[i] <= 1);
      }
    }
  }

  // Their phases are shorter than what a factor needs to follow.
  void FlappingTargetsDoNoHarm()
  {
    const PacePattern& pattern = FindPattern("a fifth flapping");
    const Shares learned = RunSeeds(pattern, PaceStrategy::Learned, 3, false);
    const Shares unlearned = RunSeeds(pattern, PaceStrategy::Unlearned, 3, false);
    CPPUNIT_ASSERT_MESSAGE(Describe("late", learned.late, unlearned.late),
                           learned.late <= unlearned.late);
  }

  void FastFailuresAttractNoWork()
  {
    double learned = 0;
    double unlearned = 0;
    for (const PaceStrategy strategy : { PaceStrategy::Learned, PaceStrategy::Unlearned }) {
      PaceTrialOptions options;
      options.strategy = strategy;
      options.isPlain = true;
      options.rate = 20;
      options.fails = [](std::uint32_t aTarget, Duration aSince) {
        return aTarget < 8 && aSince >= kPaceOnset && aSince < kPaceEnd;
      };
      const double share = RunPaceTrial(options).ShareBelow(8, kPaceOnset + seconds(1), kPaceEnd);
      (strategy == PaceStrategy::Learned ? learned : unlearned) = share;
    }
    CPPUNIT_ASSERT_MESSAGE(Describe("work of the failing", learned, unlearned),
                           learned <= unlearned + 0.01);
  }

  // Guards against entries that all leave a target and all return to it. Within 6 s, a target may
  // be found slow and tried again twice.
  void EntriesDoNotSwing()
  {
    static constexpr double kMaxLines = 4;
    for (const std::uint32_t entries : { 26U, 100U, 330U }) {
      // The largest trial is shorter, as it takes the most time.
      const bool isLarge = entries > 100;
      const Duration onset = isLarge ? seconds(2) : seconds(5);
      const Duration end = isLarge ? seconds(6) : seconds(11);
      PaceTrialOptions options;
      options.entries = entries;
      options.targets = entries * 3 / 2;
      options.length = end;
      const std::uint32_t slow = options.targets / 5;
      options.slowness = [=](std::uint32_t aTarget, Duration aSince, std::size_t) {
        return aTarget < slow && aSince >= onset ? harness::kPaceSlowness : 1;
      };
      const PaceTrialResult result = RunPaceTrial(options);
      const std::string message = std::to_string(entries) + " entries";
      for (Duration at = onset + seconds(1); at < end; at += milliseconds(500)) {
        const double share = result.ShareBelow(slow, at, at + milliseconds(500));
        CPPUNIT_ASSERT_MESSAGE(message + ", work of the slow " + std::to_string(share),
                               share <= 0.2);
      }
      const double lines = static_cast<double>(result.changesLogged) / entries / slow;
      CPPUNIT_ASSERT_MESSAGE(message + ", lines " + std::to_string(lines), lines <= kMaxLines);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TargetPaceTest);

} // namespace
} // namespace sycamorepost
