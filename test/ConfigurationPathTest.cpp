// End-to-end tests of how a new version of the operator's configuration reaches a forwarding entry,
// from the store and from peers. The entries are real processes; the store is a stand-in, and so is
// the peer.
#include <csignal>
#include <thread>

#include <boost/asio/executor_work_guard.hpp>
#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

#include "harness/PlatformDeployment.h"
#include "net/Compression.h"
#include "net/PeerBus.h"

namespace sycamorepost {
namespace {

using harness::kAwaitTimeout;
using harness::MakePlatformConfiguration;
using harness::MakePlatformRoute;
using harness::PlatformDeployment;
using harness::WaitUntil;
using nlohmann::json;
using std::chrono::milliseconds;

// A version must be in force within this time of its acknowledgement by the store. The entries run
// with the default bound of two seconds; the rest is for a slow machine.
constexpr milliseconds kChangeBound{ 3'000 };

// Returns a configuration with the route /look/, which version 1 lacks, and some unused routes.
std::string
MakeConfigurationWithLook(std::uint64_t aVersion, int aUnusedRoutes = 0)
{
  json configuration = MakePlatformConfiguration(aVersion);
  configuration["Routes"].push_back(MakePlatformRoute("look", "/look/", "idempotent", "ledger"));
  for (int i = 0; i < aUnusedRoutes; ++i) {
    const std::string name = "unused-" + std::to_string(i);
    const std::string path = "/" + name + "/";
    configuration["Routes"].push_back(
      MakePlatformRoute(name.c_str(), path.c_str(), "idempotent", "ledger"));
  }
  return configuration.dump();
}

// A stand-in of another entry. Its bus runs only within Run().
class Peer
{
public:
  Peer(const std::string& aAddress, std::string aEntry)
    : entry(std::move(aEntry))
    , bus(
        this->context,
        aAddress,
        1,
        [this](const Envelope& aEnvelope) { this->OnMessage(aEnvelope); },
        [](const std::string& /*aPeer*/) {})
  {
    std::string reason;
    CPPUNIT_ASSERT_MESSAGE(reason, this->bus.Listen(aAddress, reason));
  }

  // Reports to the entry that this peer has a version of the configuration.
  void ReportVersion(std::uint64_t aVersion)
  {
    EntryLoad load;
    load.version = aVersion;
    this->bus.Send(this->entry, 0, load, nullptr);
  }

  void SendConfiguration(std::uint64_t aVersion, const std::string& aText)
  {
    this->bus.Send(this->entry, 0, RulesResponse{ aVersion, 0 }, MakeBody(aText));
  }

  void RequestConfiguration() { this->bus.Send(this->entry, 0, RulesRequest{ 0 }, nullptr); }

  void Run(milliseconds aDuration) { this->context.run_for(aDuration); }

  // How often the entry has requested the configuration.
  int Requests() const { return this->requests; }

  // The configuration that the entry has sent, as it was sent; empty before.
  const std::string& Received() const { return this->received; }

private:
  void OnMessage(const Envelope& aEnvelope)
  {
    this->requests += std::holds_alternative<RulesRequest>(aEnvelope.message) ? 1 : 0;
    if (std::holds_alternative<RulesResponse>(aEnvelope.message)) {
      this->received = *aEnvelope.body;
    }
  }

  asio::io_context context{ 1 };
  asio::executor_work_guard<asio::io_context::executor_type> work{ this->context.get_executor() };
  std::string entry;
  PeerBus bus;
  int requests = 0;
  std::string received;
};

class ConfigurationPathTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ConfigurationPathTest);
  CPPUNIT_TEST(ReportsOfOneVersionLeadToOneRequest);
  CPPUNIT_TEST(PeersGetSmallCopiesOfALargeConfiguration);
  CPPUNIT_TEST(HungReadDelaysAVersionByLessThanTheBound);
  CPPUNIT_TEST(EntryThatLagsReadsOnlyTheNewestVersion);
  CPPUNIT_TEST(EndlessResponseIsAbandoned);
  CPPUNIT_TEST(OneEntryOfADomainReadsTheStore);
  CPPUNIT_TEST(LossOfTheReaderDelaysChangesByLessThanTheBound);
  CPPUNIT_TEST(ListingThatMissedARecordIsNoticed);
  CPPUNIT_TEST(OddEntriesAmongTheTargetsAreSkipped);
  CPPUNIT_TEST(EvacuationAfterARestoreIsInForce);
  CPPUNIT_TEST(RecordsAtReusedOffsetsAreRead);
  CPPUNIT_TEST(EntriesRegisterAgainAfterARestore);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against one transfer of the configuration per load report: entries decoded hundreds of
  // copies of one version and applied the next one seconds late.
  void ReportsOfOneVersionLeadToOneRequest()
  {
    PlatformDeployment deployment;
    Peer peer(deployment.EntryIp(9) + ":7000", deployment.PeerAddress(1));

    // The peer has a version that the entry cannot read, as the store does not respond.
    deployment.SetFaults(deployment.StoreAddress(), { { "outage", true } });
    static constexpr int kReports = 40;
    for (int i = 0; i < kReports; ++i) {
      peer.ReportVersion(9);
      peer.Run(milliseconds(20));
    }
    CPPUNIT_ASSERT(peer.Requests() <= 1);
    CPPUNIT_ASSERT(WaitUntil(kChangeBound, [&] {
      peer.Run(milliseconds(20));
      return peer.Requests() == 1;
    }));

    // The response is applied, and a further report of the version leads to no request.
    peer.SendConfiguration(9, MakeConfigurationWithLook(9));
    peer.Run(milliseconds(200));
    CPPUNIT_ASSERT(WaitUntil(
      kChangeBound, [&] { return deployment.SendRequest(1, "/look/x", "r1", 0).status == 200; }));
    peer.ReportVersion(9);
    peer.Run(milliseconds(1'500));
    CPPUNIT_ASSERT_EQUAL(1, peer.Requests());

    // A response without effect does not keep the entry from requesting the next version.
    peer.SendConfiguration(9, MakeConfigurationWithLook(9));
    peer.ReportVersion(10);
    peer.Run(milliseconds(1'500));
    CPPUNIT_ASSERT_EQUAL(2, peer.Requests());
  }

  // Guards against entries whose callers wait while copies of a large configuration fill the link.
  void PeersGetSmallCopiesOfALargeConfiguration()
  {
    PlatformDeployment deployment;
    Peer peer(deployment.EntryIp(9) + ":7000", deployment.PeerAddress(1));
    const std::string text = MakeConfigurationWithLook(2, 1'500);
    deployment.Publish("keyed.op", "config", text);
    CPPUNIT_ASSERT(WaitUntil(
      kChangeBound, [&] { return deployment.SendRequest(1, "/look/x", "r1", 0).status == 200; }));
    CPPUNIT_ASSERT(WaitUntil(kAwaitTimeout, [&] {
      peer.RequestConfiguration();
      peer.Run(milliseconds(100));
      return !peer.Received().empty();
    }));
    CPPUNIT_ASSERT(peer.Received().size() < text.size() / 8);
    CPPUNIT_ASSERT(Decompress(peer.Received(), text.size()) == text);

    // An entry that the store does not serve takes such a copy.
    deployment.SetFaults(deployment.StoreAddress(), { { "outage", true } });
    peer.ReportVersion(9);
    peer.SendConfiguration(9, Compress(MakeConfigurationWithLook(9, 1'500)));
    CPPUNIT_ASSERT(WaitUntil(kChangeBound, [&] {
      peer.Run(milliseconds(20));
      return harness::FetchDump(deployment.EntryIp(1) + ":7001").value("configuration", 0U) == 9U;
    }));
  }

  // Guards against a stale entry after a partial outage: the store received a read and never
  // responded, and the entry waited for it for longer than a change may take.
  void HungReadDelaysAVersionByLessThanTheBound()
  {
    PlatformDeployment deployment;
    deployment.entries[1].Kill(); // No peer can help.
    deployment.SetFaults(deployment.StoreAddress(), { { "hang_reads_of", "keyed.op" } });
    CPPUNIT_ASSERT(WaitUntil(kAwaitTimeout, [&] { return deployment.HungReads() > 0; }));
    deployment.SetFaults(deployment.StoreAddress(), json::object());
    deployment.Publish("keyed.op", "config", MakeConfigurationWithLook(2));
    CPPUNIT_ASSERT(WaitUntil(
      kChangeBound, [&] { return deployment.SendRequest(1, "/look/x", "r1", 0).status == 200; }));
  }

  // Guards against an entry that reads every version that it missed: with a large configuration and
  // versions in quick succession the reads took longer than the versions were apart.
  void EntryThatLagsReadsOnlyTheNewestVersion()
  {
    PlatformDeployment deployment;
    static constexpr int kUnusedRoutes = 1'500;
    static constexpr std::uint64_t kVersions = 20;
    const std::size_t bytes = MakeConfigurationWithLook(2, kUnusedRoutes).size();
    deployment.entries[1].Kill();
    deployment.entries[0].Signal(SIGSTOP);
    for (std::uint64_t version = 2; version <= kVersions; ++version) {
      deployment.Publish("keyed.op", "config", MakeConfigurationWithLook(version, kUnusedRoutes));
    }
    const std::uint64_t servedBefore = deployment.BytesServed("keyed.op");
    deployment.entries[0].Signal(SIGCONT);
    CPPUNIT_ASSERT(WaitUntil(kAwaitTimeout, [&] {
      return harness::FetchDump(deployment.EntryIp(1) + ":7001").value("configuration", 0U) ==
             kVersions;
    }));
    // One record that reveals the lag, and the newest version in Base64.
    CPPUNIT_ASSERT(deployment.BytesServed("keyed.op") - servedBefore < 3 * bytes);
  }

  // Guards against an entry that stores the bytes of a response without end until its memory is
  // used up, and never reads the configuration again.
  void EndlessResponseIsAbandoned()
  {
    PlatformDeployment deployment;
    deployment.entries[1].Kill();
    deployment.SetFaults(deployment.StoreAddress(), { { "endless_reads_of", "keyed.op" } });
    CPPUNIT_ASSERT(WaitUntil(kAwaitTimeout, [&] { return deployment.AbandonedReads() >= 3; }));
    CPPUNIT_ASSERT(deployment.entries[0].IsRunning());
    deployment.SetFaults(deployment.StoreAddress(), json::object());
    deployment.Publish("keyed.op", "config", MakeConfigurationWithLook(2));
    CPPUNIT_ASSERT(WaitUntil(
      kChangeBound, [&] { return deployment.SendRequest(1, "/look/x", "r1", 0).status == 200; }));
  }

  // Guards against calls to the store that grow with the entries.
  void OneEntryOfADomainReadsTheStore()
  {
    PlatformDeployment deployment;
    std::this_thread::sleep_for(milliseconds(3'000)); // Both have heard of each other.
    const std::uint64_t before = deployment.StoreReads("keyed.servers");
    std::this_thread::sleep_for(milliseconds(4'500));
    // One read of the registrations each 0.9 seconds, and one for what is timed unluckily.
    CPPUNIT_ASSERT(deployment.StoreReads("keyed.servers") - before <= 6);

    // Both know changes of either topic in time.
    deployment.Publish("keyed.op", "config", MakeConfigurationWithLook(2));
    deployment.SetFaults(deployment.TargetAddress(1), { { "draining", true } });
    for (int entry = 1; entry <= 2; ++entry) {
      CPPUNIT_ASSERT(WaitUntil(kChangeBound, [&] {
        return deployment.SendRequest(entry, "/look/x", "r1", 0).status == 200;
      }));
      CPPUNIT_ASSERT(WaitUntil(kChangeBound, [&] { return IsDraining(deployment, entry); }));
    }
  }

  // Guards against entries that wait for the reports of a neighbour which is frozen or killed.
  void LossOfTheReaderDelaysChangesByLessThanTheBound()
  {
    for (const int signal : { SIGSTOP, SIGKILL }) {
      for (int lost = 1; lost <= 2; ++lost) {
        PlatformDeployment deployment;
        std::this_thread::sleep_for(milliseconds(2'500));
        deployment.entries[lost - 1].Signal(signal);
        deployment.Publish("keyed.op", "config", MakeConfigurationWithLook(2));
        deployment.SetFaults(deployment.TargetAddress(1), { { "draining", true } });
        const int entry = 3 - lost;
        CPPUNIT_ASSERT(WaitUntil(kChangeBound, [&] {
          return deployment.SendRequest(entry, "/look/x", "r1", 0).status == 200 &&
                 IsDraining(deployment, entry);
        }));
        deployment.entries[lost - 1].Signal(SIGCONT);
      }
    }
  }

  // Guards against a draining target that stays in use at an entry whose listing was made before
  // the target's last record and ended after it: the reader of the domain does not report the
  // target again.
  void ListingThatMissedARecordIsNoticed()
  {
    for (int late = 1; late <= 2; ++late) {
      PlatformDeployment deployment;
      deployment.entries[late - 1].Kill();
      deployment.SetFaults(deployment.StoreAddress(), { { "old_listings_of", "keyed.servers" } });
      deployment.SetFaults(deployment.TargetAddress(1), { { "draining", true } });
      const int other = 3 - late;
      CPPUNIT_ASSERT(WaitUntil(kAwaitTimeout, [&] { return IsDraining(deployment, other); }));
      std::this_thread::sleep_for(milliseconds(4'000)); // No report lists the change any more.
      deployment.entries[late - 1] = deployment.StartEntry(late);
      CPPUNIT_ASSERT(WaitUntil(kAwaitTimeout, [&] {
        const json dump = harness::FetchDump(deployment.EntryIp(late) + ":7001");
        return dump.is_object() && dump.contains("targets") && dump["targets"].size() == 4;
      }));
      deployment.SetFaults(deployment.StoreAddress(), json::object());
      CPPUNIT_ASSERT(WaitUntil(kChangeBound, [&] { return IsDraining(deployment, late); }));
    }
  }

  // Guards against entries that end, or stop following the targets, because of a registration that
  // another writer left: deeply nested, with numbers out of range, or under an odd name.
  void OddEntriesAmongTheTargetsAreSkipped()
  {
    PlatformDeployment deployment;
    deployment.SetFaults(deployment.StoreAddress(), { { "listing_page", 1 } });
    const json valid{ { "Service", "quizmind" }, { "Address", deployment.TargetAddress(1) },
                      { "Zone", "hobart" },      { "Slots", 16 },
                      { "State", "ready" },      { "born", 1 } };
    const auto with = [&valid](const char* aName, const json& aValue) {
      json changed = valid;
      changed[aName] = aValue;
      return changed.dump();
    };
    static constexpr std::size_t kDepth = 100'000;
    const std::string nested = std::string(kDepth, '[') + std::string(kDepth, ']');
    std::string nestedField = valid.dump();
    nestedField.insert(1, "\"More\":" + nested + ",");
    std::string overflow = valid.dump();
    overflow.insert(1, "\"Seq\":1e999999,");
    const std::string ip =
      deployment.TargetAddress(1).substr(0, deployment.TargetAddress(1).find(':'));
    const std::vector<std::pair<std::string, std::string>> odd{
      { "a-nested", nested },
      { "a-unfinished", std::string(kDepth, '{') },
      { "a-overflow", overflow },
      { "a-slots", with("Slots", -1) },
      { "a-many-slots", with("Slots", 1e300) },
      { "a-port", with("Address", ip + ":99999") },
      { "a-negative-port", with("Address", ip + ":-1") },
      { "a-zero-port", with("Address", ip + ":0") },
      { "a-bytes", "\xff\xfe\x01" },
      { "a name & part=1#%zz?", valid.dump() },
      { "b\r\nX-Injected: 1", valid.dump() },
    };
    for (const auto& [name, value] : odd) {
      deployment.Publish("keyed.servers", name, value);
    }
    // A registration with more than it needs is used all the same.
    deployment.Publish("keyed.servers", "engine-nested", nestedField);
    const auto knowsTargets = [&deployment](int aEntry) {
      const json dump = harness::FetchDump(deployment.EntryIp(aEntry) + ":7001");
      return dump.is_object() && dump.contains("targets") && dump["targets"].size() == 5;
    };
    // One entry reads on, the other one starts and lists all.
    deployment.entries[1].Kill();
    deployment.entries[1] = deployment.StartEntry(2);
    for (int entry = 1; entry <= 2; ++entry) {
      CPPUNIT_ASSERT(WaitUntil(kAwaitTimeout, [&] { return knowsTargets(entry); }));
      CPPUNIT_ASSERT(deployment.entries[entry - 1].IsRunning());
    }
    deployment.SetFaults(deployment.TargetAddress(1), { { "draining", true } });
    for (int entry = 1; entry <= 2; ++entry) {
      CPPUNIT_ASSERT(WaitUntil(kChangeBound, [&] { return IsDraining(deployment, entry); }));
      CPPUNIT_ASSERT_EQUAL(
        200, deployment.SendRequest(entry, "/book/x", "r" + std::to_string(entry), 0).status);
    }
  }

  // Guards against entries that order records of a restored store by their offsets: they ignored
  // each new evacuation whose offset had been used before the restore.
  void EvacuationAfterARestoreIsInForce()
  {
    PlatformDeployment deployment;
    for (int i = 0; i < 3; ++i) {
      deployment.Publish("keyed.op", "evacuate/hobart", "{}");
      deployment.Publish("keyed.op", "evacuate/hobart", "");
    }
    deployment.Publish("keyed.op", "evacuate/burnie", "{}");
    for (int entry = 1; entry <= 2; ++entry) {
      CPPUNIT_ASSERT(WaitUntil(
        kChangeBound, [&] { return EvacuatedDomains(deployment, entry) == json{ "burnie" }; }));
    }
    deployment.SetFaults(deployment.StoreAddress(), { { "restore_to", { { "keyed.op", 1 } } } });
    deployment.Publish("keyed.op", "evacuate/hobart", "{}");
    for (int entry = 1; entry <= 2; ++entry) {
      CPPUNIT_ASSERT(WaitUntil(kChangeBound, [&] {
        const json domains = EvacuatedDomains(deployment, entry);
        return std::find(domains.begin(), domains.end(), "hobart") != domains.end();
      }));
    }
  }

  // Guards against entries that read on at an offset that was given out again, and never read the
  // records before it.
  void RecordsAtReusedOffsetsAreRead()
  {
    PlatformDeployment deployment;
    deployment.entries[1].Kill();
    const auto publish = [&deployment](const char* aName, const char* aState) {
      const json registration{ { "Service", "quizmind" }, { "Address", "127.0.0.1:9" },
                               { "Zone", "hobart" },      { "Slots", 16 },
                               { "State", aState },       { "born", 1 } };
      deployment.Publish("keyed.servers", aName, registration.dump());
    };
    const auto stateOf = [&deployment](const char* aName) {
      const json dump = harness::FetchDump(deployment.EntryIp(1) + ":7001");
      return dump.at("targets").contains(aName) ? dump["targets"][aName].at("draining").dump()
                                                : std::string();
    };
    publish("extra", "ready");
    CPPUNIT_ASSERT(WaitUntil(kAwaitTimeout, [&] { return stateOf("extra") == "false"; }));
    deployment.entries[0].Signal(SIGSTOP);
    deployment.SetFaults(deployment.StoreAddress(),
                         { { "restore_to", { { "keyed.servers", 0 } } } });
    publish("extra", "draining");
    static constexpr int kRecords = 200; // More than were lost.
    for (int i = 0; i < kRecords; ++i) {
      publish("other", "ready");
    }
    deployment.entries[0].Signal(SIGCONT);
    CPPUNIT_ASSERT(WaitUntil(kChangeBound, [&] { return stateOf("extra") == "true"; }));
  }

  // Guards against entries that nobody knows who starts after a restore has lost their
  // registration.
  void EntriesRegisterAgainAfterARestore()
  {
    PlatformDeployment deployment;
    deployment.SetFaults(deployment.StoreAddress(),
                         { { "restore_to", { { "keyed.entries", 0 } } } });
    CPPUNIT_ASSERT(WaitUntil(kAwaitTimeout, [&] {
      const auto entries = deployment.StoreKeys("keyed.entries");
      return entries.contains("entry-1") && entries.contains("entry-2");
    }));
  }

private:
  static bool IsDraining(const PlatformDeployment& aDeployment, int aEntry)
  {
    const json dump = harness::FetchDump(aDeployment.EntryIp(aEntry) + ":7001");
    return dump.at("targets").at("engine-1").at("draining").get<bool>();
  }

  static json EvacuatedDomains(const PlatformDeployment& aDeployment, int aEntry)
  {
    const json dump = harness::FetchDump(aDeployment.EntryIp(aEntry) + ":7001");
    return dump.at("evacuated").at("domains");
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigurationPathTest);

} // namespace
} // namespace sycamorepost
