// Offers the settings of the daemons: TOML files, checked whole before anything starts.
#ifndef SYCAMOREPOST_RUNTIME_SETTINGS_H_
#define SYCAMOREPOST_RUNTIME_SETTINGS_H_

#include <optional>
#include <string>
#include <vector>

#include "sycamorepost/Types.h"

namespace sycamorepost {

// What both daemons need.
struct NodeSettings
{
  std::string address;       // Where peers reach this process, "ip:port".
  std::string listenAddress; // Where it listens for them; the same unless something is between.
  std::string adminAddress;  // For operators: dump, metrics, health.
  std::string domain;        // The failure domain.
  std::string logAddress;
  std::string vmListAddress;
};

// The settings of an entry.
struct EntrySettings
{
  NodeSettings node;
  std::string httpAddress; // For callers.
  Duration drainDelay = std::chrono::seconds(2);
  std::uint32_t headerBytes = 16 * 1024;
  std::uint64_t bodyBytes = 16 * 1024 * 1024;
  std::uint32_t connections = 4096;
  Duration readBound = std::chrono::seconds(30);
};

// The settings of an entry that forwards by itself, on the platform's machines.
struct ForwardSettings
{
  std::string name;         // Unique among the entries.
  std::string domain;       // The failure domain.
  std::string httpAddress;  // For callers.
  std::string adminAddress; // For the balancer and operators: readiness, metrics, dump.
  std::string peerAddress;  // Where the other entries reach this one.
  std::string storeAddress; // The platform's store.
  Duration drainDelay = std::chrono::milliseconds(2500); // Two checks of the balancer and a half.
  std::uint32_t descriptors = 4096;                      // That the process may open.
  std::uint32_t logSample = 64; // One request in this many has its successes logged.
  double retryRatio = 0.2;      // See ForwardConfig.
  double retrySlack = 20;
  Duration reservationLease = std::chrono::seconds(3);
  Duration leaveBound = std::chrono::seconds(2); // Until a target that leaves must be left alone.
};

// The settings of a sidecar.
struct SidecarSettings
{
  NodeSettings node;
  std::string name; // The VM's name in the platform's list.
  std::string pool; // The model or service that the target serves.
  TargetKind kind = TargetKind::Engine;
  std::string targetAddress;
  std::uint32_t maxRunning = 64;
};

// One error in a settings file.
struct SettingsError
{
  std::size_t line = 0; // 0 when the error belongs to no line.
  std::string reason;
};

// Parses an entry's settings; on failure returns nothing and fills the errors.
std::optional<EntrySettings>
ParseEntrySettings(const std::string& aText, std::vector<SettingsError>& aErrors);

// Parses the settings of an entry that forwards; on failure returns nothing and fills the errors.
std::optional<ForwardSettings>
ParseForwardSettings(const std::string& aText, std::vector<SettingsError>& aErrors);

// Returns whether a settings text is one of an entry that forwards: it has the table [forward].
bool
IsForwardSettings(const std::string& aText);

// Parses a sidecar's settings; on failure returns nothing and fills the errors.
std::optional<SidecarSettings>
ParseSidecarSettings(const std::string& aText, std::vector<SettingsError>& aErrors);

// Reads a whole file; on failure returns nothing and sets the reason.
std::optional<std::string>
ReadFile(const std::string& aPath, std::string& aReason);

// Reads and parses a settings file, printing each error to standard error as FILE:LINE: reason.
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
