// Unit tests of what entries tell each other: EntryGroup, the load reports of other failure
// domains, LoadTracker's sums, the retry budget of many entries, and the decoder of the messages.
#include <cmath>
#include <limits>
#include <numeric>
#include <random>

#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

#include "harness/VirtualTime.h"
#include "sycamorepost/Message.h"
#include "sycamorepost/forward/ForwardReducer.h"
#include "sycamorepost/forward/admission/RetryBudget.h"
#include "sycamorepost/forward/sharing/StoreSharing.h"

namespace sycamorepost {
namespace {

using std::chrono::milliseconds;

constexpr const char* kDomains[] = { "burnie", "hobart", "huon" };

std::string
AddressOf(int aEntry)
{
  return "10.0.0." + std::to_string(aEntry) + ":7000";
}

// Entries 0, 3, 6 ... are in burnie, 1, 4, 7 ... in hobart, 2, 5, 8 ... in huon.
std::map<std::string, RegisteredEntry>
MakeEntries(int aCount)
{
  std::map<std::string, RegisteredEntry> entries;
  for (int i = 0; i < aCount; ++i) {
    entries["entry-" + std::to_string(i)] = { AddressOf(i), kDomains[i % 3] };
  }
  return entries;
}

// Returns a table with one route of streams to engines.
std::shared_ptr<RouteTable>
MakeStreamTable()
{
  RouteRule route;
  route.host = "host";
  route.pathPrefix = "/";
  route.kind = RouteKind::Stream;
  route.services = { { "engines", 1 } };
  route.timeout = std::chrono::seconds(10);
  route.objective = std::chrono::seconds(3);
  route.gapObjective = milliseconds(300);
  route.allowsAnonymous = true;
  auto table = std::make_shared<RouteTable>();
  table->version = 1;
  table->AddRoute(route);
  table->services["engines"] = {
    "engines",
    0,
    EngineTraits{ .prefillTokensPerMs = 100, .kvCapacityTokens = 300'000, .slots = 16 }
  };
  return table;
}

// A reducer whose broadcasts, reports and attempts are kept.
class EntryDriver
{
public:
  explicit EntryDriver(int aEntry, int aCount = 9)
    : reducer(ForwardConfig{ .name = "entry-" + std::to_string(aEntry),
                             .address = AddressOf(aEntry),
                             .domain = kDomains[aEntry % 3] })
  {
    this->Step(EntriesChanged{ MakeEntries(aCount) });
  }

  void Step(const ForwardEvent& aEvent)
  {
    for (const ForwardEffect& effect : this->reducer.Step(aEvent, this->now)) {
      if (const auto* broadcast = std::get_if<BroadcastLoad>(&effect)) {
        this->broadcasts.push_back(*broadcast);
      } else if (const auto* report = std::get_if<SendDomainLoad>(&effect)) {
        this->reports.push_back(*report);
      } else if (const auto* start = std::get_if<StartAttempt>(&effect)) {
        this->starts.push_back(*start);
      }
    }
  }

  void SendPrompt(std::uint32_t aTokens)
  {
    ForwardRequest request;
    request.handle = ++this->lastHandle;
    request.host = "host";
    request.path = "/";
    request.body = MakeBody("");
    request.promptTokens = aTokens;
    this->Step(request);
  }

  void AdvanceTime(Duration aDuration) { harness::AdvanceTime(*this, aDuration); }

  ForwardReducer reducer;
  Instant now{ std::chrono::hours(1) };
  std::vector<BroadcastLoad> broadcasts;
  std::vector<SendDomainLoad> reports;
  std::vector<StartAttempt> starts;
  std::uint64_t lastHandle = 0;
};

class CoordinationTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(CoordinationTest);
  CPPUNIT_TEST(LoadIsReportedToTheOwnDomainOnly);
  CPPUNIT_TEST(TwoLiveEntriesReportForTheirDomain);
  CPPUNIT_TEST(ReportsReachEveryEntryOfAnotherDomainOnce);
  CPPUNIT_TEST(LongPromptIsReportedToOtherDomainsAtOnce);
  CPPUNIT_TEST(EntryCutFromItsNeighboursUsesAllDomains);
  CPPUNIT_TEST(EntriesOfAnEarlierVersionAreToldDirectly);
  CPPUNIT_TEST(ReportsOfUnknownDomainsAreIgnored);
  CPPUNIT_TEST(InvalidNumbersOfPeersAreIgnored);
  CPPUNIT_TEST(LoadIsTheSumOverAllPeers);
  CPPUNIT_TEST(BudgetBelowOneRetryIsSpentByChance);
  CPPUNIT_TEST(SilentReaderIsReplacedBeforeTheBound);
  CPPUNIT_TEST(AgeOfKnowledgeIsNotUnderstated);
  CPPUNIT_TEST(ReportsOfReadersCarryAllMissedChanges);
  CPPUNIT_TEST(ReportTellsNeighboursThatDifferApart);
  CPPUNIT_TEST(DecoderReturnsOnAnyBytes);
  CPPUNIT_TEST_SUITE_END();

public:
  // Load pattern: many entries. Guards against messages of an entry that grow with all of them.
  void LoadIsReportedToTheOwnDomainOnly()
  {
    EntryDriver driver(1, 90);
    driver.AdvanceTime(std::chrono::seconds(3));
    CPPUNIT_ASSERT(driver.broadcasts.size() >= 3);
    for (const BroadcastLoad& broadcast : driver.broadcasts) {
      CPPUNIT_ASSERT_EQUAL(std::size_t(29), broadcast.recipients.size());
    }

    // A peer of another domain is not counted on its own: its load is in the report of its domain.
    driver.Step(PeerLoadReport{ AddressOf(2), 1, { { "engine-1", 3, 3, 100, 0, 0 } }, true });
    CPPUNIT_ASSERT(!driver.reducer.Dump(driver.now).contains("peers"));

    // Guards against the square of the entries at a common start: a new peer is told, not all.
    driver.broadcasts.clear();
    for (int peer = 4; peer < 90; peer += 3) {
      driver.Step(PeerLoadReport{ AddressOf(peer), 1, {}, false });
    }
    std::size_t messages = 0;
    for (const BroadcastLoad& broadcast : driver.broadcasts) {
      messages += broadcast.recipients.size();
    }
    CPPUNIT_ASSERT(messages <= 29);
  }

  // Guards against a domain of which nothing is known because its only reporter is lost.
  void TwoLiveEntriesReportForTheirDomain()
  {
    static constexpr int kCount = 30;
    const auto countReporters = [](int aLost) {
      int reporters = 0;
      for (int entry = 1; entry < kCount; entry += 3) {
        EntryDriver driver(entry, kCount);
        for (int second = 0; second < 5; ++second) {
          for (int peer = 1; peer < kCount; peer += 3) {
            if (peer != entry && peer != aLost) {
              driver.Step(PeerLoadReport{ AddressOf(peer), 1, {}, false });
            }
          }
          driver.AdvanceTime(std::chrono::seconds(1));
        }
        driver.reports.clear();
        driver.AdvanceTime(std::chrono::seconds(1));
        reporters += driver.reports.empty() || entry == aLost ? 0 : 1;
        for (const SendDomainLoad& report : driver.reports) {
          CPPUNIT_ASSERT_EQUAL(std::size_t(2), report.recipients.size());
          CPPUNIT_ASSERT_EQUAL(std::string("hobart"), report.report.domain);
        }
      }
      return reporters;
    };
    CPPUNIT_ASSERT_EQUAL(2, countReporters(-1));
    for (int lost = 1; lost < kCount; lost += 3) {
      CPPUNIT_ASSERT_EQUAL(2, countReporters(lost));
    }
  }

  void ReportsReachEveryEntryOfAnotherDomainOnce()
  {
    EntryDriver driver(0);
    DomainLoadReport report;
    report.domain = "hobart";
    report.reporter = AddressOf(1);
    report.entries = 3;
    report.loads = { { "engine-1", 2, 2, 500, 0, 0 } };
    driver.Step(TargetsChanged{ { { "engine-1", { .instance = "engine-1" } } } });
    driver.Step(report);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), driver.reports.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), driver.reports.front().recipients.size());
    CPPUNIT_ASSERT(driver.reports.front().report.isRelayed);
    const auto running = [&] {
      const auto dump = driver.reducer.Dump(driver.now);
      return dump["targets"]["engine-1"]["running"].get<int>();
    };
    CPPUNIT_ASSERT_EQUAL(2, running());

    // Another report of the domain replaces the first, and a relayed one is not relayed again.
    driver.Step(driver.reports.front().report);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), driver.reports.size());
    CPPUNIT_ASSERT_EQUAL(2, running());
    report.loads.clear();
    driver.Step(report);
    CPPUNIT_ASSERT_EQUAL(0, running());

    // A domain that is not heard of any more has no load.
    report.loads = { { "engine-1", 2, 2, 500, 0, 0 } };
    driver.Step(report);
    driver.AdvanceTime(std::chrono::seconds(5));
    CPPUNIT_ASSERT_EQUAL(0, running());
  }

  // Load pattern: a burst while entries are cut from each other. Guards against blind entries that
  // all load the engines of their own domain.
  void EntryCutFromItsNeighboursUsesAllDomains()
  {
    std::map<std::string, RegisteredTarget> targets;
    for (int i = 0; i < 9; ++i) {
      RegisteredTarget target{ .instance = "engine-" + std::to_string(i), .service = "engines" };
      target.domain = kDomains[i % 3];
      target.address = "1.2.3." + std::to_string(i) + ":5";
      targets[target.instance] = target;
    }
    const auto countRemote = [&](bool aHearsNeighbour) {
      EntryDriver driver(0);
      driver.Step(RoutesChanged{ MakeStreamTable() });
      driver.Step(TargetsChanged{ targets });
      if (aHearsNeighbour) {
        driver.Step(PeerLoadReport{ AddressOf(3), 1, {}, false });
      }
      int remote = 0;
      for (int i = 0; i < 24; ++i) { // All at once.
        driver.SendPrompt(3'000);
        remote += targets[driver.starts.back().instance].domain != kDomains[0] ? 1 : 0;
      }
      return remote;
    };
    // A third of the engines is in the own domain.
    CPPUNIT_ASSERT_MESSAGE(std::to_string(countRemote(false)), countRemote(false) >= 24 / 3);
    CPPUNIT_ASSERT(countRemote(true) < countRemote(false));
  }

  // Load pattern: long prompts through entries of several failure domains. Guards against two of
  // them on the same engines, because one domain learns of the other's placements too late.
  void LongPromptIsReportedToOtherDomainsAtOnce()
  {
    EntryDriver driver(0);
    driver.Step(RoutesChanged{ MakeStreamTable() });
    driver.Step(TargetsChanged{
      { { "engine-1",
          { .instance = "engine-1", .service = "engines", .address = "1.2.3.4:5" } } } });
    driver.AdvanceTime(std::chrono::seconds(1)); // Right after its start a long prompt waits.
    const auto reportsOf = [&](std::uint32_t aTokens) {
      driver.reports.clear();
      driver.SendPrompt(aTokens);
      return driver.reports.size();
    };
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), reportsOf(3'000));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), reportsOf(60'000));
    const SendDomainLoad& report = driver.reports.front();
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), report.recipients.size());
    CPPUNIT_ASSERT(report.report.loads.front().prefillMs > 500);
  }

  // Guards against a rolling restart in which entries of two versions do not know each other's
  // load.
  void EntriesOfAnEarlierVersionAreToldDirectly()
  {
    EntryDriver driver(0);
    auto entries = MakeEntries(9);
    entries["entry-1"].domain.clear();
    driver.Step(EntriesChanged{ entries });
    driver.AdvanceTime(std::chrono::seconds(2));
    const auto& recipients = driver.broadcasts.back().recipients;
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), recipients.size());
    CPPUNIT_ASSERT(std::find(recipients.begin(), recipients.end(), AddressOf(1)) !=
                   recipients.end());
  }

  void ReportsOfUnknownDomainsAreIgnored()
  {
    EntryDriver driver(0);
    driver.Step(TargetsChanged{ { { "engine-1", { .instance = "engine-1" } } } });
    for (const char* domain : { "", "burnie", "nowhere" }) {
      DomainLoadReport report;
      report.domain = domain;
      report.loads = { { "engine-1", 2, 2, 500, 0, 0 } };
      driver.Step(report);
    }
    CPPUNIT_ASSERT(driver.reports.empty());
    CPPUNIT_ASSERT(!driver.reducer.Dump(driver.now).contains("domains"));
  }

  // Guards against a faulty peer that takes the retries of the others, or the targets out of use.
  void InvalidNumbersOfPeersAreIgnored()
  {
    EntryDriver driver(0);
    driver.Step(TargetsChanged{ { { "engine-1", { .instance = "engine-1" } } } });
    DomainLoadReport report;
    report.domain = "hobart";
    report.entries = 4'000'000'000;
    for (const double invalid : { -1.0, 1e300, std::nan(""), HUGE_VAL }) {
      report.loads.push_back({ "engine-1", 9, 0, 0, invalid, 0 });
      report.loads.push_back({ "engine-1", 9, 0, 0, 0, invalid });
    }
    driver.Step(report);
    const auto dump = driver.reducer.Dump(driver.now);
    CPPUNIT_ASSERT_EQUAL(0, dump["targets"]["engine-1"]["running"].get<int>());
    CPPUNIT_ASSERT_EQUAL(3, dump["domains"]["hobart"]["entries"].get<int>());
  }

  void LoadIsTheSumOverAllPeers()
  {
    rc::check("the load of a target is the sum of the last reports", [] {
      LoadTracker tracker;
      const Instant now{ std::chrono::hours(1) };
      std::map<std::pair<int, int>, std::uint32_t> last; // By peer and target.
      const int steps = *rc::gen::inRange(0, 60);
      for (int i = 0; i < steps; ++i) {
        const int peer = *rc::gen::inRange(0, 4);
        const int target = *rc::gen::inRange(0, 3);
        const auto running = *rc::gen::inRange<std::uint32_t>(0, 3);
        if (*rc::gen::inRange(0, 8) == 0) {
          tracker.RemovePeer(std::to_string(peer));
          std::erase_if(last, [&](const auto& aItem) { return aItem.first.first == peer; });
        } else {
          TargetLoadReport report{ std::to_string(target), running, 0, running * 10, 0, 0 };
          tracker.ApplyReport(std::to_string(peer), { report }, now);
          last[{ peer, target }] = running;
        }
      }
      for (int target = 0; target < 3; ++target) {
        std::uint32_t all = 0;
        std::uint32_t ofPeer1 = 0;
        for (const auto& [key, running] : last) {
          all += key.second == target ? running : 0;
          ofPeer1 += key == std::pair(1, target) ? running : 0;
        }
        RC_ASSERT(tracker.LoadOf(std::to_string(target), now).running == all);
        RC_ASSERT(tracker.LoadOf(std::to_string(target), now).kvTokens == all * 10);
        const auto isPeer1 = [](const std::string& aPeer) { return aPeer == "1"; };
        std::uint32_t reported = 0;
        for (const TargetLoadReport& report : tracker.SnapshotOf(isPeer1, now)) {
          reported += report.instance == std::to_string(target) ? report.running : 0;
        }
        RC_ASSERT(reported == ofPeer1);
      }
    });
  }

  // Load pattern: hundreds of entries and a loss of engines. Guards against a budget that nobody
  // can spend because the share of an entry is below one retry.
  void BudgetBelowOneRetryIsSpentByChance()
  {
    static constexpr int kEntries = 330;
    static constexpr double kRatio = 0.2;
    static constexpr double kSlack = 276;
    std::mt19937_64 random(1);
    std::uniform_real_distribution<double> draw(0, 1);
    std::vector<RetryBudget> budgets(kEntries);
    for (RetryBudget& budget : budgets) {
      budget.Configure(kRatio, kSlack, kEntries);
    }
    int requests = 0;
    int retries = 0;
    for (int round = 0; round < 20; ++round) {
      for (RetryBudget& budget : budgets) {
        budget.RecordRequest();
        ++requests;
        retries += budget.TrySpend(draw(random)) ? 1 : 0;
      }
      if (round == 0) {
        // A third of the slack at the least helps the requests that fail at once.
        CPPUNIT_ASSERT_MESSAGE(std::to_string(retries), retries >= kSlack / 3);
      }
      CPPUNIT_ASSERT_MESSAGE(std::to_string(retries), retries <= kSlack + kRatio * requests);
    }
  }

  // Guards against entries that all read the store, and against changes that stay unknown when the
  // reader of a failure domain is silent.
  void SilentReaderIsReplacedBeforeTheBound()
  {
    static constexpr int kEntries = 20;
    const milliseconds bound(2'000); // The shortest one that users have set.
    static constexpr milliseconds kReadTime(500);
    std::vector<ReadSchedule> schedules(
      kEntries, ReadSchedule({ bound * 9 / 20, bound * 2 / 25, bound * 3 / 100 }));
    Instant now{ std::chrono::hours(1) };
    for (ReadSchedule& schedule : schedules) {
      schedule.RecordKnown(now);
    }
    std::vector<int> reads(kEntries);
    const auto run = [&](int aSilent, milliseconds aDuration) {
      const Instant end = now + aDuration;
      for (; now < end; now += milliseconds(5)) {
        for (std::size_t rank = aSilent; rank < schedules.size(); ++rank) {
          if (schedules[rank].DueAt(rank) <= now) {
            ++reads[rank];
            for (std::size_t other = aSilent; other < schedules.size(); ++other) {
              schedules[other].RecordKnown(now); // The report of the reader.
            }
          }
          // The rest of the bound is for the read and its report.
          CPPUNIT_ASSERT(schedules[rank].KnownAsOf() + bound - kReadTime > now);
        }
      }
    };
    run(0, std::chrono::seconds(60));
    CPPUNIT_ASSERT(reads[0] > 60);
    CPPUNIT_ASSERT_EQUAL(reads[0], std::accumulate(reads.begin(), reads.end(), 0));

    // The first three are silent, but still count as live.
    reads.assign(kEntries, 0);
    run(3, std::chrono::seconds(60));
    CPPUNIT_ASSERT_EQUAL(reads[3], std::accumulate(reads.begin(), reads.end(), 0));
  }

  // Guards against knowledge that counts as fresh because the response was slow, or because a
  // neighbour states an impossible age.
  void AgeOfKnowledgeIsNotUnderstated()
  {
    const Instant now{ std::chrono::hours(1) };
    // The record arrived during the wait, at its end, and long after it.
    const milliseconds wait(800);
    CPPUNIT_ASSERT(ReadAsOf(now, now + milliseconds(300), wait) == now + milliseconds(300));
    CPPUNIT_ASSERT(ReadAsOf(now, now + wait, wait) == now + wait);
    CPPUNIT_ASSERT(ReadAsOf(now, now + milliseconds(1'500), wait) == now + wait);
    CPPUNIT_ASSERT(ReadAsOf(now, now + milliseconds(700), milliseconds(0)) == now);

    CPPUNIT_ASSERT(ReportAsOf(250, now) == now - milliseconds(250));
    for (const std::int64_t age : { std::int64_t(-1),
                                    std::numeric_limits<std::int64_t>::min(),
                                    std::int64_t(60'001),
                                    std::numeric_limits<std::int64_t>::max() }) {
      CPPUNIT_ASSERT(!ReportAsOf(age, now));
    }
  }

  // Guards against a target that stays in use at an entry which missed a report, and against an
  // older report that undoes a newer one.
  void ReportsOfReadersCarryAllMissedChanges()
  {
    rc::check("a neighbour that misses up to two reports knows the same targets", [] {
      RegistrationHistory history;
      TargetDirectory reader;
      TargetDirectory neighbour;
      const Instant now{ std::chrono::hours(1) };
      std::uint64_t offset = 1;
      std::uint64_t neighbourOffset = 1;
      history.Record({ 1, offset }, reader.Targets());
      int missed = 0;
      const int reads = *rc::gen::inRange(1, 20);
      for (int read = 0; read < reads; ++read) {
        const int changes = *rc::gen::inRange(0, 4);
        for (int i = 0; i < changes; ++i) {
          RegisteredTarget target{ .instance = std::to_string(*rc::gen::inRange(0, 4)) };
          target.draining = *rc::gen::arbitrary<bool>();
          const bool isRemoved = *rc::gen::arbitrary<bool>();
          reader.Apply({ target.instance, isRemoved ? std::nullopt : std::optional(target) }, now);
          ++offset;
        }
        history.Record({ 1, offset }, reader.Targets());
        const RegistrationReport report = history.MakeReport();
        missed = missed < 1 && *rc::gen::arbitrary<bool>() ? missed + 1 : 0;
        if (missed == 0) {
          RC_ASSERT(Continues(report, { 1, neighbourOffset }));
          neighbour.Adopt(report.changed, report.removed, now, now);
          neighbourOffset = report.next.offset;
          RC_ASSERT(neighbour.Targets() == reader.Targets());
          RC_ASSERT(DigestOf(neighbour.Targets()) == report.digest);
          RC_ASSERT(!Continues({ .next = { 1, offset - 1 } }, { 1, neighbourOffset }));
        }
      }
    });
  }

  // Guards against a draining target that stays in use at an entry which has read the same records
  // as the reader, but from a listing that changed meanwhile: the reader does not report it again.
  void ReportTellsNeighboursThatDifferApart()
  {
    const Instant now{ std::chrono::hours(1) };
    RegisteredTarget target{ .instance = "engine-1", .address = "10.0.0.9:80" };
    TargetDirectory neighbour;
    neighbour.Apply({ target.instance, target }, now);
    target.draining = true;
    RegistrationHistory history;
    for (std::uint64_t offset = 5; offset < 8; ++offset) {
      history.Record({ 1, offset }, { { target.instance, target } });
    }
    const RegistrationReport report = history.MakeReport();
    CPPUNIT_ASSERT(Continues(report, { 1, 6 }));
    neighbour.Adopt(report.changed, report.removed, now, now);
    CPPUNIT_ASSERT(!neighbour.Targets().at("engine-1").draining);
    CPPUNIT_ASSERT(DigestOf(neighbour.Targets()) != report.digest);
  }

  void DecoderReturnsOnAnyBytes()
  {
    DomainLoadReport report;
    report.domain = "hobart";
    report.reporter = AddressOf(1);
    report.loads = { { "engine-1", 2, 2, 500, 12, 34 } };
    StoreReport storeReport;
    storeReport.registrations.changed = { { .instance = "engine-1", .address = "10.0.0.9:80" } };
    storeReport.registrations.removed = { "engine-2" };
    const TargetCrashReport crash{ "engine-1", 7, { { 1, 2 }, { 3 } } };
    const QuarantineReport quarantine{ { { { 1, 2 }, 3, 4'000 } }, { 5 }, true, true };
    for (const Message& message : { Message(report),
                                    Message(TargetLeavingNotice{ "engine-1", 7 }),
                                    Message(storeReport),
                                    Message(crash),
                                    Message(quarantine) }) {
      Envelope envelope;
      envelope.from = AddressOf(1);
      envelope.message = message;
      const std::string header = EncodeHeader(envelope);
      std::string reason;
      const auto decoded = DecodeHeader(header, reason);
      CPPUNIT_ASSERT_MESSAGE(reason, decoded && decoded->message.index() == message.index());
      rc::check("corrupted messages are decoded or refused", [&] {
        std::string corrupted = header;
        const int changes = *rc::gen::inRange(1, 4);
        for (int i = 0; i < changes; ++i) {
          const auto at = *rc::gen::inRange<std::size_t>(0, corrupted.size());
          corrupted[at] = *rc::gen::arbitrary<char>();
        }
        corrupted.resize(*rc::gen::inRange<std::size_t>(0, corrupted.size() + 1));
        std::string why;
        RC_ASSERT(DecodeHeader(corrupted, why) || !why.empty());
      });
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CoordinationTest);

} // namespace
} // namespace sycamorepost
