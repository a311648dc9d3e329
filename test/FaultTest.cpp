// Tests the delivery guarantees under a mixed load while processes are killed or suspended, the log
// fails or loses responses, or connections silently drop all bytes. After each run the history
// checker must find no violation, and the engines must have released all KV memory.
#include <iostream>

#include <cppunit/extensions/HelperMacros.h>

#include "harness/Scenario.h"

namespace sycamorepost {
namespace {

using harness::BackgroundLoad;
using harness::Cluster;
using harness::FormatOutcomeCounts;
using harness::FormatViolations;
using harness::InjectProcessFault;
using harness::Seeds;
using harness::SleepMillis;
using harness::SmallClusterPlan;
using harness::WaitForKvMemoryRelease;

constexpr int kNetwork = 60;
constexpr int kEngines = 4;
constexpr double kLoadSeconds = 6;
constexpr std::chrono::milliseconds kReleaseTimeout{ 10'000 };

class FaultTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(FaultTest);
  CPPUNIT_TEST(GuaranteesHoldWhenProcessesAreKilled);
  CPPUNIT_TEST(GuaranteesHoldWhenProcessesAreSuspended);
  CPPUNIT_TEST(GuaranteesHoldDuringLogFaults);
  CPPUNIT_TEST(GuaranteesHoldOverBlackholedConnections);
  CPPUNIT_TEST_SUITE_END();

public:
  void GuaranteesHoldWhenProcessesAreKilled()
  {
    this->RunSeeds(
      "kills", Requirement::Guarantees, [](Cluster& aCluster, std::mt19937_64& aRandom) {
        for (int i = 0; i < 6; ++i) {
          InjectProcessFault(aCluster, aRandom, false);
          SleepMillis(static_cast<int>(aRandom() % 800));
        }
      });
  }

  void GuaranteesHoldWhenProcessesAreSuspended()
  {
    this->RunSeeds(
      "freezes", Requirement::Guarantees, [](Cluster& aCluster, std::mt19937_64& aRandom) {
        for (int i = 0; i < 2; ++i) {
          InjectProcessFault(aCluster, aRandom, true);
        }
      });
  }

  void GuaranteesHoldDuringLogFaults()
  {
    this->RunSeeds(
      "log faults", Requirement::Guarantees, [](Cluster& aCluster, std::mt19937_64& aRandom) {
        aCluster.SetFaults(aCluster.LogAddress(), R"({"lose_answers":0.4})");
        SleepMillis(1500);
        InjectProcessFault(aCluster, aRandom, false);
        aCluster.SetFaults(aCluster.LogAddress(), R"({"outage":true})");
        SleepMillis(500 + static_cast<int>(aRandom() % 1500));
        InjectProcessFault(aCluster, aRandom, false);
        aCluster.SetFaults(aCluster.LogAddress(), R"({"append_outage":true})");
        SleepMillis(700);
        aCluster.SetFaults(aCluster.LogAddress(), R"({"delay_ms":150,"lose_answers":0.2})");
        SleepMillis(1000);
        aCluster.SetFaults(aCluster.LogAddress(), "{}");
      });
  }

  void GuaranteesHoldOverBlackholedConnections()
  {
    this->RunSeeds("silent connections",
                   Requirement::AllServed,
                   [](Cluster& aCluster, std::mt19937_64& aRandom) {
                     for (const char* kind : { "peer", "target", "log", "peer" }) {
                       aCluster.BlackholeOpenConnections(kind);
                       SleepMillis(1000 + static_cast<int>(aRandom() % 500));
                     }
                   });
  }

private:
  // What a test requires of a run.
  enum class Requirement
  {
    Guarantees, // The history has no violation.
    AllServed,  // Also, every request completes, as no process is killed.
  };

  using Faults = std::function<void(Cluster&, std::mt19937_64&)>;

  void RunSeeds(const std::string& aName, Requirement aRequirement, const Faults& aFaults)
  {
    for (const std::uint64_t seed : Seeds()) {
      auto plan = SmallClusterPlan(kNetwork, kEngines);
      plan.relays = aRequirement == Requirement::AllServed;
      Cluster cluster(std::move(plan));
      cluster.Start();
      BackgroundLoad load(cluster, seed, kLoadSeconds);
      std::mt19937_64 random(seed);
      SleepMillis(300);
      aFaults(cluster, random);
      const load::History history = load.Finish();
      std::cout << "\n"
                << aName << ", seed " << seed << ": " << FormatOutcomeCounts(history) << std::flush;
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
        aName + " seed " + std::to_string(seed), std::string(), FormatViolations(cluster, history));
      if (aRequirement == Requirement::AllServed) {
        CPPUNIT_ASSERT_EQUAL_MESSAGE(aName + " seed " + std::to_string(seed),
                                     std::string(),
                                     harness::ListUnservedRequests(history));
      }
      CPPUNIT_ASSERT_EQUAL_MESSAGE(aName + " seed " + std::to_string(seed),
                                   std::string(),
                                   WaitForKvMemoryRelease(cluster, kReleaseTimeout));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FaultTest);

} // namespace
} // namespace sycamorepost
