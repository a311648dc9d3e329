#include "PlatformDeployment.h"

#include <filesystem>
#include <fstream>

#include <cppunit/TestAssert.h>

#include "platform/StoreClient.h"

namespace sycamorepost::harness {

using nlohmann::json;

namespace {

constexpr const char* kHost = "quiz.example";

// The targets behind them in the order of their addresses are plain services.
constexpr int kEngines = 3;

} // namespace

json
MakePlatformRoute(const char* aName,
                  const char* aPath,
                  const char* aKind,
                  const char* aService,
                  int aObjectiveMs)
{
  return { { "Name", aName },        { "Host", kHost },       { "PathPrefix", aPath },
           { "Kind", aKind },        { "Service", aService }, { "TimeoutMs", 10'000 },
           { "MaxAttempts", 3 },     { "Resumable", true },   { "TargetLatencyMs", aObjectiveMs },
           { "TargetGapMs", 1'000 }, { "Priority", 1 } };
}

json
MakePlatformConfiguration(std::uint64_t aVersion)
{
  const json engine{ { "step_ms", 0.85 },      { "read_per_s", 177'000.0 },
                     { "pairs_per_m", 0.184 }, { "Stride", 51 },
                     { "Slots", 16 },          { "KvCapacityTokens", kKvCapacityTokens } };
  return { { "Version", aVersion },
           { "Routes",
             { MakePlatformRoute("draft", "/draft/", "streaming", "quizmind"),
               MakePlatformRoute("archive", "/archive/", "streaming", "quizmind", 20'000),
               MakePlatformRoute("book", "/book/", "non_idempotent", "ledger") } },
           { "Services",
             { { { "Name", "quizmind" }, { "Engine", engine } }, { { "Name", "ledger" } } } },
           { "Tenants", { { { "Name", "derwent" }, { "ApiKeys", { "key-1" } } } } } };
}

PlatformDeployment::PlatformDeployment(PlatformOptions aOptions)
  : options(std::move(aOptions))
{
  this->directory = "run/platform-" + std::to_string(this->network);
  std::filesystem::remove_all(this->directory);
  std::filesystem::create_directories(this->directory);
  this->store = this->Start("store", "standin-store", { "--listen=" + this->StoreAddress() });
  json configuration = MakePlatformConfiguration(1);
  if (!this->options.limits.is_null()) {
    configuration["Limits"] = this->options.limits;
  }
  this->Publish("keyed.op", "config", configuration.dump());
  for (int i = 1; i <= kEngines + 1; ++i) {
    this->targets.push_back(this->StartTarget(i));
  }
  for (int i = 1; i <= 2; ++i) {
    this->entries.push_back(this->StartEntry(i));
  }
  for (int i = 1; i <= 2; ++i) {
    CPPUNIT_ASSERT(WaitUntil(kAwaitTimeout, [&] {
      const json dump = FetchDump(this->EntryIp(i) + ":7001");
      return dump.is_object() && dump.contains("targets") && dump["targets"].size() == 4;
    }));
  }
}

Process
PlatformDeployment::StartEntry(int aIndex)
{
  const std::string name = "entry-" + std::to_string(aIndex);
  const std::string ip = this->EntryIp(aIndex);
  const std::string path = this->directory + "/" + name + ".toml";
  std::ofstream(path) << "[forward]\nname = \"" + name + "\"\ndomain = \"hobart\"\n" +
                           "http_address = \"" + ip + ":7080\"\nadmin_address = \"" + ip +
                           ":7001\"\npeer_address = \"" + ip + ":7000\"\nstore_address = \"" +
                           this->StoreAddress() +
                           "\"\nretry_slack = 100\ndrain_delay = \"100ms\"\n"
                           "grace = \"3s\"\n" +
                           this->options.entrySettings;
  return this->Start(name, "sycamorepost-entry", { "--config", path });
}

void
PlatformDeployment::Publish(const std::string& aTopic,
                            const std::string& aKey,
                            const std::string& aValue)
{
  CPPUNIT_ASSERT(WaitUntil(kAwaitTimeout, [&] {
    const HttpReply reply = SendHttpRequest(this->StoreAddress(),
                                            "POST",
                                            "/log-append?Topic=" + aTopic + "&part=0",
                                            {},
                                            platform::EncodeRecord({ aKey, aValue }));
    return reply.Ok();
  }));
}

HttpReply
PlatformDeployment::SendRequest(int aEntry,
                                const std::string& aPath,
                                const std::string& aId,
                                std::uint64_t aPromptTokens,
                                const std::string& aPromptParts)
{
  std::vector<Field> fields{ { "Host", kHost },
                             { "Authorization", "Bearer key-1" },
                             { "X-Sycamorepost-Request-Id", aId } };
  if (aPromptTokens > 0) {
    fields.emplace_back("X-Sycamorepost-Token-Counts", std::to_string(aPromptTokens) + ",200");
  }
  if (!aPromptParts.empty()) {
    fields.emplace_back("X-Sycamorepost-Prompt-Prefix", aPromptParts);
  }
  return SendHttpRequest(this->EntryIp(aEntry) + ":7080", "POST", aPath, fields, "body");
}

std::map<std::string, int>
PlatformDeployment::RunCounts() const
{
  std::map<std::string, int> runs;
  std::ifstream file(this->directory + "/effects");
  for (std::string id; std::getline(file, id);) {
    ++runs[id];
  }
  return runs;
}

std::uint64_t
PlatformDeployment::EngineCounter(int aIndex, const char* aName) const
{
  const HttpReply reply = SendHttpRequest(this->TargetAddress(aIndex), "GET", "/report");
  return json::parse(reply.body).at(aName).get<std::uint64_t>();
}

std::uint64_t
PlatformDeployment::ReservedTokens() const
{
  std::uint64_t tokens = 0;
  for (int i = 1; i <= 3; ++i) {
    tokens += this->EngineCounter(i, "KvUsed");
  }
  return tokens;
}

std::uint64_t
PlatformDeployment::HungReads() const
{
  return this->StoreCounters().at("hung_reads").get<std::uint64_t>();
}

std::uint64_t
PlatformDeployment::AbandonedReads() const
{
  return this->StoreCounters().at("abandoned_reads").get<std::uint64_t>();
}

std::uint64_t
PlatformDeployment::BytesServed(const std::string& aTopic) const
{
  return this->StoreCounters().at("bytes_served").at(aTopic).get<std::uint64_t>();
}

std::set<std::string>
PlatformDeployment::StoreKeys(const std::string& aTopic) const
{
  const HttpReply reply =
    SendHttpRequest(this->StoreAddress(), "GET", "/log-newest?Topic=" + aTopic + "&part=0");
  const json listing = json::parse(reply.body);
  std::set<std::string> keys;
  for (const json& entry : listing.at("Entries")) {
    keys.insert(entry.at("Key").get<std::string>());
  }
  return keys;
}

std::uint64_t
PlatformDeployment::StoreReads(const std::string& aTopic) const
{
  return this->StoreCounters().at("reads").at(aTopic).get<std::uint64_t>();
}

json
PlatformDeployment::StoreCounters() const
{
  return json::parse(SendHttpRequest(this->StoreAddress(), "GET", "/counters").body);
}

void
PlatformDeployment::SetFaults(const std::string& aAddress, const json& aFaults)
{
  CPPUNIT_ASSERT(SendHttpRequest(aAddress, "POST", "/faults", {}, aFaults.dump()).Ok());
}

std::string
PlatformDeployment::Ip(int aGroup, int aIndex) const
{
  return "127." + std::to_string(this->network) + "." + std::to_string(aGroup) + "." +
         std::to_string(aIndex);
}

Process
PlatformDeployment::Start(const std::string& aName,
                          const std::string& aProgram,
                          const std::vector<std::string>& aArguments)
{
  std::vector<std::string> command{ this->binaryDirectory + "/" + aProgram };
  command.insert(command.end(), aArguments.begin(), aArguments.end());
  return Process::Start(command, this->directory + "/" + aName + ".log");
}

Process
PlatformDeployment::StartTarget(int aIndex)
{
  const bool isEngine = aIndex <= kEngines;
  return this->Start(
    "target-" + std::to_string(aIndex),
    "standin-registered",
    { "--listen=" + this->TargetAddress(aIndex),
      "--store=" + this->StoreAddress(),
      std::string("--name=") + (isEngine ? "engine-" + std::to_string(aIndex) : "ledger-1"),
      std::string("--service=") + (isEngine ? "quizmind" : "ledger"),
      "--domain=hobart",
      "--effects=" + this->directory + "/effects",
      "--memory=" + std::to_string(kKvCapacityTokens),
      "--events=" + std::to_string(kStreamEvents),
      isEngine ? "--engine" : "--noengine" });
}

void
PlatformDeployment::RestartEndedTargets()
{
  for (std::size_t i = 0; i < this->targets.size(); ++i) {
    if (!this->targets[i].IsRunning()) {
      this->targets[i] = this->StartTarget(static_cast<int>(i) + 1);
    }
  }
}

} // namespace sycamorepost::harness
