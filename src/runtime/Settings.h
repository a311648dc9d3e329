// Declares the settings of the daemons. They are read from TOML files and validated completely
// before a daemon starts.
#ifndef SYCAMOREPOST_RUNTIME_SETTINGS_H_
#define SYCAMOREPOST_RUNTIME_SETTINGS_H_

#include <optional>
#include <string>
#include <vector>

#include "sycamorepost/Types.h"

namespace sycamorepost {

// Settings common to the entry beside sidecars and the sidecar.
struct NodeSettings
{
  std::string address;       // Where peers reach this process, as "ip:port".
  std::string listenAddress; // What it binds for them; differs from address only behind a relay.
  std::string adminAddress;  // Serves the admin endpoints.
  std::string domain;        // The failure domain.
  std::string logAddress;    // The platform's log service.
  std::string vmListAddress; // The platform's VM list.
};

// Returns how many bytes callers may make a process hold that may take aMebiBytes of memory. The
// process at rest, responses that arrive and the allocator's overhead take the rest.
inline std::uint64_t
CallerMemory(std::uint32_t aMebiBytes)
{
  return std::uint64_t{ aMebiBytes } * 1024 * 1024 / 2;
}

// The settings of an entry beside sidecars.
struct EntrySettings
{
  NodeSettings node;
  std::string httpAddress;                       // For callers.
  Duration drainDelay = std::chrono::seconds(2); // From failing /readyz to refusing connections.
  std::uint32_t headerBytes = 16 * 1024;         // Largest request header.
  std::uint64_t bodyBytes = 16 * 1024 * 1024;    // Largest request body.
  // Resident memory of the process, in MiB; at least four bodies. If it is not set, 512 or four
  // bodies.
  std::uint32_t memory = 512;
  std::uint32_t connections = 4096; // Limit on open connections of callers.
  Duration readTimeout =
    std::chrono::seconds(30); // For a request's header, and again for its body.
};

// The settings of a forwarding entry, which calls the targets itself on the platform's machines.
struct ForwardSettings
{
  std::string name;         // Unique among the entries.
  std::string domain;       // The failure domain.
  std::string httpAddress;  // For callers.
  std::string adminAddress; // Serves the admin endpoints, to the balancer and operators.
  std::string peerAddress;  // Where the other entries reach this one.
  std::string storeAddress; // The platform's store.
  Duration drainDelay =
    std::chrono::milliseconds(2500);        // 2.5 health check intervals of the balancer.
  Duration grace = std::chrono::seconds(8); // From SIGTERM until the platform ends the process.
  std::uint32_t descriptors = 4096;         // Limit on open file descriptors.
  std::uint32_t memory = 512;               // Resident memory of the process, in MiB.
  std::uint32_t logSample = 64; // One request in this many is logged even if it succeeds.
  double retryRatio = 0.2;      // See ForwardConfig.
  double retrySlack = 20;       // See ForwardConfig.
  double coldOverage = 1.5;     // See ColdBound.
  double coldSlack = 5;         // See ColdBound.
  Duration reservationLease = std::chrono::seconds(3); // See ForwardConfig.
  Duration targetDrainTimeout =
    std::chrono::seconds(2); // By when a draining target must get no new attempts.
  Duration changeBound =
    std::chrono::seconds(2); // By when a new version of the configuration must be in force.
  bool learnPace = false;    // See ForwardConfig.
};

// The settings of a sidecar.
struct SidecarSettings
{
  NodeSettings node;
  std::string name; // Name of the VM in the platform's VM list.
  std::string pool; // The model or service that the target serves.
  TargetKind kind = TargetKind::Engine;
  std::string targetAddress;
  std::uint32_t maxRunning = 64; // Limit on requests that run on the target at once.
};

// An error in a settings file.
struct SettingsError
{
  std::size_t line = 0; // From 1; 0 if the error belongs to no line.
  std::string reason;
};

// Parses the settings of an entry beside sidecars. If there are errors, returns nothing and appends
// all of them to aErrors, ordered by line.
std::optional<EntrySettings>
ParseEntrySettings(const std::string& aText, std::vector<SettingsError>& aErrors);

// Parses the settings of a forwarding entry; errors as in ParseEntrySettings().
std::optional<ForwardSettings>
ParseForwardSettings(const std::string& aText, std::vector<SettingsError>& aErrors);

// Returns whether a settings text belongs to a forwarding entry, that is, has the table [forward].
bool
IsForwardSettings(const std::string& aText);

// Parses the settings of a sidecar; errors as in ParseEntrySettings().
std::optional<SidecarSettings>
ParseSidecarSettings(const std::string& aText, std::vector<SettingsError>& aErrors);

// Returns the content of a file. On failure returns nothing and sets aReason.
std::optional<std::string>
ReadFile(const std::string& aPath, std::string& aReason);

// Reads and parses a settings file. Returns nothing on failure, and prints each error to standard
// error as FILE:LINE: reason.
template<typename Settings>
std::optional<Settings>
LoadSettings(const std::string& aPath,
             std::optional<Settings> (*aParse)(const std::string&, std::vector<SettingsError>&))
{
  std::string reason;
  const std::optional<std::string> text = ReadFile(aPath, reason);
  std::vector<SettingsError> errors;
  std::optional<Settings> settings;
  if (text) {
    settings = aParse(*text, errors);
  } else {
    errors.push_back({ 0, reason });
  }
  for (const SettingsError& error : errors) {
    const std::string line = error.line == 0 ? "" : ":" + std::to_string(error.line);
    fprintf(stderr, "%s%s: %s\n", aPath.c_str(), line.c_str(), error.reason.c_str());
  }
  return settings;
}

} // namespace sycamorepost

#endif // SYCAMOREPOST_RUNTIME_SETTINGS_H_
