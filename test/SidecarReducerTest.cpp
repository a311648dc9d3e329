// Tests of SidecarReducer: tickets, the order of requests on the engine, leases, draining, and
// confirmation that an attempt did not run.
#include <cppunit/extensions/HelperMacros.h>

#include "sycamorepost/SidecarReducer.h"

namespace sycamorepost {
namespace {

constexpr const char* kEntry = "entry-1:7000";
constexpr std::uint64_t kIncarnation = 9;

// A sidecar with an engine that is up. Collects the runs that it starts on the engine.
class SidecarFixture
{
public:
  explicit SidecarFixture(std::uint64_t aCapacity = 100'000)
    : reducer(SidecarConfig{ .name = "engine-1",
                             .address = "engine-1:7000",
                             .domain = "hobart",
                             .pool = "quiz",
                             .incarnation = kIncarnation,
                             .maxRunning = 8 })
  {
    EngineReport report;
    report.state = EngineState::Up;
    report.incarnation = "boot-1";
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
    return *FindSent<ProbeReply>(this->Receive(request));
  }

  // Probes and returns a start message for the granted ticket without sending it.
  Start MakeGrantedStart()
  {
    Start start;
    start.ticket = this->Probe(1000).ticket;
    start.attempt = 1;
    start.pool = "quiz";
    start.shape.remainingMs = 1000;
    return start;
  }

  // Probes, sends the start message and returns the id of the attempt.
  std::uint64_t StartAttempt(std::uint32_t aTokens, int aTimeoutSeconds = 30, double aWeight = 1)
  {
    Start start;
    start.ticket = this->Probe(aTokens, aTimeoutSeconds).ticket;
    start.attempt = ++this->lastAttempt;
    start.pool = "quiz";
    start.shape.promptTokens = aTokens;
    start.shape.maxTokens = 10;
    start.shape.weight = aWeight;
    start.shape.remainingMs = aTimeoutSeconds * 1000;
    this->Receive(start);
    return start.attempt;
  }

  // Returns the first message of a type among the effects, or nullptr. The result is valid until
  // the next call for the same type.
  template<typename MessageType>
  static const MessageType* FindSent(const std::vector<SidecarEffect>& aEffects)
  {
    for (const SidecarEffect& effect : aEffects) {
      const auto* send = std::get_if<SendMessage>(&effect);
      if (send && std::holds_alternative<MessageType>(send->message)) {
        static MessageType sFound;
        sFound = std::get<MessageType>(send->message);
        return &sFound;
      }
    }
    return nullptr;
  }

  SidecarReducer reducer;
  Instant now{ std::chrono::hours(1) };
  std::vector<EngineRun> runs;
  std::uint64_t lastAttempt = 0;
};

class SidecarReducerTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(SidecarReducerTest);
  CPPUNIT_TEST(ATicketStartsOneAttemptAndExpires);
  CPPUNIT_TEST(ALateStartOfAWithdrawnAttemptDoesNotRun);
  CPPUNIT_TEST(ShortRequestsRunFirstAndLongOnesDoNotStarve);
  CPPUNIT_TEST(RequestsThatCannotFinishAreRefusedImmediately);
  CPPUNIT_TEST(ExpiredLeasesFreeTheEngine);
  CPPUNIT_TEST(ADrainingTargetAcceptsNoRequests);
  CPPUNIT_TEST(ACrashIsNotResolvedByAnEarlierReport);
  CPPUNIT_TEST_SUITE_END();

public:
  void ATicketStartsOneAttemptAndExpires()
  {
    SidecarFixture sidecar;
    Start start;
    start.ticket = sidecar.Probe(1000).ticket;
    start.pool = "quiz";
    start.shape.remainingMs = 1000;
    start.attempt = 1;
    sidecar.Receive(start);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), sidecar.runs.size());

    // The same ticket is used again by another attempt.
    start.attempt = 2;
    const auto* refused = SidecarFixture::FindSent<Refused>(sidecar.Receive(start));
    CPPUNIT_ASSERT(refused && refused->reason == RefusalReason::NoTicket);

    // A start arrives after its ticket has expired.
    start.ticket = sidecar.Probe(1000).ticket;
    start.attempt = 3;
    sidecar.now += std::chrono::seconds(2);
    refused = SidecarFixture::FindSent<Refused>(sidecar.Receive(start));
    CPPUNIT_ASSERT(refused && refused->reason == RefusalReason::NoTicket);

    // A start is addressed to another incarnation of the sidecar.
    start.attempt = 4;
    refused = SidecarFixture::FindSent<Refused>(sidecar.Receive(start, kIncarnation + 1));
    CPPUNIT_ASSERT(refused && refused->reason == RefusalReason::Incarnation);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), sidecar.runs.size());
  }

  void ALateStartOfAWithdrawnAttemptDoesNotRun()
  {
    SidecarFixture sidecar;
    const Start start = sidecar.MakeGrantedStart();
    Ping ping;
    ping.awaited.push_back({ start.attempt, start.ticket, 0 });
    const auto* refused = SidecarFixture::FindSent<Refused>(sidecar.Receive(ping));
    CPPUNIT_ASSERT(refused && refused->reason == RefusalReason::Withdrawn);
    // The start arrives after the ping has voided its ticket.
    sidecar.Receive(start);
    CPPUNIT_ASSERT(sidecar.runs.empty());
  }

  void ShortRequestsRunFirstAndLongOnesDoNotStarve()
  {
    SidecarFixture sidecar;
    sidecar.StartAttempt(99'000, 100); // Fills the KV memory, so that later requests queue.
    sidecar.StartAttempt(50'000, 60);
    sidecar.now += std::chrono::milliseconds(10);
    sidecar.StartAttempt(2'000, 20);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), sidecar.runs.size());
    const auto finishRun = [&sidecar](std::size_t aRun) {
      EngineEnded ended;
      ended.run = sidecar.runs.at(aRun).run;
      ended.kind = EngineEndKind::Done;
      sidecar.Step(ended);
    };
    finishRun(0);
    // Both fit now. The short request has the earlier latest start time, so it runs first.
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), sidecar.runs.size());
    CPPUNIT_ASSERT(sidecar.runs[1].priority < sidecar.runs[2].priority);

    // The long request's latest start time is fixed on arrival. Short requests that arrive later
    // are ordered behind it, so a steady load of them does not starve it.
    sidecar.now += std::chrono::seconds(45);
    sidecar.StartAttempt(2'000, 20);
    CPPUNIT_ASSERT(sidecar.runs.back().priority > sidecar.runs[2].priority);
  }

  void RequestsThatCannotFinishAreRefusedImmediately()
  {
    SidecarFixture sidecar;
    CPPUNIT_ASSERT(sidecar.Probe(90'000, 0).verdict == ProbeVerdict::Busy);
    const ProbeReply large = sidecar.Probe(200'000);
    CPPUNIT_ASSERT(large.verdict == ProbeVerdict::TooLarge);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(100'000), large.capacityTokens);
  }

  void ExpiredLeasesFreeTheEngine()
  {
    SidecarFixture sidecar;
    sidecar.StartAttempt(1000);
    sidecar.now += std::chrono::seconds(61);
    bool cancelled = false;
    for (const SidecarEffect& effect : sidecar.Step(Wake{})) {
      cancelled = cancelled || std::holds_alternative<EngineCancel>(effect);
    }
    CPPUNIT_ASSERT(cancelled);

    // Runs and reservations that an earlier incarnation of the sidecar left on the engine are
    // released as well.
    EngineReport report;
    report.state = EngineState::Up;
    report.incarnation = "boot-1";
    report.capacityTokens = 100'000;
    report.running = { 4242 };
    report.storedReservations = { 4343 };
    int releasedOrphans = 0;
    for (const SidecarEffect& effect : sidecar.Step(report)) {
      releasedOrphans += std::holds_alternative<EngineCancel>(effect) ? 1 : 0;
      releasedOrphans += std::holds_alternative<EngineFree>(effect) ? 1 : 0;
    }
    CPPUNIT_ASSERT_EQUAL(2, releasedOrphans);
  }

  void ADrainingTargetAcceptsNoRequests()
  {
    SidecarFixture sidecar;
    const Start start = sidecar.MakeGrantedStart();
    const auto* notice = SidecarFixture::FindSent<DrainingNotice>(sidecar.Step(DrainRequested{}));
    CPPUNIT_ASSERT(notice && notice->target == "engine-1");
    CPPUNIT_ASSERT(sidecar.Probe(1000).verdict == ProbeVerdict::Draining);
    const auto* refused = SidecarFixture::FindSent<Refused>(sidecar.Receive(start));
    CPPUNIT_ASSERT(refused && refused->reason == RefusalReason::Draining);
    CPPUNIT_ASSERT(sidecar.reducer.Drained());
  }

  // Guards against a lost attempt being resolved by a report that was requested before its stream
  // broke, which still shows the engine up.
  void ACrashIsNotResolvedByAnEarlierReport()
  {
    // A periodic report is requested, and the engine crashes before the report arrives.
    SidecarFixture sidecar;
    sidecar.StartAttempt(1000);
    sidecar.now += std::chrono::seconds(1);
    sidecar.Step(Wake{});
    EngineEnded ended;
    ended.run = sidecar.runs.back().run;
    ended.kind = EngineEndKind::Lost;
    sidecar.Step(ended);
    EngineReport report;
    report.state = EngineState::Up;
    report.incarnation = "boot-1";
    report.capacityTokens = 100'000;
    CPPUNIT_ASSERT(SidecarFixture::FindSent<Finished>(sidecar.Step(report)) == nullptr);

    // The next check times out because the process is still exiting, so it is inconclusive too.
    report.state = EngineState::Unresponsive;
    CPPUNIT_ASSERT(SidecarFixture::FindSent<Finished>(sidecar.Step(report)) == nullptr);

    report.state = EngineState::Down;
    const auto* finished = SidecarFixture::FindSent<Finished>(sidecar.Step(report));
    CPPUNIT_ASSERT(finished && finished->targetCrashed);

    // The number of checks of an engine that stays unresponsive is limited; it counts as paused,
    // not crashed.
    SidecarFixture paused;
    paused.StartAttempt(1000);
    ended.run = paused.runs.back().run;
    paused.Step(ended);
    report.state = EngineState::Unresponsive;
    finished = nullptr;
    for (int i = 0; i < 4 && !finished; ++i) {
      finished = SidecarFixture::FindSent<Finished>(paused.Step(report));
    }
    CPPUNIT_ASSERT(finished && !finished->targetCrashed);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SidecarReducerTest);

} // namespace
} // namespace sycamorepost
