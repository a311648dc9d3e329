// Offers a small deployment on loopback for tests and the demo: real daemons beside stand-ins, each
// process on an address of its own that stands for a VM's.
#ifndef SYCAMOREPOST_TEST_HARNESS_CLUSTER_H_
#define SYCAMOREPOST_TEST_HARNESS_CLUSTER_H_

#include <map>
#include <string>
#include <vector>

#include <functional>

#include <nlohmann/json.hpp>

#include "HistoryChecker.h"
#include "Process.h"
#include "Relay.h"
#include "net/Http.h"
#include "runtime/RuleAdmin.h"

namespace sycamorepost::harness {

// A target VM to start.
struct TargetPlan
{
  std::string name;
  std::string domain;
  std::string pool;
  TargetKind kind = TargetKind::Engine;
  std::vector<std::string> flags; // For the stand-in.
};

// What to start.
struct ClusterPlan
{
  int network = 50;      // The second number of all loopback addresses.
  std::string directory; // For settings and output.
  std::string binaries;  // Where the programs are.
  std::vector<std::string> entryDomains{ "hobart", "launceston", "burnie" };
  std::vector<TargetPlan> targets;
  std::vector<std::string> logFlags;
  std::string rules;
  bool sharedEngine = false; // All sidecars of engines stand before the first engine's stand-in.
  bool relays = false;       // Put a relay before every sidecar, entry, target and the log.
};

// One target VM that runs.
struct TargetVm
{
  TargetPlan plan;
  std::string ip;
  Process target;
  Process sidecar;

  std::string TargetAddress() const { return this->ip + ":7100"; }
  std::string AdminAddress() const { return this->ip + ":7001"; }
  std::string PeerAddress() const { return this->ip + ":7000"; }
};

// One entry VM that runs.
struct EntryVm
{
  std::string name;
  std::string domain;
  std::string ip;
  Process entry;

  std::string HttpAddress() const { return this->ip + ":7080"; }
  std::string AdminAddress() const { return this->ip + ":7001"; }
  std::string PeerAddress() const { return this->ip + ":7000"; }
};

// The deployment.
class Cluster
{
public:
  explicit Cluster(ClusterPlan aPlan);

  // Starts everything, publishes the rules and waits until all processes have them.
  void Start();

  // Starts one process again, on its old address.
  void StartSidecar(TargetVm& aVm);
  void StartTarget(TargetVm& aVm);
  void StartEntry(EntryVm& aVm);
  void StartLog();

  // Publishes a rule text over the version in force and returns the new version.
  std::uint64_t Publish(const std::string& aRules);

  // Waits until every running daemon shows a rules version; returns false after the bound.
  bool AwaitRules(std::uint64_t aVersion, std::chrono::milliseconds aTimeout);

  // Tells the VM list what has become of a VM: "live", "leaving" or "gone".
  void Announce(const TargetVm& aVm, const std::string& aState);
  void Announce(const EntryVm& aVm, const std::string& aState);

  // Sets the fault switches of a stand-in.
  void SetFaults(const std::string& aAddress, const std::string& aJson);

  TargetVm& Target(const std::string& aName);

  // Returns the effects that all plain services have recorded.
  std::vector<Effect> Effects() const;
  std::vector<std::string> EntryAddresses() const;
  std::string LogAddress() const;
  std::string VmListAddress() const;

  // Swallows the open connections of all relays whose name begins so: "peer", "target" or "log".
  void BlackholeOpenConnections(const std::string& aPrefix);

  std::vector<EntryVm> entries;
  std::vector<TargetVm> targets;
  std::map<std::string, std::unique_ptr<Relay>> relays; // "peer:NAME", "target:NAME" and "log".
  Process log;
  Process vmList;

private:
  std::string Ip(int aSubnet, int aIndex) const;
  std::string BinaryPath(const std::string& aName) const;
  std::string OutputPath(const std::string& aName) const;
  std::string WriteSettings(const std::string& aName, const std::string& aText);
  std::string NodeSettingsText(const std::string& aIp, const std::string& aDomain) const;
  std::string EnsureRelay(const std::string& aRelay, const std::string& aIp, int aPort);
  void PostVmUpdate(const std::string& aJson);

  ClusterPlan plan;
};

// Sends one request and waits for its answer.
HttpReply
Request(const std::string& aAddress,
        const std::string& aMethod,
        const std::string& aTarget,
        std::vector<Field> aFields = {},
        const std::string& aBody = "",
        Duration aTimeout = std::chrono::seconds(30));

// Returns a header field of a reply, empty when it is absent.
std::string
FieldOf(const HttpReply& aReply, const std::string& aName);

// Returns the JSON that a daemon dumps, or null.
nlohmann::json
DumpOf(const std::string& aAdminAddress);

// Waits until a condition holds; returns false after the bound.
bool
Await(std::chrono::milliseconds aTimeout, const std::function<bool()>& aCondition);

// Returns where the programs are: SYCAMOREPOST_BIN, or build/bin.
std::string
BinaryDirectory();

// Returns a network moved by SYCAMOREPOST_NETWORK_SHIFT, so that test programs can run side by
// side.
int
ShiftNetwork(int aNetwork);

// The rules that most tests start from: one model, one bookings service, three accounts.
std::string
DefaultRules();

// The bearer key of an account of the default rules.
std::string
KeyOf(const std::string& aAccount);

// Returns the plan of a small deployment: engines over three domains and a service on three
// targets.
ClusterPlan
SmallPlan(int aNetwork, int aEngines);

} // namespace sycamorepost::harness

#endif // SYCAMOREPOST_TEST_HARNESS_CLUSTER_H_
