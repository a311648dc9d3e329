// Declares a small deployment of the users' platform on loopback: a store stand-in, targets that
// register themselves there, and forwarding entries, each as a separate process.
#ifndef SYCAMOREPOST_TEST_HARNESS_PLATFORM_DEPLOYMENT_H_
#define SYCAMOREPOST_TEST_HARNESS_PLATFORM_DEPLOYMENT_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "Cluster.h"
#include "Process.h"

namespace sycamorepost::harness {

// How long a condition is awaited whose delay is not what a test is about.
inline constexpr std::chrono::milliseconds kAwaitTimeout{ 15'000 };

// The KV cache of an engine stand-in, and the events of each of its streams.
inline constexpr std::uint64_t kKvCapacityTokens = 300'000;
inline constexpr std::uint64_t kStreamEvents = 12;

// Returns a route of the operator's configuration. aKind and aService are the platform's names.
nlohmann::json
MakePlatformRoute(const char* aName,
                  const char* aPath,
                  const char* aKind,
                  const char* aService,
                  int aObjectiveMs = 3'000);

// Returns the operator's configuration with two routes to engines and one to a plain service.
nlohmann::json
MakePlatformConfiguration(std::uint64_t aVersion);

// What differs from the default deployment.
struct PlatformOptions
{
  std::string entrySettings; // Further lines of the table [forward] of each entry.
  nlohmann::json limits;     // The member "Limits" of the configuration; null for none.
};

// A store, three engines, a plain service and two entries. Returns from its constructor when both
// entries know all targets.
class PlatformDeployment
{
public:
  explicit PlatformDeployment(PlatformOptions aOptions = {});

  std::string StoreAddress() const { return this->Ip(1, 1) + ":7300"; }
  std::string EntryIp(int aIndex) const { return this->Ip(2, aIndex); }
  std::string PeerAddress(int aIndex) const { return this->EntryIp(aIndex) + ":7000"; }
  std::string TargetAddress(int aIndex) const { return this->Ip(3, aIndex) + ":7100"; }

  // Starts an entry, also again after its exit.
  Process StartEntry(int aIndex);

  // Appends a record to the store, as the operator does.
  void Publish(const std::string& aTopic, const std::string& aKey, const std::string& aValue);

  HttpReply SendRequest(int aEntry,
                        const std::string& aPath,
                        const std::string& aId,
                        std::uint64_t aPromptTokens,
                        const std::string& aPromptParts = "");

  // Starts the targets again that have ended, without their faults.
  void RestartEndedTargets();

  // Returns how often each request ran on any target, by request id.
  std::map<std::string, int> RunCounts() const;

  // Returns a member of the report of an engine.
  std::uint64_t EngineCounter(int aIndex, const char* aName) const;

  // Returns the tokens that are reserved or used on all engines.
  std::uint64_t ReservedTokens() const;

  // Returns how many reads of the store hang, as it received them and never responds.
  std::uint64_t HungReads() const;

  // Returns how many endless responses of the store were abandoned by their reader.
  std::uint64_t AbandonedReads() const;

  // Returns the bytes of all responses to reads of a topic of the store.
  std::uint64_t BytesServed(const std::string& aTopic) const;

  // Returns the number of reads of a topic of the store, without listings.
  std::uint64_t StoreReads(const std::string& aTopic) const;

  // Returns the keys that a topic of the store has a record of.
  std::set<std::string> StoreKeys(const std::string& aTopic) const;

  // Replaces the fault injection settings of a stand-in.
  void SetFaults(const std::string& aAddress, const nlohmann::json& aFaults);

  Process store;
  std::vector<Process> targets;
  std::vector<Process> entries;

private:
  std::string Ip(int aGroup, int aIndex) const;
  nlohmann::json StoreCounters() const;
  Process Start(const std::string& aName,
                const std::string& aProgram,
                const std::vector<std::string>& aArguments);
  Process StartTarget(int aIndex);

  int network = ShiftNetwork(60);
  std::string binaryDirectory = BinaryDirectory();
  std::string directory;
  PlatformOptions options;
};

} // namespace sycamorepost::harness

#endif // SYCAMOREPOST_TEST_HARNESS_PLATFORM_DEPLOYMENT_H_
