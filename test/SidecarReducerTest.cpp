// The sidecar's decisions: tickets, the order of work on the engine, leases, and proof of not
// running.
#include <cppunit/extensions/HelperMacros.h>

#include "sycamorepost/SidecarReducer.h"

namespace sycamorepost {
namespace {

constexpr const char* kEntry = "entry-1:7000";
constexpr std::uint64_t kOwn = 9;

class SidecarWorld
{
public:
  explicit SidecarWorld(std::uint64_t aCapacity = 100'000)
    : reducer(SidecarConfig{ .name = "engine-1",
                             .address = "engine-1:7000",
                             .domain = "hobart",
                             .pool = "quiz",
                             .incarnation = kOwn,
                             .maxRunning = 8 })
  {
    EngineReport report;
    report.state = EngineState::Up;
    report.bootId = "boot-1";
    report.capacityTokens = aCapacity;
    this->Step(report);
  }

  std::vector<SidecarEffect> Step(const SidecarEvent& aEvent)
  {
    std::vector<SidecarEffect> effects = this->reducer.Step(aEvent, this->now);
    for (const SidecarEffect& effect : effects) {
      if (const auto* run = std::get_if<EngineRun>(&effect)) {
        this->runs.push_back(*run);
      }
    }
    return effects;
  }

  std::vector<SidecarEffect> Receive(Message aMessage, std::uint64_t aTo = 0)
  {
    return this->Step(
      MessageReceived{ Envelope{ kEntry, 1, aTo, std::move(aMessage), MakeBody("body") } });
  }

  ProbeReply Probe(std::uint32_t aTokens, int aTimeoutSeconds = 30)
  {
    ProbeRequest request;
    request.shape.promptTokens = aTokens;
    request.shape.maxTokens = 10;
    request.shape.remainingMs = aTimeoutSeconds * 1000;
    return *Find<ProbeReply>(this->Receive(request));
  }

  // Probes and returns a start that is not yet sent.
  Start GrantedStart()
  {
    Start start;
    start.ticket = this->Probe(1000).ticket;
    start.attempt = 1;
    start.pool = "quiz";
    start.shape.remainingMs = 1000;
    return start;
  }

  // Probes and starts; returns the attempt.
  std::uint64_t Run(std::uint32_t aTokens, int aTimeoutSeconds = 30, double aWeight = 1)
  {
    Start start;
    start.ticket = this->Probe(aTokens, aTimeoutSeconds).ticket;
    start.attempt = ++this->attempts;
    start.pool = "quiz";
    start.shape.promptTokens = aTokens;
    start.shape.maxTokens = 10;
    start.shape.weight = aWeight;
    start.shape.remainingMs = aTimeoutSeconds * 1000;
    this->Receive(start);
    return start.attempt;
  }

  template<typename Wanted>
  static const Wanted* Find(const std::vector<SidecarEffect>& aEffects)
  {
    for (const SidecarEffect& effect : aEffects) {
      const auto* send = std::get_if<SendMessage>(&effect);
      if (send && std::holds_alternative<Wanted>(send->message)) {
        static Wanted sFound;
        sFound = std::get<Wanted>(send->message);
        return &sFound;
      }
    }
    return nullptr;
  }

  SidecarReducer reducer;
  Instant now{ std::chrono::hours(1) };
  std::vector<EngineRun> runs;
  std::uint64_t attempts = 0;
};

class SidecarReducerTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(SidecarReducerTest);
  CPPUNIT_TEST(ATicketStartsOneAttemptAndExpires);
  CPPUNIT_TEST(AnAttemptThatNeverArrivedIsBarred);
  CPPUNIT_TEST(ShortWorkGoesFirstAndLongWorkDoesNotStarve);
  CPPUNIT_TEST(WorkThatCannotFinishIsRefusedAtOnce);
  CPPUNIT_TEST(LapsedLeasesFreeTheEngine);
  CPPUNIT_TEST(ALeavingTargetTakesNothing);
  CPPUNIT_TEST(ADeathIsNotJudgedByAReportOfBefore);
  CPPUNIT_TEST_SUITE_END();

public:
  void ATicketStartsOneAttemptAndExpires()
  {
    SidecarWorld world;
    Start start;
    start.ticket = world.Probe(1000).ticket;
    start.pool = "quiz";
    start.shape.remainingMs = 1000;
    start.attempt = 1;
    world.Receive(start);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), world.runs.size());

    // The same ticket again, for another attempt.
    start.attempt = 2;
    const auto* refused = SidecarWorld::Find<Refused>(world.Receive(start));
    CPPUNIT_ASSERT(refused && refused->reason == RefuseReason::NoTicket);

    // A start that arrives after its ticket has expired.
    start.ticket = world.Probe(1000).ticket;
    start.attempt = 3;
    world.now += std::chrono::seconds(2);
    refused = SidecarWorld::Find<Refused>(world.Receive(start));
    CPPUNIT_ASSERT(refused && refused->reason == RefuseReason::NoTicket);

    // A start for an earlier incarnation.
    start.attempt = 4;
    refused = SidecarWorld::Find<Refused>(world.Receive(start, kOwn + 1));
    CPPUNIT_ASSERT(refused && refused->reason == RefuseReason::Incarnation);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), world.runs.size());
  }

  void AnAttemptThatNeverArrivedIsBarred()
  {
    SidecarWorld world;
    const Start start = world.GrantedStart();
    Ping ping;
    ping.waiting.push_back({ start.attempt, start.ticket, 0 });
    const auto* refused = SidecarWorld::Find<Refused>(world.Receive(ping));
    CPPUNIT_ASSERT(refused && refused->reason == RefuseReason::Withdrawn);
    // The start comes late all the same.
    world.Receive(start);
    CPPUNIT_ASSERT(world.runs.empty());
  }

  void ShortWorkGoesFirstAndLongWorkDoesNotStarve()
  {
    SidecarWorld world;
    world.Run(99'000, 100); // Fills the memory, so that the rest queues.
    world.Run(50'000, 60);
    world.now += std::chrono::milliseconds(10);
    world.Run(2'000, 20);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), world.runs.size());
    const auto end = [&world](std::size_t aRun) {
      EngineEnded ended;
      ended.run = world.runs.at(aRun).run;
      ended.kind = EngineEndKind::Done;
      world.Step(ended);
    };
    end(0);
    // Both fit now; the short one has the earlier latest start.
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), world.runs.size());
    CPPUNIT_ASSERT(world.runs[1].priority < world.runs[2].priority);

    // In a flood of short work the long one's key stays, so later work falls behind it.
    world.now += std::chrono::seconds(45);
    world.Run(2'000, 20);
    CPPUNIT_ASSERT(world.runs.back().priority > world.runs[2].priority);
  }

  void WorkThatCannotFinishIsRefusedAtOnce()
  {
    SidecarWorld world;
    CPPUNIT_ASSERT(world.Probe(90'000, 0).verdict == ProbeVerdict::Busy);
    const ProbeReply large = world.Probe(200'000);
    CPPUNIT_ASSERT(large.verdict == ProbeVerdict::TooLarge);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(100'000), large.capacityTokens);
  }

  void LapsedLeasesFreeTheEngine()
  {
    SidecarWorld world;
    world.Run(1000);
    world.now += std::chrono::seconds(61);
    bool cancelled = false;
    for (const SidecarEffect& effect : world.Step(Wake{})) {
      cancelled = cancelled || std::holds_alternative<EngineCancel>(effect);
    }
    CPPUNIT_ASSERT(cancelled);

    // What the engine has of an earlier life of the sidecar is cancelled as well.
    EngineReport report;
    report.state = EngineState::Up;
    report.bootId = "boot-1";
    report.capacityTokens = 100'000;
    report.running = { 4242 };
    report.held = { 4343 };
    int strays = 0;
    for (const SidecarEffect& effect : world.Step(report)) {
      strays += std::holds_alternative<EngineCancel>(effect) ? 1 : 0;
      strays += std::holds_alternative<EngineFree>(effect) ? 1 : 0;
    }
    CPPUNIT_ASSERT_EQUAL(2, strays);
  }

  void ALeavingTargetTakesNothing()
  {
    SidecarWorld world;
    const Start start = world.GrantedStart();
    const auto* notice = SidecarWorld::Find<LeavingNotice>(world.Step(LeaveOrdered{}));
    CPPUNIT_ASSERT(notice && notice->target == "engine-1");
    CPPUNIT_ASSERT(world.Probe(1000).verdict == ProbeVerdict::Leaving);
    const auto* refused = SidecarWorld::Find<Refused>(world.Receive(start));
    CPPUNIT_ASSERT(refused && refused->reason == RefuseReason::Leaving);
    CPPUNIT_ASSERT(world.reducer.Drained());
  }

  void ADeathIsNotJudgedByAReportOfBefore()
  {
    // A report is asked for on schedule, and the engine dies while the answer is on its way.
    SidecarWorld world;
    world.Run(1000);
    world.now += std::chrono::seconds(1);
    world.Step(Wake{});
    EngineEnded ended;
    ended.run = world.runs.back().run;
    ended.kind = EngineEndKind::Lost;
    world.Step(ended);
    EngineReport report;
    report.state = EngineState::Up;
    report.bootId = "boot-1";
    report.capacityTokens = 100'000;
    CPPUNIT_ASSERT(SidecarWorld::Find<Finished>(world.Step(report)) == nullptr);

    // The check after it meets the process on its way out, and says nothing for sure either.
    report.state = EngineState::Silent;
    CPPUNIT_ASSERT(SidecarWorld::Find<Finished>(world.Step(report)) == nullptr);

    report.state = EngineState::Gone;
    const auto* finished = SidecarWorld::Find<Finished>(world.Step(report));
    CPPUNIT_ASSERT(finished && finished->targetDied);

    // An engine that stays silent is not waited for without end.
    SidecarWorld paused;
    paused.Run(1000);
    ended.run = paused.runs.back().run;
    paused.Step(ended);
    report.state = EngineState::Silent;
    finished = nullptr;
    for (int i = 0; i < 4 && !finished; ++i) {
      finished = SidecarWorld::Find<Finished>(paused.Step(report));
    }
    CPPUNIT_ASSERT(finished && !finished->targetDied);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SidecarReducerTest);

} // namespace
} // namespace sycamorepost
