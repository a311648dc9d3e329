// Tests of evacuated failure domains: which of two views of the store's topic wins, and that an
// evacuated domain gets nothing from any entry until the evacuation is revoked.
#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include "harness/VirtualTime.h"
#include "platform/Decoders.h"
#include "sycamorepost/Message.h"
#include "sycamorepost/forward/ForwardReducer.h"

namespace sycamorepost {
namespace {

using std::chrono::milliseconds;

constexpr const char* kHost = "quiz.example";

std::shared_ptr<RouteTable>
MakeTable()
{
  RouteRule route{ .name = "sift", .host = kHost, .pathPrefix = "/" };
  route.kind = RouteKind::Stream;
  route.isResumable = true;
  route.services = { { "quizmind", 1 } };
  route.timeout = std::chrono::seconds(10);
  route.objective = std::chrono::seconds(3);
  route.gapObjective = std::chrono::seconds(1);
  route.maxAttempts = 2;
  route.allowsAnonymous = true;
  auto table = std::make_shared<RouteTable>();
  table->version = 1;
  table->AddRoute(route);
  table->services["quizmind"].name = "quizmind";
  table->services["quizmind"].engine = EngineTraits{ .stepMs = 0.85,
                                                     .prefillTokensPerMs = 177,
                                                     .prefillMsPerMillionPairs = 0.184,
                                                     .stepsPerPass = 51,
                                                     .kvCapacityTokens = 300'000,
                                                     .slots = 16 };
  return table;
}

// An entry of the domain "hobart" before three engines in each of two domains.
class Entry
{
public:
  Entry()
    : reducer(ForwardConfig{ .name = "entry-1", .domain = "hobart", .retrySlack = 200 })
  {
    this->Step(RoutesChanged{ MakeTable() });
    std::map<std::string, RegisteredTarget> targets;
    for (const char* domain : { "hobart", "burnie" }) {
      for (int i = 1; i <= 3; ++i) {
        const std::string name = domain + std::to_string(i);
        this->domains[name] = domain;
        targets[name] = {
          .instance = name, .service = "quizmind", .address = name, .domain = domain, .slots = 16
        };
      }
    }
    this->Step(TargetsChanged{ targets });
    this->Step(EntriesChanged{
      { { "entry-1", { "", "hobart" } }, { "entry-2", { "10.0.0.2:1", "burnie" } } } });
  }

  void Step(const ForwardEvent& aEvent)
  {
    for (const ForwardEffect& effect : this->reducer.Step(aEvent, this->now)) {
      if (const auto* start = std::get_if<StartAttempt>(&effect)) {
        this->starts.push_back(*start);
        this->used.insert(this->domains.at(start->instance));
        for (const HelperAssignment& helper : start->helpers) {
          this->used.insert(this->domains.at(helper.address));
        }
      } else if (const auto* command = std::get_if<SendReservationCommand>(&effect)) {
        if (command->tokens > 0) {
          this->used.insert(this->domains.at(command->instance));
          this->reservations.push_back(*command);
        }
      } else if (const auto* response = std::get_if<SendResponse>(&effect)) {
        this->responses.push_back(*response);
      }
    }
  }

  // Sends a prompt and returns the domains that got a part of it.
  std::set<std::string> DomainsOf(std::uint32_t aTokens)
  {
    this->used.clear();
    this->Step(ForwardRequest{ .handle = ++this->lastHandle,
                               .path = "/x",
                               .host = kHost,
                               .body = MakeBody(""),
                               .promptTokens = aTokens,
                               .outputTokens = 100,
                               .fingerprint = this->lastHandle });
    return this->used;
  }

  ForwardReducer reducer;
  Instant now{ std::chrono::hours(1) };
  std::map<std::string, std::string> domains; // By target.
  std::vector<StartAttempt> starts;
  std::vector<SendReservationCommand> reservations;
  std::vector<SendResponse> responses;
  std::set<std::string> used;
  std::uint64_t lastHandle = 0;
};

EvacuationRead
Evacuate(const std::string& aDomain, std::uint64_t aOffset, bool aIsEvacuated = true)
{
  return { .changes = { { aDomain, aIsEvacuated } }, .position = { 1, aOffset } };
}

class EvacuationTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(EvacuationTest);
  CPPUNIT_TEST(RecordsNameTheirDomain);
  CPPUNIT_TEST(NewerViewWinsInAnyOrderOfArrival);
  CPPUNIT_TEST(EvacuatedDomainGetsNothing);
  CPPUNIT_TEST(RetriesAndReservationsLeaveTheDomain);
  CPPUNIT_TEST(CallersAreRefusedAtOnceWhenEveryDomainIsEvacuated);
  CPPUNIT_TEST(DomainWithoutTheStoreLearnsFromAnother);
  CPPUNIT_TEST(LaterEraWinsWhateverItsOffset);
  CPPUNIT_TEST(RestoreThatLosesAnEvacuationKeepsItForAWhile);
  CPPUNIT_TEST_SUITE_END();

public:
  void RecordsNameTheirDomain()
  {
    CPPUNIT_ASSERT(platform::DecodeEvacuatedDomain("evacuate/bag-a") == "bag-a");
    for (const char* other : { "config", "evacuate/", "evacuate", "xevacuate/a" }) {
      CPPUNIT_ASSERT_MESSAGE(other, !platform::DecodeEvacuatedDomain(other));
    }
  }

  // Guards against old responses of the store and late reports of peers that revive or revoke an
  // evacuation.
  void NewerViewWinsInAnyOrderOfArrival()
  {
    const bool holds = rc::check("newer view wins", [] {
      const auto flips = *rc::gen::container<std::vector<bool>>(8, rc::gen::arbitrary<bool>());
      // views[i] is what the topic says up to offset i.
      std::vector<EvacuationView> views(1);
      for (std::size_t i = 0; i < flips.size(); ++i) {
        EvacuationView next = views.back();
        next.position = { 1 + i / 4, i % 4 + 1 };
        const std::string domain = i % 2 == 0 ? "hobart" : "burnie";
        flips[i] ? (void)next.domains.insert(domain) : (void)next.domains.erase(domain);
        views.push_back(next);
      }
      EvacuatedDomains known;
      std::uint64_t newest = 0;
      for (const std::size_t at :
           *rc::gen::container<std::vector<std::size_t>>(rc::gen::inRange<std::size_t>(0, 9))) {
        const std::size_t from = *rc::gen::inRange<std::size_t>(0, newest + 1);
        if (*rc::gen::arbitrary<bool>() || at < from) {
          known.Adopt(views[at], Instant()); // A peer, or a listing.
        } else {
          EvacuationRead read{ .position = views[at].position }; // Records that follow each other.
          for (std::size_t i = from; i < at; ++i) {
            read.changes.push_back({ i % 2 == 0 ? "hobart" : "burnie", flips[i] });
          }
          known.ApplyRead(read, Instant());
        }
        newest = std::max<std::uint64_t>(newest, at);
        RC_ASSERT(known.View() == views[newest]);
      }
    });
    CPPUNIT_ASSERT(holds);
  }

  void EvacuatedDomainGetsNothing()
  {
    Entry entry;
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), entry.DomainsOf(250'000).size());
    entry.Step(Evacuate("hobart", 5));
    for (int i = 0; i < 6; ++i) {
      CPPUNIT_ASSERT(entry.DomainsOf(5'000) == std::set<std::string>{ "burnie" });
    }
    // Two domains at once are told apart, and a listing without a domain revokes its evacuation.
    entry.Step(
      EvacuationRead{ .isListing = true, .changes = { { "burnie", true } }, .position = { 1, 9 } });
    CPPUNIT_ASSERT(entry.DomainsOf(5'000) == std::set<std::string>{ "hobart" });
    // An old response of the store changes nothing; a newer record does.
    entry.Step(Evacuate("hobart", 5));
    entry.Step(Evacuate("burnie", 10, false));
    CPPUNIT_ASSERT(entry.reducer.Evacuations().domains.empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), entry.DomainsOf(250'000).size());
  }

  // Guards against work that was placed before the evacuation and is sent after it.
  void RetriesAndReservationsLeaveTheDomain()
  {
    Entry entry;
    entry.Step(Evacuate("burnie", 1));
    entry.DomainsOf(5'000);
    const StartAttempt first = entry.starts.back();
    entry.Step(Evacuate("burnie", 2, false));
    entry.Step(Evacuate("hobart", 3));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), entry.starts.size()); // Running work is left to end.
    entry.Step(AttemptEnd{ first.attempt, AttemptEndKind::Aborted, "test" });
    CPPUNIT_ASSERT_EQUAL(std::string("burnie"), entry.domains.at(entry.starts.back().instance));

    // Memory was reserved in both domains when one of them is evacuated.
    entry.Step(Evacuate("hobart", 4, false));
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), entry.DomainsOf(250'000).size());
    entry.Step(Evacuate("burnie", 5));
    entry.used.clear();
    for (const auto& command : std::exchange(entry.reservations, {})) {
      entry.Step(ReservationCommandEnd{ command.command, true, true, command.instance });
    }
    CPPUNIT_ASSERT(!entry.used.contains("burnie"));
  }

  void CallersAreRefusedAtOnceWhenEveryDomainIsEvacuated()
  {
    Entry entry;
    entry.Step(Evacuate("hobart", 1));
    entry.Step(Evacuate("burnie", 2));
    CPPUNIT_ASSERT(entry.DomainsOf(5'000).empty());
    CPPUNIT_ASSERT_EQUAL(503, entry.responses.back().status);
    CPPUNIT_ASSERT(entry.responses.back().retryAfter.has_value());
  }

  // Guards against entries that ignore the operators for good after the store was restored from an
  // older copy, as they know a higher offset of before.
  void LaterEraWinsWhateverItsOffset()
  {
    Entry entry;
    entry.Step(Evacuate("hobart", 8));
    entry.Step(Evacuate("hobart", 9, false));
    entry.Step(EvacuationRead{ .isListing = true, .position = { 2, 3 } });
    entry.Step(EvacuationRead{ .changes = { { "burnie", true } }, .position = { 2, 4 } });
    CPPUNIT_ASSERT(entry.DomainsOf(5'000) == std::set<std::string>{ "hobart" });
    // Neither a late response nor the report of an entry that has not seen the restore undoes it.
    entry.Step(Evacuate("hobart", 10));
    entry.Step(PeerEvacuationReport{ "10.0.0.2:1", { { 1, 11 }, { "hobart" } } });
    CPPUNIT_ASSERT(entry.DomainsOf(5'000) == std::set<std::string>{ "hobart" });
  }

  // Guards against work for a domain whose evacuation was acknowledged before the restore and is
  // not written again yet.
  void RestoreThatLosesAnEvacuationKeepsItForAWhile()
  {
    const EvacuationRead restored{ .isListing = true, .position = { 2, 3 } };
    const auto rewrite = [](bool aIsEvacuated) {
      return EvacuationRead{ .changes = { { "hobart", aIsEvacuated } }, .position = { 2, 4 } };
    };
    // The prompt is so long that it uses both domains when it may.
    const auto isUsed = [&](std::optional<bool> aRewrite, milliseconds aDelay) {
      Entry entry;
      entry.Step(Evacuate("hobart", 9));
      entry.Step(restored);
      CPPUNIT_ASSERT(entry.reducer.Evacuations().domains.empty()); // Nobody else is told.
      if (aRewrite) {
        entry.Step(rewrite(*aRewrite));
      }
      entry.now += aDelay;
      entry.Step(Wake{});
      return entry.DomainsOf(250'000).contains("hobart");
    };
    CPPUNIT_ASSERT(!isUsed(std::nullopt, milliseconds(2'000)));
    CPPUNIT_ASSERT(isUsed(std::nullopt, milliseconds(4'000)));
    CPPUNIT_ASSERT(!isUsed(true, milliseconds(4'000)));
    CPPUNIT_ASSERT(isUsed(false, milliseconds(0)));
  }

  // The store turns all entries of a domain away while it serves the operators.
  void DomainWithoutTheStoreLearnsFromAnother()
  {
    Entry reader;
    reader.Step(Evacuate("hobart", 7));
    Entry cutOff;
    Envelope sent{ .from = "10.0.0.2:1",
                   .message = DomainLoadReport{ .domain = "burnie",
                                                .reporter = "10.0.0.2:1",
                                                .entries = 1,
                                                .evacuations = reader.reducer.Evacuations() } };
    std::string reason;
    const auto received = DecodeHeader(EncodeHeader(sent), reason);
    CPPUNIT_ASSERT_MESSAGE(reason, received.has_value());
    cutOff.Step(std::get<DomainLoadReport>(received->message));
    CPPUNIT_ASSERT(cutOff.DomainsOf(5'000) == std::set<std::string>{ "burnie" });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EvacuationTest);

} // namespace
} // namespace sycamorepost
