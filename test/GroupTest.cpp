// Tests prompts larger than one engine's KV memory. They must complete on a group of engines, two
// such prompts that need the same engines must not deadlock, the loss of a helper or of the running
// engine must cost only the work it did, and all KV memory must be released in the end.
#include <future>
#include <iostream>

#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

#include "EngineText.h"
#include "harness/Scenario.h"

namespace sycamorepost {
namespace {

using harness::CallerFields;
using harness::Cluster;
using harness::CompletionBody;
using harness::Seeds;
using harness::SendHttpRequest;
using harness::SleepMillis;
using harness::TargetVm;
using harness::WaitUntil;

constexpr int kNetwork = 80;
constexpr std::size_t kEngineTokens = 60'000;
constexpr std::size_t kPromptTokens = 150'000; // 2.5 times an engine's KV memory.
constexpr int kOutputTokens = 10;
constexpr std::chrono::milliseconds kReleaseTimeout{ 10'000 };

std::string
LongPrompt(char aLetter)
{
  return std::string(kPromptTokens * 4, aLetter);
}

harness::ClusterPlan
GroupPlan(int aEngines)
{
  harness::ClusterPlan plan = harness::SmallClusterPlan(kNetwork, aEngines);
  for (auto& target : plan.targets) {
    if (target.kind == TargetKind::Engine) {
      target.flags = { "--capacity", std::to_string(kEngineTokens), "--prefill_us", "15" };
    }
  }
  return plan;
}

// Sends a long prompt in the background. The result is the response text, or a description of the
// error.
std::future<std::string>
StartCompletion(const Cluster& aCluster, std::size_t aEntry, char aLetter)
{
  return std::async(std::launch::async, [address = aCluster.EntryAddresses()[aEntry], aLetter] {
    const HttpReply reply = SendHttpRequest(address,
                                            "POST",
                                            "/v1/completions",
                                            CallerFields("jingjie"),
                                            CompletionBody(LongPrompt(aLetter), kOutputTokens),
                                            std::chrono::seconds(70));
    if (reply.status != 200) {
      return "status " + std::to_string(reply.status) + ": " + reply.body + reply.reason;
    }
    return nlohmann::json::parse(reply.body)["choices"][0]["text"].get<std::string>();
  });
}

std::string
ExpectedText(char aLetter)
{
  return standin::GenerateOutput(LongPrompt(aLetter), kOutputTokens);
}

// Returns the names of the engines whose sidecars have KV reservations now.
std::vector<std::string>
EnginesWithReservations(Cluster& aCluster)
{
  std::vector<std::string> names;
  for (TargetVm& vm : aCluster.targets) {
    const auto dump = harness::FetchDump(vm.AdminAddress());
    if (dump.is_object() && dump.contains("engine") && dump["engine"].value("holds", 0) > 0) {
      names.push_back(vm.plan.name);
    }
  }
  return names;
}

class GroupTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(GroupTest);
  CPPUNIT_TEST(TwoPromptsThatNeedTheSameEnginesBothComplete);
  CPPUNIT_TEST(ALostHelperCostsOnlyItsSegment);
  CPPUNIT_TEST(ALostRunningEngineKeepsStoredSegments);
  CPPUNIT_TEST(APromptTooLargeForAllEnginesIsRefused);
  CPPUNIT_TEST_SUITE_END();

public:
  void TwoPromptsThatNeedTheSameEnginesBothComplete()
  {
    Cluster cluster(GroupPlan(4)); // Each prompt needs all four.
    cluster.Start();
    auto first = StartCompletion(cluster, 0, 'a');
    auto second = StartCompletion(cluster, 1, 'b');
    CPPUNIT_ASSERT_EQUAL(ExpectedText('a'), first.get());
    CPPUNIT_ASSERT_EQUAL(ExpectedText('b'), second.get());
    CPPUNIT_ASSERT_EQUAL(std::string(), harness::WaitForKvMemoryRelease(cluster, kReleaseTimeout));
  }

  void ALostHelperCostsOnlyItsSegment()
  {
    for (const std::uint64_t seed : Seeds()) {
      Cluster cluster(GroupPlan(6));
      cluster.Start();
      std::mt19937_64 random(seed);
      auto response = StartCompletion(cluster, 0, 'c');
      CPPUNIT_ASSERT(
        WaitUntil(kReleaseTimeout, [&] { return EnginesWithReservations(cluster).size() >= 3; }));
      SleepMillis(static_cast<int>(random() % 1500));
      const std::vector<std::string> helpers = EnginesWithReservations(cluster);
      CPPUNIT_ASSERT(!helpers.empty());
      TargetVm& helper = cluster.FindTarget(helpers[random() % helpers.size()]);
      helper.target.Kill(); // Only the engine, or with its sidecar the whole VM.
      if (random() % 2 == 0) {
        helper.sidecar.Kill();
      }
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
        "seed " + std::to_string(seed), ExpectedText('c'), response.get());
      CPPUNIT_ASSERT_EQUAL(std::string(),
                           harness::WaitForKvMemoryRelease(cluster, kReleaseTimeout));
    }
  }

  void ALostRunningEngineKeepsStoredSegments()
  {
    Cluster cluster(GroupPlan(6));
    cluster.Start();
    auto response = StartCompletion(cluster, 0, 'd');
    std::string runningEngine;
    CPPUNIT_ASSERT(WaitUntil(kReleaseTimeout, [&] {
      for (TargetVm& vm : cluster.targets) {
        const auto dump = harness::FetchDump(vm.AdminAddress());
        if (dump.is_object() && dump.contains("engine") && dump["engine"].value("running", 0) > 0) {
          runningEngine = vm.plan.name;
        }
      }
      return !runningEngine.empty();
    }));
    SleepMillis(1200); // Some segments are stored by now.
    cluster.FindTarget(runningEngine).sidecar.Kill();
    CPPUNIT_ASSERT_EQUAL(ExpectedText('d'), response.get());
    cluster.StartSidecar(cluster.FindTarget(runningEngine));
    CPPUNIT_ASSERT_EQUAL(std::string(), harness::WaitForKvMemoryRelease(cluster, kReleaseTimeout));
  }

  void APromptTooLargeForAllEnginesIsRefused()
  {
    Cluster cluster(GroupPlan(2));
    cluster.Start();
    const std::string response = StartCompletion(cluster, 0, 'e').get();
    CPPUNIT_ASSERT_MESSAGE(response, response.find("prompt_too_large") != std::string::npos);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GroupTest);

} // namespace
} // namespace sycamorepost
