// Unit tests of ForwardReducer: routes and API keys, retries, resumed streams, refusals that
// guarantee that the call did not run, KV reservations, placement and load shedding.
#include <cppunit/extensions/HelperMacros.h>

#include "sycamorepost/forward/ForwardReducer.h"

namespace sycamorepost {
namespace {

using std::chrono::milliseconds;

constexpr const char* kHost = "quiz.example";
constexpr const char* kKey = "key-1";
constexpr std::uint64_t kEngineTokens = 300'000;

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
  route.attempts = 2;
  if (aKind == RouteKind::Stream) {
    route.gapObjective = milliseconds(250);
    route.resumable = true;
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
  RouteRule sift = MakeRoute("/sift/", RouteKind::Stream, "quizmind");
  sift.objective = std::chrono::seconds(3);
  sift.gapObjective = std::chrono::seconds(1);
  table->AddRoute(sift);
  table->services["ledger"].name = "ledger";
  ServiceTraits engine{ .name = "quizmind", .connections = 300 };
  engine.engine = EngineTraits{ .stepMs = 0.85,
                                .stepMsPerSequence = 0.004,
                                .stepMsPerThousand = 0.003,
                                .readTokensPerMs = 177,
                                .readMsPerMillionPairs = 0.184,
                                .stepsPerPass = 51,
                                .memoryTokens = kEngineTokens,
                                .slots = 16 };
  table->services["quizmind"] = engine;
  table->AddAccount({ "derwent", std::nullopt }, { kKey });
  return table;
}

class World
{
public:
  explicit World(int aEngines = 4, std::uint64_t aSeed = 0)
    : reducer(
        ForwardConfig{ .name = "entry-1", .domain = "hobart", .seed = aSeed, .retrySlack = 200 })
  {
    this->Step(RoutesChanged{ MakeTable(1) });
    for (int i = 1; i <= aEngines; ++i) {
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
      } else if (const auto* whole = std::get_if<WholeAnswer>(&effect)) {
        this->answers.push_back(*whole);
      } else if (const auto* order = std::get_if<SendOrder>(&effect)) {
        this->orders.push_back(*order);
      } else if (const auto* piece = std::get_if<ContinueAnswer>(&effect)) {
        this->delivered += piece->bytes;
      } else if (std::holds_alternative<BreakAnswer>(effect)) {
        ++this->broken;
      } else if (std::holds_alternative<CompleteAnswer>(effect)) {
        ++this->completed;
      } else if (std::holds_alternative<CancelAttempt>(effect)) {
        ++this->cancelled;
      }
    }
    return effects;
  }

  std::uint64_t Ask(const std::string& aPath, std::uint32_t aTokens = 0)
  {
    ForwardRequest request;
    request.handle = ++this->handles;
    request.requestId = "id-" + std::to_string(request.handle);
    request.method = "POST";
    request.path = aPath + "x";
    request.host = kHost;
    request.body = MakeBody("body");
    request.key = kKey;
    request.promptTokens = aTokens;
    request.answerTokens = aTokens > 0 ? 100 : 0;
    request.fingerprint = request.handle;
    this->Step(request);
    return request.handle;
  }

  void Head(int aStatus, bool aNotExecuted = false)
  {
    AttemptHead head;
    head.attempt = this->starts.back().attempt;
    head.status = aStatus;
    head.isSigned = !aNotExecuted;
    head.notExecuted = aNotExecuted;
    this->Step(head);
  }

  void Data(const std::string& aBytes)
  {
    this->Step(AttemptData{ this->starts.back().attempt, aBytes });
  }

  void Finish(AttemptEndKind aKind)
  {
    this->Step(AttemptEnd{ this->starts.back().attempt, aKind, "test" });
  }

  void Pass(Duration aTime)
  {
    const Instant until = this->now + aTime;
    for (auto next = this->reducer.NextWake(); next && *next <= until;
         next = this->reducer.NextWake()) {
      this->now = std::max(this->now, *next);
      this->Step(Wake{});
    }
    this->now = until;
  }

  ForwardReducer reducer;
  Instant now{ std::chrono::hours(1) };
  std::map<std::string, RegisteredTarget> targets;
  std::vector<StartAttempt> starts;
  std::vector<WholeAnswer> answers;
  std::vector<SendOrder> orders;
  std::string delivered;
  int broken = 0;
  int completed = 0;
  int cancelled = 0;
  std::uint64_t handles = 0;
};

std::string
Event(int aId)
{
  return "id: " + std::to_string(aId) + "\ndata: x\n\n";
}

class ForwardReducerTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ForwardReducerTest);
  CPPUNIT_TEST(RoutesAndKeysAreChecked);
  CPPUNIT_TEST(AnEntryWithoutConfigurationDeniesNobody);
  CPPUNIT_TEST(ANonIdempotentCallRunsOnce);
  CPPUNIT_TEST(AnIdempotentCallGoesElsewhere);
  CPPUNIT_TEST(AStreamGoesOnAfterItsLastWholeEvent);
  CPPUNIT_TEST(AStreamThatCannotGoOnDoesNotLookWhole);
  CPPUNIT_TEST(ReservationsEndWithTheirRequest);
  CPPUNIT_TEST(ACallerThatLeavesStopsItsWork);
  CPPUNIT_TEST(DeadlinesEndRequests);
  CPPUNIT_TEST(TheBudgetBoundsRetries);
  CPPUNIT_TEST(ARequestThatBreaksEverywhereIsStopped);
  CPPUNIT_TEST(ABurstOfShortPromptsKeepsMostOnTime);
  CPPUNIT_TEST(ALongPromptSparesStreamsWithShortPauses);
  CPPUNIT_TEST(ShortPromptsJoinTheFullestEngine);
  CPPUNIT_TEST(EntriesThatKnowTheSameSpreadTheirChoice);
  CPPUNIT_TEST(ALongPromptIsSplitByTheTimeThatIsLeft);
  CPPUNIT_TEST(ARestartedPeerIsToldTheWholeLoad);
  CPPUNIT_TEST_SUITE_END();

public:
  void RoutesAndKeysAreChecked()
  {
    World world;
    world.Ask("/nowhere/");
    CPPUNIT_ASSERT_EQUAL(404, world.answers.back().status);
    ForwardRequest request;
    request.handle = 100;
    request.host = std::string(kHost) + ":8080";
    request.path = "/look/x?key=1";
    request.body = MakeBody("");
    request.key = "another";
    world.Step(request);
    CPPUNIT_ASSERT_EQUAL(401, world.answers.back().status);

    // The target receives the account of the API key, not one that the caller claims.
    request.handle = 101;
    request.key = kKey;
    world.Step(request);
    CPPUNIT_ASSERT_EQUAL(std::string("derwent"), world.starts.back().account);

    // A configuration whose version is not newer is ignored.
    auto older = std::make_shared<RouteTable>();
    older->version = 1;
    world.Step(RoutesChanged{ older });
    world.Ask("/look/");
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), world.starts.size());
  }

  void AnEntryWithoutConfigurationDeniesNobody()
  {
    ForwardReducer reducer(ForwardConfig{});
    ForwardRequest request;
    request.handle = 1;
    request.body = MakeBody("");
    const auto effects = reducer.Step(request, Instant(std::chrono::hours(1)));
    bool refused = false;
    for (const ForwardEffect& effect : effects) {
      const auto* answer = std::get_if<WholeAnswer>(&effect);
      refused = refused || (answer && answer->status == 503 && answer->retryAfter);
    }
    CPPUNIT_ASSERT(refused);
    CPPUNIT_ASSERT(!reducer.Ready());
  }

  void ANonIdempotentCallRunsOnce()
  {
    // No byte was sent to an unreachable target, so the call is retried on another one.
    World world;
    world.Ask("/book/");
    world.Finish(AttemptEndKind::NotReached);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), world.starts.size());
    CPPUNIT_ASSERT(world.starts[0].instance != world.starts[1].instance);

    // A target's guarantee that the call did not run also allows a retry.
    world.Head(503, true);
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), world.starts.size());

    // After the response is lost the call may have run: it is not retried, and the 502 does not
    // state that it did not run.
    world.Finish(AttemptEndKind::Broken);
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), world.starts.size());
    CPPUNIT_ASSERT_EQUAL(502, world.answers.back().status);

    // An error response of the target itself is returned unchanged.
    world.Ask("/book/");
    world.Head(500);
    world.Finish(AttemptEndKind::Complete);
    CPPUNIT_ASSERT_EQUAL(500, world.answers.back().status);

    // Every target refused the call without running it, so the caller gets a retryable 503.
    World full;
    full.Ask("/book/");
    for (int i = 0; i < 3; ++i) {
      full.Head(503, true);
    }
    CPPUNIT_ASSERT_EQUAL(503, full.answers.back().status);
    CPPUNIT_ASSERT(full.answers.back().retryAfter.has_value());
  }

  void AnIdempotentCallGoesElsewhere()
  {
    World world;
    world.Ask("/look/");
    world.Head(500);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), world.starts.size());

    // The route allows two attempts, so the second error response is returned.
    world.Head(500);
    world.Data("failed");
    world.Finish(AttemptEndKind::Complete);
    CPPUNIT_ASSERT_EQUAL(500, world.answers.back().status);
    CPPUNIT_ASSERT_EQUAL(std::string("failed"), world.answers.back().body);

    // A 200 without the target's signature field counts as a failed attempt.
    world.Ask("/look/");
    AttemptHead head;
    head.attempt = world.starts.back().attempt;
    head.status = 200;
    world.Step(head);
    CPPUNIT_ASSERT_EQUAL(std::size_t(4), world.starts.size());
  }

  void AStreamGoesOnAfterItsLastWholeEvent()
  {
    World world;
    world.Ask("/draft/", 5000);
    world.Head(200);
    world.Data(Event(1) + Event(2) + "id: 3\ndata: ha");
    CPPUNIT_ASSERT_EQUAL(Event(1) + Event(2), world.delivered);
    world.Finish(AttemptEndKind::Broken);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), world.starts.size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), *world.starts.back().resumeAfter);

    // Events that the caller has already received are not sent again.
    world.Head(200);
    world.Data(Event(2) + Event(3));
    world.Finish(AttemptEndKind::Complete);
    CPPUNIT_ASSERT_EQUAL(Event(1) + Event(2) + Event(3), world.delivered);
    CPPUNIT_ASSERT_EQUAL(1, world.completed);
    CPPUNIT_ASSERT_EQUAL(0, world.broken);
  }

  void AStreamThatCannotGoOnDoesNotLookWhole()
  {
    World world;
    world.Ask("/draft/", 5000);
    world.Head(200);
    world.Data(Event(1));
    world.Data(Event(3)); // Event 2 is missing.
    CPPUNIT_ASSERT_EQUAL(Event(1), world.delivered);
    world.Head(200);
    world.Data(Event(2) + "id: 3");
    // The response ends within an event, and both allowed attempts are used.
    world.Finish(AttemptEndKind::Complete);
    CPPUNIT_ASSERT_EQUAL(0, world.completed);
    CPPUNIT_ASSERT_EQUAL(1, world.broken);
  }

  void ReservationsEndWithTheirRequest()
  {
    // A prompt that needs more than half of an engine's KV cache is split over several engines.
    World world(8);
    const std::uint64_t handle = world.Ask("/sift/", 400'000);
    CPPUNIT_ASSERT(!world.orders.empty());
    CPPUNIT_ASSERT(world.starts.empty());
    const std::size_t reserved = world.orders.size();
    for (std::size_t i = 0; i < reserved; ++i) {
      world.Step(OrderEnd{ world.orders[i].order, true, true });
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), world.starts.size());
    std::size_t named = 0;
    for (const HelperName& helper : world.starts.back().helpers) {
      named += helper.reservation.empty() ? 0 : 1;
    }
    CPPUNIT_ASSERT_EQUAL(reserved, named);

    // Reservations are renewed while the request runs and released when the caller disconnects.
    world.Pass(milliseconds(1500));
    CPPUNIT_ASSERT(world.orders.size() > reserved);
    world.orders.clear();
    world.Step(ForwardCallerGone{ handle });
    CPPUNIT_ASSERT_EQUAL(reserved, world.orders.size());
    for (const SendOrder& order : world.orders) {
      CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), order.tokens);
    }

    // A release without a reply is sent again; one with a reply is not.
    const SendOrder lost = world.orders.front();
    world.Step(OrderEnd{ world.orders.back().order, true, true });
    CPPUNIT_ASSERT_EQUAL(reserved, world.orders.size());
    world.Step(OrderEnd{ lost.order, false, false });
    CPPUNIT_ASSERT_EQUAL(reserved + 1, world.orders.size());
    CPPUNIT_ASSERT_EQUAL(lost.reservation, world.orders.back().reservation);

    // When one reservation is refused, all of the request's reservations are released, also the one
    // whose command got no reply.
    world.orders.clear();
    world.Ask("/sift/", 400'000);
    const auto first = world.orders;
    for (std::size_t i = 0; i < first.size(); ++i) {
      world.Step(OrderEnd{ first[i].order, i > 0, i > 1 });
    }
    std::size_t released = 0;
    for (const SendOrder& order : world.orders) {
      for (const SendOrder& wanted : first) {
        released += order.tokens == 0 && order.reservation == wanted.reservation ? 1 : 0;
      }
    }
    CPPUNIT_ASSERT_EQUAL(first.size(), released);
  }

  void ACallerThatLeavesStopsItsWork()
  {
    World world;
    const std::uint64_t handle = world.Ask("/draft/", 5000);
    world.Step(ForwardCallerGone{ handle });
    CPPUNIT_ASSERT_EQUAL(1, world.cancelled);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), world.reducer.InFlight());
    world.Head(200); // Later events of a cancelled attempt are ignored.
    CPPUNIT_ASSERT(world.delivered.empty());
  }

  void DeadlinesEndRequests()
  {
    World world;
    world.Ask("/book/");
    world.Pass(std::chrono::seconds(11));
    CPPUNIT_ASSERT_EQUAL(504, world.answers.back().status);
    CPPUNIT_ASSERT_EQUAL(1, world.cancelled);

    // The target receives the remaining time, not the caller's original deadline.
    ForwardRequest request;
    request.handle = 50;
    request.host = kHost;
    request.path = "/look/1";
    request.body = MakeBody("");
    request.key = kKey;
    request.deadline = milliseconds(900);
    world.Step(request);
    world.Pass(milliseconds(200));
    world.Head(500);
    CPPUNIT_ASSERT(world.starts.back().remaining <= milliseconds(700));
  }

  void TheBudgetBoundsRetries()
  {
    World world;
    int retries = 0;
    for (int i = 0; i < 200; ++i) {
      const std::size_t before = world.starts.size();
      world.Ask("/look/");
      world.Head(500);
      retries += world.starts.size() > before + 1 ? 1 : 0;
      world.Finish(AttemptEndKind::Broken);
    }
    // The entry assumes six entries and uses half of the budget: a sixth of half of the slack of
    // 200, and half of the retry ratio of 0.2 per request.
    CPPUNIT_ASSERT(retries >= 16);
    CPPUNIT_ASSERT_MESSAGE(std::to_string(retries), retries <= 200 / 12 + 200 / 10 + 1);
  }

  void ARequestThatBreaksEverywhereIsStopped()
  {
    World world;
    ForwardRequest request;
    request.host = kHost;
    request.path = "/book/1";
    request.body = MakeBody("poison");
    request.key = kKey;
    request.fingerprint = 77;
    for (int i = 0; i < 2; ++i) {
      request.handle = 10 + static_cast<std::uint64_t>(i);
      world.Step(request);
      world.Finish(AttemptEndKind::Broken);
    }
    world.Step(PeerBreakTold{ 77 }); // A peer reports one more aborted attempt.
    request.handle = 20;
    world.Step(request);
    CPPUNIT_ASSERT_EQUAL(503, world.answers.back().status);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), world.starts.size());
  }

  // Load pattern: a short burst on full engines. Guards against a standing queue in which every
  // request is late.
  void ABurstOfShortPromptsKeepsMostOnTime()
  {
    World world(2);
    for (int i = 0; i < 60; ++i) {
      world.Ask("/draft/", 5000);
      world.Pass(milliseconds(10)); // The burst ends before a stream counts as unresponsive.
      if (!world.starts.empty()) {
        world.Head(200);
        world.Data(Event(1));
      }
    }
    // Two engines have 32 slots: requests beyond a short queue are refused at once with a retry
    // delay.
    CPPUNIT_ASSERT(world.starts.size() >= 32);
    CPPUNIT_ASSERT_MESSAGE(std::to_string(world.starts.size()), world.starts.size() <= 2 * 20);
    CPPUNIT_ASSERT_EQUAL(std::size_t(60), world.starts.size() + world.answers.size());
    CPPUNIT_ASSERT_EQUAL(503, world.answers.back().status);
    CPPUNIT_ASSERT(*world.answers.back().retryAfter < std::chrono::seconds(3));
  }

  // Load pattern: long prompts beside drafts. Guards against gaps in the draft streams while their
  // engine prefills a long prompt segment.
  void ALongPromptSparesStreamsWithShortPauses()
  {
    World world(8);
    std::set<std::string> drafting;
    for (int i = 0; i < 6; ++i) {
      world.Ask("/draft/", 3000);
      world.Head(200);
      world.Data(Event(1));
      drafting.insert(world.starts.back().instance);
      world.Pass(milliseconds(60));
    }
    CPPUNIT_ASSERT_MESSAGE("drafts share engines", drafting.size() <= 2);
    world.Ask("/sift/", 100'000);
    const StartAttempt& sift = world.starts.back();
    CPPUNIT_ASSERT(!drafting.contains(sift.instance));
    for (const HelperName& helper : sift.helpers) {
      for (const std::string& name : drafting) {
        CPPUNIT_ASSERT(world.targets[name].address != helper.address);
      }
    }
  }

  // Load pattern: a short burst, then a long burst. Guards against a few short streams being left
  // on every engine, so that no engine is free for prefill.
  void ShortPromptsJoinTheFullestEngine()
  {
    World world(8);
    std::vector<TargetShare> left;
    for (int i = 1; i <= 8; ++i) {
      const std::uint32_t streams = i == 3 ? 5 : 1;
      left.push_back({ "engine-" + std::to_string(i), streams, streams, streams * 5000, 0, 0 });
    }
    world.Step(PeerLoadTold{ "peer", 1, left, true });
    for (int i = 0; i < 4; ++i) {
      world.Ask("/draft/", 3000);
      CPPUNIT_ASSERT_EQUAL(std::string("engine-3"), world.starts.back().instance);
      world.Head(200);
      world.Data(Event(1));
      world.Pass(milliseconds(60));
    }
  }

  // Load pattern: a short burst over many entries. Load reports of the peers arrive late, so
  // without a randomized choice all entries would place their requests on the same engine.
  void EntriesThatKnowTheSameSpreadTheirChoice()
  {
    constexpr int kEntries = 20;
    std::map<std::string, int> chosen;
    for (std::uint64_t seed = 1; seed <= kEntries; ++seed) {
      World world(16, seed);
      std::vector<TargetShare> told;
      for (int i = 1; i <= 16; ++i) {
        const std::uint32_t streams = i == 1 ? 5 : 4; // engine-1 is the fullest.
        told.push_back({ "engine-" + std::to_string(i), streams, streams, 20'000, 0, 0 });
      }
      for (int peer = 1; peer < kEntries; ++peer) {
        const auto loads = peer == 1 ? told : std::vector<TargetShare>();
        world.Step(PeerLoadTold{ "peer-" + std::to_string(peer), 1, loads, true });
      }
      for (int i = 0; i < 12; ++i) { // Earlier requests of the burst; their streams have ended.
        const std::uint64_t handle = world.Ask("/draft/", 3000);
        world.Step(ForwardCallerGone{ handle });
        world.Pass(milliseconds(50));
      }
      world.Ask("/draft/", 3000);
      ++chosen[world.starts.back().instance];
    }
    for (const auto& [instance, entries] : chosen) {
      CPPUNIT_ASSERT_MESSAGE(instance, entries <= kEntries / 3);
    }
  }

  // Load pattern: long prompts with little time left (resumed, or sent with a short deadline).
  void ALongPromptIsSplitByTheTimeThatIsLeft()
  {
    const auto helpersFor = [](milliseconds aDeadline) {
      World world(12);
      ForwardRequest request;
      request.handle = 1;
      request.host = kHost;
      request.path = "/sift/1";
      request.body = MakeBody("");
      request.key = kKey;
      request.promptTokens = 100'000; // 1.5 s of prefill on one engine.
      request.answerTokens = 100;
      request.deadline = aDeadline;
      world.Step(request);
      CPPUNIT_ASSERT_EQUAL(std::size_t(1), world.starts.size());
      return world.starts.back().helpers.size();
    };
    CPPUNIT_ASSERT(helpersFor(milliseconds(10'000)) <= 2);
    CPPUNIT_ASSERT(helpersFor(milliseconds(1'200)) >= 3);
  }

  void ARestartedPeerIsToldTheWholeLoad()
  {
    World world;
    world.Ask("/draft/", 5000);
    const auto isToldWhole = [&](std::uint64_t aIncarnation) {
      for (const ForwardEffect& effect :
           world.Step(PeerLoadTold{ "peer", aIncarnation, {}, false })) {
        const auto* tell = std::get_if<TellLoad>(&effect);
        if (tell && tell->whole && tell->loads.size() == 1) {
          return true;
        }
      }
      return false;
    };
    CPPUNIT_ASSERT(isToldWhole(1));
    CPPUNIT_ASSERT(!isToldWhole(1));
    CPPUNIT_ASSERT(isToldWhole(2));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ForwardReducerTest);

} // namespace
} // namespace sycamorepost
