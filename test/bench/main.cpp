// Compares the strategies of engine choice and queue order on the same seeds. Prints the time to
// first token of short and of the longest prompts, relative to a run with only these prompts, and
// the share of cached prompt tokens.
#include <iomanip>
#include <iostream>

#include <gflags/gflags.h>

#include "harness/Scenario.h"
#include "load/LoadReport.h"
#include "sycamorepost/internal/Text.h"

DEFINE_string(seeds, "101,102,103", "Comma-separated seeds.");
DEFINE_double(rate, 40, "Requests per second over all entries.");
DEFINE_double(seconds, 12, "How long each run sends requests, in seconds.");
DEFINE_int32(engines, 6, "Number of engines.");
DEFINE_bool(overload, false, "Run the overload case instead: 1, 1.5, 3 and 5 times the rate.");

namespace sycamorepost::harness {
namespace {

constexpr int kNetwork = 47;
constexpr std::uint32_t kMaxShortPromptTokens = 4'096;
constexpr std::uint32_t kLongestPromptThresholdTokens = 131'072;

struct Strategy
{
  const char* name;
  const char* policy;
};

constexpr std::array<Strategy, 6> kStrategies{ {
  { "round robin, fifo", "order=fifo choice=round-robin" },
  { "least outstanding, fifo", "order=fifo choice=least-outstanding" },
  { "pushed load, fifo", "order=fifo choice=pushed" },
  { "probe, fifo", "order=fifo choice=probe" },
  { "probe, shortest", "order=shortest choice=probe" },
  { "probe, slack", "order=slack choice=probe" },
} };

// Measurements of one run.
struct RunResult
{
  load::LatencyHistogram shortFirstToken;
  load::LatencyHistogram longestFirstToken;
  std::uint64_t calls = 0;
  std::uint64_t done = 0;
  std::uint64_t refused = 0;
  double cachedShare = 0;
  double slowestRefusalMs = 0;
};

std::uint64_t
SumCounter(Cluster& aCluster, const std::string& aName)
{
  std::uint64_t sum = 0;
  for (TargetVm& vm : aCluster.targets) {
    const std::string text = SendHttpRequest(vm.AdminAddress(), "GET", "/metrics").body;
    const std::size_t at = text.find("sycamorepost_" + aName + "_total ");
    if (at != std::string::npos) {
      sum += std::stoull(text.substr(text.find(' ', at) + 1));
    }
  }
  return sum;
}

load::LoadPlan
MakeLoadPlan(const Cluster& aCluster, std::uint64_t aSeed, double aRate)
{
  load::LoadPlan plan;
  plan.entries = aCluster.EntryAddresses();
  plan.accounts = { { "derwent", TestApiKey("derwent"), 1 },
                    { "jingjie", TestApiKey("jingjie"), 1 } };
  plan.bands = load::ReferenceLengthBands();
  plan.bands.back().maxTokens = 350'000;
  plan.seed = aSeed;
  plan.requestsPerSecond = aRate;
  plan.durationSeconds = FLAGS_seconds;
  plan.bookingShare = 0;
  plan.lookupShare = 0;
  return plan;
}

RunResult
MeasureRun(const char* aPolicy,
           const std::function<void(load::LoadPlan&)>& aAdjustPlan,
           std::uint64_t aSeed)
{
  ClusterPlan clusterPlan = SmallClusterPlan(kNetwork, FLAGS_engines);
  std::erase_if(clusterPlan.targets,
                [](const TargetPlan& aTarget) { return aTarget.kind == TargetKind::Service; });
  clusterPlan.rules += std::string("policy engines ") + aPolicy + "  # A. Operator: trial\n";
  Cluster cluster(std::move(clusterPlan));
  cluster.Start();
  load::LoadPlan plan = MakeLoadPlan(cluster, aSeed, FLAGS_rate);
  aAdjustPlan(plan);
  const load::History history = load::RunLoad(plan);
  RunResult result;
  result.calls = history.size();
  for (const load::CallRecord& call : history) {
    result.done += call.outcome == "done" ? 1 : 0;
    if (call.outcome == "not-run") {
      ++result.refused;
      const auto tookMs = static_cast<double>(ToMillis(call.endedAt - call.sentAt));
      result.slowestRefusalMs = std::max(result.slowestRefusalMs, tookMs);
    }
    const bool hasFirstToken = call.firstTokenAt > Duration::zero();
    if (hasFirstToken && call.promptTokens <= kMaxShortPromptTokens) {
      result.shortFirstToken.Add(call.firstTokenAt - call.scheduledAt);
    } else if (hasFirstToken && call.promptTokens > kLongestPromptThresholdTokens) {
      result.longestFirstToken.Add(call.firstTokenAt - call.scheduledAt);
    }
  }
  const double prompts = static_cast<double>(SumCounter(cluster, "prompt_tokens"));
  result.cachedShare =
    prompts > 0 ? static_cast<double>(SumCounter(cluster, "cached_tokens")) / prompts : 0;
  return result;
}

std::vector<std::uint64_t>
ParseSeeds()
{
  std::vector<std::uint64_t> seeds;
  for (const std::string_view item : internal::SplitCommas(FLAGS_seeds)) {
    seeds.push_back(internal::ParseNumber<std::uint64_t>(item).value_or(1));
  }
  return seeds;
}

double
Median(std::vector<double> aValues)
{
  std::sort(aValues.begin(), aValues.end());
  return aValues.empty() ? 0 : aValues[aValues.size() / 2];
}

// Measurements of one strategy, with one value per seed.
struct StrategyStats
{
  std::vector<double> shortP50;
  std::vector<double> shortP95;
  std::vector<double> longestP50;
  std::vector<double> cached;
  std::uint64_t done = 0;
  std::uint64_t calls = 0;

  void Add(const RunResult& aResult)
  {
    this->shortP50.push_back(static_cast<double>(ToMillis(aResult.shortFirstToken.Quantile(0.5))));
    this->shortP95.push_back(static_cast<double>(ToMillis(aResult.shortFirstToken.Quantile(0.95))));
    this->longestP50.push_back(
      static_cast<double>(ToMillis(aResult.longestFirstToken.Quantile(0.5))));
    this->cached.push_back(aResult.cachedShare);
    this->done += aResult.done;
    this->calls += aResult.calls;
  }
};

std::string
FormatSpread(const std::vector<double>& aValues)
{
  const auto [low, high] = std::minmax_element(aValues.begin(), aValues.end());
  return std::to_string(static_cast<int>(Median(aValues))) + " (" +
         std::to_string(static_cast<int>(*low)) + " to " + std::to_string(static_cast<int>(*high)) +
         ")";
}

void
PrintStats(const std::string& aName,
           const StrategyStats& aStats,
           double aShortAlone,
           double aLongestAlone)
{
  std::cout << std::fixed << std::setprecision(2) << "| " << aName << " | "
            << FormatSpread(aStats.shortP50) << " | " << FormatSpread(aStats.shortP95) << " | "
            << Median(aStats.shortP95) / aShortAlone << " | " << FormatSpread(aStats.longestP50)
            << " | " << Median(aStats.longestP50) / aLongestAlone << " | " << Median(aStats.cached)
            << " | " << aStats.done << " of " << aStats.calls << " |" << std::endl;
}

void
CompareStrategies()
{
  static constexpr const char* kDefault = "order=slack choice=probe";
  StrategyStats shortAlone;
  StrategyStats longestAlone;
  for (const std::uint64_t seed : ParseSeeds()) {
    shortAlone.Add(MeasureRun(
      kDefault,
      [](load::LoadPlan& aPlan) {
        aPlan.requestsPerSecond *= aPlan.bands.front().share;
        aPlan.bands.resize(1);
        aPlan.bands[0].share = 1;
      },
      seed));
    longestAlone.Add(MeasureRun(
      kDefault,
      [](load::LoadPlan& aPlan) {
        aPlan.requestsPerSecond *= aPlan.bands.back().share;
        aPlan.bands = { aPlan.bands.back() };
        aPlan.bands[0].share = 1;
        aPlan.bands[0].minTokens = kLongestPromptThresholdTokens;
      },
      seed));
  }
  const double shortBase = std::max(1.0, Median(shortAlone.shortP95));
  const double longestBase = std::max(1.0, Median(longestAlone.longestP50));
  std::cout
    << "\n| strategy | short p50 ms | short p95 ms | short slowdown | longest p50 ms | longest "
       "slowdown | cached share | done |\n|---|---|---|---|---|---|---|---|\n"
    << "| short alone | " << FormatSpread(shortAlone.shortP50) << " | "
    << FormatSpread(shortAlone.shortP95) << " | 1 | | | | |\n"
    << "| longest alone | | | | " << FormatSpread(longestAlone.longestP50) << " | 1 | | |\n";
  for (const Strategy& strategy : kStrategies) {
    StrategyStats stats;
    for (const std::uint64_t seed : ParseSeeds()) {
      stats.Add(MeasureRun(
        strategy.policy, [](load::LoadPlan&) {}, seed));
    }
    PrintStats(strategy.name, stats, shortBase, longestBase);
  }
}

void
MeasureOverload()
{
  std::cout << "| times the rate | calls | done | refused | done a second | slowest refusal ms |\n"
            << "|---|---|---|---|---|---|\n";
  for (const double factor : { 1.0, 1.5, 3.0, 5.0 }) {
    RunResult sum;
    for (const std::uint64_t seed : ParseSeeds()) {
      const RunResult result = MeasureRun(
        "order=slack choice=probe",
        [factor](load::LoadPlan& aPlan) {
          aPlan.requestsPerSecond *= factor;
          for (load::LengthBand& band : aPlan.bands) {
            band.timeout = std::chrono::seconds(8);
          }
        },
        seed);
      sum.calls += result.calls;
      sum.done += result.done;
      sum.refused += result.refused;
      sum.slowestRefusalMs = std::max(sum.slowestRefusalMs, result.slowestRefusalMs);
    }
    const double seconds = FLAGS_seconds * static_cast<double>(ParseSeeds().size());
    std::cout << "| " << factor << " | " << sum.calls << " | " << sum.done << " | " << sum.refused
              << " | " << static_cast<double>(sum.done) / seconds << " | " << sum.slowestRefusalMs
              << " |" << std::endl;
  }
}

} // namespace
} // namespace sycamorepost::harness

int
main(int aCount, char** aArguments)
{
  gflags::ParseCommandLineFlags(&aCount, &aArguments, true);
  std::cout << "seeds " << FLAGS_seeds << ", " << FLAGS_rate << " requests a second, "
            << FLAGS_engines << " engines" << std::endl;
  if (FLAGS_overload) {
    sycamorepost::harness::MeasureOverload();
  } else {
    sycamorepost::harness::CompareStrategies();
  }
  return 0;
}
