#include "runtime/Settings.h"

#include <algorithm>
#include <fstream>
#include <set>
#include <sstream>

#include <toml++/toml.h>

#include "net/Http.h"
#include "sycamorepost/Rules.h"
#include "sycamorepost/internal/Text.h"

namespace sycamorepost {

namespace {

std::size_t
LineOf(const toml::node& aNode)
{
  return aNode.source().begin.line;
}

// Reads the keys of one table and collects the errors of all of them.
class TableReader
{
public:
  TableReader(const toml::table& aRoot, std::string aName, std::vector<SettingsError>& aErrors)
    : name(std::move(aName))
    , errors(aErrors)
    , table(aRoot[this->name].as_table())
  {
    if (!this->table) {
      this->errors.push_back({ 0, "the table [" + this->name + "] is missing" });
    }
  }

  // Reads a required string.
  void ReadString(const std::string& aKey, std::string& aValue)
  {
    if (const toml::node* node = this->Find(aKey, true)) {
      this->Assign(*node, aKey, aValue, "a string");
    }
  }

  // Reads a required address of the form "ip:port".
  void ReadAddress(const std::string& aKey, std::string& aValue)
  {
    const std::size_t before = this->errors.size();
    this->ReadString(aKey, aValue);
    const toml::node* node = this->Find(aKey, false);
    if (node && this->errors.size() == before && !ParseEndpoint(aValue)) {
      this->AddError(*node, aKey + " = \"" + aValue + "\" is not an address of the form ip:port");
    }
  }

  // Reads an optional address of the form "ip:port".
  void ReadOptionalAddress(const std::string& aKey, std::string& aValue)
  {
    if (this->Find(aKey, false)) {
      this->ReadAddress(aKey, aValue);
    }
  }

  // Reads an optional integer and checks that it is from aMin to aMax.
  template<typename Number>
  void ReadInteger(const std::string& aKey, Number& aValue, std::int64_t aMin, std::int64_t aMax)
  {
    const toml::node* node = this->Find(aKey, false);
    std::int64_t value = 0;
    if (!node || !this->Assign(*node, aKey, value, "an integer")) {
      return;
    }
    if (value < aMin || value > aMax) {
      this->AddError(
        *node, aKey + " must be from " + std::to_string(aMin) + " to " + std::to_string(aMax));
      return;
    }
    aValue = static_cast<Number>(value);
  }

  // Reads an optional non-negative number.
  void ReadNumber(const std::string& aKey, double& aValue)
  {
    const toml::node* node = this->Find(aKey, false);
    if (!node) {
      return;
    }
    const auto value = node->value<double>();
    if (!value || *value < 0) {
      this->AddError(*node, aKey + " must be a non-negative number");
      return;
    }
    aValue = *value;
  }

  // Reads an optional duration such as "2s".
  void ReadDuration(const std::string& aKey, Duration& aValue)
  {
    const toml::node* node = this->Find(aKey, false);
    std::string text;
    if (!node || !this->Assign(*node, aKey, text, "a string")) {
      return;
    }
    if (const auto duration = ParseDuration(text)) {
      aValue = *duration;
    } else {
      this->AddError(*node, aKey + " = \"" + text + "\" is not a duration such as \"2s\"");
    }
  }

  // Reads a required target kind: "engine" or "service".
  void ReadTargetKind(const std::string& aKey, TargetKind& aValue)
  {
    std::string text;
    const std::size_t before = this->errors.size();
    this->ReadString(aKey, text);
    if (this->errors.size() != before || !this->table) {
      return;
    }
    if (text == "engine" || text == "service") {
      aValue = text == "engine" ? TargetKind::Engine : TargetKind::Service;
    } else {
      this->AddError(*this->Find(aKey, false), aKey + " must be \"engine\" or \"service\"");
    }
  }

  // Reports the keys of the table that were not read as unknown. Call it after the last read.
  void ReportUnknownKeys()
  {
    if (!this->table) {
      return;
    }
    for (const auto& [key, node] : *this->table) {
      const std::string name(key.str());
      if (this->readKeys.contains(name)) {
        continue;
      }
      const std::vector<std::string_view> names(this->readKeys.begin(), this->readKeys.end());
      this->AddError(node,
                     "unknown key '" + name + "'; did you mean '" +
                       std::string(internal::NearestWord(name, names)) + "'?");
    }
  }

private:
  const toml::node* Find(const std::string& aKey, bool aRequired)
  {
    this->readKeys.insert(aKey);
    if (!this->table) {
      return nullptr;
    }
    const toml::node* node = this->table->get(aKey);
    if (!node && aRequired) {
      this->errors.push_back(
        { this->table->source().begin.line, "[" + this->name + "] requires '" + aKey + "'" });
    }
    return node;
  }

  template<typename Value>
  bool Assign(const toml::node& aNode, const std::string& aKey, Value& aValue, const char* aWanted)
  {
    const auto value = aNode.value_exact<Value>();
    if (!value) {
      this->AddError(aNode, aKey + " must be " + aWanted);
      return false;
    }
    aValue = *value;
    return true;
  }

  void AddError(const toml::node& aNode, std::string aReason)
  {
    this->errors.push_back({ LineOf(aNode), std::move(aReason) });
  }

  std::string name;
  std::vector<SettingsError>& errors;
  const toml::table* table;
  std::set<std::string> readKeys;
};

void
CheckTableNames(const toml::table& aRoot,
                const std::set<std::string>& aKnown,
                std::vector<SettingsError>& aErrors)
{
  for (const auto& [key, node] : aRoot) {
    const std::string name(key.str());
    if (!aKnown.contains(name)) {
      aErrors.push_back({ LineOf(node), "unknown table or key '" + name + "'" });
    }
  }
}

void
ReadNodeSettings(const toml::table& aRoot, NodeSettings& aNode, std::vector<SettingsError>& aErrors)
{
  TableReader node(aRoot, "node", aErrors);
  node.ReadAddress("address", aNode.address);
  aNode.listenAddress = aNode.address;
  node.ReadOptionalAddress("listen_address", aNode.listenAddress);
  node.ReadAddress("admin_address", aNode.adminAddress);
  node.ReadString("domain", aNode.domain);
  node.ReportUnknownKeys();
  TableReader platform(aRoot, "platform", aErrors);
  platform.ReadAddress("log_address", aNode.logAddress);
  platform.ReadAddress("vm_list_address", aNode.vmListAddress);
  platform.ReportUnknownKeys();
}

std::optional<toml::table>
ParseToml(const std::string& aText, std::vector<SettingsError>& aErrors)
{
  try {
    return toml::parse(aText);
  } catch (const toml::parse_error& error) {
    aErrors.push_back({ error.source().begin.line, std::string(error.description()) });
    return std::nullopt;
  }
}

void
SortErrors(std::vector<SettingsError>& aErrors)
{
  std::stable_sort(
    aErrors.begin(), aErrors.end(), [](const SettingsError& aLeft, const SettingsError& aRight) {
      return aLeft.line < aRight.line;
    });
}

// The largest memory of a process, in MiB.
constexpr std::int64_t kMaxMemory = 1'000'000;

// Returns the least memory, in MiB, with which one body of the largest size is served: callers hold
// at most half of it, and a large body has to be granted beside others.
std::int64_t
MemoryForBodies(const EntrySettings& aSettings)
{
  static constexpr std::uint64_t kBodies = 4;
  static constexpr std::uint64_t kMebiByte = 1024ULL * 1024;
  static constexpr std::uint64_t kMinMemory = 32;
  const std::uint64_t bytes = kBodies * aSettings.bodyBytes;
  return static_cast<std::int64_t>(std::max(kMinMemory, (bytes + kMebiByte - 1) / kMebiByte));
}

} // namespace

std::optional<EntrySettings>
ParseEntrySettings(const std::string& aText, std::vector<SettingsError>& aErrors)
{
  static constexpr std::int64_t kMaxBodyBytes = 256 * 1024 * 1024;
  const auto root = ParseToml(aText, aErrors);
  if (!root) {
    return std::nullopt;
  }
  EntrySettings settings;
  CheckTableNames(*root, { "node", "platform", "entry" }, aErrors);
  ReadNodeSettings(*root, settings.node, aErrors);
  TableReader entry(*root, "entry", aErrors);
  entry.ReadAddress("http_address", settings.httpAddress);
  entry.ReadDuration("drain_delay", settings.drainDelay);
  entry.ReadInteger("header_bytes", settings.headerBytes, 1024, 1024 * 1024);
  entry.ReadInteger("body_bytes", settings.bodyBytes, 1024, kMaxBodyBytes);
  settings.memory =
    std::max(settings.memory, static_cast<std::uint32_t>(MemoryForBodies(settings)));
  entry.ReadInteger("memory", settings.memory, MemoryForBodies(settings), kMaxMemory);
  entry.ReadInteger("connections", settings.connections, 1, 100'000);
  entry.ReadDuration("read_bound", settings.readTimeout);
  entry.ReportUnknownKeys();
  SortErrors(aErrors);
  return aErrors.empty() ? std::optional(settings) : std::nullopt;
}

std::optional<ForwardSettings>
ParseForwardSettings(const std::string& aText, std::vector<SettingsError>& aErrors)
{
  static constexpr std::int64_t kMaxDescriptors = 1'000'000;
  static constexpr std::int64_t kMinMemory = 32; // The process at rest takes about half of it.
  static constexpr std::int64_t kMaxSample = 1'000'000;
  const auto root = ParseToml(aText, aErrors);
  if (!root) {
    return std::nullopt;
  }
  ForwardSettings settings;
  CheckTableNames(*root, { "forward" }, aErrors);
  TableReader forward(*root, "forward", aErrors);
  forward.ReadString("name", settings.name);
  forward.ReadString("domain", settings.domain);
  forward.ReadAddress("http_address", settings.httpAddress);
  forward.ReadAddress("admin_address", settings.adminAddress);
  forward.ReadAddress("peer_address", settings.peerAddress);
  forward.ReadAddress("store_address", settings.storeAddress);
  forward.ReadDuration("drain_delay", settings.drainDelay);
  forward.ReadDuration("grace", settings.grace);
  forward.ReadInteger("descriptors", settings.descriptors, 256, kMaxDescriptors);
  forward.ReadInteger("memory", settings.memory, kMinMemory, kMaxMemory);
  forward.ReadInteger("log_sample", settings.logSample, 1, kMaxSample);
  forward.ReadNumber("retry_ratio", settings.retryRatio);
  forward.ReadNumber("retry_slack", settings.retrySlack);
  forward.ReadNumber("cold_overage", settings.coldOverage);
  forward.ReadNumber("cold_slack", settings.coldSlack);
  forward.ReadDuration("reservation_lease", settings.reservationLease);
  forward.ReadDuration("leave_bound", settings.targetDrainTimeout);
  forward.ReadDuration("change_bound", settings.changeBound);
  forward.ReportUnknownKeys();
  SortErrors(aErrors);
  return aErrors.empty() ? std::optional(settings) : std::nullopt;
}

bool
IsForwardSettings(const std::string& aText)
{
  std::vector<SettingsError> ignored; // The parser that is chosen by the result reports them.
  const auto root = ParseToml(aText, ignored);
  return root && (*root)["forward"].is_table();
}

std::optional<SidecarSettings>
ParseSidecarSettings(const std::string& aText, std::vector<SettingsError>& aErrors)
{
  const auto root = ParseToml(aText, aErrors);
  if (!root) {
    return std::nullopt;
  }
  SidecarSettings settings;
  CheckTableNames(*root, { "node", "platform", "sidecar" }, aErrors);
  ReadNodeSettings(*root, settings.node, aErrors);
  TableReader sidecar(*root, "sidecar", aErrors);
  sidecar.ReadString("name", settings.name);
  sidecar.ReadString("pool", settings.pool);
  sidecar.ReadTargetKind("kind", settings.kind);
  sidecar.ReadAddress("target_address", settings.targetAddress);
  sidecar.ReadInteger("max_running", settings.maxRunning, 1, 10'000);
  sidecar.ReportUnknownKeys();
  SortErrors(aErrors);
  return aErrors.empty() ? std::optional(settings) : std::nullopt;
}

std::optional<std::string>
ReadFile(const std::string& aPath, std::string& aReason)
{
  std::ifstream file(aPath, std::ios::binary);
  if (!file) {
    aReason = "the file cannot be read";
    return std::nullopt;
  }
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

} // namespace sycamorepost
