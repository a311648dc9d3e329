#include "Cluster.h"

#include <array>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <thread>

#include <boost/beast/core/string.hpp>
#include <nlohmann/json.hpp>

#include "runtime/Blocking.h"
#include "runtime/KeyDigest.h"
#include "sycamorepost/internal/Text.h"

namespace sycamorepost::harness {

namespace {

// Third octets of the loopback addresses.
constexpr int kPlatformSubnet = 9;
constexpr int kEntrySubnet = 1;
constexpr int kTargetSubnet = 2;
constexpr std::chrono::milliseconds kStartTimeout{ 15'000 };
constexpr std::chrono::milliseconds kPollInterval{ 20 };
constexpr std::array<const char*, 3> kDomains{ "hobart", "launceston", "burnie" };

} // namespace

HttpReply
SendHttpRequest(const std::string& aAddress,
                const std::string& aMethod,
                const std::string& aTarget,
                std::vector<Field> aFields,
                const std::string& aBody,
                Duration aTimeout)
{
  HttpCall call;
  call.address = aAddress;
  call.method = aMethod;
  call.target = aTarget;
  call.fields = std::move(aFields);
  call.body = MakeBody(aBody);
  call.timeout = aTimeout;
  return RunBlocking(Fetch(std::move(call)));
}

std::string
HeaderField(const HttpReply& aReply, const std::string& aName)
{
  for (const auto& [name, value] : aReply.fields) {
    if (beast::iequals(name, aName)) {
      return value;
    }
  }
  return {};
}

nlohmann::json
FetchDump(const std::string& aAdminAddress)
{
  const HttpReply reply =
    SendHttpRequest(aAdminAddress, "GET", "/dump", {}, "", std::chrono::milliseconds(500));
  return nlohmann::json::parse(reply.body, nullptr, false);
}

bool
WaitUntil(std::chrono::milliseconds aTimeout, const std::function<bool()>& aCondition)
{
  const auto until = std::chrono::steady_clock::now() + aTimeout;
  while (!aCondition()) {
    if (std::chrono::steady_clock::now() >= until) {
      return false;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  return true;
}

std::string
BinaryDirectory()
{
  const char* directory = std::getenv("SYCAMOREPOST_BIN");
  return directory ? directory : "build/bin";
}

int
ShiftNetwork(int aNetwork)
{
  const char* shift = std::getenv("SYCAMOREPOST_NETWORK_SHIFT");
  return aNetwork + (shift ? internal::ParseNumber<int>(shift).value_or(0) : 0);
}

std::string
TestApiKey(const std::string& aAccount)
{
  return "key-of-" + aAccount;
}

std::string
DefaultRules()
{
  std::string rules;
  for (const char* account : { "derwent", "jingjie", "small" }) {
    rules += std::string("account ") + account + " key=" + DigestKey(TestApiKey(account)) +
             "  # A. Operator: test account\n";
  }
  rules +=
    "service bookings path=/bookings once=POST timeout=10s shards=4  # A. Operator: bookings\n";
  rules += "model quiz context=1048576 timeout=60s  # A. Operator: the assistant\n";
  return rules;
}

ClusterPlan
SmallClusterPlan(int aNetwork, int aEngines)
{
  ClusterPlan plan;
  plan.network = aNetwork;
  for (int i = 0; i < aEngines; ++i) {
    TargetPlan target;
    target.name = "engine-" + std::to_string(i + 1);
    target.domain = kDomains.at(static_cast<std::size_t>(i) % kDomains.size());
    target.pool = "quiz";
    plan.targets.push_back(std::move(target));
  }
  for (std::size_t i = 0; i < kDomains.size(); ++i) {
    TargetPlan target;
    target.name = "bookings-" + std::to_string(i + 1);
    target.domain = kDomains.at(i);
    target.pool = "bookings";
    target.kind = TargetKind::Service;
    plan.targets.push_back(std::move(target));
  }
  plan.rules = DefaultRules();
  return plan;
}

Cluster::Cluster(ClusterPlan aPlan)
  : plan(std::move(aPlan))
{
  if (this->plan.binaries.empty()) {
    this->plan.binaries = BinaryDirectory();
  }
  this->plan.network = ShiftNetwork(this->plan.network);
  if (this->plan.directory.empty()) {
    this->plan.directory = "run/cluster-" + std::to_string(this->plan.network);
  }
  std::filesystem::remove_all(this->plan.directory);
  std::filesystem::create_directories(this->plan.directory);
}

std::string
Cluster::Ip(int aSubnet, int aIndex) const
{
  return "127." + std::to_string(this->plan.network) + "." + std::to_string(aSubnet) + "." +
         std::to_string(aIndex);
}

std::string
Cluster::BinaryPath(const std::string& aName) const
{
  return this->plan.binaries + "/" + aName;
}

std::string
Cluster::OutputPath(const std::string& aName) const
{
  return this->plan.directory + "/" + aName + ".log";
}

std::string
Cluster::WriteSettings(const std::string& aName, const std::string& aText)
{
  std::string path = this->plan.directory + "/" + aName + ".toml";
  std::ofstream(path) << aText;
  return path;
}

std::string
Cluster::NodeSettingsText(const std::string& aIp, const std::string& aDomain) const
{
  const std::string listen = aIp + (this->plan.relays ? ":8000" : ":7000");
  return "[node]\naddress = \"" + aIp + ":7000\"\nlisten_address = \"" + listen +
         "\"\nadmin_address = \"" + aIp + ":7001\"\ndomain = \"" + aDomain +
         "\"\n\n[platform]\nlog_address = \"" + this->LogAddress() + "\"\nvm_list_address = \"" +
         this->VmListAddress() + "\"\n\n";
}

std::string
Cluster::LogAddress() const
{
  return this->Ip(kPlatformSubnet, 1) + ":7300";
}

std::string
Cluster::VmListAddress() const
{
  return this->Ip(kPlatformSubnet, 2) + ":7300";
}

// Returns the address where a process listens so that it is reachable at the public port. With
// relays, it starts the named relay unless it exists and returns the address behind it.
std::string
Cluster::EnsureRelay(const std::string& aRelay, const std::string& aIp, int aPort)
{
  std::string publicAddress = aIp + ":" + std::to_string(aPort);
  if (!this->plan.relays) {
    return publicAddress;
  }
  std::string backendAddress = aIp + ":" + std::to_string(aPort + 1000);
  std::unique_ptr<Relay>& relay = this->relays[aRelay];
  if (!relay) {
    relay = std::make_unique<Relay>(publicAddress, backendAddress);
  }
  return backendAddress;
}

void
Cluster::BlackholeOpenConnections(const std::string& aPrefix)
{
  for (auto& [name, relay] : this->relays) {
    if (name.starts_with(aPrefix)) {
      relay->BlackholeOpenConnections();
    }
  }
}

void
Cluster::StartLog()
{
  std::vector<std::string> command{ this->BinaryPath("standin-log"),
                                    "--listen",
                                    this->EnsureRelay("log", this->Ip(kPlatformSubnet, 1), 7300) };
  command.insert(command.end(), this->plan.logFlags.begin(), this->plan.logFlags.end());
  this->log = Process::Start(command, this->OutputPath("log"));
}

void
Cluster::StartTarget(TargetVm& aVm)
{
  const bool engine = aVm.plan.kind == TargetKind::Engine;
  if (engine && this->plan.sharedEngine && &aVm != &this->targets.front()) {
    return;
  }
  std::vector<std::string> command{ this->BinaryPath(engine ? "standin-engine" : "standin-service"),
                                    "--listen",
                                    this->EnsureRelay("target:" + aVm.plan.name, aVm.ip, 7100) };
  if (!engine) {
    command.insert(
      command.end(),
      { "--name", aVm.plan.name, "--effects", this->plan.directory + "/effects.jsonl" });
  }
  command.insert(command.end(), aVm.plan.flags.begin(), aVm.plan.flags.end());
  aVm.target = Process::Start(command, this->OutputPath(aVm.plan.name + "-target"));
}

void
Cluster::StartSidecar(TargetVm& aVm)
{
  const std::string kind = aVm.plan.kind == TargetKind::Engine ? "engine" : "service";
  this->EnsureRelay("peer:" + aVm.plan.name, aVm.ip, 7000);
  const bool shared = this->plan.sharedEngine && aVm.plan.kind == TargetKind::Engine;
  const std::string target = shared ? this->targets.front().TargetAddress() : aVm.TargetAddress();
  const std::string settings =
    this->WriteSettings(aVm.plan.name,
                        this->NodeSettingsText(aVm.ip, aVm.plan.domain) + "[sidecar]\nname = \"" +
                          aVm.plan.name + "\"\npool = \"" + aVm.plan.pool + "\"\nkind = \"" + kind +
                          "\"\ntarget_address = \"" + target + "\"\n");
  aVm.sidecar = Process::Start({ this->BinaryPath("sycamorepost-sidecar"), "--config", settings },
                               this->OutputPath(aVm.plan.name));
}

void
Cluster::StartEntry(EntryVm& aVm)
{
  this->EnsureRelay("peer:" + aVm.name, aVm.ip, 7000);
  const std::string settings =
    this->WriteSettings(aVm.name,
                        this->NodeSettingsText(aVm.ip, aVm.domain) + "[entry]\nhttp_address = \"" +
                          aVm.HttpAddress() + "\"\ndrain_delay = \"300ms\"\n");
  aVm.entry = Process::Start({ this->BinaryPath("sycamorepost-entry"), "--config", settings },
                             this->OutputPath(aVm.name));
}

void
Cluster::PostVmUpdate(const std::string& aJson)
{
  const bool posted = WaitUntil(kStartTimeout, [&] {
    return SendHttpRequest(this->VmListAddress(), "POST", "/vms", {}, aJson).Ok();
  });
  if (!posted) {
    throw std::runtime_error("the VM list did not accept an update before the start timeout");
  }
}

void
Cluster::Announce(const TargetVm& aVm, const std::string& aState)
{
  const nlohmann::json vm{ { "vm", aVm.plan.name },
                           { "address", aVm.PeerAddress() },
                           { "domain", aVm.plan.domain },
                           { "role", aVm.plan.kind == TargetKind::Engine ? "engine" : "service" },
                           { "serves", aVm.plan.pool },
                           { "state", aState } };
  this->PostVmUpdate(nlohmann::json::array({ vm }).dump());
}

void
Cluster::Announce(const EntryVm& aVm, const std::string& aState)
{
  const nlohmann::json vm{ { "vm", aVm.name },       { "address", aVm.PeerAddress() },
                           { "domain", aVm.domain }, { "role", "entry" },
                           { "serves", "" },         { "state", aState } };
  this->PostVmUpdate(nlohmann::json::array({ vm }).dump());
}

void
Cluster::SetFaults(const std::string& aAddress, const std::string& aJson)
{
  SendHttpRequest(aAddress, "POST", "/faults", {}, aJson);
}

std::uint64_t
Cluster::Publish(const std::string& aRules)
{
  LogClient client(this->LogAddress());
  PublishResult result;
  const bool accepted = WaitUntil(kStartTimeout, [&] {
    const RuleHistory history = RunBlocking(ReadRuleHistory(client));
    if (!history.ok) {
      return false;
    }
    result = RunBlocking(PublishRules(client, aRules, history.store.Version()));
    return result.end == PublishEnd::Accepted;
  });
  if (!accepted) {
    throw std::runtime_error("the rules were not published before the start timeout: " +
                             result.reason);
  }
  return result.version;
}

bool
Cluster::WaitForRules(std::uint64_t aVersion, std::chrono::milliseconds aTimeout)
{
  std::vector<std::string> pendingAddresses;
  for (EntryVm& entry : this->entries) {
    if (entry.entry.Pid() > 0) {
      pendingAddresses.push_back(entry.AdminAddress());
    }
  }
  for (TargetVm& target : this->targets) {
    if (target.sidecar.Pid() > 0) {
      pendingAddresses.push_back(target.AdminAddress());
    }
  }
  return WaitUntil(aTimeout, [&] {
    std::erase_if(pendingAddresses, [&](const std::string& aAddress) {
      const nlohmann::json dump = FetchDump(aAddress);
      return dump.is_object() && dump.value("rules_version", std::uint64_t{ 0 }) >= aVersion;
    });
    return pendingAddresses.empty();
  });
}

void
Cluster::Start()
{
  this->StartLog();
  this->vmList =
    Process::Start({ this->BinaryPath("standin-vms"), "--listen", this->VmListAddress() },
                   this->OutputPath("vms"));
  for (std::size_t i = 0; i < this->plan.targets.size(); ++i) {
    TargetVm vm;
    vm.plan = this->plan.targets[i];
    vm.ip = this->Ip(kTargetSubnet, static_cast<int>(i) + 1);
    this->targets.push_back(std::move(vm));
  }
  for (std::size_t i = 0; i < this->plan.entryDomains.size(); ++i) {
    EntryVm vm;
    vm.name = "entry-" + std::to_string(i + 1);
    vm.domain = this->plan.entryDomains[i];
    vm.ip = this->Ip(kEntrySubnet, static_cast<int>(i) + 1);
    this->entries.push_back(std::move(vm));
  }
  for (TargetVm& vm : this->targets) {
    this->StartTarget(vm);
    this->StartSidecar(vm);
    this->Announce(vm, "live");
  }
  for (EntryVm& vm : this->entries) {
    this->StartEntry(vm);
    this->Announce(vm, "live");
  }
  const std::uint64_t version = this->Publish(this->plan.rules);
  if (!this->WaitForRules(version, kStartTimeout)) {
    throw std::runtime_error("not every daemon applied the rules before the start timeout");
  }
  const bool ready = WaitUntil(kStartTimeout, [&] {
    for (EntryVm& vm : this->entries) {
      const nlohmann::json dump = FetchDump(vm.AdminAddress());
      if (!dump.is_object() || dump.at("targets").size() != this->targets.size() ||
          dump.at("entries").size() != this->entries.size()) {
        return false;
      }
    }
    for (TargetVm& vm : this->targets) {
      const nlohmann::json dump = FetchDump(vm.AdminAddress());
      const bool up =
        dump.is_object() && (!dump.contains("engine") || dump["engine"].value("state", "") == "up");
      if (!up) {
        return false;
      }
    }
    return true;
  });
  if (!ready) {
    throw std::runtime_error("before the start timeout, not every entry knew all targets and "
                             "entries, or not every sidecar and engine was up");
  }
}

TargetVm&
Cluster::FindTarget(const std::string& aName)
{
  for (TargetVm& vm : this->targets) {
    if (vm.plan.name == aName) {
      return vm;
    }
  }
  throw std::runtime_error("the cluster has no target VM named " + aName);
}

std::vector<Effect>
Cluster::Effects() const
{
  std::vector<Effect> effects;
  std::ifstream file(this->plan.directory + "/effects.jsonl");
  std::string line;
  while (std::getline(file, line)) {
    const auto json = nlohmann::json::parse(line);
    effects.push_back({ json.at("key").get<std::string>(), json.at("body").get<std::string>() });
  }
  return effects;
}

std::vector<std::string>
Cluster::EntryAddresses() const
{
  std::vector<std::string> addresses;
  for (const EntryVm& entry : this->entries) {
    addresses.push_back(entry.HttpAddress());
  }
  return addresses;
}

} // namespace sycamorepost::harness
