#include "Scenario.h"

#include <csignal>
#include <cstdlib>
#include <numeric>
#include <thread>

#include <nlohmann/json.hpp>

#include "EngineText.h"
#include "sycamorepost/internal/Text.h"

namespace sycamorepost::harness {

namespace {

load::LoadPlan
MakePlan(const Cluster& aCluster, std::uint64_t aSeed, double aSeconds, double aRate)
{
  load::LoadPlan plan;
  plan.entries = aCluster.EntryAddresses();
  plan.accounts = { { "derwent", TestApiKey("derwent"), 3 },
                    { "jingjie", TestApiKey("jingjie"), 2 },
                    { "small", TestApiKey("small"), 1 } };
  plan.bands = { { 0.85, 1'000, 4'096, 12, std::chrono::seconds(15) },
                 { 0.13, 4'096, 32'768, 12, std::chrono::seconds(15) },
                 { 0.02, 32'768, 150'000, 12, std::chrono::seconds(20) } };
  plan.seed = aSeed;
  plan.durationSeconds = aSeconds;
  plan.requestsPerSecond = aRate;
  plan.bookingShare = 0.4;
  plan.lookupShare = 0.1;
  plan.expectedResponse = standin::GenerateOutput;
  return plan;
}

std::uint64_t
NumberFromEnvironment(const char* aName, std::uint64_t aDefault)
{
  const char* text = std::getenv(aName);
  return text ? internal::ParseNumber<std::uint64_t>(text).value_or(aDefault) : aDefault;
}

} // namespace

std::vector<std::uint64_t>
Seeds(std::uint64_t aDefault)
{
  std::vector<std::uint64_t> seeds(NumberFromEnvironment("SYCAMOREPOST_SEEDS", aDefault));
  std::iota(seeds.begin(), seeds.end(), NumberFromEnvironment("SYCAMOREPOST_FIRST_SEED", 1));
  return seeds;
}

BackgroundLoad::BackgroundLoad(const Cluster& aCluster,
                               std::uint64_t aSeed,
                               double aSeconds,
                               double aRate)
  : result(
      std::async(std::launch::async, load::RunLoad, MakePlan(aCluster, aSeed, aSeconds, aRate)))
{
}

std::vector<Field>
CallerFields(const std::string& aAccount)
{
  return { { "Authorization", "Bearer " + TestApiKey(aAccount) },
           { "Content-Type", "application/json" } };
}

std::string
CompletionBody(const std::string& aPrompt, int aTokens, bool aStream)
{
  return nlohmann::json{
    { "model", "quiz" }, { "prompt", aPrompt }, { "max_tokens", aTokens }, { "stream", aStream }
  }.dump();
}

std::string
FormatViolations(const Cluster& aCluster, const load::History& aHistory)
{
  std::string text;
  for (const std::string& violation : CheckHistory({ aHistory, aCluster.Effects() })) {
    text.append(violation).append("\n");
  }
  return text;
}

std::string
ListUnservedRequests(const load::History& aHistory)
{
  std::map<std::string, std::string> outcomes;
  for (const load::CallRecord& call : aHistory) {
    std::string& outcome = outcomes[call.requestId];
    if (outcome != "done") {
      outcome = call.outcome.empty() ? "no response" : call.outcome;
      outcome.append(call.errorCode.empty() ? "" : " ").append(call.errorCode);
    }
  }
  std::string text;
  for (const auto& [request, outcome] : outcomes) {
    if (outcome != "done") {
      text.append(request).append(": ").append(outcome).append("\n");
    }
  }
  return text;
}

std::string
FormatOutcomeCounts(const load::History& aHistory)
{
  static constexpr std::array<const char*, 3> kKinds{ "completion", "booking", "lookup" };
  std::map<std::string, int> counts;
  for (const load::CallRecord& call : aHistory) {
    std::string name = kKinds.at(static_cast<std::size_t>(call.kind));
    name.append(" ").append(call.outcome.empty() ? "no-response" : call.outcome);
    if (!call.errorCode.empty()) {
      name.append("(").append(call.errorCode).append(")");
    }
    ++counts[name];
  }
  std::string text;
  for (const auto& [name, count] : counts) {
    text.append(name).append(" ").append(std::to_string(count)).append(", ");
  }
  return text;
}

std::string
WaitForKvMemoryRelease(Cluster& aCluster, std::chrono::milliseconds aTimeout)
{
  std::string unreleased;
  WaitUntil(aTimeout, [&] {
    unreleased.clear();
    for (TargetVm& vm : aCluster.targets) {
      if (vm.plan.kind != TargetKind::Engine || vm.target.Pid() == 0) {
        continue;
      }
      const HttpReply reply = SendHttpRequest(vm.TargetAddress(), "GET", "/report");
      const auto report = nlohmann::json::parse(reply.body, nullptr, false);
      const bool isReleased = report.is_object() && report.value("used", 1) == 0;
      unreleased +=
        isReleased ? "" : vm.plan.name + " still has KV memory in use: " + reply.body + "; ";
    }
    return unreleased.empty();
  });
  return unreleased;
}

void
SleepMillis(int aMilliseconds)
{
  std::this_thread::sleep_for(std::chrono::milliseconds(aMilliseconds));
}

void
InjectProcessFault(Cluster& aCluster, std::mt19937_64& aRandom, bool aSuspend)
{
  const bool entry = aRandom() % 4 == 0;
  TargetVm& vm = aCluster.targets[aRandom() % aCluster.targets.size()];
  EntryVm& entryVm = aCluster.entries[aRandom() % aCluster.entries.size()];
  const bool engine = vm.plan.kind == TargetKind::Engine && aRandom() % 2 == 0;
  Process& process = entry ? entryVm.entry : engine ? vm.target : vm.sidecar;
  if (aSuspend) {
    process.Signal(SIGSTOP);
    SleepMillis(200 + static_cast<int>(aRandom() % 4500));
    process.Signal(SIGCONT);
    return;
  }
  process.Kill();
  SleepMillis(static_cast<int>(aRandom() % 400));
  if (entry) {
    aCluster.StartEntry(entryVm);
  } else if (engine) {
    aCluster.StartTarget(vm);
  } else {
    aCluster.StartSidecar(vm);
  }
}

} // namespace sycamorepost::harness
