// Unit tests of ForwardReducer: routes and API keys, retries, resumed streams, refusals that
// guarantee that the call did not run, KV reservations, placement and load shedding.
#include <array>
#include <functional>
#include <map>
#include <random>
#include <set>

#include <cppunit/extensions/HelperMacros.h>

#include <nlohmann/json.hpp>

#include "harness/VirtualTime.h"
#include "sycamorepost/forward/ForwardReducer.h"

namespace sycamorepost {
namespace {

using std::chrono::milliseconds;

constexpr const char* kHost = "quiz.example";
constexpr const char* kApiKey = "key-1";
constexpr std::uint64_t kKvCapacityTokens = 300'000;

RouteRule
MakeRoute(const std::string& aPath, RouteKind aKind, const std::string& aService)
{
  RouteRule route;
  route.name = "r" + aPath;
  route.host = kHost;
  route.pathPrefix = aPath;
  route.kind = aKind;
  route.services = { { aService, 1 } };
  route.timeout = std::chrono::seconds(10);
  route.objective = milliseconds(300);
  route.maxAttempts = 2;
  if (aKind == RouteKind::Stream) {
    route.gapObjective = milliseconds(250);
    route.isResumable = true;
  }
  return route;
}

std::shared_ptr<RouteTable>
MakeTable(std::uint64_t aVersion)
{
  auto table = std::make_shared<RouteTable>();
  table->version = aVersion;
  table->AddRoute(MakeRoute("/book/", RouteKind::NonIdempotent, "ledger"));
  table->AddRoute(MakeRoute("/look/", RouteKind::Idempotent, "ledger"));
  table->AddRoute(MakeRoute("/draft/", RouteKind::Stream, "quizmind"));
  RouteRule longPromptRoute = MakeRoute("/sift/", RouteKind::Stream, "quizmind");
  longPromptRoute.objective = std::chrono::seconds(3);
  longPromptRoute.gapObjective = std::chrono::seconds(1);
  table->AddRoute(longPromptRoute);
  table->services["ledger"].name = "ledger";
  ServiceTraits engineService{ .name = "quizmind", .maxConnections = 300 };
  engineService.engine = EngineTraits{ .stepMs = 0.85,
                                       .stepMsPerSequence = 0.004,
                                       .stepMsPerThousandTokens = 0.003,
                                       .prefillTokensPerMs = 177,
                                       .prefillMsPerMillionPairs = 0.184,
                                       .stepsPerPass = 51,
                                       .kvCapacityTokens = kKvCapacityTokens,
                                       .slots = 16 };
  table->services["quizmind"] = engineService;
  table->AddAccount({ "derwent", std::nullopt }, { kApiKey });
  return table;
}

class ForwardReducerDriver
{
public:
  explicit ForwardReducerDriver(int aEngineCount = 4,
                                std::uint64_t aSeed = 0,
                                bool aIsConfigured = true)
    : reducer(
        ForwardConfig{ .name = "entry-1", .domain = "hobart", .seed = aSeed, .retrySlack = 200 })
  {
    if (!aIsConfigured) {
      return;
    }
    this->Step(RoutesChanged{ MakeTable(1) });
    for (int i = 1; i <= aEngineCount; ++i) {
      this->AddTarget("engine-" + std::to_string(i), "quizmind", 16);
    }
    for (int i = 1; i <= 3; ++i) {
      this->AddTarget("ledger-" + std::to_string(i), "ledger", 6);
    }
    this->Step(TargetsChanged{ this->targets });
  }

  void AddTarget(const std::string& aName, const std::string& aService, std::uint32_t aSlots)
  {
    RegisteredTarget target;
    target.instance = aName;
    target.service = aService;
    target.address = "10.0.0." + std::to_string(this->targets.size() + 1) + ":80";
    target.domain = "hobart";
    target.slots = aSlots;
    this->targets[aName] = target;
  }

  std::vector<ForwardEffect> Step(const ForwardEvent& aEvent)
  {
    auto effects = this->reducer.Step(aEvent, this->now);
    for (const ForwardEffect& effect : effects) {
      if (const auto* start = std::get_if<StartAttempt>(&effect)) {
        this->starts.push_back(*start);
      } else if (const auto* response = std::get_if<SendResponse>(&effect)) {
        this->responses.push_back(*response);
      } else if (const auto* command = std::get_if<SendReservationCommand>(&effect)) {
        this->commands.push_back(*command);
      } else if (const auto* write = std::get_if<WriteResponse>(&effect)) {
        this->delivered += write->bytes;
      } else if (std::holds_alternative<AbortResponse>(effect)) {
        ++this->aborted;
      } else if (std::holds_alternative<CompleteResponse>(effect)) {
        ++this->completed;
      } else if (const auto* cancel = std::get_if<CancelAttempt>(&effect)) {
        ++this->cancelled;
        this->cancelledAttempts.insert(cancel->attempt);
      } else if (const auto* check = std::get_if<CheckTarget>(&effect)) {
        this->checks.push_back(check->instance);
      }
    }
    return effects;
  }

  std::uint64_t SendRequest(const std::string& aPath, std::uint32_t aPromptTokens = 0)
  {
    ForwardRequest request;
    request.handle = ++this->lastHandle;
    request.requestId = "id-" + std::to_string(request.handle);
    request.method = "POST";
    request.path = aPath + "x";
    request.host = kHost;
    request.body = MakeBody("body");
    request.key = kApiKey;
    request.promptTokens = aPromptTokens;
    request.outputTokens = aPromptTokens > 0 ? 100 : 0;
    request.fingerprint = request.handle;
    this->Step(request);
    return request.handle;
  }

  void ReceiveHead(int aStatus, bool aNotExecuted = false)
  {
    AttemptHead head;
    head.attempt = this->starts.back().attempt;
    head.status = aStatus;
    head.isSigned = !aNotExecuted;
    head.notExecuted = aNotExecuted;
    this->Step(head);
  }

  void Announce(int aStatus, const TargetAnnouncement& aAnnouncement)
  {
    AttemptHead head;
    head.attempt = this->starts.back().attempt;
    head.status = aStatus;
    head.isSigned = true;
    head.notExecuted = aStatus == 503;
    head.announcement = aAnnouncement;
    this->Step(head);
  }

  void ReceiveData(const std::string& aBytes)
  {
    this->Step(AttemptData{ this->starts.back().attempt, aBytes });
  }

  void EndAttempt(AttemptEndKind aKind)
  {
    this->Step(AttemptEnd{ this->starts.back().attempt, aKind, "test" });
  }

  // Like the functions above, for an attempt that is not the last one.
  void ReceiveEventOf(const StartAttempt& aStart, int aId)
  {
    this->Step(AttemptData{ aStart.attempt, "id: " + std::to_string(aId) + "\ndata: x\n\n" });
  }

  void EndAttemptOf(const StartAttempt& aStart, AttemptEndKind aKind)
  {
    this->Step(AttemptEnd{ aStart.attempt, aKind, "test" });
  }

  bool IsCancelled(const StartAttempt& aStart) const
  {
    return this->cancelledAttempts.contains(aStart.attempt);
  }

  void AdvanceTime(Duration aDuration) { harness::AdvanceTime(*this, aDuration); }

  ForwardReducer reducer;
  Instant now{ std::chrono::hours(1) };
  std::map<std::string, RegisteredTarget> targets;
  std::vector<StartAttempt> starts;
  std::vector<SendResponse> responses;
  std::vector<SendReservationCommand> commands;
  std::string delivered;
  int aborted = 0;
  int completed = 0;
  int cancelled = 0;
  std::set<std::uint64_t> cancelledAttempts;
  std::vector<std::string> checks; // Instances that were checked.
  std::uint64_t lastHandle = 0;
};

std::string
MakeEvent(int aId)
{
  return "id: " + std::to_string(aId) + "\ndata: x\n\n";
}

class ForwardReducerTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ForwardReducerTest);
  CPPUNIT_TEST(UnknownRoutesAndKeysAreRefused);
  CPPUNIT_TEST(RequestsOfTheFirstMomentsAwaitTheConfiguration);
  CPPUNIT_TEST(LongPromptsOfTheFirstMomentsAwaitLoadReports);
  CPPUNIT_TEST(NonIdempotentCallRunsAtMostOnce);
  CPPUNIT_TEST(IdempotentCallIsRetriedOnAnotherTarget);
  CPPUNIT_TEST(StreamResumesAfterLastCompleteEvent);
  CPPUNIT_TEST(StreamThatCannotResumeIsAborted);
  CPPUNIT_TEST(EventsBeforeMissingEventAreDelivered);
  CPPUNIT_TEST(ErrorTextOfNextEngineStaysOutOfStream);
  CPPUNIT_TEST(StreamThatEndsWithItsConnectionEarlyIsNotComplete);
  CPPUNIT_TEST(UnresponsiveEngineGoesOnWhenNoOtherTakesItsStream);
  CPPUNIT_TEST(UnresponsiveEngineIsCancelledWhenAnotherHasTakenOver);
  CPPUNIT_TEST(UnresponsiveEngineThatGoesOnKeepsItsStream);
  CPPUNIT_TEST(UnresponsiveTargetMayStillRespondToWholeCall);
  CPPUNIT_TEST(UnresponsiveEngineKeepsItsReservations);
  CPPUNIT_TEST(UnresponsiveEngineThatIsDownKeepsNoReservations);
  CPPUNIT_TEST(StreamsOfEnginesThatPauseAndFailStayInOrder);
  CPPUNIT_TEST(EndlessBytesEndTheAttempt);
  CPPUNIT_TEST(ManyEndlessResponsesShareTheMemory);
  CPPUNIT_TEST(RefusalOfAnotherRequestIsNoPromise);
  CPPUNIT_TEST(LeavingTargetGetsNoNewWork);
  CPPUNIT_TEST(PausedTargetGetsNothingUntilItsTime);
  CPPUNIT_TEST(PauseDuringReservationMovesPrompt);
  CPPUNIT_TEST(ReservationsAreReleasedWithTheirRequest);
  CPPUNIT_TEST(CallerDisconnectCancelsAttempt);
  CPPUNIT_TEST(RequestsEndAtTheirDeadline);
  CPPUNIT_TEST(RetryBudgetLimitsRetries);
  CPPUNIT_TEST(RequestWithRepeatedAbortsIsRefused);
  CPPUNIT_TEST(BurstOfShortPromptsIsShedBeyondShortQueue);
  CPPUNIT_TEST(LongPromptAvoidsEnginesWithStrictStreams);
  CPPUNIT_TEST(LongPromptsThatCostMoreThanTheyAreWorthAreRefused);
  CPPUNIT_TEST(ShortPromptsArePackedOnFullestEngine);
  CPPUNIT_TEST(PromptsOverflowToAnotherDomainOnlyWhenTheOwnIsFull);
  CPPUNIT_TEST(PromptIsNotRefusedWhileAnotherDomainHasTime);
  CPPUNIT_TEST(EntriesWithSameLoadReportsSpreadPlacement);
  CPPUNIT_TEST(LongPromptIsSplitByRemainingTime);
  CPPUNIT_TEST(RestartedPeerReceivesLoadSnapshot);
  CPPUNIT_TEST_SUITE_END();

public:
  void UnknownRoutesAndKeysAreRefused()
  {
    ForwardReducerDriver driver;
    driver.SendRequest("/nowhere/");
    CPPUNIT_ASSERT_EQUAL(404, driver.responses.back().status);
    ForwardRequest request;
    request.handle = 100;
    request.host = std::string(kHost) + ":8080";
    request.path = "/look/x?key=1";
    request.body = MakeBody("");
    request.key = "another";
    driver.Step(request);
    CPPUNIT_ASSERT_EQUAL(401, driver.responses.back().status);

    // The target receives the account of the API key, not one that the caller claims.
    request.handle = 101;
    request.key = kApiKey;
    driver.Step(request);
    CPPUNIT_ASSERT_EQUAL(std::string("derwent"), driver.starts.back().account);

    // A configuration whose version is not newer is ignored.
    auto stale = std::make_shared<RouteTable>();
    stale->version = 1;
    driver.Step(RoutesChanged{ stale });
    driver.SendRequest("/look/");
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), driver.starts.size());
  }

  // Load pattern: all entries restart together and the callers are back before the configuration is
  // read. Guards against refusing them for the fraction of a second that the read takes.
  void RequestsOfTheFirstMomentsAwaitTheConfiguration()
  {
    // They are forwarded once both the configuration and the targets are known.
    ForwardReducerDriver known;
    ForwardReducerDriver driver(0, 0, false);
    driver.SendRequest("/draft/", 5000);
    driver.SendRequest("/book/");
    const std::uint64_t left = driver.SendRequest("/book/");
    CPPUNIT_ASSERT(!driver.reducer.IsReady());
    driver.AdvanceTime(milliseconds(200));
    driver.Step(ForwardCallerDisconnected{ left });
    driver.Step(RoutesChanged{ MakeTable(1) });
    CPPUNIT_ASSERT(driver.starts.empty() && driver.responses.empty());
    driver.Step(TargetsChanged{ known.targets });
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), driver.starts.size());
    // The time that they were held counts towards their deadline.
    CPPUNIT_ASSERT(driver.starts.back().remaining == milliseconds(9800));

    // Without a configuration they are refused half a second after the start, and later ones at
    // once.
    ForwardReducerDriver unconfigured(0, 0, false);
    unconfigured.SendRequest("/draft/", 5000);
    unconfigured.AdvanceTime(milliseconds(499));
    CPPUNIT_ASSERT(unconfigured.responses.empty());
    unconfigured.AdvanceTime(milliseconds(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), unconfigured.responses.size());
    unconfigured.SendRequest("/draft/", 5000);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), unconfigured.responses.size());
    for (const SendResponse& response : unconfigured.responses) {
      CPPUNIT_ASSERT_EQUAL(503, response.status);
      CPPUNIT_ASSERT(response.retryAfter.has_value());
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), unconfigured.reducer.InFlight());
  }

  // Load pattern: as above, with long prompts among the callers. Guards against entries that place
  // them at the same moment without knowing of each other.
  void LongPromptsOfTheFirstMomentsAwaitLoadReports()
  {
    const std::map<std::string, RegisteredEntry> entries{ { "entry-1", { "", "hobart" } },
                                                          { "entry-2", { "peer-2", "hobart" } },
                                                          { "entry-3", { "peer-3", "hobart" } } };
    std::set<Duration> waits;
    for (std::uint64_t seed = 1; seed <= 8; ++seed) {
      ForwardReducerDriver driver(4, seed);
      driver.Step(EntriesChanged{ entries });
      driver.SendRequest("/draft/", 5000);
      CPPUNIT_ASSERT_EQUAL(std::size_t(1), driver.starts.size());
      driver.SendRequest("/sift/", 100'000);
      Duration wait{};
      for (; driver.starts.size() == 1 && wait <= milliseconds(500); wait += milliseconds(10)) {
        driver.AdvanceTime(milliseconds(10));
      }
      CPPUNIT_ASSERT_EQUAL(std::size_t(2), driver.starts.size());
      waits.insert(wait);
    }
    CPPUNIT_ASSERT(waits.size() >= 4);

    // An entry that hears its neighbours, or is not new, does not wait.
    ForwardReducerDriver hearing;
    hearing.Step(EntriesChanged{ entries });
    hearing.Step(PeerLoadReport{ "peer-2", 1, {}, true });
    hearing.SendRequest("/sift/", 100'000);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), hearing.starts.size());
    ForwardReducerDriver settled;
    settled.Step(EntriesChanged{ entries });
    settled.AdvanceTime(std::chrono::seconds(1));
    settled.SendRequest("/sift/", 100'000);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), settled.starts.size());
  }

  void NonIdempotentCallRunsAtMostOnce()
  {
    // No byte was sent to an unreachable target, so the call is retried on another one.
    ForwardReducerDriver driver;
    driver.SendRequest("/book/");
    driver.EndAttempt(AttemptEndKind::NotConnected);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), driver.starts.size());
    CPPUNIT_ASSERT(driver.starts[0].instance != driver.starts[1].instance);

    // A target's guarantee that the call did not run also allows a retry.
    driver.ReceiveHead(503, true);
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), driver.starts.size());

    // After the response is lost the call may have run: it is not retried, and the 502 does not
    // state that it did not run.
    driver.EndAttempt(AttemptEndKind::Aborted);
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), driver.starts.size());
    CPPUNIT_ASSERT_EQUAL(502, driver.responses.back().status);

    // An error response of the target itself is returned unchanged.
    driver.SendRequest("/book/");
    driver.ReceiveHead(500);
    driver.EndAttempt(AttemptEndKind::Complete);
    CPPUNIT_ASSERT_EQUAL(500, driver.responses.back().status);

    // Every target refused the call without running it, so the caller gets a retryable 503.
    ForwardReducerDriver refusingDriver;
    refusingDriver.SendRequest("/book/");
    for (int i = 0; i < 3; ++i) {
      refusingDriver.ReceiveHead(503, true);
    }
    CPPUNIT_ASSERT_EQUAL(503, refusingDriver.responses.back().status);
    CPPUNIT_ASSERT(refusingDriver.responses.back().retryAfter.has_value());
  }

  void IdempotentCallIsRetriedOnAnotherTarget()
  {
    ForwardReducerDriver driver;
    driver.SendRequest("/look/");
    driver.ReceiveHead(500);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), driver.starts.size());

    // The route allows two attempts, so the second error response is returned.
    driver.ReceiveHead(500);
    driver.ReceiveData("failed");
    driver.EndAttempt(AttemptEndKind::Complete);
    CPPUNIT_ASSERT_EQUAL(500, driver.responses.back().status);
    CPPUNIT_ASSERT_EQUAL(std::string("failed"), driver.responses.back().body);

    // A 200 without the target's signature field counts as a failed attempt.
    driver.SendRequest("/look/");
    AttemptHead head;
    head.attempt = driver.starts.back().attempt;
    head.status = 200;
    driver.Step(head);
    CPPUNIT_ASSERT_EQUAL(std::size_t(4), driver.starts.size());
  }

  void StreamResumesAfterLastCompleteEvent()
  {
    ForwardReducerDriver driver;
    driver.SendRequest("/draft/", 5000);
    driver.ReceiveHead(200);
    driver.ReceiveData(MakeEvent(1) + MakeEvent(2) + "id: 3\ndata: ha");
    CPPUNIT_ASSERT_EQUAL(MakeEvent(1) + MakeEvent(2), driver.delivered);
    driver.EndAttempt(AttemptEndKind::Aborted);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), driver.starts.size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), *driver.starts.back().resumeAfter);

    // Events that the caller has already received are not sent again.
    driver.ReceiveHead(200);
    driver.ReceiveData(MakeEvent(2) + MakeEvent(3));
    driver.EndAttempt(AttemptEndKind::Complete);
    CPPUNIT_ASSERT_EQUAL(MakeEvent(1) + MakeEvent(2) + MakeEvent(3), driver.delivered);
    CPPUNIT_ASSERT_EQUAL(1, driver.completed);
    CPPUNIT_ASSERT_EQUAL(0, driver.aborted);
  }

  void StreamThatCannotResumeIsAborted()
  {
    ForwardReducerDriver driver;
    driver.SendRequest("/draft/", 5000);
    driver.ReceiveHead(200);
    driver.ReceiveData(MakeEvent(1));
    driver.ReceiveData(MakeEvent(3)); // Event 2 is missing.
    CPPUNIT_ASSERT_EQUAL(MakeEvent(1), driver.delivered);
    driver.ReceiveHead(200);
    driver.ReceiveData(MakeEvent(2) + "id: 3");
    // The response ends within an event, and both allowed attempts are used.
    driver.EndAttempt(AttemptEndKind::Complete);
    CPPUNIT_ASSERT_EQUAL(0, driver.completed);
    CPPUNIT_ASSERT_EQUAL(1, driver.aborted);
  }

  // Guards against the loss of events that arrive together with one behind a gap: the next engine
  // resumes after them.
  void EventsBeforeMissingEventAreDelivered()
  {
    ForwardReducerDriver driver;
    driver.SendRequest("/draft/", 5000);
    driver.ReceiveHead(200);
    driver.ReceiveData(MakeEvent(1) + MakeEvent(2) + MakeEvent(5));
    CPPUNIT_ASSERT_EQUAL(MakeEvent(1) + MakeEvent(2), driver.delivered);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), *driver.starts.back().resumeAfter);
  }

  // Begins a stream whose engine sends one event and then nothing until another one is tried.
  static void BeginStalledStream(ForwardReducerDriver& aDriver)
  {
    aDriver.SendRequest("/draft/", 5000);
    aDriver.ReceiveHead(200);
    aDriver.ReceiveData(MakeEvent(1));
    aDriver.AdvanceTime(milliseconds(1100));
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), aDriver.starts.size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), *aDriver.starts.back().resumeAfter);
    CPPUNIT_ASSERT_EQUAL(0, aDriver.cancelled);
  }

  // Guards against a stream that is cut because its engine paused for a second, and was cancelled
  // before another one had accepted the request.
  void UnresponsiveEngineGoesOnWhenNoOtherTakesItsStream()
  {
    struct Case
    {
      const char* name;
      std::function<void(ForwardReducerDriver&)> decline;
    };
    const std::array<Case, 4> cases{ {
      { "full", [](auto& aDriver) { aDriver.ReceiveHead(503, true); } },
      { "failing", [](auto& aDriver) { aDriver.ReceiveHead(500); } },
      { "crashing", [](auto& aDriver) { aDriver.EndAttempt(AttemptEndKind::Aborted); } },
      { "unreachable", [](auto& aDriver) { aDriver.EndAttempt(AttemptEndKind::NotConnected); } },
    } };
    for (const Case& one : cases) {
      ForwardReducerDriver driver;
      BeginStalledStream(driver);
      // Each of the other engines declines the stream.
      for (std::size_t tried = 0; tried != driver.starts.size();) {
        tried = driver.starts.size();
        one.decline(driver);
      }
      CPPUNIT_ASSERT_EQUAL_MESSAGE(one.name, 0, driver.aborted);
      // The pause of the first one ends, and so does its stream.
      driver.AdvanceTime(milliseconds(500));
      driver.ReceiveEventOf(driver.starts.front(), 2);
      driver.EndAttemptOf(driver.starts.front(), AttemptEndKind::Complete);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(one.name, MakeEvent(1) + MakeEvent(2), driver.delivered);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(one.name, 1, driver.completed);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(one.name, 0, driver.aborted);
      CPPUNIT_ASSERT_EQUAL(std::size_t(0), driver.reducer.InFlight());
    }
  }

  // The other side: a dead engine costs its stream no more time than before.
  void UnresponsiveEngineIsCancelledWhenAnotherHasTakenOver()
  {
    ForwardReducerDriver driver;
    BeginStalledStream(driver);
    driver.ReceiveHead(200);
    CPPUNIT_ASSERT_EQUAL(0, driver.cancelled);
    driver.ReceiveData(MakeEvent(2));
    CPPUNIT_ASSERT_EQUAL(1, driver.cancelled);
    CPPUNIT_ASSERT(driver.IsCancelled(driver.starts.front()));
    // What is still on its way from the first one reaches nobody.
    driver.ReceiveEventOf(driver.starts.front(), 2);
    driver.EndAttempt(AttemptEndKind::Complete);
    CPPUNIT_ASSERT_EQUAL(MakeEvent(1) + MakeEvent(2), driver.delivered);
    CPPUNIT_ASSERT_EQUAL(1, driver.completed);

    // The first engine turns out to be dead while the second one prefills.
    ForwardReducerDriver crashed;
    BeginStalledStream(crashed);
    crashed.EndAttemptOf(crashed.starts.front(), AttemptEndKind::Aborted);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), crashed.starts.size());
    crashed.ReceiveHead(200);
    crashed.ReceiveData(MakeEvent(2));
    crashed.EndAttempt(AttemptEndKind::Complete);
    CPPUNIT_ASSERT_EQUAL(1, crashed.completed);

    // Both fail, and the caller learns it.
    ForwardReducerDriver failed;
    BeginStalledStream(failed);
    failed.EndAttemptOf(failed.starts.front(), AttemptEndKind::Aborted);
    failed.EndAttempt(AttemptEndKind::Aborted);
    CPPUNIT_ASSERT_EQUAL(1, failed.aborted);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), failed.reducer.InFlight());

    // The caller leaves while both are at work.
    ForwardReducerDriver left;
    BeginStalledStream(left);
    left.Step(ForwardCallerDisconnected{ left.lastHandle });
    CPPUNIT_ASSERT_EQUAL(2, left.cancelled);
  }

  // Guards against events of two engines in one stream.
  void UnresponsiveEngineThatGoesOnKeepsItsStream()
  {
    ForwardReducerDriver driver;
    BeginStalledStream(driver);
    const StartAttempt first = driver.starts[0];
    const StartAttempt second = driver.starts[1];
    driver.ReceiveHead(200);
    // Part of an event from either of them decides nothing.
    driver.Step(AttemptData{ first.attempt, "id: 2\nda" });
    driver.Step(AttemptData{ second.attempt, "id: 2\n" });
    CPPUNIT_ASSERT_EQUAL(0, driver.cancelled);
    driver.Step(AttemptData{ first.attempt, "ta: x\n\n" });
    CPPUNIT_ASSERT(driver.IsCancelled(second));
    driver.Step(AttemptData{ second.attempt, "data: x\n\n" });
    driver.ReceiveEventOf(first, 3);
    driver.EndAttemptOf(first, AttemptEndKind::Complete);
    CPPUNIT_ASSERT_EQUAL(MakeEvent(1) + MakeEvent(2) + MakeEvent(3), driver.delivered);
    CPPUNIT_ASSERT_EQUAL(1, driver.completed);
  }

  // Guards against a refusal, by a busy second target, of a call on which the first is at work.
  void UnresponsiveTargetMayStillRespondToWholeCall()
  {
    ForwardReducerDriver driver;
    driver.SendRequest("/look/");
    driver.AdvanceTime(milliseconds(700));
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), driver.starts.size());
    for (std::size_t tried = 0; tried != driver.starts.size();) {
      tried = driver.starts.size();
      driver.ReceiveHead(503, true);
    }
    CPPUNIT_ASSERT(driver.responses.empty());
    const StartAttempt first = driver.starts.front();
    AttemptHead head;
    head.attempt = first.attempt;
    head.status = 200;
    head.isSigned = true;
    driver.Step(head);
    driver.Step(AttemptData{ first.attempt, "found" });
    driver.EndAttemptOf(first, AttemptEndKind::Complete);
    CPPUNIT_ASSERT_EQUAL(200, driver.responses.back().status);
    CPPUNIT_ASSERT_EQUAL(std::string("found"), driver.responses.back().body);

    // A call that may not be repeated waits for its one target.
    driver.SendRequest("/book/");
    const std::size_t starts = driver.starts.size();
    driver.AdvanceTime(std::chrono::seconds(5));
    CPPUNIT_ASSERT_EQUAL(starts, driver.starts.size());
  }

  // Guards against memory that is taken from an unresponsive engine, or kept for nobody once
  // another has taken over.
  void UnresponsiveEngineKeepsItsReservations()
  {
    ForwardReducerDriver driver(6);
    const auto grantAll = [&](std::size_t aFrom) {
      for (std::size_t i = aFrom; i < driver.commands.size(); ++i) {
        const SendReservationCommand command = driver.commands[i];
        driver.Step(ReservationCommandEnd{ command.command, true, true, command.instance });
      }
    };
    driver.SendRequest("/sift/", 154'000);
    const std::size_t reserved = driver.commands.size();
    CPPUNIT_ASSERT(reserved > 0);
    grantAll(0);
    driver.ReceiveHead(200);
    driver.ReceiveData(MakeEvent(1));
    for (int second = 0; second < 5 && driver.starts.size() == 1; ++second) {
      const std::size_t known = driver.commands.size();
      driver.AdvanceTime(std::chrono::seconds(1));
      grantAll(known);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), driver.starts.size());
    const auto countReleases = [&] {
      return std::count_if(driver.commands.begin(), driver.commands.end(), [](const auto& aOne) {
        return aOne.tokens == 0;
      });
    };
    CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t(0), countReleases());
    driver.ReceiveHead(200);
    driver.ReceiveData(MakeEvent(2));
    CPPUNIT_ASSERT(driver.IsCancelled(driver.starts.front()));
    CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t(reserved), countReleases());
    driver.EndAttempt(AttemptEndKind::Complete);
    std::set<std::string> open;
    for (const SendReservationCommand& command : driver.commands) {
      if (command.tokens > 0) {
        open.insert(command.reservation);
      } else {
        open.erase(command.reservation);
      }
    }
    CPPUNIT_ASSERT(open.empty());
  }

  // Guards against memory that stays reserved on helpers while an unresponsive engine is down.
  void UnresponsiveEngineThatIsDownKeepsNoReservations()
  {
    for (const Reachability reachability : { Reachability::Refused, Reachability::NoReply }) {
      ForwardReducerDriver driver(6);
      driver.SendRequest("/sift/", 154'000);
      for (std::size_t i = 0; i < driver.commands.size(); ++i) {
        const SendReservationCommand command = driver.commands[i];
        driver.Step(ReservationCommandEnd{ command.command, true, true, command.instance });
      }
      const StartAttempt first = driver.starts.front();
      driver.ReceiveHead(200);
      driver.ReceiveData(MakeEvent(1));
      driver.AdvanceTime(std::chrono::seconds(5));
      CPPUNIT_ASSERT_EQUAL(first.instance, driver.checks.back());
      CPPUNIT_ASSERT(!driver.IsCancelled(first));
      driver.Step(TargetChecked{ first.instance, reachability });
      CPPUNIT_ASSERT(driver.IsCancelled(first));
      const std::string name = first.helpers.front().reservation;
      CPPUNIT_ASSERT(std::any_of(
        driver.commands.begin(), driver.commands.end(), [&](const SendReservationCommand& aOne) {
          return aOne.reservation == name && aOne.tokens == 0;
        }));
    }
  }

  // Guards against events that are lost, repeated or mixed, and against work and memory that nobody
  // ends, in any order of pauses, failures and takeovers.
  void StreamsOfEnginesThatPauseAndFailStayInOrder()
  {
    static constexpr int kEvents = 6;
    static constexpr int kSeeds = 400;
    int completed = 0;
    for (int seed = 1; seed <= kSeeds; ++seed) {
      ForwardReducerDriver driver(6, static_cast<std::uint64_t>(seed));
      std::mt19937 random(static_cast<std::mt19937::result_type>(seed));
      std::map<std::uint64_t, int> nextEvents; // Of attempts whose response has begun.
      std::set<std::uint64_t> ended;
      const bool isLong = seed % 2 == 0;
      driver.SendRequest(isLong ? "/sift/" : "/draft/", isLong ? 154'000 : 5000);
      std::size_t handledCommands = 0;
      while (driver.reducer.InFlight() > 0) {
        for (; handledCommands < driver.commands.size(); ++handledCommands) {
          const SendReservationCommand command = driver.commands[handledCommands];
          driver.Step(
            ReservationCommandEnd{ command.command, true, random() % 8 > 0, command.instance });
        }
        driver.AdvanceTime(milliseconds(random() % 1200));
        if (driver.starts.empty()) {
          continue;
        }
        const StartAttempt start = driver.starts[random() % driver.starts.size()];
        if (ended.contains(start.attempt) || driver.IsCancelled(start)) {
          continue;
        }
        const auto next = nextEvents.find(start.attempt);
        const auto action = random() % 10;
        if (action == 0) {
          ended.insert(start.attempt);
          driver.EndAttemptOf(start, AttemptEndKind::Aborted);
        } else if (next == nextEvents.end()) {
          AttemptHead head;
          head.attempt = start.attempt;
          head.notExecuted = action == 1;
          head.status = head.notExecuted ? 503 : 200;
          head.isSigned = !head.notExecuted;
          nextEvents[start.attempt] = static_cast<int>(start.resumeAfter.value_or(0)) + 1;
          driver.Step(head);
        } else if (next->second <= kEvents) {
          driver.ReceiveEventOf(start, next->second++);
        } else {
          ended.insert(start.attempt);
          driver.EndAttemptOf(start, AttemptEndKind::Complete);
        }
      }
      const std::string name = "seed " + std::to_string(seed);
      std::string expected;
      for (int id = 1; expected.size() < driver.delivered.size(); ++id) {
        expected += MakeEvent(id);
      }
      CPPUNIT_ASSERT_EQUAL_MESSAGE(name, expected, driver.delivered);
      if (driver.completed > 0) {
        ++completed;
        CPPUNIT_ASSERT_MESSAGE(name, driver.delivered.ends_with(MakeEvent(kEvents)));
      }
      std::set<std::string> reserved;
      for (const SendReservationCommand& command : driver.commands) {
        if (command.tokens > 0) {
          reserved.insert(command.reservation);
        } else {
          reserved.erase(command.reservation);
        }
      }
      CPPUNIT_ASSERT_MESSAGE(name, reserved.empty());
      // No engine is taken for one that is still at work.
      const nlohmann::json dump = driver.reducer.Dump(driver.now);
      for (const auto& target : dump.at("targets")) {
        CPPUNIT_ASSERT_EQUAL_MESSAGE(name, 0, target.at("running").get<int>());
      }
    }
    CPPUNIT_ASSERT(completed > kSeeds / 4);
  }

  // Guards against an error text in the middle of a stream, or as its end, when the engine that
  // takes over responds with an error.
  void ErrorTextOfNextEngineStaysOutOfStream()
  {
    for (const bool hasErrorStatus : { false, true }) {
      ForwardReducerDriver driver;
      driver.SendRequest("/draft/", 5000);
      driver.ReceiveHead(200);
      driver.ReceiveData(MakeEvent(1));
      driver.EndAttempt(AttemptEndKind::Aborted);
      CPPUNIT_ASSERT_EQUAL(std::size_t(2), driver.starts.size());
      driver.ReceiveHead(hasErrorStatus ? 500 : 200);
      driver.ReceiveData("HTTP/1.1 500 Internal Server Error\r\n\r\n");
      driver.ReceiveData("error: out of memory\n\n");
      driver.EndAttempt(AttemptEndKind::Complete);
      CPPUNIT_ASSERT_EQUAL(MakeEvent(1), driver.delivered);
      CPPUNIT_ASSERT_EQUAL(0, driver.completed);
      CPPUNIT_ASSERT_EQUAL(1, driver.aborted);
    }

    // A success other than 200 carries no events either.
    ForwardReducerDriver driver;
    driver.SendRequest("/draft/", 5000);
    driver.ReceiveHead(200);
    driver.ReceiveData(MakeEvent(1));
    driver.EndAttempt(AttemptEndKind::Aborted);
    driver.ReceiveHead(204);
    driver.EndAttempt(AttemptEndKind::Complete);
    CPPUNIT_ASSERT_EQUAL(0, driver.completed);
    CPPUNIT_ASSERT_EQUAL(1, driver.aborted);
    CPPUNIT_ASSERT(driver.responses.empty());
  }

  // Guards against an empty stream, complete to its caller, of an engine that crashed before the
  // first event of a response without length and chunks.
  void StreamThatEndsWithItsConnectionEarlyIsNotComplete()
  {
    const auto endByClose = [](ForwardReducerDriver& aDriver) {
      aDriver.Step(AttemptEnd{ aDriver.starts.back().attempt, AttemptEndKind::Complete, "", true });
    };
    ForwardReducerDriver driver;
    driver.SendRequest("/draft/", 5000);
    driver.ReceiveHead(200);
    endByClose(driver);
    CPPUNIT_ASSERT_EQUAL(0, driver.completed);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), driver.starts.size());

    // The same within an event.
    driver.ReceiveHead(200);
    driver.ReceiveData(MakeEvent(1) + "id: 2\nda");
    endByClose(driver);
    CPPUNIT_ASSERT_EQUAL(0, driver.completed);

    // Behind an event the connection's end is the end of the stream.
    ForwardReducerDriver whole;
    whole.SendRequest("/draft/", 5000);
    whole.ReceiveHead(200);
    whole.ReceiveData(MakeEvent(1));
    endByClose(whole);
    CPPUNIT_ASSERT_EQUAL(1, whole.completed);
  }

  // Guards against memory that grows with a response or an event without end.
  void EndlessBytesEndTheAttempt()
  {
    const std::string piece(1024 * 1024, 'x');
    for (const char* path : { "/look/", "/draft/" }) {
      ForwardReducerDriver driver;
      driver.SendRequest(path, path == std::string("/draft/") ? 5000 : 0);
      driver.ReceiveHead(200);
      for (int i = 0; i < 64 && driver.cancelled == 0; ++i) {
        driver.ReceiveData(piece);
      }
      CPPUNIT_ASSERT_EQUAL_MESSAGE(path, 1, driver.cancelled);
      CPPUNIT_ASSERT_EQUAL(std::size_t(2), driver.starts.size());
      CPPUNIT_ASSERT(driver.delivered.empty());
    }
  }

  // Guards against an entry that runs out of memory, and takes the requests of all callers with it,
  // while a faulty target sends many responses without end at the same time.
  void ManyEndlessResponsesShareTheMemory()
  {
    static constexpr std::size_t kLimit = 80 * 1024 * 1024;
    static constexpr int kRequests = 100;
    const std::string piece(64 * 1024, 'x');
    for (const char* path : { "/book/", "/draft/" }) {
      ForwardReducerDriver driver(40);
      for (int i = 0; i < kRequests; ++i) {
        driver.SendRequest(path, path == std::string("/draft/") ? 5000 : 0);
      }
      std::map<std::uint64_t, std::size_t> buffered; // By attempt.
      for (const StartAttempt& start : std::vector(driver.starts)) {
        AttemptHead head;
        head.attempt = start.attempt;
        head.status = 200;
        head.isSigned = true;
        driver.Step(head);
        buffered[start.attempt] = 0;
      }
      std::size_t most = 0;
      for (int round = 0; round < 300; ++round) {
        for (auto& [attempt, bytes] : buffered) {
          bytes += piece.size();
          for (const ForwardEffect& effect : driver.Step(AttemptData{ attempt, piece })) {
            const auto* cancelled = std::get_if<CancelAttempt>(&effect);
            bytes = cancelled && cancelled->attempt == attempt ? 0 : bytes;
          }
        }
        std::erase_if(buffered, [](const auto& aItem) { return aItem.second == 0; });
        std::size_t total = 0;
        for (const auto& [attempt, bytes] : buffered) {
          total += bytes;
        }
        most = std::max(most, total);
      }
      CPPUNIT_ASSERT_MESSAGE(path + std::to_string(most), most <= kLimit);
    }
    // One large response beside a few others is passed on.
    ForwardReducerDriver driver;
    driver.SendRequest("/look/");
    driver.ReceiveHead(200);
    for (int i = 0; i < 200; ++i) {
      driver.ReceiveData(piece);
    }
    driver.EndAttempt(AttemptEndKind::Complete);
    CPPUNIT_ASSERT_EQUAL(200 * piece.size(), driver.responses.back().body.size());
  }

  // Guards against a refusal that an engine repeats from an earlier request being passed on as a
  // promise that this request did not run.
  void RefusalOfAnotherRequestIsNoPromise()
  {
    ForwardReducerDriver driver;
    driver.SendRequest("/book/");
    AttemptHead head;
    head.attempt = driver.starts.back().attempt;
    head.status = 503;
    head.notExecuted = true;
    head.requestMismatch = true;
    driver.Step(head);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), driver.starts.size());
    CPPUNIT_ASSERT_EQUAL(502, driver.responses.back().status);
  }

  // Guards against requests to an engine that has announced that it is leaving, before the store
  // lists it as draining, and after its registration has lapsed and returned.
  void LeavingTargetGetsNoNewWork()
  {
    ForwardReducerDriver driver(2);
    driver.SendRequest("/draft/", 3000);
    const std::string leaving = driver.starts.back().instance;
    driver.Announce(200, { .isLeaving = true, .pause = {} });
    driver.ReceiveData(MakeEvent(1)); // The request that it runs goes on.
    CPPUNIT_ASSERT_EQUAL(MakeEvent(1), driver.delivered);
    const auto assertUnused = [&] {
      for (int i = 0; i < 4; ++i) {
        driver.SendRequest("/draft/", 3000);
        CPPUNIT_ASSERT(driver.starts.back().instance != leaving);
      }
    };
    assertUnused();
    const RegisteredTarget target = driver.targets[leaving];
    driver.targets.erase(leaving);
    driver.Step(TargetsChanged{ driver.targets });
    driver.targets[leaving] = target;
    driver.Step(TargetsChanged{ driver.targets });
    assertUnused();

    // A peer that starts later is told as well.
    bool isTold = false;
    for (const ForwardEffect& effect : driver.Step(PeerLoadReport{ "peer", 1, {}, false })) {
      const auto* notice = std::get_if<BroadcastLeaving>(&effect);
      isTold =
        isTold || (notice && notice->instance == leaving && notice->recipients.front() == "peer");
    }
    CPPUNIT_ASSERT(isTold);

    // Peers treat the engine alike.
    ForwardReducerDriver peer(2);
    peer.Step(PeerLeavingReport{ leaving, 0 });
    for (int i = 0; i < 4; ++i) {
      peer.SendRequest("/draft/", 3000);
      CPPUNIT_ASSERT(peer.starts.back().instance != leaving);
    }

    // A new incarnation is another engine, also under the same instance id.
    for (auto& [instance, known] : peer.targets) {
      known.draining = instance != leaving;
      known.startedAtMs = 7;
    }
    peer.Step(TargetsChanged{ peer.targets });
    peer.SendRequest("/draft/", 3000);
    CPPUNIT_ASSERT_EQUAL(leaving, peer.starts.back().instance);
  }

  // Guards against requests to an engine that has asked for a pause with its refusal, and against
  // callers who are told to return before any engine accepts work.
  void PausedTargetGetsNothingUntilItsTime()
  {
    ForwardReducerDriver driver(2);
    driver.SendRequest("/draft/", 3000);
    const std::string first = driver.starts.back().instance;
    driver.Announce(503, { .isLeaving = false, .pause = milliseconds(8000) });
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), driver.starts.size()); // Moved to the other engine.
    CPPUNIT_ASSERT(driver.starts.back().instance != first);
    driver.Announce(503, { .isLeaving = false, .pause = milliseconds(5000) });

    // Both want nothing: callers are refused at once, until the first pause ends.
    CPPUNIT_ASSERT_EQUAL(503, driver.responses.back().status);
    driver.AdvanceTime(milliseconds(1000));
    driver.SendRequest("/draft/", 3000);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), driver.starts.size());
    CPPUNIT_ASSERT(*driver.responses.back().retryAfter >= milliseconds(4000));
    CPPUNIT_ASSERT(*driver.responses.back().retryAfter <= milliseconds(5500));

    // The pause of the second engine has ended, that of the first has not.
    driver.AdvanceTime(milliseconds(4001));
    for (int i = 0; i < 4; ++i) {
      driver.SendRequest("/draft/", 3000);
      CPPUNIT_ASSERT(driver.starts.back().instance != first);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(6), driver.starts.size());
  }

  // Guards against a prompt that starts on an engine which announced its leaving while memory was
  // reserved on others.
  void PauseDuringReservationMovesPrompt()
  {
    ForwardReducerDriver driver(8);
    driver.SendRequest("/sift/", 400'000);
    const std::vector<SendReservationCommand> reserves = driver.commands;
    CPPUNIT_ASSERT(!reserves.empty());
    for (const SendReservationCommand& reserve : reserves) {
      ReservationCommandEnd end{ reserve.command, true, true };
      end.instance = reserve.instance;
      end.announcement.isLeaving = &reserve == &reserves.front();
      driver.Step(end);
    }
    CPPUNIT_ASSERT(driver.starts.empty());
    for (const SendReservationCommand& command : driver.commands) {
      const bool isNew = command.tokens > 0 && command.command > reserves.back().command;
      CPPUNIT_ASSERT(!isNew || command.instance != reserves.front().instance);
    }
  }

  void ReservationsAreReleasedWithTheirRequest()
  {
    // A prompt that needs more than half of an engine's KV cache is split over several engines.
    ForwardReducerDriver driver(8);
    const std::uint64_t handle = driver.SendRequest("/sift/", 400'000);
    CPPUNIT_ASSERT(!driver.commands.empty());
    CPPUNIT_ASSERT(driver.starts.empty());
    const std::size_t reservationCount = driver.commands.size();
    for (std::size_t i = 0; i < reservationCount; ++i) {
      driver.Step(ReservationCommandEnd{ driver.commands[i].command, true, true });
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), driver.starts.size());
    std::size_t namedReservations = 0;
    for (const HelperAssignment& helper : driver.starts.back().helpers) {
      namedReservations += helper.reservation.empty() ? 0 : 1;
    }
    CPPUNIT_ASSERT_EQUAL(reservationCount, namedReservations);

    // Reservations are renewed while the request runs and released when the caller disconnects.
    driver.AdvanceTime(milliseconds(1500));
    CPPUNIT_ASSERT(driver.commands.size() > reservationCount);
    driver.commands.clear();
    driver.Step(ForwardCallerDisconnected{ handle });
    CPPUNIT_ASSERT_EQUAL(reservationCount, driver.commands.size());
    for (const SendReservationCommand& command : driver.commands) {
      CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), command.tokens);
    }

    // A release without a reply is sent again; one with a reply is not.
    const SendReservationCommand unanswered = driver.commands.front();
    driver.Step(ReservationCommandEnd{ driver.commands.back().command, true, true });
    CPPUNIT_ASSERT_EQUAL(reservationCount, driver.commands.size());
    driver.Step(ReservationCommandEnd{ unanswered.command, false, false });
    CPPUNIT_ASSERT_EQUAL(reservationCount + 1, driver.commands.size());
    CPPUNIT_ASSERT_EQUAL(unanswered.reservation, driver.commands.back().reservation);

    // When one reservation is refused, all of the request's reservations are released, also the one
    // whose command got no reply.
    driver.commands.clear();
    driver.SendRequest("/sift/", 400'000);
    const auto reserveCommands = driver.commands;
    for (std::size_t i = 0; i < reserveCommands.size(); ++i) {
      driver.Step(ReservationCommandEnd{ reserveCommands[i].command, i > 0, i > 1 });
    }
    std::size_t releaseCount = 0;
    for (const SendReservationCommand& command : driver.commands) {
      for (const SendReservationCommand& reserve : reserveCommands) {
        releaseCount += command.tokens == 0 && command.reservation == reserve.reservation ? 1 : 0;
      }
    }
    CPPUNIT_ASSERT_EQUAL(reserveCommands.size(), releaseCount);
  }

  void CallerDisconnectCancelsAttempt()
  {
    ForwardReducerDriver driver;
    const std::uint64_t handle = driver.SendRequest("/draft/", 5000);
    driver.Step(ForwardCallerDisconnected{ handle });
    CPPUNIT_ASSERT_EQUAL(1, driver.cancelled);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), driver.reducer.InFlight());
    driver.ReceiveHead(200); // Later events of a cancelled attempt are ignored.
    CPPUNIT_ASSERT(driver.delivered.empty());
  }

  void RequestsEndAtTheirDeadline()
  {
    ForwardReducerDriver driver;
    driver.SendRequest("/book/");
    driver.AdvanceTime(std::chrono::seconds(11));
    CPPUNIT_ASSERT_EQUAL(504, driver.responses.back().status);
    CPPUNIT_ASSERT_EQUAL(1, driver.cancelled);

    // The target receives the remaining time, not the caller's original deadline.
    ForwardRequest request;
    request.handle = 50;
    request.host = kHost;
    request.path = "/look/1";
    request.body = MakeBody("");
    request.key = kApiKey;
    request.deadline = milliseconds(900);
    driver.Step(request);
    driver.AdvanceTime(milliseconds(200));
    driver.ReceiveHead(500);
    CPPUNIT_ASSERT(driver.starts.back().remaining <= milliseconds(700));
  }

  void RetryBudgetLimitsRetries()
  {
    ForwardReducerDriver driver;
    int retries = 0;
    for (int i = 0; i < 200; ++i) {
      const std::size_t startsBefore = driver.starts.size();
      driver.SendRequest("/look/");
      driver.ReceiveHead(500);
      retries += driver.starts.size() > startsBefore + 1 ? 1 : 0;
      driver.EndAttempt(AttemptEndKind::Aborted);
    }
    // The entry assumes six entries and uses half of the budget: a sixth of half of the slack of
    // 200, and half of the retry ratio of 0.2 per request.
    CPPUNIT_ASSERT(retries >= 16);
    CPPUNIT_ASSERT_MESSAGE(std::to_string(retries), retries <= 200 / 12 + 200 / 10 + 1);
  }

  void RequestWithRepeatedAbortsIsRefused()
  {
    ForwardReducerDriver driver;
    ForwardRequest request;
    request.host = kHost;
    request.path = "/book/1";
    request.body = MakeBody("poison");
    request.key = kApiKey;
    request.fingerprint = 77;
    for (int i = 0; i < 2; ++i) {
      request.handle = 10 + static_cast<std::uint64_t>(i);
      driver.Step(request);
      driver.EndAttempt(AttemptEndKind::Aborted);
    }
    driver.Step(PeerAbortReport{ 77 }); // A peer reports one more aborted attempt.
    request.handle = 20;
    driver.Step(request);
    CPPUNIT_ASSERT_EQUAL(503, driver.responses.back().status);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), driver.starts.size());
  }

  // Load pattern: a short burst on full engines. Guards against a standing queue in which every
  // request is late.
  void BurstOfShortPromptsIsShedBeyondShortQueue()
  {
    ForwardReducerDriver driver(2);
    for (int i = 0; i < 60; ++i) {
      driver.SendRequest("/draft/", 5000);
      // The whole burst ends before a stream counts as unresponsive.
      driver.AdvanceTime(milliseconds(10));
      if (!driver.starts.empty()) {
        driver.ReceiveHead(200);
        driver.ReceiveData(MakeEvent(1));
      }
    }
    // Two engines have 32 slots: requests beyond a short queue are refused at once with a retry
    // delay.
    CPPUNIT_ASSERT(driver.starts.size() >= 32);
    CPPUNIT_ASSERT_MESSAGE(std::to_string(driver.starts.size()), driver.starts.size() <= 2 * 20);
    CPPUNIT_ASSERT_EQUAL(std::size_t(60), driver.starts.size() + driver.responses.size());
    CPPUNIT_ASSERT_EQUAL(503, driver.responses.back().status);
    CPPUNIT_ASSERT(*driver.responses.back().retryAfter < std::chrono::seconds(3));
  }

  // Load pattern: long prompts beside drafts. Guards against gaps in the draft streams while their
  // engine prefills a long prompt segment.
  void LongPromptAvoidsEnginesWithStrictStreams()
  {
    ForwardReducerDriver driver(8);
    std::set<std::string> draftEngines;
    for (int i = 0; i < 6; ++i) {
      driver.SendRequest("/draft/", 3000);
      driver.ReceiveHead(200);
      driver.ReceiveData(MakeEvent(1));
      draftEngines.insert(driver.starts.back().instance);
      driver.AdvanceTime(milliseconds(60));
    }
    CPPUNIT_ASSERT_MESSAGE("drafts share engines", draftEngines.size() <= 2);
    driver.SendRequest("/sift/", 100'000);
    const StartAttempt& longPromptStart = driver.starts.back();
    CPPUNIT_ASSERT(!draftEngines.contains(longPromptStart.instance));
    for (const HelperAssignment& helper : longPromptStart.helpers) {
      for (const std::string& name : draftEngines) {
        CPPUNIT_ASSERT(driver.targets[name].address != helper.address);
      }
    }
  }

  // Load pattern: long prompts arrive faster than the engines can prefill them, beside drafts.
  // Guards against serving every long prompt at the price of the gaps of all drafts.
  void LongPromptsThatCostMoreThanTheyAreWorthAreRefused()
  {
    // Drafts run on all engines, so that any part of the prompt delays some of them.
    ForwardReducerDriver driver(4);
    this->FillWithDrafts(driver);
    const std::size_t drafts = driver.starts.size();
    driver.SendRequest("/sift/", 60'000);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), driver.responses.size());
    CPPUNIT_ASSERT_EQUAL(503, driver.responses.back().status);
    CPPUNIT_ASSERT(driver.responses.back().retryAfter.has_value());
    // Drafts are still accepted, and so is a prompt that has an engine for itself.
    driver.SendRequest("/draft/", 3000);
    CPPUNIT_ASSERT_EQUAL(drafts + 1, driver.starts.size());
    driver.AddTarget("engine-9", "quizmind", 16);
    driver.Step(TargetsChanged{ driver.targets });
    driver.SendRequest("/sift/", 100'000);
    CPPUNIT_ASSERT_EQUAL(std::string("engine-9"), driver.starts.back().instance);
    CPPUNIT_ASSERT(driver.starts.back().helpers.empty());
    // What has run is finished, also at the price of the drafts.
    driver.EndAttempt(AttemptEndKind::Aborted);
    CPPUNIT_ASSERT_EQUAL(drafts + 3, driver.starts.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), driver.responses.size());
  }

  // Load pattern: a short burst, then a long burst. Guards against a few short streams being left
  // on every engine, so that no engine is free for prefill.
  void ShortPromptsArePackedOnFullestEngine()
  {
    ForwardReducerDriver driver(8);
    std::vector<TargetLoadReport> reports;
    for (int i = 1; i <= 8; ++i) {
      const std::uint32_t streams = i == 3 ? 5 : 1;
      reports.push_back({ "engine-" + std::to_string(i), streams, streams, streams * 5000, 0, 0 });
    }
    driver.Step(PeerLoadReport{ "peer", 1, reports, true });
    for (int i = 0; i < 4; ++i) {
      driver.SendRequest("/draft/", 3000);
      CPPUNIT_ASSERT_EQUAL(std::string("engine-3"), driver.starts.back().instance);
      driver.ReceiveHead(200);
      driver.ReceiveData(MakeEvent(1));
      driver.AdvanceTime(milliseconds(60));
    }
  }

  // Load pattern: short prompts in many failure domains, then a burst in one. Guards against
  // prompts that go to engines whose load is known with a delay, and across failure domains, for
  // the sake of packing; and against a queue in one domain while another has free engines.
  void PromptsOverflowToAnotherDomainOnlyWhenTheOwnIsFull()
  {
    ForwardReducerDriver driver(8);
    std::vector<TargetLoadReport> reports;
    for (int i = 5; i <= 8; ++i) {
      driver.targets["engine-" + std::to_string(i)].domain = "burnie";
      reports.push_back({ "engine-" + std::to_string(i), 5, 5, 25'000, 0, 0 });
    }
    driver.Step(TargetsChanged{ driver.targets });
    driver.Step(PeerLoadReport{ "peer", 1, reports, true });
    const auto sendPrompt = [&] {
      driver.SendRequest("/draft/", 3000);
      driver.ReceiveHead(200);
      driver.ReceiveData(MakeEvent(1));
      driver.AdvanceTime(milliseconds(20));
      return driver.targets[driver.starts.back().instance].domain;
    };
    for (int i = 0; i < 20; ++i) {
      CPPUNIT_ASSERT_EQUAL(std::string("hobart"), sendPrompt());
    }
    int remote = 0;
    for (int i = 20; i < 64; ++i) { // The engines of the domain have 64 slots.
      remote += sendPrompt() == "burnie" ? 1 : 0;
    }
    CPPUNIT_ASSERT_MESSAGE(std::to_string(remote), remote >= 10);
    CPPUNIT_ASSERT(driver.responses.empty());
  }

  // Load pattern: short prompts after the loss of engines in one failure domain. Guards against
  // refusals, or late first events, for the sake of the own domain while another one is in time.
  void PromptIsNotRefusedWhileAnotherDomainHasTime()
  {
    ForwardReducerDriver driver(4);
    std::vector<TargetLoadReport> reports;
    for (int i = 1; i <= 4; ++i) {
      const std::string instance = "engine-" + std::to_string(i);
      driver.targets[instance].domain = i <= 2 ? "hobart" : "burnie";
      const double prefillMs = i <= 2 ? 170 : 90;
      reports.push_back({ instance, 2, 2, 10'000, prefillMs, prefillMs });
    }
    driver.Step(TargetsChanged{ driver.targets });
    driver.Step(PeerLoadReport{ "peer", 1, reports, true });
    driver.SendRequest("/draft/", 3000);
    CPPUNIT_ASSERT(driver.responses.empty());
    CPPUNIT_ASSERT_EQUAL(std::string("burnie"),
                         driver.targets[driver.starts.back().instance].domain);
  }

  // Load pattern: a short burst over many entries. Load reports of the peers arrive late, so
  // without a randomized choice all entries would place their requests on the same engine.
  void EntriesWithSameLoadReportsSpreadPlacement()
  {
    constexpr int kEntries = 20;
    std::map<std::string, int> entriesPerEngine;
    for (std::uint64_t seed = 1; seed <= kEntries; ++seed) {
      ForwardReducerDriver driver(16, seed);
      std::vector<TargetLoadReport> reports;
      for (int i = 1; i <= 16; ++i) {
        const std::uint32_t streams = i == 1 ? 5 : 4; // engine-1 is the fullest.
        reports.push_back({ "engine-" + std::to_string(i), streams, streams, 20'000, 0, 0 });
      }
      for (int peer = 1; peer < kEntries; ++peer) {
        const auto loads = peer == 1 ? reports : std::vector<TargetLoadReport>();
        driver.Step(PeerLoadReport{ "peer-" + std::to_string(peer), 1, loads, true });
      }
      for (int i = 0; i < 12; ++i) { // Earlier requests of the burst; their streams have ended.
        const std::uint64_t handle = driver.SendRequest("/draft/", 3000);
        driver.Step(ForwardCallerDisconnected{ handle });
        driver.AdvanceTime(milliseconds(50));
      }
      driver.SendRequest("/draft/", 3000);
      ++entriesPerEngine[driver.starts.back().instance];
    }
    for (const auto& [instance, entries] : entriesPerEngine) {
      CPPUNIT_ASSERT_MESSAGE(instance, entries <= kEntries / 3);
    }
  }

  // Load pattern: long prompts with little time left (resumed, or sent with a short deadline).
  void LongPromptIsSplitByRemainingTime()
  {
    const auto helperCount = [](milliseconds aDeadline) {
      ForwardReducerDriver driver(12);
      ForwardRequest request;
      request.handle = 1;
      request.host = kHost;
      request.path = "/sift/1";
      request.body = MakeBody("");
      request.key = kApiKey;
      request.promptTokens = 100'000; // 1.5 s of prefill on one engine.
      request.outputTokens = 100;
      request.deadline = aDeadline;
      driver.Step(request);
      CPPUNIT_ASSERT_EQUAL(std::size_t(1), driver.starts.size());
      return driver.starts.back().helpers.size();
    };
    CPPUNIT_ASSERT(helperCount(milliseconds(10'000)) <= 2);
    CPPUNIT_ASSERT(helperCount(milliseconds(1'200)) >= 3);
  }

  void RestartedPeerReceivesLoadSnapshot()
  {
    ForwardReducerDriver driver;
    driver.SendRequest("/draft/", 5000);
    const auto isSentSnapshot = [&](std::uint64_t aIncarnation) {
      for (const ForwardEffect& effect :
           driver.Step(PeerLoadReport{ "peer", aIncarnation, {}, false })) {
        const auto* broadcast = std::get_if<BroadcastLoad>(&effect);
        if (broadcast && broadcast->isSnapshot && broadcast->loads.size() == 1) {
          return true;
        }
      }
      return false;
    };
    CPPUNIT_ASSERT(isSentSnapshot(1));
    CPPUNIT_ASSERT(!isSentSnapshot(1));
    CPPUNIT_ASSERT(isSentSnapshot(2));
  }

private:
  // Starts fourteen drafts for each of four engines, none of which ends.
  void FillWithDrafts(ForwardReducerDriver& aDriver)
  {
    for (int i = 0; i < 56; ++i) {
      aDriver.SendRequest("/draft/", 3000);
      aDriver.ReceiveHead(200);
      aDriver.ReceiveData(MakeEvent(1));
      aDriver.AdvanceTime(milliseconds(15));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ForwardReducerTest);

} // namespace
} // namespace sycamorepost
