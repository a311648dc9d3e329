// A trial with targets whose speed changes, in virtual time: entries with real reducers, engines
// that decode in passes and prefill between them, and plain services.
#ifndef SYCAMOREPOST_TEST_HARNESS_PACE_TRIAL_H_
#define SYCAMOREPOST_TEST_HARNESS_PACE_TRIAL_H_

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "sycamorepost/Types.h"

namespace sycamorepost::harness {

// How a request gets its target.
enum class PaceStrategy
{
  Learned,          // By the reducers.
  Unlearned,        // By the reducers, without learn_pace.
  EqualWeights,     // At random.
  LeastOutstanding, // Where the entry has the fewest requests running.
};

struct PaceTrialOptions
{
  PaceStrategy strategy = PaceStrategy::Learned;
  std::uint64_t seed = 1;
  std::uint32_t entries = 26;
  std::uint32_t targets = 40;
  double rate = 3; // Requests of each entry a second.
  bool isPlain = false;
  Duration length = std::chrono::seconds(16);
  // Returns by how much a target is slower than normal. aSince is the time since the start,
  // aRunning the number of requests there.
  std::function<double(std::uint32_t aTarget, Duration aSince, std::size_t aRunning)> slowness;
  // Returns whether a target fails a request at once; empty when none does.
  std::function<bool(std::uint32_t aTarget, Duration aSince)> fails;
};

// What became of one request.
struct TrialRequest
{
  Duration arrivedAt{}; // Since the start.
  std::uint32_t target = 0;
  bool isPlaced = false;
  bool isLate = false; // Refused, failed, or one of its times was beyond its objective.
};

struct PaceTrialResult
{
  std::vector<TrialRequest> requests;  // In the order of their arrival.
  std::vector<double> slowTargetCount; // As the first entry counts them, every 100 ms.
  std::uint64_t changesLogged = 0;     // Lines of all entries that a target is slow or not.
  std::vector<double> greatestFactor;  // Of all targets at the first entry, every 500 ms.

  // Returns the share of late requests among those that arrived from aFrom to aTo.
  double LateShare(Duration aFrom, Duration aTo) const;
  // Returns the share of the placed requests of a time that went to the targets below aTarget.
  double ShareBelow(std::uint32_t aTarget, Duration aFrom, Duration aTo) const;
};

// Runs a trial. The result depends on the options only.
PaceTrialResult
RunPaceTrial(const PaceTrialOptions& aOptions);

} // namespace sycamorepost::harness

#endif // SYCAMOREPOST_TEST_HARNESS_PACE_TRIAL_H_
