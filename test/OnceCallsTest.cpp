// Tests of non-idempotent calls. A simulation runs two sidecars on one log under seeded schedules
// of delays, lost responses, log outages, process pauses and restarts. Under every schedule a key
// must be executed at most once, and an attempt that was refused must not be executed.
#include <array>
#include <iostream>
#include <random>
#include <set>

#include <cppunit/extensions/HelperMacros.h>

#include "sycamorepost/IdempotencyKey.h"
#include "sycamorepost/KeyLedger.h"
#include "sycamorepost/SidecarReducer.h"

namespace sycamorepost {
namespace {

constexpr int kSeeds = 400;
constexpr int kSteps = 1500;
constexpr const char* kEntry = "entry";

// An event that was sent to a sidecar and not yet delivered.
struct PendingEvent
{
  std::size_t sidecar = 0;
  int generation = 0; // The receiver's start count when it was sent; a restart loses it.
  SidecarEvent event;
  Instant due;
};

// Simulates two sidecars, their log and their target under the schedule of one seed.
class CallSimulation
{
public:
  explicit CallSimulation(std::uint64_t aSeed)
    : random(aSeed)
  {
    this->Restart(0);
    this->Restart(1);
  }

  void Run()
  {
    for (int step = 0; step < kSteps; ++step) {
      this->now += std::chrono::milliseconds(this->random() % 20);
      this->InjectRandomEvents();
      this->DeliverDue();
    }
    // Faults end, and all messages in flight are delivered.
    this->injectsFaults = false;
    this->pausedUntil = {};
    for (int step = 0; step < 600; ++step) {
      this->now += std::chrono::milliseconds(20);
      this->DeliverDue();
      this->Step(0, Wake{});
      this->Step(1, Wake{});
    }
  }

  std::map<std::string, int> executions;                  // Calls that the target ran, by key.
  std::map<std::uint64_t, std::string> attemptKeys;       // By attempt id.
  std::map<std::uint64_t, Outcome> outcomes;              // By attempt id.
  std::map<std::string, std::set<std::string>> responses; // Distinct bodies, by key.

private:
  bool Chance(int aPercent) { return static_cast<int>(this->random() % 100) < aPercent; }

  void Restart(std::size_t aIndex)
  {
    SidecarConfig config;
    config.name = "bookings-" + std::to_string(aIndex);
    config.address = config.name;
    config.pool = "bookings";
    config.kind = TargetKind::Service;
    config.incarnation = this->random();
    ++this->generations[aIndex];
    this->sidecars[aIndex] = std::make_unique<SidecarReducer>(config);
  }

  void InjectRandomEvents()
  {
    if (this->Chance(20)) {
      this->SendProbe(this->random() % 2, "key-" + std::to_string(this->random() % 6));
    }
    if (this->Chance(1)) {
      this->Restart(this->random() % 2);
    }
    if (this->Chance(1)) {
      this->pausedUntil[this->random() % 2] =
        this->now + std::chrono::milliseconds(this->random() % 8000);
    }
    if (this->Chance(1)) {
      this->logOutageUntil = this->now + std::chrono::milliseconds(this->random() % 3000);
    }
    this->Step(this->random() % 2, Wake{});
  }

  void SendProbe(std::size_t aSidecar, const std::string& aKey)
  {
    ProbeRequest request;
    request.probe = ++this->sequence;
    request.shape.remainingMs = 3000;
    this->probeKeys[request.probe] = aKey;
    this->DeliverLater(aSidecar, this->MakeReceived(request));
  }

  MessageReceived MakeReceived(Message aMessage)
  {
    return { Envelope{ kEntry, 1, 0, std::move(aMessage), MakeBody("body") } };
  }

  // Schedules an event for delivery after a random delay.
  void DeliverLater(std::size_t aSidecar, SidecarEvent aEvent, int aMaxDelayMs = 60)
  {
    const auto delay = std::chrono::milliseconds(this->random() % aMaxDelayMs);
    this->pendingEvents.push_back(
      { aSidecar, this->generations[aSidecar], std::move(aEvent), this->now + delay });
  }

  void DeliverDue()
  {
    for (std::size_t i = 0; i < this->pendingEvents.size();) {
      PendingEvent& next = this->pendingEvents[i];
      if (next.due > this->now || this->pausedUntil[next.sidecar] > this->now) {
        ++i;
        continue;
      }
      const PendingEvent item = std::move(next);
      this->pendingEvents.erase(this->pendingEvents.begin() + static_cast<std::ptrdiff_t>(i));
      if (item.generation == this->generations[item.sidecar]) {
        this->Step(item.sidecar, item.event);
      }
    }
  }

  void Step(std::size_t aSidecar, const SidecarEvent& aEvent)
  {
    if (this->pausedUntil[aSidecar] > this->now) {
      return;
    }
    for (SidecarEffect& effect : this->sidecars[aSidecar]->Step(aEvent, this->now)) {
      if (auto* send = std::get_if<SendMessage>(&effect)) {
        this->OnSend(aSidecar, *send);
      } else if (auto* append = std::get_if<LogAppend>(&effect)) {
        this->OnAppend(aSidecar, *append);
      } else if (auto* read = std::get_if<LogRead>(&effect)) {
        this->OnRead(aSidecar, *read);
      } else if (auto* call = std::get_if<ServiceCall>(&effect)) {
        this->OnCall(aSidecar, *call);
      }
    }
  }

  void OnSend(std::size_t aSidecar, const SendMessage& aSend)
  {
    if (const auto* reply = std::get_if<ProbeReply>(&aSend.message)) {
      if (reply->verdict == ProbeVerdict::Granted && !(this->injectsFaults && this->Chance(10))) {
        this->SendStart(aSidecar, *reply);
      }
    } else if (const auto* refused = std::get_if<Refused>(&aSend.message)) {
      this->outcomes[refused->attempt] = Outcome::NotRun;
    } else if (const auto* finished = std::get_if<Finished>(&aSend.message)) {
      this->outcomes[finished->attempt] = finished->outcome;
      if (finished->outcome == Outcome::Done) {
        this->responses[this->attemptKeys[finished->attempt]].insert(*aSend.body);
      }
    }
  }

  void SendStart(std::size_t aSidecar, const ProbeReply& aReply)
  {
    Start start;
    start.ticket = aReply.ticket;
    start.attempt = ++this->sequence;
    start.pool = "bookings";
    start.method = "POST";
    start.path = "/bookings";
    start.key = this->probeKeys[aReply.probe];
    start.requestId = start.key; // OnCall counts executions by this id.
    start.shards = 1;
    start.shape.remainingMs = 3000;
    this->attemptKeys[start.attempt] = start.key;
    this->DeliverLater(aSidecar, this->MakeReceived(start), 2000);
  }

  void OnAppend(std::size_t aSidecar, const LogAppend& aAppend)
  {
    LogAppendEnded ended{ aAppend.stream, aAppend.recordId, AppendEndKind::Appended, 0 };
    if (this->injectsFaults && this->now < this->logOutageUntil) {
      ended.kind = this->Chance(50) ? AppendEndKind::Refused : AppendEndKind::Lost;
      // A lost append may still be stored. It is stored immediately here, because a reader cannot
      // distinguish that from a later store.
      if (ended.kind == AppendEndKind::Lost && this->Chance(50)) {
        this->log.push_back(aAppend.data);
      }
      this->DeliverLater(aSidecar, ended);
      return;
    }
    ended.offset = this->log.size();
    this->log.push_back(aAppend.data);
    if (this->injectsFaults && this->Chance(20)) {
      ended.kind = AppendEndKind::Lost;
    }
    this->DeliverLater(aSidecar, ended);
  }

  void OnRead(std::size_t aSidecar, const LogRead& aRead)
  {
    LogReadEnded ended;
    ended.stream = aRead.stream;
    ended.ok = !this->injectsFaults || this->now >= this->logOutageUntil;
    if (ended.ok) {
      ended.records.assign(this->log.begin() + static_cast<std::ptrdiff_t>(aRead.from),
                           this->log.end());
      ended.next = this->log.size();
      ended.atEnd = true;
    }
    this->DeliverLater(aSidecar, ended);
  }

  void OnCall(std::size_t aSidecar, const ServiceCall& aCall)
  {
    ServiceEnded ended;
    ended.call = aCall.call;
    ended.kind = ServiceEndKind::Responded;
    const int faultRoll = static_cast<int>(this->random() % 10);
    if (this->injectsFaults && faultRoll == 0) {
      ended.kind = ServiceEndKind::NotConnected;
    } else {
      const int executionNumber = ++this->executions[aCall.requestId];
      ended.kind =
        this->injectsFaults && faultRoll == 1 ? ServiceEndKind::Lost : ServiceEndKind::Responded;
      ended.status = 200;
      ended.body =
        "effect " + std::to_string(executionNumber) + " of " + std::to_string(++this->sequence);
    }
    this->DeliverLater(aSidecar, ended, 300);
  }

  std::mt19937_64 random;
  Instant now{ std::chrono::hours(1) };
  std::array<std::unique_ptr<SidecarReducer>, 2> sidecars;
  std::array<int, 2> generations{}; // How often each sidecar was started.
  std::array<Instant, 2> pausedUntil{};
  Instant logOutageUntil;
  bool injectsFaults = true;
  std::vector<std::string> log;
  std::vector<PendingEvent> pendingEvents;
  std::map<std::uint64_t, std::string> probeKeys;
  std::uint64_t sequence = 0;
};

class OnceCallsTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(OnceCallsTest);
  CPPUNIT_TEST(AKeyIsExecutedAtMostOnceUnderAnySchedule);
  CPPUNIT_TEST(TheFirstIntentThatIsNotVoidOwnsItsKey);
  CPPUNIT_TEST(KeyRecordsAreDecodedAsEncoded);
  CPPUNIT_TEST(KeysContainTheirCreationTime);
  CPPUNIT_TEST_SUITE_END();

public:
  void AKeyIsExecutedAtMostOnceUnderAnySchedule()
  {
    std::cout << "seeds 1 to " << kSeeds << ": ";
    int done = 0;
    int notRun = 0;
    int unknown = 0;
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      CallSimulation simulation(seed);
      simulation.Run();
      for (const auto& [key, count] : simulation.executions) {
        CPPUNIT_ASSERT_EQUAL_MESSAGE("seed " + std::to_string(seed) + " " + key, 1, count);
      }
      for (const auto& [key, responses] : simulation.responses) {
        CPPUNIT_ASSERT_EQUAL_MESSAGE("seed " + std::to_string(seed) + " responses of " + key,
                                     std::size_t(1),
                                     responses.size());
      }
      for (const auto& [attempt, outcome] : simulation.outcomes) {
        done += outcome == Outcome::Done ? 1 : 0;
        notRun += outcome == Outcome::NotRun ? 1 : 0;
        unknown += outcome == Outcome::Unknown ? 1 : 0;
      }
    }
    std::cout << done << " done, " << notRun << " not-run, " << unknown << " unknown; ";
    CPPUNIT_ASSERT(done > 0 && notRun > 0 && unknown > 0);
  }

  void TheFirstIntentThatIsNotVoidOwnsItsKey()
  {
    KeyLedger ledger;
    const Instant now{ std::chrono::hours(1) };
    ledger.Apply(KeyIntent{ "1:1", "key", "digest" }, now);
    ledger.Apply(KeyIntent{ "2:1", "key", "digest" }, now);
    CPPUNIT_ASSERT_EQUAL(std::string("1:1"), ledger.Find("key")->intent.id);

    // A result of an intent that does not own the key is ignored.
    ledger.Apply(KeyResult{ "2:1", "key", 200, {}, "two", true }, now);
    CPPUNIT_ASSERT(!ledger.Find("key")->result);

    // A voided intent frees the key and stays void when its record is applied again.
    ledger.Apply(KeyVoid{ "1:1", "key" }, now);
    CPPUNIT_ASSERT(!ledger.Find("key"));
    ledger.Apply(KeyIntent{ "1:1", "key", "digest" }, now);
    CPPUNIT_ASSERT(!ledger.Find("key"));
    ledger.Apply(KeyIntent{ "2:1", "key", "digest" }, now);
    CPPUNIT_ASSERT_EQUAL(std::string("2:1"), ledger.Find("key")->intent.id);

    // A key is dropped after its retention time, not before.
    ledger.Prune(now);
    CPPUNIT_ASSERT(ledger.Find("key"));
    ledger.Prune(now + std::chrono::seconds(1));
    CPPUNIT_ASSERT(!ledger.Find("key"));
  }

  void KeyRecordsAreDecodedAsEncoded()
  {
    const std::vector<KeyRecord> records{ KeyIntent{ "1:1", "key", "digest" },
                                          KeyResult{
                                            "1:1", "key", 201, { { "A", "b" } }, "\xff", true },
                                          KeyVoid{ "1:2", "other" } };
    CPPUNIT_ASSERT(DecodeKeyRecords(EncodeKeyRecords(records)) == records);
    CPPUNIT_ASSERT(!DecodeKeyRecords("garbage"));
  }

  void KeysContainTheirCreationTime()
  {
    const auto createdAt = UuidV7Time("018f0000-0000-7000-8000-000000000000");
    CPPUNIT_ASSERT(createdAt.has_value());
    CPPUNIT_ASSERT_EQUAL(std::int64_t(0x018f00000000), *createdAt);
    CPPUNIT_ASSERT(!UuidV7Time("018f0000-0000-4000-8000-000000000000").has_value());
    CPPUNIT_ASSERT(LedgerKey("a", "bc") != LedgerKey("ab", "c"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OnceCallsTest);

} // namespace
} // namespace sycamorepost
