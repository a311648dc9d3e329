// Tests of cold targets: what makes a target cold and for how long, that all entries together stay
// within the bound on what one gets in a second, and where requests go meanwhile.
#include <cppunit/extensions/HelperMacros.h>

#include <cstdlib>
#include <fstream>
#include <queue>
#include <random>
#include <regex>
#include <sstream>

#include "harness/VirtualTime.h"
#include "platform/Decoders.h"
#include "platform/RequestCodec.h"
#include "runtime/Settings.h"
#include "sycamorepost/Message.h"
#include "sycamorepost/forward/ForwardReducer.h"

namespace sycamorepost {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Instant kStart{ std::chrono::hours(1) };
constexpr const char* kService = "quizmind";

std::map<std::string, ServiceTraits>
MakeServices()
{
  ServiceTraits service{ .name = kService, .coldStart = seconds(3), .coldPerSecond = 32 };
  service.engine = EngineTraits{
    .prefillTokensPerMs = 177, .stepsPerPass = 51, .kvCapacityTokens = 300'000, .slots = 16
  };
  return { { kService, service } };
}

RegisteredTarget
MakeTarget(const std::string& aName, std::int64_t aColdMs, std::int64_t aStartedAtMs = 7)
{
  return { .instance = aName,
           .service = kService,
           .address = aName,
           .domain = "hobart",
           .slots = 16,
           .startedAtMs = aStartedAtMs,
           .coldRemainingMs = aColdMs };
}

// Entries that know each other by their registrations only, before targets that start in common and
// get whatever the entries may send.
class Fleet
{
public:
  Fleet(std::size_t aEntries, std::uint64_t aSeed)
    : random(aSeed)
    , readInterval(
        std::min<Duration>(milliseconds(20) * static_cast<std::int64_t>(aEntries), seconds(2)))
  {
    for (std::size_t i = 0; i < aEntries; ++i) {
      this->Join(kStart - seconds(10));
    }
    // Registrations change in a few moments before and after the start of the targets.
    for (std::uint64_t change = this->Draw(4); change > 0; --change) {
      const Instant at = kStart - seconds(4) + milliseconds(this->Draw(12'000));
      for (std::uint64_t joining = this->Draw(1 + aEntries / 10); joining > 0; --joining) {
        this->Join(at);
      }
      for (std::uint64_t leaving = this->Draw(1 + aEntries / 20); leaving > 0; --leaving) {
        this->entries[this->Draw(aEntries)].leavesAt = at;
      }
    }
  }

  // Returns the most requests that one target got in any one second.
  std::size_t Run()
  {
    for (std::size_t i = 0; i < this->entries.size(); ++i) {
      this->Prepare(i);
    }
    while (!this->events.empty()) {
      const Event event = this->events.top();
      this->events.pop();
      this->now = event.at;
      this->Handle(event);
    }
    std::size_t most = 0;
    for (const auto& [target, times] : this->sent) {
      for (auto first = times.begin(), last = times.begin(); last != times.end(); ++last) {
        while (*last - *first > seconds(1)) {
          ++first;
        }
        most = std::max(most, static_cast<std::size_t>(last - first) + 1);
      }
    }
    return most;
  }

  std::size_t Total(const std::string& aTarget) { return this->sent[aTarget].size(); }

private:
  struct Entry
  {
    std::string address;
    Instant joinsAt;
    Instant leavesAt = Instant::max();
    std::optional<ColdShares> shares;
  };

  struct Event
  {
    Instant at;
    std::size_t entry = 0;
    std::string target; // Empty for a read of the registered entries.

    bool operator<(const Event& aOther) const { return this->at > aOther.at; }
  };

  std::uint64_t Draw(std::uint64_t aLimit) { return this->random() % aLimit; }

  void Join(Instant aAt)
  {
    this->entries.push_back({ "10.0.0." + std::to_string(this->entries.size()), aAt });
    this->changes.insert(aAt);
  }

  // Schedules the reads of an entry: of what changes, within the interval of its reads.
  void Prepare(std::size_t aEntry)
  {
    Entry& entry = this->entries[aEntry];
    entry.shares.emplace(entry.address, ColdBound{});
    entry.shares->SetServices(MakeServices(), entry.joinsAt);
    for (const Instant change : this->changes) {
      const Duration delay(this->Draw(this->readInterval.count()));
      this->events.push({ std::max(change, entry.joinsAt) + delay, aEntry, "" });
    }
    const Instant learnsAt = kStart + milliseconds(this->Draw(1'200));
    for (const char* target : { "a", "b" }) {
      this->events.push({ std::max(learnsAt, entry.joinsAt), aEntry, target });
    }
  }

  void Handle(const Event& aEvent)
  {
    Entry& entry = this->entries[aEvent.entry];
    if (aEvent.target.empty()) {
      std::set<std::string> registered;
      for (const Entry& other : this->entries) {
        if (other.joinsAt <= this->now && this->now < other.leavesAt) {
          registered.insert(other.address);
        }
      }
      entry.shares->SetEntries(registered, this->now);
      return;
    }
    const bool isBusy = this->now < this->coldUntil && this->now < entry.leavesAt;
    if (!isBusy) {
      return;
    }
    const auto remainingMs = ToMillis(this->coldUntil - this->now) + 1;
    entry.shares->RecordRegistration(
      MakeTarget(aEvent.target, remainingMs), { this->now }, this->now);
    entry.shares->Expire({ { aEvent.target, {} } }, this->now);
    Instant next = entry.shares->NextSendAt(aEvent.target, this->now);
    if (this->now < this->callersAt) {
      next = std::max(next, this->callersAt); // All callers come at the same moment.
    } else if (next <= this->now) {
      entry.shares->RecordSent(aEvent.target, this->now);
      this->sent[aEvent.target].push_back(this->now);
      next = entry.shares->NextSendAt(aEvent.target, this->now);
    }
    // Shares are looked at again now and then, as another entry may have left.
    this->events.push({ std::min(std::max(next, this->now + Duration(1)), this->now + seconds(1)),
                        aEvent.entry,
                        aEvent.target });
  }

  std::mt19937_64 random;
  Duration readInterval;
  std::vector<Entry> entries;
  std::set<Instant> changes;
  Instant coldUntil = kStart + seconds(3) + milliseconds(this->Draw(9'000));
  Instant callersAt = kStart + milliseconds(this->Draw(2) * this->Draw(2'500));
  std::priority_queue<Event> events;
  std::map<std::string, std::vector<Instant>> sent; // By target.
  Instant now = kStart;
};

// The only entry, with a cold engine in its own failure domain and warm ones in another.
class Entry
{
public:
  explicit Entry(int aWarm)
    : reducer(ForwardConfig{ .address = "10.0.0.1", .domain = "hobart", .retrySlack = 200 })
  {
    RouteRule route{ .name = "sift", .host = "quiz.example", .pathPrefix = "/" };
    route.kind = RouteKind::Stream;
    route.services = { { kService, 1 } };
    route.timeout = seconds(10);
    route.objective = seconds(3);
    route.gapObjective = seconds(1);
    route.allowsAnonymous = true;
    auto table = std::make_shared<RouteTable>();
    table->version = 1;
    table->AddRoute(route);
    table->services = MakeServices();
    this->Step(RoutesChanged{ table });
    this->Step(EntriesChanged{ { { "entry-1", { "10.0.0.1", "hobart" } } } });
    harness::AdvanceTime(*this, seconds(5));
    std::map<std::string, RegisteredTarget> targets{ { "cold", MakeTarget("cold", 3'000) } };
    for (int i = 0; i < aWarm; ++i) {
      const std::string name = "warm-" + std::to_string(i);
      targets[name] = MakeTarget(name, 0);
      targets[name].domain = "burnie";
    }
    this->Step(TargetsChanged{ targets });
  }

  void Step(const ForwardEvent& aEvent)
  {
    for (const ForwardEffect& effect : this->reducer.Step(aEvent, this->now)) {
      if (const auto* start = std::get_if<StartAttempt>(&effect)) {
        this->used.push_back(start->instance);
        for (const HelperAssignment& helper : start->helpers) {
          this->used.push_back(helper.address);
        }
      } else if (const auto* command = std::get_if<SendReservationCommand>(&effect)) {
        if (command->tokens > 0) {
          this->used.push_back(command->instance);
          this->reservations.push_back(*command);
        }
      } else if (const auto* response = std::get_if<SendResponse>(&effect)) {
        this->responses.push_back(*response);
      } else if (const auto* count = std::get_if<CountEvent>(&effect)) {
        this->counts[count->name + " " + count->label] += 1;
      }
    }
  }

  void Request(std::uint32_t aTokens)
  {
    this->Step(ForwardRequest{ .handle = ++this->lastHandle,
                               .path = "/x",
                               .host = "quiz.example",
                               .body = MakeBody(""),
                               .promptTokens = aTokens,
                               .outputTokens = 100,
                               .fingerprint = this->lastHandle });
  }

  ForwardReducer reducer;
  Instant now = kStart;
  std::vector<std::string> used; // Targets, by each request or reservation.
  std::vector<SendReservationCommand> reservations;
  std::vector<SendResponse> responses;
  std::map<std::string, int> counts;
  std::uint64_t lastHandle = 0;
};

class ColdTargetTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ColdTargetTest);
  CPPUNIT_TEST(ColdnessIsDecodedAndPassedOn);
  CPPUNIT_TEST(TemplateIsValidWithAndWithoutTheBounds);
  CPPUNIT_TEST(ColdnessEndsWithItsTimeOrItsIncarnation);
  CPPUNIT_TEST(AllEntriesTogetherStayWithinTheBound);
  CPPUNIT_TEST(EntryThatOthersDoNotKnowYetSendsNothing);
  CPPUNIT_TEST(WarmTargetsArePreferredAndColdOnesGetNoParts);
  CPPUNIT_TEST(CallersAreRefusedWhenAllSharesAreSpent);
  CPPUNIT_TEST_SUITE_END();

public:
  void ColdnessIsDecodedAndPassedOn()
  {
    const std::string common =
      R"({"Service":"quizmind","Address":"10.0.0.1:1","Zone":"a","Slots":1,"State":"ready")";
    const std::map<std::string, std::int64_t> cases{ { "}", -1 },
                                                     { R"(,"ColdRemainingMs":0})", 0 },
                                                     { R"(,"ColdRemainingMs":1200.5})", 1'201 },
                                                     { R"(,"ColdRemainingMs":-5})", 0 },
                                                     { R"(,"ColdRemainingMs":"x"})", -1 } };
    std::string reason;
    for (const auto& [text, expected] : cases) {
      const auto target = platform::DecodeRegistration("i-1", common + text, reason);
      CPPUNIT_ASSERT_MESSAGE(text, target && target->coldRemainingMs == expected);
      Envelope sent{ .message = StoreReport{ .registrations = { .changed = { *target } } } };
      const auto received = DecodeHeader(EncodeHeader(sent), reason);
      CPPUNIT_ASSERT_MESSAGE(reason, received.has_value());
      CPPUNIT_ASSERT(std::get<StoreReport>(received->message).registrations.changed.front() ==
                     *target);
    }
    const auto table = platform::DecodeConfiguration(
      R"({"Version":1,"Routes":[],"Services":[{"Name":"a","ColdStartS":3,"ColdPerS":32},{"Name":"b"}]})",
      reason);
    CPPUNIT_ASSERT(table->FindService("a")->coldStart == seconds(3));
    CPPUNIT_ASSERT_EQUAL(32.0, table->FindService("a")->coldPerSecond);
    CPPUNIT_ASSERT_EQUAL(0.0, table->FindService("b")->coldPerSecond);
    for (const auto& [text, ms] : std::map<std::string, int>{
           { "1500", 1'500 }, { "0", 0 }, { "nan", 0 }, { "-3", 0 }, { "soon", 0 } }) {
      HttpReply reply;
      reply.fields = { { "x-sycamorepost-cold-remaining", text } };
      const auto head = platform::DecodeResponseHead(1, "r", reply);
      CPPUNIT_ASSERT_MESSAGE(text, head.announcement.coldRemaining == milliseconds(ms));
    }
  }

  // Guards against an entry that does not start where the platform does not give the bounds.
  void TemplateIsValidWithAndWithoutTheBounds()
  {
    std::ifstream file("deploy/entry.toml.template");
    std::stringstream text;
    text << file.rdbuf();
    const auto parse = [&](const char* aSection) {
      std::string rendered = std::regex_replace(
        text.str(), std::regex(R"(\{\{#([\w.]+)\}\}(.*)\{\{\.\}\}\{\{/\1\}\})"), aSection);
      rendered =
        std::regex_replace(rendered,
                           std::regex(R"(\{\{(Ip\}\}:\{\{PortRange|Listen|Platform)\.\w+\}\})"),
                           "10.0.0.1:1");
      rendered = std::regex_replace(rendered, std::regex(R"(\{\{[\w.]+\}\})"), "300");
      std::vector<SettingsError> errors;
      const auto settings = ParseForwardSettings(rendered, errors);
      CPPUNIT_ASSERT_MESSAGE(errors.empty() ? "" : errors.front().reason, settings.has_value());
      return std::pair(settings->coldOverage, settings->coldSlack);
    };
    CPPUNIT_ASSERT(parse("") == std::pair(1.5, 5.0));
    CPPUNIT_ASSERT(parse("$2 2.25") == std::pair(2.25, 2.25));
  }

  void ColdnessEndsWithItsTimeOrItsIncarnation()
  {
    Instant now = kStart;
    ColdShares shares("10.0.0.1", {});
    shares.SetServices(MakeServices(), now);
    const auto record = [&](const RegisteredTarget& aTarget, std::int64_t aUnixMs = 0) {
      shares.RecordRegistration(aTarget, { now, aUnixMs }, now);
    };
    record(MakeTarget("a", 2'000));
    CPPUNIT_ASSERT(shares.ColdUntil("a") == kStart + seconds(2));
    // A shorter time, or the same registration again, changes nothing. A response may extend it.
    now += seconds(1);
    record(MakeTarget("a", 500));
    record(MakeTarget("a", 500));
    CPPUNIT_ASSERT(shares.ColdUntil("a") == kStart + seconds(2));
    CPPUNIT_ASSERT(!shares.RecordResponse(MakeTarget("a", 0), seconds(3), now));
    CPPUNIT_ASSERT(shares.ColdUntil("a") == kStart + seconds(4));
    // Only its registration says that it is warm before that.
    CPPUNIT_ASSERT(!shares.RecordResponse(MakeTarget("a", 0), {}, now));
    CPPUNIT_ASSERT(shares.IsCold("a", now));
    record(MakeTarget("a", 0));
    CPPUNIT_ASSERT(!shares.IsCold("a", now));
    // What a response states outlives registrations that were written before it.
    CPPUNIT_ASSERT(shares.RecordResponse(MakeTarget("a", 0), seconds(3), now));
    record(MakeTarget("a", 0));
    CPPUNIT_ASSERT(shares.IsCold("a", now));
    // A new incarnation is what it states, and a late response of the old one changes nothing.
    record(MakeTarget("a", 0, 8));
    CPPUNIT_ASSERT(!shares.IsCold("a", now));
    CPPUNIT_ASSERT(!shares.RecordResponse(MakeTarget("a", 0, 7), seconds(3), now));
    CPPUNIT_ASSERT(!shares.IsCold("a", now));
    // An entry that was suspended reads the same registration again.
    record(MakeTarget("b", 3'000));
    now += seconds(60);
    record(MakeTarget("b", 3'000));
    CPPUNIT_ASSERT(!shares.IsCold("b", now));
    // A start counts when nothing else is stated, unless the clocks disagree.
    record(MakeTarget("c", -1, 100'000), 101'000);
    CPPUNIT_ASSERT(shares.ColdUntil("c") == now + seconds(2));
    record(MakeTarget("c", 0, 100'000), 101'000);
    CPPUNIT_ASSERT(!shares.IsCold("c", now));
    record(MakeTarget("d", -1, 100'000), 50'000);
    CPPUNIT_ASSERT(!shares.IsCold("d", now));
    record(MakeTarget("e", 0, 100'000), 101'000);
    CPPUNIT_ASSERT(!shares.IsCold("e", now));
  }

  // Guards against entries whose shares add up to more than the bound when a domain returns, with
  // entries that do not hear each other, that start late or leave, and callers that come at once.
  void AllEntriesTogetherStayWithinTheBound()
  {
    static constexpr std::size_t kBound = 53; // 32 x 1.5 + 5.
    const auto number = [](const char* aName, std::uint64_t aDefault) {
      const char* text = std::getenv(aName);
      return text ? std::stoul(text) : aDefault;
    };
    const std::uint64_t first = number("SYCAMOREPOST_FIRST_SEED", 1);
    const std::uint64_t seeds = number("SYCAMOREPOST_SEEDS", 20);
    for (const std::size_t entries : { 26, 100, 330 }) {
      std::size_t most = 0;
      std::size_t least = SIZE_MAX;
      for (std::uint64_t seed = first; seed < first + seeds; ++seed) {
        Fleet fleet(entries, seed);
        const std::size_t found = fleet.Run();
        CPPUNIT_ASSERT_MESSAGE("entries " + std::to_string(entries) + ", seed " +
                                 std::to_string(seed) + ": " + std::to_string(found),
                               found <= kBound);
        most = std::max(most, found);
        least = std::min(least, fleet.Total("a"));
      }
      std::printf("%zu entries, %zu seeds: at most %zu requests in a second\n",
                  entries,
                  static_cast<std::size_t>(seeds),
                  most);
      CPPUNIT_ASSERT(least > 0); // The bound is not held by sending nothing.
    }
  }

  // Guards against an entry that takes a share while the others divide the bound without it.
  void EntryThatOthersDoNotKnowYetSendsNothing()
  {
    ColdShares shares("10.0.0.1", {});
    shares.SetServices(MakeServices(), kStart);
    shares.RecordRegistration(MakeTarget("a", 60'000), { kStart }, kStart);
    CPPUNIT_ASSERT(!shares.MaySend("a", kStart + seconds(30)));
    shares.SetEntries({ "10.0.0.1", "10.0.0.2" }, kStart);
    CPPUNIT_ASSERT(!shares.MaySend("a", kStart + seconds(1)));
    CPPUNIT_ASSERT(shares.MaySend("a", kStart + seconds(2)));
    // An entry that is heard counts before it is registered, and a registration for a while longer.
    shares.RecordEntryHeard("10.0.0.3", kStart);
    shares.RecordUnlistedEntries("burnie", 2, kStart);
    CPPUNIT_ASSERT_EQUAL(std::size_t(5), shares.EntryCount());
    shares.SetEntries({ "10.0.0.1" }, kStart);
    CPPUNIT_ASSERT_EQUAL(std::size_t(5), shares.EntryCount());
    shares.Expire({ { "a", {} } }, kStart + seconds(4));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), shares.EntryCount());
  }

  void WarmTargetsArePreferredAndColdOnesGetNoParts()
  {
    Entry entry(3);
    for (const std::uint32_t tokens : { 2'000, 2'000, 600'000, 2'000 }) {
      entry.Request(tokens);
    }
    CPPUNIT_ASSERT(entry.used.size() >= 5); // The long prompt takes several.
    CPPUNIT_ASSERT(std::count(entry.used.begin(), entry.used.end(), "cold") == 0);
    // The cold one gets some once the others are clearly busier.
    for (int i = 0; i < 60; ++i) {
      entry.Request(2'000);
    }
    CPPUNIT_ASSERT(std::count(entry.used.begin(), entry.used.end(), "cold") > 0);

    // A helper that becomes cold between its reservation and the start is not called.
    Entry other(3);
    other.Request(600'000);
    const std::vector<SendReservationCommand> reservations = std::exchange(other.reservations, {});
    const std::string helper = reservations.at(0).instance;
    other.used.clear();
    for (const SendReservationCommand& command : reservations) {
      ReservationCommandEnd end{ command.command, true, true, command.instance };
      end.announcement.coldRemaining = command.instance == helper ? seconds(2) : Duration();
      other.Step(end);
    }
    CPPUNIT_ASSERT(std::count(other.used.begin(), other.used.end(), helper) == 0);
  }

  void CallersAreRefusedWhenAllSharesAreSpent()
  {
    Entry entry(0);
    for (int i = 0; i < 40; ++i) {
      entry.Request(100);
    }
    // The only entry has the whole burst: the bound without the rate of one second.
    CPPUNIT_ASSERT_EQUAL(std::size_t(21), entry.used.size());
    CPPUNIT_ASSERT_EQUAL(21, entry.counts["forward_cold_shares used"]);
    CPPUNIT_ASSERT_EQUAL(19, entry.counts["forward_cold_shares spent"]);
    CPPUNIT_ASSERT_EQUAL(503, entry.responses.back().status);
    CPPUNIT_ASSERT(entry.responses.back().retryAfter >= milliseconds(31));
    CPPUNIT_ASSERT(entry.responses.back().retryAfter <= milliseconds(500));
    harness::AdvanceTime(entry, milliseconds(40));
    entry.Request(100);
    CPPUNIT_ASSERT_EQUAL(std::size_t(22), entry.used.size());
    // A registration that says that the target is warm ends all of that.
    entry.Step(TargetsChanged{ { { "cold", MakeTarget("cold", 0) } } });
    for (int i = 0; i < 5; ++i) {
      entry.Request(100);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(27), entry.used.size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ColdTargetTest);

} // namespace
} // namespace sycamorepost
