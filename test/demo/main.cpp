// Demo program: runs a small deployment on loopback under a mixed load and kills one engine during
// the run.
#include <csignal>
#include <iostream>

#include <boost/asio/steady_timer.hpp>
#include <gflags/gflags.h>

#include "EngineText.h"
#include "harness/Cluster.h"
#include "load/LoadReport.h"
#include "load/LoadRunner.h"

DEFINE_uint64(seed, 2026, "Seed of the load.");
DEFINE_double(seconds, 30, "How long to send requests, in seconds.");
DEFINE_double(rate, 25, "Requests per second over all entries.");

namespace sycamorepost {
namespace {

constexpr int kNetwork = 40;
constexpr int kEngines = 6;

load::LoadPlan
MakePlan(const harness::Cluster& aCluster)
{
  load::LoadPlan plan;
  plan.entries = aCluster.EntryAddresses();
  plan.accounts = { { "derwent", harness::TestApiKey("derwent"), 5 },
                    { "jingjie", harness::TestApiKey("jingjie"), 4 },
                    { "small", harness::TestApiKey("small"), 1 } };
  plan.bands = load::ReferenceLengthBands();
  // The longest prompt must fit into the KV memory of one engine of the demo.
  plan.bands.back().maxTokens = 350'000;
  plan.seed = FLAGS_seed;
  plan.requestsPerSecond = FLAGS_rate;
  plan.durationSeconds = FLAGS_seconds;
  plan.expectedResponse = standin::GenerateOutput;
  return plan;
}

// Prints a progress line every second and kills an engine after a third of the run.
class DemoProgress
{
public:
  DemoProgress(asio::io_context& aContext, harness::Cluster& aCluster, load::LoadRunner& aRunner)
    : timer(aContext)
    , cluster(aCluster)
    , runner(aRunner)
  {
  }

  void ScheduleTick()
  {
    this->timer.expires_after(std::chrono::seconds(1));
    this->timer.async_wait([this](beast::error_code) {
      ++this->elapsedSeconds;
      std::cout << "second " << this->elapsedSeconds << ": " << this->runner.Records().size()
                << " calls completed, " << this->runner.InFlight() << " in flight" << std::endl;
      if (this->elapsedSeconds == static_cast<int>(FLAGS_seconds) / 3) {
        std::cout << "  killing engine-2 and its VM" << std::endl;
        harness::TargetVm& vm = this->cluster.FindTarget("engine-2");
        vm.target.Kill();
        vm.sidecar.Kill();
        this->cluster.Announce(vm, "gone");
      }
      if (this->runner.IsRunning()) {
        this->ScheduleTick();
      }
    });
  }

private:
  asio::steady_timer timer;
  harness::Cluster& cluster;
  load::LoadRunner& runner;
  int elapsedSeconds = 0;
};

int
RunDemo()
{
  std::cout << "starting 3 entries, " << kEngines << " engines and 3 booking services" << std::endl;
  harness::Cluster cluster(harness::SmallClusterPlan(kNetwork, kEngines));
  cluster.Start();
  const HttpReply response = harness::SendHttpRequest(
    cluster.entries[0].HttpAddress(),
    "POST",
    "/v1/completions",
    { { "Authorization", "Bearer " + harness::TestApiKey("derwent") } },
    R"({"model":"quiz","prompt":"Draft a round on bells.","max_tokens":8})");
  std::cout << "sample response: " << response.body << "\nseed " << FLAGS_seed << std::endl;
  asio::io_context context(1);
  load::LoadRunner runner(context, MakePlan(cluster));
  DemoProgress progress(context, cluster, runner);
  runner.Start();
  progress.ScheduleTick();
  context.run();
  std::cout << '\n' << FormatReport(MakeReport(runner.Records()));
  const auto violations = harness::CheckHistory({ runner.Records(), cluster.Effects() });
  for (const std::string& violation : violations) {
    std::cout << "violation: " << violation << '\n';
  }
  const std::size_t unresolved = static_cast<std::size_t>(
    std::count_if(runner.Records().begin(), runner.Records().end(), [](const auto& aRecord) {
      return aRecord.outcome.empty();
    }));
  std::cout << "history: " << runner.Records().size() << " calls, " << violations.size()
            << " violations, " << unresolved << " without an outcome\n";
  return violations.empty() && unresolved == 0 ? 0 : 1;
}

} // namespace
} // namespace sycamorepost

int
main(int aCount, char** aArguments)
{
  gflags::ParseCommandLineFlags(&aCount, &aArguments, true);
  return sycamorepost::RunDemo();
}
