// Declares the time, target and outcome types that all components use.
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

// A length of time in microseconds.
using Duration = std::chrono::microseconds;

// The clock of Instant. It has no now(), as the core never reads a clock; the type prevents mixing
// in time points of other clocks.
struct MonotonicClock
{
  using duration = Duration;
};

// A time point of the process's monotonic clock. It is meaningless in other processes, so messages
// carry the remaining time instead.
using Instant = std::chrono::time_point<MonotonicClock>;

// An immutable body; shared to avoid copies of large prompts.
using SharedBody = std::shared_ptr<const std::string>;

// One HTTP header field or one log annotation.
using Field = std::pair<std::string, std::string>;

// What became of a connection that was opened for a check.
enum class Reachability
{
  Accepted,
  Refused, // Nothing listens at the address.
  NoReply, // The target, or the network to it, does not respond.
};

// Moves a text into a shared body.
inline SharedBody
MakeBody(std::string aText)
{
  return std::make_shared<const std::string>(std::move(aText));
}

// Converts a duration to whole milliseconds, truncating.
inline std::int64_t
ToMillis(Duration aDuration)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aDuration).count();
}

// Converts a duration to fractional milliseconds.
inline double
ToMs(Duration aDuration)
{
  return std::chrono::duration<double, std::milli>(aDuration).count();
}

// Converts fractional milliseconds to a duration, truncating to microseconds.
inline Duration
FromMs(double aMs)
{
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(aMs));
}

// The outcome of a request, as reported to its caller.
enum class Outcome
{
  Done,    // The whole response was delivered and verified.
  Failed,  // It may have run in part, without a complete response. Repeating it is safe.
  NotRun,  // It certainly did not run and never will.
  Unknown, // It may or may not have taken effect.
};

inline constexpr std::array<std::string_view, 4> kOutcomeNames{ "done",
                                                                "failed",
                                                                "not-run",
                                                                "unknown" };

// Returns the name of an outcome, as used in the response header and in reports.
inline std::string
ToString(Outcome aOutcome)
{
  return std::string(kOutcomeNames.at(static_cast<std::size_t>(aOutcome)));
}

// Parses the name of an outcome; returns nothing for any other text.
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

// The kinds of target that the platform runs.
enum class TargetKind
{
  Engine,
  Service,
};

// A target as listed in the platform's VM list.
struct TargetInfo
{
  std::string name;    // The VM's name, unique in the deployment.
  std::string address; // The message address of the target's sidecar, "ip:port".
  std::string domain;  // The failure domain.
  std::string pool;    // The model or service that the target serves.
  TargetKind kind = TargetKind::Engine;
  bool draining = false; // The platform will remove the VM soon.

  bool operator==(const TargetInfo&) const = default;
};

// The contents of the platform's VM list.
struct FleetView
{
  std::vector<TargetInfo> targets;
  std::vector<std::string> entries; // Message addresses of the live entries.

  bool operator==(const FleetView&) const = default;
};

} // namespace sycamorepost

#endif // SYCAMOREPOST_TYPES_H_
