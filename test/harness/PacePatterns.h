// The patterns of docs/design/uneven-load.md in which targets differ in speed. The first fifth of
// the targets is affected.
#ifndef SYCAMOREPOST_TEST_HARNESS_PACE_PATTERNS_H_
#define SYCAMOREPOST_TEST_HARNESS_PACE_PATTERNS_H_

#include <array>

#include "harness/PaceTrial.h"

namespace sycamorepost::harness {

inline constexpr Duration kPaceOnset = std::chrono::seconds(5);
inline constexpr Duration kPaceEnd = std::chrono::seconds(11);
inline constexpr double kPaceSlowness = 2.7;

struct PacePattern
{
  const char* name;
  // Returns by how much a target is slower between onset and end.
  double (*slowness)(bool aIsAffected, Duration aSinceOnset, std::size_t aRunning);
};

inline constexpr std::array<PacePattern, 5> kPacePatterns{ {
  { "a fifth slow",
    [](bool aIsAffected, Duration, std::size_t) { return aIsAffected ? kPaceSlowness : 1; } },
  { "a fifth slow from the third request",
    [](bool aIsAffected, Duration, std::size_t aRunning) {
      return aIsAffected && aRunning >= 3 ? kPaceSlowness : 1;
    } },
  // Changes every 400 ms.
  { "a fifth flapping",
    [](bool aIsAffected, Duration aSinceOnset, std::size_t) {
      return aIsAffected && aSinceOnset / std::chrono::milliseconds(400) % 2 == 0 ? kPaceSlowness
                                                                                  : 1;
    } },
  { "all slow", [](bool, Duration, std::size_t) { return kPaceSlowness; } },
  { "none slow", [](bool, Duration, std::size_t) { return 1.0; } },
} };

// Returns a trial with one of the patterns.
inline PaceTrialOptions
MakePaceTrial(const PacePattern& aPattern, std::uint32_t aTargets)
{
  PaceTrialOptions options;
  options.targets = aTargets;
  options.slowness = [slowness = aPattern.slowness,
                      aTargets](std::uint32_t aTarget, Duration aSince, std::size_t aRunning) {
    return aSince >= kPaceOnset && aSince < kPaceEnd
             ? slowness(aTarget < aTargets / 5, aSince - kPaceOnset, aRunning)
             : 1;
  };
  return options;
}

} // namespace sycamorepost::harness

#endif // SYCAMOREPOST_TEST_HARNESS_PACE_PATTERNS_H_
