// Declares a small deployment on loopback for tests and the demo. The daemons are the real
// programs, the platform and the targets are stand-ins; each VM is represented by its own loopback
// address.
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

// The plan of a target VM.
struct TargetPlan
{
  std::string name;
  std::string domain;
  std::string pool;
  TargetKind kind = TargetKind::Engine;
  std::vector<std::string> flags; // Further command line flags of the stand-in.
};

// The plan of a deployment.
struct ClusterPlan
{
  int network = 50;      // Second octet of all loopback addresses.
  std::string directory; // For settings files and the programs' output.
  std::string binaries;  // Directory of the programs.
  std::vector<std::string> entryDomains{ "hobart", "launceston", "burnie" };
  std::vector<TargetPlan> targets;
  std::vector<std::string> logFlags;
  std::string rules;
  bool sharedEngine = false; // All engine sidecars share the first engine's stand-in.
  bool relays = false;       // Put a relay in front of every sidecar, entry, target and the log.
};

// A running target VM.
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

// A running entry VM.
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

// A running deployment. Its processes are killed when it is destroyed.
class Cluster
{
public:
  explicit Cluster(ClusterPlan aPlan);

  // Starts all processes, publishes the rules and waits until every daemon has applied them, every
  // entry knows all targets and entries, and all engines are up. Throws std::runtime_error if that
  // takes too long.
  void Start();

  // Starts one process, also again after its exit, on its planned address.
  void StartSidecar(TargetVm& aVm);
  void StartTarget(TargetVm& aVm);
  void StartEntry(EntryVm& aVm);
  void StartLog();

  // Publishes a rule text based on the version in force and returns the new version. Throws
  // std::runtime_error if no publish is accepted in time.
  std::uint64_t Publish(const std::string& aRules);

  // Waits until every running daemon reports at least the given rules version. Returns false after
  // the timeout.
  bool WaitForRules(std::uint64_t aVersion, std::chrono::milliseconds aTimeout);

  // Sets the state of a VM in the VM list: "live", "leaving" or "gone".
  void Announce(const TargetVm& aVm, const std::string& aState);
  void Announce(const EntryVm& aVm, const std::string& aState);

  // Replaces the fault injection settings of a stand-in.
  void SetFaults(const std::string& aAddress, const std::string& aJson);

  // Returns the target VM of that name. Throws std::runtime_error if there is none.
  TargetVm& FindTarget(const std::string& aName);

  // Returns the effects that all plain services together have recorded.
  std::vector<Effect> Effects() const;
  std::vector<std::string> EntryAddresses() const;
  std::string LogAddress() const;
  std::string VmListAddress() const;

  // Discards all further bytes on the open connections of the relays whose name has the prefix
  // "peer", "target" or "log".
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

// Sends an HTTP request and blocks until its response has arrived or the timeout has passed.
HttpReply
SendHttpRequest(const std::string& aAddress,
                const std::string& aMethod,
                const std::string& aTarget,
                std::vector<Field> aFields = {},
                const std::string& aBody = "",
                Duration aTimeout = std::chrono::seconds(30));

// Returns the value of a header field, empty if the field is absent.
std::string
HeaderField(const HttpReply& aReply, const std::string& aName);

// Returns the JSON state dump of a daemon, or a discarded value if it could not be fetched.
nlohmann::json
FetchDump(const std::string& aAdminAddress);

// Polls until a condition holds. Returns false after the timeout.
bool
WaitUntil(std::chrono::milliseconds aTimeout, const std::function<bool()>& aCondition);

// Returns the directory of the programs: SYCAMOREPOST_BIN, by default build/bin.
std::string
BinaryDirectory();

// Returns aNetwork plus SYCAMOREPOST_NETWORK_SHIFT, by default 0, so that test programs can run in
// parallel.
int
ShiftNetwork(int aNetwork);

// Returns the rules that most tests start from: one model, one bookings service, three accounts.
std::string
DefaultRules();

// Returns the API key of an account of the default rules.
std::string
TestApiKey(const std::string& aAccount);

// Returns the plan of a small deployment: engines spread over three failure domains and a plain
// service on three targets.
ClusterPlan
SmallClusterPlan(int aNetwork, int aEngines);

} // namespace sycamorepost::harness

#endif // SYCAMOREPOST_TEST_HARNESS_CLUSTER_H_
