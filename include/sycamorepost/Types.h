// Offers the time, identity and outcome types that every other part shares.
#ifndef SYCAMOREPOST_TYPES_H_
#define SYCAMOREPOST_TYPES_H_

#include <array>
#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace sycamorepost {

// A span of time. The core computes with it but never reads a clock.
using Duration = std::chrono::microseconds;

// Names the clock that instants belong to. The core never reads a clock; the type keeps times of
// other clocks from being mixed with it.
struct MonotonicClock
{
  using duration = Duration;
};

// A point on the process's own monotonic clock. It means nothing to another process, so messages
// carry remaining time instead.
using Instant = std::chrono::time_point<MonotonicClock>;

// A body that several parts read and nobody changes; sharing it avoids copies of large prompts.
using SharedBody = std::shared_ptr<const std::string>;

// One HTTP header field or one log annotation.
using Field = std::pair<std::string, std::string>;

// Wraps a text into a shared body.
inline SharedBody
MakeBody(std::string aText)
{
  return std::make_shared<const std::string>(std::move(aText));
}

// Returns the whole milliseconds in a span.
inline std::int64_t
ToMillis(Duration aDuration)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aDuration).count();
}

// Converts a span from and to milliseconds with their fractions.
inline double
ToMs(Duration aDuration)
{
  return std::chrono::duration<double, std::milli>(aDuration).count();
}

inline Duration
FromMs(double aMs)
{
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(aMs));
}

// What became of a request, as told to its caller.
enum class Outcome
{
  Done,    // The whole answer was delivered and verified.
  Failed,  // It ran, or may have run in part, and there is no whole answer. Repeating is safe.
  NotRun,  // It is proved that this request did not run and never will.
  Unknown, // It may or may not have taken effect.
};

inline constexpr std::array<std::string_view, 4> kOutcomeNames{ "done",
                                                                "failed",
                                                                "not-run",
                                                                "unknown" };

// Returns the name used in the response header and in reports.
inline std::string
ToString(Outcome aOutcome)
{
  return std::string(kOutcomeNames.at(static_cast<std::size_t>(aOutcome)));
}

// Parses an outcome name; returns nothing for any other word.
inline std::optional<Outcome>
ParseOutcome(std::string_view aName)
{
  for (std::size_t i = 0; i < kOutcomeNames.size(); ++i) {
    if (kOutcomeNames.at(i) == aName) {
      return static_cast<Outcome>(i);
    }
  }
  return std::nullopt;
}

// The two kinds of target that the platform runs.
enum class TargetKind
{
  Engine,
  Service,
};

// One target as the platform's VM list describes it.
struct TargetInfo
{
  std::string name;    // The VM's name, unique in the deployment.
  std::string address; // Where the target's sidecar listens for messages, "ip:port".
  std::string domain;  // The failure domain.
  std::string pool;    // The model or service that the target serves.
  TargetKind kind = TargetKind::Engine;
  bool leaving = false; // The platform is about to take the VM away.

  bool operator==(const TargetInfo&) const = default;
};

// What the platform's VM list knows: targets and entries.
struct FleetView
{
  std::vector<TargetInfo> targets;
  std::vector<std::string> entries; // Message addresses of the live entries.

  bool operator==(const FleetView&) const = default;
};

} // namespace sycamorepost

#endif // SYCAMOREPOST_TYPES_H_
