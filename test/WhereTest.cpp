// Tests of the explanation of placements: it names what the next request gets, and asking changes
// nothing. The last test runs the command line tool against a running entry.
#include <fstream>
#include <iterator>
#include <random>
#include <sstream>

#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

#include "harness/PlatformDeployment.h"
#include "harness/VirtualTime.h"
#include "runtime/WherePage.h"
#include "sycamorepost/forward/ForwardReducer.h"

namespace sycamorepost {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr const char* kHost = "quiz.example";
constexpr const char* kApiKey = "key-1";

RouteRule
MakeRoute(const std::string& aPath, RouteKind aKind, std::vector<WeightedService> aServices)
{
  RouteRule route{ .name = "r" + aPath, .host = kHost, .pathPrefix = aPath, .kind = aKind };
  route.services = std::move(aServices);
  route.timeout = std::chrono::seconds(10);
  route.objective = aPath == "/sift/" ? milliseconds(3'000) : milliseconds(300);
  route.gapObjective = aPath == "/sift/" ? milliseconds(1'000) : milliseconds(250);
  route.maxAttempts = 2;
  route.isResumable = true;
  return route;
}

std::shared_ptr<RouteTable>
MakeTable()
{
  auto table = std::make_shared<RouteTable>();
  table->version = 4;
  table->AddRoute(MakeRoute("/book/", RouteKind::NonIdempotent, { { "ledger", 1 } }));
  table->AddRoute(
    MakeRoute("/look/", RouteKind::Idempotent, { { "ledger", 3 }, { "archive", 1 } }));
  table->AddRoute(MakeRoute("/draft/", RouteKind::Stream, { { "quizmind", 1 } }));
  table->AddRoute(MakeRoute("/sift/", RouteKind::Stream, { { "quizmind", 1 } }));
  for (const char* service : { "ledger", "archive", "quizmind" }) {
    table->services[service].name = service;
    table->services[service].coldPerSecond = 1;
  }
  // Some prompts that can be in time need the memory of several engines.
  table->services["quizmind"].engine = EngineTraits{ .stepMs = 0.85,
                                                     .stepMsPerSequence = 0.004,
                                                     .prefillTokensPerMs = 177,
                                                     .prefillMsPerMillionPairs = 0.184,
                                                     .stepsPerPass = 51,
                                                     .kvCapacityTokens = 60'000,
                                                     .slots = 16 };
  table->AddAccount({ "derwent", std::nullopt }, { kApiKey });
  return table;
}

ForwardRequest
MakeRequest(const std::string& aPath, std::uint32_t aTokens, std::uint64_t aHandle = 0)
{
  ForwardRequest request{ .handle = aHandle, .path = aPath + "x", .host = kHost };
  request.body = MakeBody("");
  request.key = kApiKey;
  request.promptTokens = aTokens;
  request.outputTokens = aTokens > 0 ? 100 : 0;
  request.fingerprint = aHandle;
  return request;
}

// An entry of the domain "hobart" before targets in two domains. It records all effects as texts.
class Entry
{
public:
  explicit Entry(std::uint64_t aSeed, int aEnginesPerDomain = 3)
    : reducer(ForwardConfig{ .name = "entry-1",
                             .address = "10.0.0.1:1",
                             .domain = "hobart",
                             .seed = aSeed,
                             .retrySlack = 200 })
    , random(aSeed)
  {
    this->Step(RoutesChanged{ MakeTable() });
    for (const char* domain : { "hobart", "burnie" }) {
      for (int i = 1; i <= aEnginesPerDomain; ++i) {
        this->AddTarget("engine", "quizmind", domain, i);
      }
      this->AddTarget("ledger", "ledger", domain, 1);
      this->AddTarget("archive", "archive", domain, 1);
    }
    this->Step(TargetsChanged{ this->targets });
  }

  void Step(const ForwardEvent& aEvent)
  {
    for (const ForwardEffect& effect : this->reducer.Step(aEvent, this->now)) {
      std::ostringstream text;
      text << effect.index();
      if (const auto* start = std::get_if<StartAttempt>(&effect)) {
        this->starts.push_back(*start);
        text << " start " << start->attempt << ' ' << start->instance;
        for (const HelperAssignment& helper : start->helpers) {
          text << ' ' << helper.address << ' ' << helper.reservation;
        }
      } else if (const auto* response = std::get_if<SendResponse>(&effect)) {
        this->responses.push_back(*response);
        text << " response " << response->status << ' '
             << response->retryAfter.value_or(Duration(-1)).count();
      } else if (const auto* command = std::get_if<SendReservationCommand>(&effect)) {
        this->commands.push_back(*command);
        text << " command " << command->instance << ' ' << command->reservation << ' '
             << command->tokens;
      } else if (const auto* count = std::get_if<CountEvent>(&effect)) {
        text << " count " << count->name << ' ' << count->label;
      } else if (const auto* log = std::get_if<LogDecision>(&effect)) {
        text << " log " << log->decision << ' ' << json(log->fields).dump();
      }
      this->effects.push_back(text.str());
    }
  }

  // Something that happens to an entry, drawn from the entry's seed.
  void StepAtRandom()
  {
    const int kind = this->Draw(0, 10);
    if (kind <= 3 || this->starts.empty()) {
      this->Step(this->RandomRequest(++this->lastHandle));
    } else if (kind <= 5) {
      this->Step(AttemptEnd{ this->RandomStart().attempt,
                             kind == 4 ? AttemptEndKind::NotConnected : AttemptEndKind::Aborted,
                             "test" });
    } else if (kind == 6) {
      AttemptHead head{ .attempt = this->RandomStart().attempt, .status = 503 };
      head.notExecuted = true;
      head.announcement.pause = milliseconds(300);
      this->Step(head);
    } else if (kind == 7) {
      this->Step(EvacuationRead{ .changes = { { "burnie", this->Draw(0, 1) == 1 } },
                                 .position = { 1, ++this->lastOffset } });
    } else if (kind == 10) {
      AttemptHead head{ .attempt = this->RandomStart().attempt, .status = 200 };
      head.announcement.coldRemaining = milliseconds(this->Draw(1, 300));
      this->Step(head);
    } else if (kind == 8 && !this->commands.empty()) {
      const SendReservationCommand command = this->commands.back();
      this->Step(ReservationCommandEnd{ command.command, true, true, command.instance });
    } else {
      harness::AdvanceTime(*this, milliseconds(this->Draw(1, 200)));
    }
  }

  ForwardRequest RandomRequest(std::uint64_t aHandle)
  {
    static constexpr std::array<const char*, 5> kPaths{
      "/draft/", "/sift/", "/book/", "/look/", "/no/"
    };
    static constexpr std::array<std::uint32_t, 5> kTokens{
      2'000, 20'000, 90'000, 400'000, 3'000'000
    };
    const int path = this->Draw(0, 30) == 0 ? 4 : this->Draw(0, 3);
    return MakeRequest(kPaths.at(static_cast<std::size_t>(path)),
                       path <= 1 ? kTokens.at(static_cast<std::size_t>(this->Draw(0, 4))) : 0,
                       aHandle);
  }

  int Draw(int aMin, int aMax)
  {
    return std::uniform_int_distribution<int>(aMin, aMax)(this->random);
  }

  ForwardReducer reducer;
  Instant now{ std::chrono::hours(1) };
  std::map<std::string, RegisteredTarget> targets;
  std::vector<StartAttempt> starts;
  std::vector<SendResponse> responses;
  std::vector<SendReservationCommand> commands;
  std::vector<std::string> effects;
  std::uint64_t lastHandle = 0;

private:
  void AddTarget(const std::string& aKind,
                 const std::string& aService,
                 const std::string& aDomain,
                 int aIndex)
  {
    const std::string name = aKind + "-" + aDomain + std::to_string(aIndex);
    this->targets[name] = {
      .instance = name, .service = aService, .address = name, .domain = aDomain, .slots = 16
    };
  }

  const StartAttempt& RandomStart()
  {
    return this->starts.at(
      static_cast<std::size_t>(this->Draw(0, static_cast<int>(this->starts.size()) - 1)));
  }

  std::mt19937_64 random;
  std::uint64_t lastOffset = 0;
};

const ExplainedTarget*
Find(const std::vector<ExplainedTarget>& aTargets, const std::string& aInstance)
{
  const auto found = std::find_if(aTargets.begin(), aTargets.end(), [&](const auto& aTarget) {
    return aTarget.instance == aInstance;
  });
  return found == aTargets.end() ? nullptr : &*found;
}

std::string
FactOf(const ExplainedTarget& aTarget, const std::string& aName)
{
  const auto found = std::find_if(aTarget.facts.begin(),
                                  aTarget.facts.end(),
                                  [&](const Field& aFact) { return aFact.first == aName; });
  return found == aTarget.facts.end() ? "" : found->second;
}

class WhereTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(WhereTest);
  CPPUNIT_TEST(NextRequestGoesWhereTheExplanationSays);
  CPPUNIT_TEST(QuestionsChangeNothing);
  CPPUNIT_TEST(EachTargetHasItsReason);
  CPPUNIT_TEST(RefusalsAndHeldRequestsAreNamed);
  CPPUNIT_TEST(LongPromptsThatWaitForReportsAreHeld);
  CPPUNIT_TEST(ColdTargetsHaveTheirReasons);
  CPPUNIT_TEST(CommandAsksARunningEntry);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against an explanation that decides by other code, or on other state, than a request.
  void NextRequestGoesWhereTheExplanationSays()
  {
    std::map<std::string, int> seen;
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
      Entry entry(seed);
      for (int i = 0; i < 100; ++i) {
        entry.StepAtRandom();
        const ForwardRequest request = entry.RandomRequest(1'000'000 + entry.lastHandle++);
        const PlacementExplanation said = entry.reducer.Explain(request, entry.now);
        const std::size_t starts = entry.starts.size();
        const std::size_t commands = entry.commands.size();
        const std::size_t responses = entry.responses.size();
        entry.Step(request);
        const std::string at = "seed " + std::to_string(seed) + ", step " + std::to_string(i);
        if (said.refusal) {
          CPPUNIT_ASSERT_EQUAL_MESSAGE(at, responses + 1, entry.responses.size());
          const SendResponse& got = entry.responses.back();
          CPPUNIT_ASSERT_EQUAL_MESSAGE(at, said.refusal->status, got.status);
          CPPUNIT_ASSERT_EQUAL_MESSAGE(at, said.refusal->reason + "\n", got.body);
          CPPUNIT_ASSERT_EQUAL_MESSAGE(
            at, said.refusal->minRetryAfter.has_value(), got.retryAfter.has_value());
          CPPUNIT_ASSERT_MESSAGE(at,
                                 !got.retryAfter ||
                                   (*got.retryAfter >= *said.refusal->minRetryAfter &&
                                    *got.retryAfter <= *said.refusal->maxRetryAfter));
          ++seen[said.refusal->reason.substr(0, 12)];
          continue;
        }
        CPPUNIT_ASSERT_MESSAGE(at, said.target.has_value());
        std::map<std::string, std::uint64_t> reserved;
        for (const ExplainedHelper& helper : said.helpers) {
          if (helper.reserveTokens > 0) {
            reserved[helper.target.instance] = helper.reserveTokens;
          }
        }
        std::map<std::string, std::uint64_t> commanded;
        for (std::size_t c = commands; c < entry.commands.size(); ++c) {
          commanded[entry.commands[c].instance] = entry.commands[c].tokens;
        }
        CPPUNIT_ASSERT_MESSAGE(at, reserved == commanded);
        if (reserved.empty()) {
          CPPUNIT_ASSERT_EQUAL_MESSAGE(at, starts + 1, entry.starts.size());
          CPPUNIT_ASSERT_EQUAL_MESSAGE(at, said.target->instance, entry.starts.back().instance);
          CPPUNIT_ASSERT_EQUAL_MESSAGE(at, said.helpers.size(), entry.starts.back().helpers.size());
        }
        ++seen[reserved.empty() ? (said.helpers.empty() ? "alone" : "helped") : "reserved"];
      }
    }
    // The walk has led through all of these.
    for (const char* end : { "alone",
                             "helped",
                             "reserved",
                             "no route for",
                             "the prompt i",
                             "the prompt w",
                             "the targets ",
                             "the first ev" }) {
      CPPUNIT_ASSERT_MESSAGE(end, seen[end] > 0);
    }
  }

  // Guards against a question that sends, reserves, counts, logs or draws a random number.
  void QuestionsChangeNothing()
  {
    Entry asked(11);
    Entry left(11);
    std::mt19937_64 random(5);
    const std::vector<std::string> paths{ "/draft/", "/sift/", "/book/", "/look/", "/no/" };
    for (int i = 0; i < 200; ++i) {
      for (int question = 0; question < 5; ++question) {
        const std::string& path = paths.at(random() % paths.size());
        const auto tokens = static_cast<std::uint32_t>(random() % 500'000);
        asked.reducer.Explain(MakeRequest(path, tokens, random()),
                              asked.now + milliseconds(random() % 50));
      }
      asked.StepAtRandom();
      left.StepAtRandom();
    }
    CPPUNIT_ASSERT(asked.starts.size() > 20);
    CPPUNIT_ASSERT(asked.effects == left.effects);
    CPPUNIT_ASSERT_EQUAL(left.reducer.Dump(left.now).dump(), asked.reducer.Dump(asked.now).dump());
    CPPUNIT_ASSERT(asked.reducer.NextWake() == left.reducer.NextWake());
  }

  void EachTargetHasItsReason()
  {
    Entry entry(3, 4);
    PlacementExplanation said = entry.reducer.Explain(MakeRequest("/draft/", 2'000), entry.now);
    CPPUNIT_ASSERT_EQUAL(std::string("r/draft/"), said.route);
    CPPUNIT_ASSERT_EQUAL(std::string("derwent"), said.account);
    CPPUNIT_ASSERT_EQUAL(std::size_t(8), said.candidates);
    // Of eight idle engines those of the entry's domain are equal, and a far one costs more.
    CPPUNIT_ASSERT_EQUAL(std::size_t(4), said.equalChoices);
    CPPUNIT_ASSERT_EQUAL(std::string("hobart"), said.target->domain);
    CPPUNIT_ASSERT(said.firstEventMs > 0.0 && said.firstEventMs < said.maxFirstEventMs);
    CPPUNIT_ASSERT_EQUAL(std::size_t(5), said.alternatives.size());
    CPPUNIT_ASSERT_EQUAL("close to " + said.target->instance + ", which was chosen at random",
                         said.alternatives[0].reason);
    CPPUNIT_ASSERT_EQUAL("costs 100.0 ms more than " + said.target->instance +
                           ", mostly because of the distance to its failure domain",
                         said.alternatives[4].reason);

    // A request of a split names all services.
    said = entry.reducer.Explain(MakeRequest("/look/", 0), entry.now);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), said.services.size());
    CPPUNIT_ASSERT(said.service == "ledger" || said.service == "archive");
    CPPUNIT_ASSERT(!said.firstEventMs && !said.alternatives.at(0).firstEventMs);

    // One engine pauses, one leaves, one cannot be reached, one is draining, and a domain is
    // evacuated.
    entry.Step(MakeRequest("/draft/", 2'000, 1));
    const std::string paused = entry.starts.back().instance;
    AttemptHead head{ .attempt = entry.starts.back().attempt, .status = 503 };
    head.notExecuted = true;
    head.announcement.pause = milliseconds(1'500);
    entry.Step(head);
    const std::string leaving = entry.starts.back().instance;
    head.attempt = entry.starts.back().attempt;
    head.announcement = { .isLeaving = true };
    entry.Step(head);
    const std::string unreachable = entry.starts.back().instance;
    entry.Step(AttemptEnd{ entry.starts.back().attempt, AttemptEndKind::NotConnected, "test" });
    const std::string remaining = entry.starts.back().instance;
    entry.targets["engine-burnie1"].draining = true;
    entry.Step(TargetsChanged{ entry.targets });
    entry.Step(EvacuationRead{ .changes = { { "burnie", true } }, .position = { 1, 1 } });
    said = entry.reducer.Explain(MakeRequest("/draft/", 2'000), entry.now);
    CPPUNIT_ASSERT_EQUAL(remaining, said.target->instance);
    CPPUNIT_ASSERT_EQUAL(std::string("1"), FactOf(*said.target, "running"));
    CPPUNIT_ASSERT_EQUAL(std::size_t(7), said.excluded.size());
    for (const auto& [instance, reason] : { std::pair{ paused, "wants no work" },
                                            { leaving, "wants no work" },
                                            { unreachable, "avoided" },
                                            { "engine-burnie1", "draining" },
                                            { "engine-burnie2", "evacuated" } }) {
      const ExplainedTarget* target = Find(said.excluded, instance);
      CPPUNIT_ASSERT_MESSAGE(instance, target != nullptr);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(instance, std::string(reason), target->reason);
    }
    CPPUNIT_ASSERT_EQUAL(std::string("1500"), FactOf(*Find(said.excluded, paused), "paused_ms"));
    CPPUNIT_ASSERT_EQUAL(std::string("yes"), FactOf(*Find(said.excluded, leaving), "leaving"));

    // Avoided targets are used when there are no others, and are still marked.
    entry.Step(AttemptEnd{ entry.starts.back().attempt, AttemptEndKind::NotConnected, "test" });
    said = entry.reducer.Explain(MakeRequest("/draft/", 2'000), entry.now);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), said.candidates);
    CPPUNIT_ASSERT_EQUAL(std::string("yes"), FactOf(said.target.value(), "suspected"));
    CPPUNIT_ASSERT(!Find(said.excluded, remaining) && !Find(said.excluded, unreachable));
  }

  void RefusalsAndHeldRequestsAreNamed()
  {
    Entry entry(3, 4);
    ForwardRequest request = MakeRequest("/draft/", 2'000);
    request.key.reset();
    PlacementExplanation said = entry.reducer.Explain(request, entry.now);
    CPPUNIT_ASSERT_EQUAL(401, said.refusal.value().status);
    CPPUNIT_ASSERT(!said.refusal->minRetryAfter && !said.target);
    // A prompt that cannot be in time says where it would have run.
    said = entry.reducer.Explain(MakeRequest("/draft/", 300'000), entry.now);
    CPPUNIT_ASSERT_EQUAL(503, said.refusal.value().status);
    CPPUNIT_ASSERT(said.refusal->minRetryAfter < said.refusal->maxRetryAfter);
    CPPUNIT_ASSERT(said.target && said.firstEventMs > said.maxFirstEventMs);

    // One that would delay too many drafts has no target.
    for (std::uint64_t handle = 1; entry.responses.empty() && handle <= 1'000; ++handle) {
      entry.Step(MakeRequest("/draft/", 2'000, handle));
    }
    said = entry.reducer.Explain(MakeRequest("/sift/", 90'000), entry.now);
    CPPUNIT_ASSERT_EQUAL(std::string("the prompt would delay too many other streams"),
                         said.refusal.value().reason);
    CPPUNIT_ASSERT(said.refusal->minRetryAfter < said.refusal->maxRetryAfter);
    CPPUNIT_ASSERT(!said.target && said.alternatives.size() == 5);
    CPPUNIT_ASSERT_EQUAL(std::string("the prompt costs other callers too much"),
                         said.alternatives[0].reason);

    // An entry that has just started holds requests for half a second.
    ForwardReducer starting(ForwardConfig{ .name = "entry-1" });
    starting.Step(Wake{}, entry.now);
    said = starting.Explain(request, entry.now + milliseconds(200));
    CPPUNIT_ASSERT(said.heldFor == milliseconds(300) && !said.refusal);
    said = starting.Explain(request, entry.now + milliseconds(500));
    CPPUNIT_ASSERT_EQUAL(503, said.refusal.value().status);
  }

  // Guards against an explanation that places a long prompt which the entry holds for the reports
  // of its neighbours.
  void LongPromptsThatWaitForReportsAreHeld()
  {
    Entry entry(3);
    std::map<std::string, RegisteredEntry> entries;
    for (int i = 1; i <= 4; ++i) {
      const std::string number = std::to_string(i);
      entries["entry-" + number] = { "10.0.0." + number + ":1", "hobart" };
    }
    entry.Step(EntriesChanged{ entries });
    const PlacementExplanation said =
      entry.reducer.Explain(MakeRequest("/sift/", 40'000), entry.now);
    CPPUNIT_ASSERT(said.heldFor == milliseconds(500) && !said.refusal && !said.target);
    CPPUNIT_ASSERT_EQUAL(std::string("quizmind"), said.service);
    CPPUNIT_ASSERT(entry.reducer.Explain(MakeRequest("/draft/", 2'000), entry.now).target);
    const std::size_t starts = entry.starts.size();
    entry.Step(MakeRequest("/sift/", 40'000, 1));
    CPPUNIT_ASSERT_EQUAL(starts, entry.starts.size());
    harness::AdvanceTime(entry, *said.heldFor);
    CPPUNIT_ASSERT_EQUAL(starts + 1, entry.starts.size());
    harness::AdvanceTime(entry, milliseconds(500));
    CPPUNIT_ASSERT(!entry.reducer.Explain(MakeRequest("/sift/", 40'000), entry.now).heldFor);
  }

  void ColdTargetsHaveTheirReasons()
  {
    Entry entry(3, 1);
    entry.targets["engine-hobart1"].coldRemainingMs = 2'000;
    entry.Step(TargetsChanged{ entry.targets });
    // The entry is not registered, so it has no share.
    PlacementExplanation said = entry.reducer.Explain(MakeRequest("/draft/", 2'000), entry.now);
    CPPUNIT_ASSERT_EQUAL(std::string("engine-burnie1"), said.target.value().instance);
    const ExplainedTarget& excluded = said.excluded.at(0);
    CPPUNIT_ASSERT_EQUAL(std::string("cold share spent"), excluded.reason);
    CPPUNIT_ASSERT_EQUAL(std::string("2000"), FactOf(excluded, "cold_ms"));
    CPPUNIT_ASSERT_EQUAL(std::string("2000"), FactOf(excluded, "next_share_in_ms"));

    // With all engines cold, the refusal ends when the first share is granted.
    entry.targets["engine-burnie1"].coldRemainingMs = 1'000;
    entry.Step(TargetsChanged{ entry.targets });
    said = entry.reducer.Explain(MakeRequest("/draft/", 2'000), entry.now);
    CPPUNIT_ASSERT_EQUAL(503, said.refusal.value().status);
    CPPUNIT_ASSERT_EQUAL(std::string("the targets are cold and get no more requests now"),
                         said.refusal->reason);
    CPPUNIT_ASSERT(said.refusal->minRetryAfter == milliseconds(1'000));
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), said.excluded.size());

    // With a share, a cold target loses by its coldness, and helps with no long prompt.
    Entry sharing(3, 1);
    sharing.Step(EntriesChanged{ { { "entry-1", { "10.0.0.1:1", "hobart" } } } });
    harness::AdvanceTime(sharing, milliseconds(3'000));
    sharing.targets["engine-hobart1"].coldRemainingMs = 5'000;
    sharing.Step(TargetsChanged{ sharing.targets });
    harness::AdvanceTime(sharing, milliseconds(1'500)); // The first share is granted after 1 s.
    said = sharing.reducer.Explain(MakeRequest("/draft/", 2'000), sharing.now);
    CPPUNIT_ASSERT_EQUAL(std::string("engine-burnie1"), said.target.value().instance);
    CPPUNIT_ASSERT_EQUAL(
      std::string("costs 100.0 ms more than engine-burnie1, mostly because of its being cold"),
      said.alternatives.at(0).reason);
    said = sharing.reducer.Explain(MakeRequest("/sift/", 40'000), sharing.now);
    CPPUNIT_ASSERT(said.helpers.empty());
    CPPUNIT_ASSERT_EQUAL(std::string("it is cold, and gets no part of a long or divided prompt"),
                         said.alternatives.at(0).reason);
  }

  void CommandAsksARunningEntry()
  {
    harness::PlatformDeployment deployment;
    const std::string entry = deployment.EntryIp(1) + ":7001";
    const auto run = [&](std::vector<std::string> aArguments, int aStatus) {
      const std::string path = "run/where-output";
      std::ofstream(path, std::ios::trunc).close();
      aArguments.insert(aArguments.begin(),
                        { harness::BinaryDirectory() + "/sycamorepost", "where" });
      harness::Process process = harness::Process::Start(aArguments, path);
      const auto status = process.WaitForExit(harness::kAwaitTimeout);
      std::ifstream file(path);
      std::string text{ std::istreambuf_iterator<char>(file), {} };
      CPPUNIT_ASSERT_EQUAL_MESSAGE(text, aStatus, status.value_or(-1));
      return text;
    };
    const auto ask = [&](const std::string& aRoute, const std::string& aTokens) {
      return std::vector<std::string>{ "--entry",  entry,   "--host",    kHost,
                                       "--route",  aRoute,  "--account", "derwent",
                                       "--tokens", aTokens, "--output",  "200" };
    };
    const json before = harness::FetchDump(entry);

    // A prompt that one engine cannot hold is divided, as a real one is.
    std::vector<std::string> question = ask("/archive/2019", "450000");
    question.emplace_back("--json");
    json split;
    // An entry that has just started holds it for the first load reports.
    CPPUNIT_ASSERT(harness::WaitUntil(harness::kAwaitTimeout, [&] {
      split = json::parse(run(question, 0));
      return !split.contains("held_ms");
    }));
    CPPUNIT_ASSERT_EQUAL(std::string("archive"), split.at("route").get<std::string>());
    CPPUNIT_ASSERT_MESSAGE(split.dump(), !split.contains("refusal"));
    CPPUNIT_ASSERT(!split.at("helpers").empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), split.at("candidates").get<std::size_t>());
    const std::string text = run(ask("/draft/a%20b", "5000"), 0);
    CPPUNIT_ASSERT_MESSAGE(text, text.find("route draft, account derwent") != std::string::npos);
    CPPUNIT_ASSERT_MESSAGE(text,
                           text.find("at random among 3 that are close") != std::string::npos);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), deployment.ReservedTokens());
    CPPUNIT_ASSERT(deployment.RunCounts().empty());
    CPPUNIT_ASSERT_EQUAL(before.at("targets").dump(),
                         harness::FetchDump(entry).at("targets").dump());

    // Errors are named, and have the exit status of their kind.
    CPPUNIT_ASSERT(run(ask("/nowhere/", "0"), 2).find("no route for") != std::string::npos);
    CPPUNIT_ASSERT(run(ask("/draft/", "5k"), 2).find("'5k' is not a valid") != std::string::npos);
    question = ask("/draft/", "5000");
    question[7] = "nobody";
    CPPUNIT_ASSERT(run(question, 2).find("account 'nobody' is unknown") != std::string::npos);
    const auto page = [&](const std::string& aQuery) {
      return harness::SendHttpRequest(entry, "GET", "/where?" + aQuery).status;
    };
    CPPUNIT_ASSERT_EQUAL(400, page("host=quiz.example&path=/draft/&tokens=-1"));
    CPPUNIT_ASSERT_EQUAL(400, page("host=quiz.example&path=/draft/&tokens=4294967296"));
    CPPUNIT_ASSERT_EQUAL(400, page("host=quiz.example&path=/draft/&tokns=5"));
    CPPUNIT_ASSERT_EQUAL(400, page("host=quiz.example&path=%zz"));
    CPPUNIT_ASSERT_EQUAL(400, page("path=/draft/"));
    CPPUNIT_ASSERT_EQUAL(404, page("host=quiz.example&path=/nowhere/"));
    CPPUNIT_ASSERT_EQUAL(200, page("host=quiz.example&path=/draft/&tokens=5000"));
    deployment.entries[0].Kill();
    CPPUNIT_ASSERT(run(ask("/draft/", "5000"), 3).find(entry) != std::string::npos);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WhereTest);

} // namespace
} // namespace sycamorepost
