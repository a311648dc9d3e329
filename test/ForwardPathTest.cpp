// End-to-end tests of the platform's published protocol: forwarding entries, and target stand-ins
// that register themselves in the store stand-in, run as separate processes on loopback. The tests
// are the callers.
#include <csignal>
#include <filesystem>
#include <fstream>
#include <future>
#include <map>

#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

#include "harness/Cluster.h"
#include "platform/StoreClient.h"

namespace sycamorepost {
namespace {

using harness::Await;
using harness::FieldOf;
using harness::Process;
using nlohmann::json;
using std::chrono::milliseconds;

constexpr milliseconds kBound{ 15'000 };
constexpr std::uint64_t kEngineTokens = 300'000;
constexpr std::uint64_t kEvents = 12;
constexpr const char* kHost = "quiz.example";

json
MakeRoute(const char* aName,
          const char* aPath,
          const char* aKind,
          const char* aService,
          int aObjectiveMs = 3'000)
{
  return { { "Name", aName },        { "Host", kHost },       { "PathPrefix", aPath },
           { "Kind", aKind },        { "Service", aService }, { "TimeoutMs", 10'000 },
           { "MaxAttempts", 3 },     { "Resumable", true },   { "TargetLatencyMs", aObjectiveMs },
           { "TargetGapMs", 1'000 }, { "Priority", 1 } };
}

json
MakeConfiguration(std::uint64_t aVersion)
{
  const json engine{ { "step_ms", 0.85 },      { "read_per_s", 177'000.0 },
                     { "pairs_per_m", 0.184 }, { "Stride", 51 },
                     { "Slots", 16 },          { "KvCapacityTokens", kEngineTokens } };
  return { { "Version", aVersion },
           { "Routes",
             { MakeRoute("draft", "/draft/", "streaming", "quizmind"),
               MakeRoute("archive", "/archive/", "streaming", "quizmind", 20'000),
               MakeRoute("book", "/book/", "non_idempotent", "ledger") } },
           { "Services",
             { { { "Name", "quizmind" }, { "Engine", engine } }, { { "Name", "ledger" } } } },
           { "Tenants", { { { "Name", "derwent" }, { "ApiKeys", { "key-1" } } } } } };
}

// A stand-in of the users' platform: a store, three engines, a plain service and two entries.
class Platform
{
public:
  Platform()
  {
    this->directory = "run/platform-" + std::to_string(this->network);
    std::filesystem::remove_all(this->directory);
    std::filesystem::create_directories(this->directory);
    this->store = this->Start("store", "standin-store", { "--listen=" + this->Store() });
    this->Publish("keyed.op", "config", MakeConfiguration(1).dump());
    for (int i = 1; i <= 3; ++i) {
      this->AddTarget("engine-" + std::to_string(i), "quizmind", i, true);
    }
    this->AddTarget("ledger-1", "ledger", 4, false);
    for (int i = 1; i <= 2; ++i) {
      this->entries.push_back(this->StartEntry(i));
    }
    for (int i = 1; i <= 2; ++i) {
      CPPUNIT_ASSERT(Await(kBound, [&] {
        const json dump = harness::DumpOf(this->EntryIp(i) + ":7001");
        return dump.is_object() && dump.contains("targets") && dump["targets"].size() == 4;
      }));
    }
  }

  std::string Store() const { return this->Ip(1, 1) + ":7300"; }
  std::string EntryIp(int aIndex) const { return this->Ip(2, aIndex); }
  std::string TargetAddress(int aIndex) const { return this->Ip(3, aIndex) + ":7100"; }

  Process StartEntry(int aIndex)
  {
    const std::string name = "entry-" + std::to_string(aIndex);
    const std::string ip = this->EntryIp(aIndex);
    const std::string path = this->directory + "/" + name + ".toml";
    std::ofstream(path) << "[forward]\nname = \"" + name + "\"\ndomain = \"hobart\"\n" +
                             "http_address = \"" + ip + ":7080\"\nadmin_address = \"" + ip +
                             ":7001\"\npeer_address = \"" + ip + ":7000\"\nstore_address = \"" +
                             this->Store() + "\"\nretry_slack = 100\ndrain_delay = \"100ms\"\n";
    return this->Start(name, "sycamorepost-entry", { "--config", path });
  }

  // Appends a record to the store, as the operator does.
  void Publish(const std::string& aTopic, const std::string& aKey, const std::string& aValue)
  {
    CPPUNIT_ASSERT(Await(kBound, [&] {
      const HttpReply reply = harness::Request(this->Store(),
                                               "POST",
                                               "/log-append?Topic=" + aTopic + "&part=0",
                                               {},
                                               platform::EncodeRecord({ aKey, aValue }));
      return reply.Ok();
    }));
  }

  HttpReply Ask(int aEntry, const std::string& aPath, const std::string& aId, std::uint64_t aTokens)
  {
    std::vector<Field> fields{ { "Host", kHost },
                               { "Authorization", "Bearer key-1" },
                               { "X-Sycamorepost-Request-Id", aId } };
    if (aTokens > 0) {
      fields.emplace_back("X-Sycamorepost-Token-Counts", std::to_string(aTokens) + ",200");
    }
    return harness::Request(this->EntryIp(aEntry) + ":7080", "POST", aPath, fields, "body");
  }

  // Returns how often each request ran on any target, by request id.
  std::map<std::string, int> Runs() const
  {
    std::map<std::string, int> runs;
    std::ifstream file(this->directory + "/effects");
    for (std::string id; std::getline(file, id);) {
      ++runs[id];
    }
    return runs;
  }

  std::uint64_t ReservedTokens() const
  {
    std::uint64_t tokens = 0;
    for (int i = 1; i <= 3; ++i) {
      const HttpReply reply = harness::Request(this->TargetAddress(i), "GET", "/report");
      tokens += json::parse(reply.body).at("KvUsed").get<std::uint64_t>();
    }
    return tokens;
  }

  void SetFaults(const std::string& aAddress, const json& aFaults)
  {
    CPPUNIT_ASSERT(harness::Request(aAddress, "POST", "/faults", {}, aFaults.dump()).Ok());
  }

  Process store;
  std::vector<Process> targets;
  std::vector<Process> entries;

private:
  std::string Ip(int aGroup, int aIndex) const
  {
    return "127." + std::to_string(this->network) + "." + std::to_string(aGroup) + "." +
           std::to_string(aIndex);
  }

  Process Start(const std::string& aName,
                const std::string& aProgram,
                const std::vector<std::string>& aArguments)
  {
    std::vector<std::string> command{ this->binaries + "/" + aProgram };
    command.insert(command.end(), aArguments.begin(), aArguments.end());
    return Process::Start(command, this->directory + "/" + aName + ".log");
  }

  void AddTarget(const std::string& aName, const std::string& aService, int aIndex, bool aEngine)
  {
    this->targets.push_back(this->Start(aName,
                                        "standin-registered",
                                        { "--listen=" + this->TargetAddress(aIndex),
                                          "--store=" + this->Store(),
                                          "--name=" + aName,
                                          "--service=" + aService,
                                          "--domain=hobart",
                                          "--effects=" + this->directory + "/effects",
                                          "--memory=" + std::to_string(kEngineTokens),
                                          "--events=" + std::to_string(kEvents),
                                          aEngine ? "--engine" : "--noengine" }));
  }

  int network = harness::ShiftNetwork(60);
  std::string binaries = harness::BinaryDirectory();
  std::string directory;
};

std::string
WholeStream()
{
  std::string text;
  for (std::uint64_t id = 0; id < kEvents; ++id) {
    text += "id: " + std::to_string(id) + "\ndata: e" + std::to_string(id) + "\n\n";
  }
  return text;
}

class ForwardPathTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ForwardPathTest);
  CPPUNIT_TEST(RequestsGoFromCallerToTargetAndBack);
  CPPUNIT_TEST(AStreamThatBreaksOffGoesOnElsewhere);
  CPPUNIT_TEST(APromptLargerThanOneEngineRunsOnSeveral);
  CPPUNIT_TEST(EntriesServeOnWithoutTheStoreAndLearnOnItsReturn);
  CPPUNIT_TEST(APlannedStopCutsNothing);
  CPPUNIT_TEST_SUITE_END();

public:
  void RequestsGoFromCallerToTargetAndBack()
  {
    Platform platform;

    // The target receives the account's name, but not the caller's API key.
    HttpReply reply = platform.Ask(1, "/book/hall", "r1", 0);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(reply.body + reply.reason, 200, reply.status);
    const json body = json::parse(reply.body);
    CPPUNIT_ASSERT_EQUAL(std::string("derwent"), body.at("account").get<std::string>());
    CPPUNIT_ASSERT_EQUAL(std::string(), body.at("key").get<std::string>());
    CPPUNIT_ASSERT_EQUAL(std::string("body"), body.at("echo").get<std::string>());

    // A stream arrives complete and with its target's signature.
    reply = platform.Ask(2, "/draft/round", "r2", 5'000);
    CPPUNIT_ASSERT_EQUAL(WholeStream(), reply.body);
    CPPUNIT_ASSERT(!FieldOf(reply, "X-Sycamorepost-Response-Signature").empty());

    // A request without a matching route is refused and does not run.
    CPPUNIT_ASSERT_EQUAL(404, platform.Ask(1, "/other/x", "r3", 0).status);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), platform.Runs().count("r3"));
  }

  void AStreamThatBreaksOffGoesOnElsewhere()
  {
    Platform platform;
    // Two of three engines abort their streams midway, so the third completes them.
    platform.SetFaults(platform.TargetAddress(1), { { "break_after", 4 } });
    platform.SetFaults(platform.TargetAddress(2), { { "break_after", 7 } });
    for (int i = 0; i < 6; ++i) {
      const std::string id = "r" + std::to_string(i);
      const HttpReply reply = platform.Ask(1 + i % 2, "/draft/round", id, 5'000);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(reply.reason, WholeStream(), reply.body);
      CPPUNIT_ASSERT(platform.Runs()[id] <= 3);
    }
  }

  void APromptLargerThanOneEngineRunsOnSeveral()
  {
    Platform platform;
    const HttpReply reply = platform.Ask(1, "/archive/2019", "r1", kEngineTokens * 3 / 2);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(reply.reason, WholeStream(), reply.body);
    CPPUNIT_ASSERT_EQUAL(1, platform.Runs()["r1"]);
    CPPUNIT_ASSERT(Await(kBound, [&] { return platform.ReservedTokens() == 0; }));
  }

  void EntriesServeOnWithoutTheStoreAndLearnOnItsReturn()
  {
    Platform platform;
    platform.SetFaults(platform.Store(), { { "outage", true } });
    CPPUNIT_ASSERT_EQUAL(200, platform.Ask(1, "/book/hall", "r1", 0).status);

    // An entry that starts during the outage has no configuration, so it replies with a retryable
    // 503 and not with a final refusal.
    platform.entries[1].Kill();
    platform.entries[1] = platform.StartEntry(2);
    CPPUNIT_ASSERT(
      Await(kBound, [&] { return platform.Ask(2, "/book/hall", "r2", 0).status == 503; }));
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), platform.Runs().count("r2"));

    platform.SetFaults(platform.Store(), { { "outage", false } });
    json next = MakeConfiguration(2);
    next["Routes"].push_back(MakeRoute("look", "/look/", "idempotent", "ledger"));
    platform.Publish("keyed.op", "config", next.dump());
    for (int entry = 1; entry <= 2; ++entry) {
      CPPUNIT_ASSERT(
        Await(kBound, [&] { return platform.Ask(entry, "/look/x", "r3", 0).status == 200; }));
    }
  }

  void APlannedStopCutsNothing()
  {
    Platform platform;
    std::vector<std::future<HttpReply>> replies;
    for (int i = 0; i < 8; ++i) {
      replies.push_back(std::async(std::launch::async, [&platform, i] {
        return platform.Ask(1, "/draft/round", "r" + std::to_string(i), 5'000);
      }));
    }
    CPPUNIT_ASSERT(Await(kBound, [&] { return platform.Runs().size() == 8; }));
    platform.entries[0].Signal(SIGTERM);
    for (auto& reply : replies) {
      CPPUNIT_ASSERT_EQUAL(WholeStream(), reply.get().body);
    }
    CPPUNIT_ASSERT_EQUAL(0, platform.entries[0].Wait(kBound).value_or(-1));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ForwardPathTest);

} // namespace
} // namespace sycamorepost
