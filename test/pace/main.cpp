// Compares strategies on targets that differ in speed, in virtual time. Prints for each pattern and
// strategy the share of late requests and the share of work that the slow targets get.
#include <array>
#include <cstdio>

#include <gflags/gflags.h>

#include "harness/PacePatterns.h"

DEFINE_uint32(entries, 26, "Number of entries.");
DEFINE_uint32(targets, 40, "Number of targets.");
DEFINE_double(rate, 3, "Requests of each entry a second.");
DEFINE_uint64(seed, 1, "First seed.");
DEFINE_uint32(seeds, 3, "Number of seeds.");
DEFINE_uint32(seconds, 16, "Simulated time.");
DEFINE_string(pattern, "", "Run this pattern only.");
DEFINE_bool(plain, true, "Run plain services too.");
DEFINE_bool(baselines, true, "Run equal weights and least outstanding too.");
DEFINE_bool(timeline, false, "Print both shares for every half second.");

namespace sycamorepost::harness {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct Row
{
  const char* name;
  PaceStrategy strategy;
};

constexpr std::array<Row, 4> kStrategies{ { { "learned", PaceStrategy::Learned },
                                            { "unlearned", PaceStrategy::Unlearned },
                                            { "equal weights", PaceStrategy::EqualWeights },
                                            { "least outstanding",
                                              PaceStrategy::LeastOutstanding } } };

void
Print(const PacePattern& aPattern, bool aIsPlain, const Row& aRow)
{
  double late = 0;
  double slow = 0;
  double back = 0;
  double logged = 0;
  for (std::uint32_t i = 0; i < FLAGS_seeds; ++i) {
    PaceTrialOptions options = MakePaceTrial(aPattern, FLAGS_targets);
    options.strategy = aRow.strategy;
    options.seed = FLAGS_seed + i;
    options.entries = FLAGS_entries;
    options.rate = FLAGS_rate;
    options.length = seconds(FLAGS_seconds);
    options.isPlain = aIsPlain;
    const PaceTrialResult result = RunPaceTrial(options);
    const std::uint32_t affected = FLAGS_targets / 5;
    late += result.LateShare(kPaceOnset + seconds(1), kPaceEnd);
    slow += result.ShareBelow(affected, kPaceOnset + seconds(1), kPaceEnd);
    back += result.ShareBelow(affected, kPaceEnd + seconds(3), kPaceEnd + seconds(5));
    logged += static_cast<double>(result.changesLogged);
    if (FLAGS_timeline) {
      for (Duration at{}; at < options.length; at += milliseconds(500)) {
        std::printf("  %5.1f s: late %5.1f %%, slow targets get %5.1f %%, found slow %.0f, "
                    "greatest factor %.2f\n",
                    ToMs(at) / 1000,
                    100 * result.LateShare(at, at + milliseconds(500)),
                    100 * result.ShareBelow(affected, at, at + milliseconds(500)),
                    result.slowTargetCount[static_cast<std::size_t>(ToMs(at) / 100)],
                    result.greatestFactor[static_cast<std::size_t>(ToMs(at) / 500)]);
      }
    }
  }
  std::printf("| %s, %s | %s | %.1f %% | %.1f %% | %.1f %% | %.0f |\n",
              aPattern.name,
              aIsPlain ? "plain" : "engines",
              aRow.name,
              100 * late / FLAGS_seeds,
              100 * slow / FLAGS_seeds,
              100 * back / FLAGS_seeds,
              logged / FLAGS_seeds);
}

} // namespace
} // namespace sycamorepost::harness

int
main(int aCount, char** aArguments)
{
  using namespace sycamorepost::harness;
  gflags::SetUsageMessage("compares strategies on targets that differ in speed; see --helpshort");
  gflags::ParseCommandLineFlags(&aCount, &aArguments, true);
  if (FLAGS_entries == 0 || FLAGS_targets < 5 || FLAGS_rate <= 0 || FLAGS_seeds == 0) {
    std::fprintf(stderr, "--entries, --rate and --seeds must be above 0, --targets at least 5\n");
    return 2;
  }
  std::printf("| pattern | strategy | late | work of the slow | 3 s after | lines logged |\n");
  for (const PacePattern& pattern : kPacePatterns) {
    for (const bool isPlain : { false, true }) {
      for (const Row& row : kStrategies) {
        const bool isBaseline =
          row.strategy != PaceStrategy::Learned && row.strategy != PaceStrategy::Unlearned;
        const bool runs = (FLAGS_pattern.empty() || FLAGS_pattern == pattern.name) &&
                          (FLAGS_plain || !isPlain) && (FLAGS_baselines || !isBaseline);
        if (runs) {
          Print(pattern, isPlain, row);
        }
      }
    }
  }
  return 0;
}
