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

using harness::HeaderField;
using harness::Process;
using harness::WaitUntil;
using nlohmann::json;
using std::chrono::milliseconds;

constexpr milliseconds kAwaitTimeout{ 15'000 };
constexpr std::uint64_t kKvCapacityTokens = 300'000;
constexpr std::uint64_t kStreamEvents = 12;
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
                     { "Slots", 16 },          { "KvCapacityTokens", kKvCapacityTokens } };
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
class PlatformDeployment
{
public:
  PlatformDeployment()
  {
    this->directory = "run/platform-" + std::to_string(this->network);
    std::filesystem::remove_all(this->directory);
    std::filesystem::create_directories(this->directory);
    this->store = this->Start("store", "standin-store", { "--listen=" + this->StoreAddress() });
    this->Publish("keyed.op", "config", MakeConfiguration(1).dump());
    for (int i = 1; i <= 3; ++i) {
      this->AddTarget("engine-" + std::to_string(i), "quizmind", i, true);
    }
    this->AddTarget("ledger-1", "ledger", 4, false);
    for (int i = 1; i <= 2; ++i) {
      this->entries.push_back(this->StartEntry(i));
    }
    for (int i = 1; i <= 2; ++i) {
      CPPUNIT_ASSERT(WaitUntil(kAwaitTimeout, [&] {
        const json dump = harness::FetchDump(this->EntryIp(i) + ":7001");
        return dump.is_object() && dump.contains("targets") && dump["targets"].size() == 4;
      }));
    }
  }

  std::string StoreAddress() const { return this->Ip(1, 1) + ":7300"; }
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
                             this->StoreAddress() +
                             "\"\nretry_slack = 100\ndrain_delay = \"100ms\"\n";
    return this->Start(name, "sycamorepost-entry", { "--config", path });
  }

  // Appends a record to the store, as the operator does.
  void Publish(const std::string& aTopic, const std::string& aKey, const std::string& aValue)
  {
    CPPUNIT_ASSERT(WaitUntil(kAwaitTimeout, [&] {
      const HttpReply reply = harness::SendHttpRequest(this->StoreAddress(),
                                                       "POST",
                                                       "/log-append?Topic=" + aTopic + "&part=0",
                                                       {},
                                                       platform::EncodeRecord({ aKey, aValue }));
      return reply.Ok();
    }));
  }

  HttpReply SendRequest(int aEntry,
                        const std::string& aPath,
                        const std::string& aId,
                        std::uint64_t aPromptTokens)
  {
    std::vector<Field> fields{ { "Host", kHost },
                               { "Authorization", "Bearer key-1" },
                               { "X-Sycamorepost-Request-Id", aId } };
    if (aPromptTokens > 0) {
      fields.emplace_back("X-Sycamorepost-Token-Counts", std::to_string(aPromptTokens) + ",200");
    }
    return harness::SendHttpRequest(this->EntryIp(aEntry) + ":7080", "POST", aPath, fields, "body");
  }

  // Returns how often each request ran on any target, by request id.
  std::map<std::string, int> RunCounts() const
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
      const HttpReply reply = harness::SendHttpRequest(this->TargetAddress(i), "GET", "/report");
      tokens += json::parse(reply.body).at("KvUsed").get<std::uint64_t>();
    }
    return tokens;
  }

  void SetFaults(const std::string& aAddress, const json& aFaults)
  {
    CPPUNIT_ASSERT(harness::SendHttpRequest(aAddress, "POST", "/faults", {}, aFaults.dump()).Ok());
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
    std::vector<std::string> command{ this->binaryDirectory + "/" + aProgram };
    command.insert(command.end(), aArguments.begin(), aArguments.end());
    return Process::Start(command, this->directory + "/" + aName + ".log");
  }

  void AddTarget(const std::string& aName, const std::string& aService, int aIndex, bool aIsEngine)
  {
    this->targets.push_back(this->Start(aName,
                                        "standin-registered",
                                        { "--listen=" + this->TargetAddress(aIndex),
                                          "--store=" + this->StoreAddress(),
                                          "--name=" + aName,
                                          "--service=" + aService,
                                          "--domain=hobart",
                                          "--effects=" + this->directory + "/effects",
                                          "--memory=" + std::to_string(kKvCapacityTokens),
                                          "--events=" + std::to_string(kStreamEvents),
                                          aIsEngine ? "--engine" : "--noengine" }));
  }

  int network = harness::ShiftNetwork(60);
  std::string binaryDirectory = harness::BinaryDirectory();
  std::string directory;
};

std::string
ExpectedStream()
{
  std::string text;
  for (std::uint64_t id = 0; id < kStreamEvents; ++id) {
    text += "id: " + std::to_string(id) + "\ndata: e" + std::to_string(id) + "\n\n";
  }
  return text;
}

class ForwardPathTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ForwardPathTest);
  CPPUNIT_TEST(RequestsAreForwardedToTargets);
  CPPUNIT_TEST(AbortedStreamResumesOnAnotherEngine);
  CPPUNIT_TEST(PromptLargerThanOneEngineIsSplit);
  CPPUNIT_TEST(EntriesServeDuringStoreOutageAndUpdateAfterwards);
  CPPUNIT_TEST(GracefulStopCompletesStreams);
  CPPUNIT_TEST_SUITE_END();

public:
  void RequestsAreForwardedToTargets()
  {
    PlatformDeployment deployment;

    // The target receives the account's name, but not the caller's API key.
    HttpReply reply = deployment.SendRequest(1, "/book/hall", "r1", 0);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(reply.body + reply.reason, 200, reply.status);
    const json body = json::parse(reply.body);
    CPPUNIT_ASSERT_EQUAL(std::string("derwent"), body.at("account").get<std::string>());
    CPPUNIT_ASSERT_EQUAL(std::string(), body.at("key").get<std::string>());
    CPPUNIT_ASSERT_EQUAL(std::string("body"), body.at("echo").get<std::string>());

    // A stream arrives complete and with its target's signature.
    reply = deployment.SendRequest(2, "/draft/round", "r2", 5'000);
    CPPUNIT_ASSERT_EQUAL(ExpectedStream(), reply.body);
    CPPUNIT_ASSERT(!HeaderField(reply, "X-Sycamorepost-Response-Signature").empty());

    // A request without a matching route is refused and does not run.
    CPPUNIT_ASSERT_EQUAL(404, deployment.SendRequest(1, "/other/x", "r3", 0).status);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), deployment.RunCounts().count("r3"));
  }

  void AbortedStreamResumesOnAnotherEngine()
  {
    PlatformDeployment deployment;
    // Two of three engines abort their streams midway, so the third completes them.
    deployment.SetFaults(deployment.TargetAddress(1), { { "break_after", 4 } });
    deployment.SetFaults(deployment.TargetAddress(2), { { "break_after", 7 } });
    for (int i = 0; i < 6; ++i) {
      const std::string id = "r" + std::to_string(i);
      const HttpReply reply = deployment.SendRequest(1 + i % 2, "/draft/round", id, 5'000);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(reply.reason, ExpectedStream(), reply.body);
      CPPUNIT_ASSERT(deployment.RunCounts()[id] <= 3);
    }
  }

  void PromptLargerThanOneEngineIsSplit()
  {
    PlatformDeployment deployment;
    const HttpReply reply =
      deployment.SendRequest(1, "/archive/2019", "r1", kKvCapacityTokens * 3 / 2);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(reply.reason, ExpectedStream(), reply.body);
    CPPUNIT_ASSERT_EQUAL(1, deployment.RunCounts()["r1"]);
    CPPUNIT_ASSERT(WaitUntil(kAwaitTimeout, [&] { return deployment.ReservedTokens() == 0; }));
  }

  void EntriesServeDuringStoreOutageAndUpdateAfterwards()
  {
    PlatformDeployment deployment;
    deployment.SetFaults(deployment.StoreAddress(), { { "outage", true } });
    CPPUNIT_ASSERT_EQUAL(200, deployment.SendRequest(1, "/book/hall", "r1", 0).status);

    // An entry that starts during the outage has no configuration, so it replies with a retryable
    // 503 and not with a final refusal.
    deployment.entries[1].Kill();
    deployment.entries[1] = deployment.StartEntry(2);
    CPPUNIT_ASSERT(WaitUntil(kAwaitTimeout, [&] {
      return deployment.SendRequest(2, "/book/hall", "r2", 0).status == 503;
    }));
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), deployment.RunCounts().count("r2"));

    deployment.SetFaults(deployment.StoreAddress(), { { "outage", false } });
    json updated = MakeConfiguration(2);
    updated["Routes"].push_back(MakeRoute("look", "/look/", "idempotent", "ledger"));
    deployment.Publish("keyed.op", "config", updated.dump());
    for (int entry = 1; entry <= 2; ++entry) {
      CPPUNIT_ASSERT(WaitUntil(kAwaitTimeout, [&] {
        return deployment.SendRequest(entry, "/look/x", "r3", 0).status == 200;
      }));
    }
  }

  void GracefulStopCompletesStreams()
  {
    PlatformDeployment deployment;
    std::vector<std::future<HttpReply>> replies;
    for (int i = 0; i < 8; ++i) {
      replies.push_back(std::async(std::launch::async, [&deployment, i] {
        return deployment.SendRequest(1, "/draft/round", "r" + std::to_string(i), 5'000);
      }));
    }
    CPPUNIT_ASSERT(WaitUntil(kAwaitTimeout, [&] { return deployment.RunCounts().size() == 8; }));
    deployment.entries[0].Signal(SIGTERM);
    for (auto& reply : replies) {
      CPPUNIT_ASSERT_EQUAL(ExpectedStream(), reply.get().body);
    }
    CPPUNIT_ASSERT_EQUAL(0, deployment.entries[0].WaitForExit(kAwaitTimeout).value_or(-1));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ForwardPathTest);

} // namespace
} // namespace sycamorepost
