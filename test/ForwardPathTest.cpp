// End-to-end tests of the platform's published protocol: forwarding entries, and target stand-ins
// that register themselves in the store stand-in, run as separate processes on loopback. The tests
// are the callers.
#include <array>
#include <csignal>
#include <fstream>
#include <future>
#include <thread>

#include <boost/asio/write.hpp>
#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>
#include <unistd.h>

#include "harness/PlatformDeployment.h"

namespace sycamorepost {
namespace {

using harness::HeaderField;
using harness::kAwaitTimeout;
using harness::kKvCapacityTokens;
using harness::kStreamEvents;
using harness::MakePlatformConfiguration;
using harness::MakePlatformRoute;
using harness::PlatformDeployment;
using harness::WaitUntil;
using nlohmann::json;

std::string
ExpectedStream()
{
  std::string text;
  for (std::uint64_t id = 0; id < kStreamEvents; ++id) {
    text += "id: " + std::to_string(id) + "\ndata: e" + std::to_string(id) + "\n\n";
  }
  return text;
}

std::uint64_t
ResidentBytes(pid_t aProcess)
{
  std::ifstream file("/proc/" + std::to_string(aProcess) + "/statm");
  std::uint64_t pages = 0;
  file >> pages >> pages;
  return pages * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE));
}

class ForwardPathTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ForwardPathTest);
  CPPUNIT_TEST(RequestsAreForwardedToTargets);
  CPPUNIT_TEST(AbortedStreamResumesOnAnotherEngine);
  CPPUNIT_TEST(PromptLargerThanOneEngineIsSplit);
  CPPUNIT_TEST(EntriesServeDuringStoreOutageAndUpdateAfterwards);
  CPPUNIT_TEST(LeavingEngineIsLeftAloneByAllEntries);
  CPPUNIT_TEST(PausedEnginesGetNothingAndCallersTheirTime);
  CPPUNIT_TEST(GracefulStopCompletesStreams);
  CPPUNIT_TEST(RequestsThatOutlastTheGraceAreAnswered);
  CPPUNIT_TEST(EndlessStreamToSlowCallerTakesLittleMemory);
  CPPUNIT_TEST(CallersThatLeaveLeaveNothingBehind);
  CPPUNIT_TEST(PartThatCrashesEnginesIsRefusedByAllEntries);
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
    json updated = MakePlatformConfiguration(2);
    updated["Routes"].push_back(MakePlatformRoute("look", "/look/", "idempotent", "ledger"));
    deployment.Publish("keyed.op", "config", updated.dump());
    for (int entry = 1; entry <= 2; ++entry) {
      CPPUNIT_ASSERT(WaitUntil(kAwaitTimeout, [&] {
        return deployment.SendRequest(entry, "/look/x", "r3", 0).status == 200;
      }));
    }
  }

  // Guards against requests to an engine that says in its responses that it is leaving, while its
  // registration still says ready.
  void LeavingEngineIsLeftAloneByAllEntries()
  {
    PlatformDeployment deployment;
    for (int i = 1; i <= 3; ++i) {
      deployment.SetFaults(deployment.TargetAddress(i), { { "leaving", i != 3 } });
    }
    // Two requests through one entry reach both leaving engines at the most once each.
    int sent = 0;
    for (int i = 0; i < 8; ++i) {
      const std::string id = "r" + std::to_string(++sent);
      CPPUNIT_ASSERT_EQUAL(200, deployment.SendRequest(1, "/draft/round", id, 5'000).status);
    }
    std::uint64_t servedByLeaving = 0;
    for (int i = 1; i <= 2; ++i) {
      servedByLeaving += deployment.EngineCounter(i, "Served");
      CPPUNIT_ASSERT(deployment.EngineCounter(i, "Served") <= 1);
    }
    // The other entry knows it from the first one.
    for (int i = 0; i < 8; ++i) {
      const std::string id = "r" + std::to_string(++sent);
      CPPUNIT_ASSERT_EQUAL(200, deployment.SendRequest(2, "/draft/round", id, 5'000).status);
    }
    const std::uint64_t served =
      deployment.EngineCounter(1, "Served") + deployment.EngineCounter(2, "Served");
    CPPUNIT_ASSERT(served <= 2);
    CPPUNIT_ASSERT(served >= servedByLeaving);
  }

  // Guards against requests to engines that have asked for a pause, and against callers who return
  // before it ends.
  void PausedEnginesGetNothingAndCallersTheirTime()
  {
    PlatformDeployment deployment;
    for (int i = 1; i <= 3; ++i) {
      deployment.SetFaults(deployment.TargetAddress(i), { { "retry_after", "30.5" } });
    }
    HttpReply reply;
    for (int i = 0; i < 6; ++i) {
      reply = deployment.SendRequest(1, "/draft/round", "r" + std::to_string(i), 5'000);
      CPPUNIT_ASSERT_EQUAL(503, reply.status);
    }
    for (int i = 1; i <= 3; ++i) {
      CPPUNIT_ASSERT(deployment.EngineCounter(i, "Refused") <= 2);
    }
    const double seconds = std::stod(HeaderField(reply, "Retry-After"));
    CPPUNIT_ASSERT_MESSAGE(std::to_string(seconds), seconds > 25 && seconds < 33);
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

  // Guards against requests that the end of the grace cuts without a response, among them those
  // that may not be repeated.
  void RequestsThatOutlastTheGraceAreAnswered()
  {
    static constexpr std::chrono::milliseconds kGrace{ 3'000 };
    PlatformDeployment deployment;
    deployment.SetFaults(deployment.TargetAddress(4), { { "call_ms", 8'000 } });
    auto early = std::async(std::launch::async, [&deployment] {
      return deployment.SendRequest(1, "/book/hall", "early", 0);
    });
    CPPUNIT_ASSERT(WaitUntil(kAwaitTimeout, [&] { return deployment.RunCounts().size() == 1; }));
    deployment.entries[0].Signal(SIGTERM);
    CPPUNIT_ASSERT_EQUAL(0, deployment.entries[0].WaitForExit(kGrace).value_or(-1));
    const HttpReply reply = early.get();
    CPPUNIT_ASSERT_EQUAL_MESSAGE(reply.reason, 504, reply.status);
    CPPUNIT_ASSERT_EQUAL(1, deployment.RunCounts()["early"]);
  }

  // Guards against an entry that runs out of memory, and takes the requests of all callers with it,
  // because an engine sends events without end and faster than the caller takes them.
  void EndlessStreamToSlowCallerTakesLittleMemory()
  {
    static constexpr std::uint64_t kMaxBytes = 64 * 1024 * 1024;
    PlatformDeployment deployment;
    for (int i = 1; i <= 3; ++i) {
      deployment.SetFaults(deployment.TargetAddress(i), { { "endless", true } });
    }
    asio::io_context context;
    std::vector<tcp::socket> callers;
    const std::string request = "POST /draft/round HTTP/1.1\r\nHost: quiz.example\r\n"
                                "Authorization: Bearer key-1\r\nX-Sycamorepost-Request-Id: r\r\n"
                                "X-Sycamorepost-Token-Counts: 5000,200\r\n"
                                "Content-Length: 0\r\n\r\n";
    for (int i = 0; i < 4; ++i) {
      tcp::socket& caller = callers.emplace_back(context);
      caller.connect(*ParseEndpoint(deployment.EntryIp(1) + ":7080"));
      asio::write(caller, asio::buffer(request));
    }
    std::uint64_t most = 0;
    for (int i = 0; i < 30; ++i) {
      std::this_thread::sleep_for(std::chrono::milliseconds(50));
      most = std::max(most, ResidentBytes(deployment.entries[0].Pid()));
      CPPUNIT_ASSERT_MESSAGE(std::to_string(most), most < kMaxBytes);
    }
    // Others are served meanwhile.
    CPPUNIT_ASSERT_EQUAL(200, deployment.SendRequest(1, "/book/hall", "r1", 0).status);
  }

  // Guards against sessions that are never resumed after their caller has left: each keeps its
  // body, its connection and its process.
  void CallersThatLeaveLeaveNothingBehind()
  {
    static constexpr int kRounds = 25;
    static constexpr std::chrono::milliseconds kGrace{ 3'000 };
    PlatformDeployment deployment;
    deployment.SetFaults(deployment.TargetAddress(4), { { "call_ms", 8'000 } });
    for (int i = 1; i <= 3; ++i) {
      deployment.SetFaults(deployment.TargetAddress(i), { { "endless", true } });
    }
    struct Leaving
    {
      const char* path;
      const char* tokenCounts;
      bool readsFirst; // The caller leaves after the first bytes of the response.
    };
    static constexpr std::array<Leaving, 3> kLeavings{
      { { "/book/hall", "0,0", false },        // While a whole call runs.
        { "/draft/round", "5000,200", false }, // Before the first event, or a little later.
        { "/draft/round", "5000,200", true } } // Within the stream.
    };
    asio::io_context context;
    std::string bytes(4096, '\0');
    int sent = 0;
    for (int round = 0; round < kRounds; ++round) {
      std::vector<tcp::socket> callers;
      for (const Leaving& leaving : kLeavings) {
        tcp::socket& caller = callers.emplace_back(context);
        caller.connect(*ParseEndpoint(deployment.EntryIp(1) + ":7080"));
        asio::write(caller,
                    asio::buffer(std::string("POST ") + leaving.path +
                                 " HTTP/1.1\r\nHost: quiz.example\r\n"
                                 "Authorization: Bearer key-1\r\nX-Sycamorepost-Request-Id: r" +
                                 std::to_string(++sent) + "\r\nX-Sycamorepost-Token-Counts: " +
                                 leaving.tokenCounts + "\r\nContent-Length: 0\r\n\r\n"));
        if (leaving.readsFirst) {
          CPPUNIT_ASSERT(caller.read_some(asio::buffer(bytes)) > 0);
        }
      }
    }
    const std::string admin = deployment.EntryIp(1) + ":7001";
    CPPUNIT_ASSERT(WaitUntil(kAwaitTimeout, [&] {
      const std::string metrics = harness::SendHttpRequest(admin, "GET", "/metrics").body;
      return metrics.find("caller_sessions 0\n") != std::string::npos &&
             metrics.find("caller_connections 0\n") != std::string::npos;
    }));
    deployment.entries[0].Signal(SIGTERM);
    CPPUNIT_ASSERT_EQUAL(0, deployment.entries[0].WaitForExit(kGrace).value_or(-1));
  }

  // Guards against crashes that the processes do not notice or do not report to each other.
  void PartThatCrashesEnginesIsRefusedByAllEntries()
  {
    PlatformDeployment deployment;
    int sent = 0;
    for (int round = 0; round < 3; ++round) {
      for (int i = 1; i <= 3; ++i) {
        deployment.SetFaults(deployment.TargetAddress(i), { { "crash_on", "bad" } });
      }
      const std::string id = "r" + std::to_string(++sent);
      const HttpReply reply =
        deployment.SendRequest(1, "/draft/" + id, id, 5'000, "a:40,bad:60,c1:9");
      CPPUNIT_ASSERT_EQUAL_MESSAGE(reply.body, 502, reply.status);
      // Longer than reports of one crash may take.
      std::this_thread::sleep_for(std::chrono::milliseconds(1'200));
      deployment.RestartEndedTargets();
      // A sound request with the other part is served again.
      CPPUNIT_ASSERT(WaitUntil(kAwaitTimeout, [&] {
        const std::string sound = "r" + std::to_string(++sent);
        return deployment.SendRequest(2, "/draft/" + sound, sound, 5'000, "a:40,c2:9").status ==
               200;
      }));
    }
    for (int entry = 1; entry <= 2; ++entry) {
      const std::string id = "refused-" + std::to_string(entry);
      const HttpReply reply =
        deployment.SendRequest(entry, "/draft/" + id, id, 5'000, "bad:60,c3:9");
      CPPUNIT_ASSERT_EQUAL_MESSAGE(reply.body, 503, reply.status);
      CPPUNIT_ASSERT_EQUAL(std::size_t(0), deployment.RunCounts().count(id));
      CPPUNIT_ASSERT(!HeaderField(reply, "Retry-After").empty());
    }
    // An entry that starts now is told.
    deployment.entries[1].Kill();
    deployment.entries[1] = deployment.StartEntry(2);
    CPPUNIT_ASSERT(WaitUntil(kAwaitTimeout, [&] {
      const json dump = harness::FetchDump(deployment.EntryIp(2) + ":7001");
      return dump.is_object() && dump.contains("quarantined");
    }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ForwardPathTest);

} // namespace
} // namespace sycamorepost
