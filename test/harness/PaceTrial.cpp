#include "harness/PaceTrial.h"

#include <algorithm>
#include <deque>
#include <random>

#include <nlohmann/json.hpp>

#include "harness/VirtualFleet.h"
#include "sycamorepost/forward/load/EngineEstimate.h"

namespace sycamorepost::harness {

namespace {

using std::chrono::milliseconds;

constexpr const char* kEngine = "engine";
constexpr const char* kPlain = "ledger";
constexpr const char* kHost = "example";
constexpr std::uint32_t kPromptTokens = 5'000;
constexpr std::uint32_t kEvents = 30; // Of a response.

// Objectives for the first event, for a gap between events and for a plain call: about twice what
// the targets need under this load.
constexpr Duration kFirstEventObjective = milliseconds(300);
constexpr Duration kGapObjective = milliseconds(180);
constexpr Duration kCallObjective = milliseconds(250);
constexpr double kCallMs = 100; // Median duration of a plain call.
constexpr std::uint32_t kCallSlots = 4;

EngineTraits
MakeTraits()
{
  return { .stepMs = 0.85,
           .stepMsPerSequence = 0.004,
           .stepMsPerThousandTokens = 0.003,
           .prefillTokensPerMs = 177,
           .prefillMsPerMillionPairs = 0.184,
           .stepsPerPass = 51,
           .kvCapacityTokens = 315'000,
           .slots = 10 };
}

std::shared_ptr<RouteTable>
MakeTable()
{
  RouteRule stream{ .name = "draft", .host = kHost, .pathPrefix = "/draft/" };
  stream.kind = RouteKind::Stream;
  stream.services = { { kEngine, 1 } };
  stream.timeout = std::chrono::seconds(10);
  stream.objective = kFirstEventObjective;
  stream.gapObjective = kGapObjective;
  stream.allowsAnonymous = true;
  RouteRule call{ .name = "look", .host = kHost, .pathPrefix = "/look/" };
  call.kind = RouteKind::NonIdempotent;
  call.services = { { kPlain, 1 } };
  call.timeout = std::chrono::seconds(10);
  call.objective = kCallObjective;
  call.allowsAnonymous = true;
  auto table = std::make_shared<RouteTable>();
  table->version = 1;
  table->AddRoute(stream);
  table->AddRoute(call);
  table->services[kEngine] = { kEngine, 0, MakeTraits() };
  table->services[kPlain].name = kPlain;
  return table;
}

// A request on a target.
struct Work
{
  std::uint32_t entry = 0;
  std::uint64_t attempt = 0;
  std::size_t request = 0; // Index.
  std::uint32_t eventsSent = 0;
  double durationMs = 0; // Of a plain call on a normal target.
};

struct Target
{
  std::deque<Work> waiting;
  std::vector<Work> running;
  bool isBusy = false; // An engine is within a pass.
};

class Trial
{
public:
  explicit Trial(const PaceTrialOptions& aOptions)
    : options(aOptions)
    , targets(aOptions.targets)
    , start(this->events.now)
    , random(aOptions.seed)
    , targetRandom(aOptions.seed + 1'000'000)
    , fleet({ .entries = aOptions.entries,
              .domains = 5,
              .seed = aOptions.seed,
              .learnPace = aOptions.strategy == PaceStrategy::Learned },
            this->events,
            [this](std::uint32_t aEntry, const ForwardEffect& aEffect) {
              this->OnEffect(aEntry, aEffect);
            },
            {})
    , outstanding(aOptions.entries, std::vector<std::uint32_t>(aOptions.targets))
  {
    std::map<std::string, RegisteredTarget> registered;
    for (std::uint32_t i = 0; i < aOptions.targets; ++i) {
      const std::string instance = "target-" + std::to_string(i);
      registered[instance] = { .instance = instance,
                               .service = aOptions.isPlain ? kPlain : kEngine,
                               .address = instance,
                               .domain = this->fleet.DomainOf(i),
                               .slots = aOptions.isPlain ? kCallSlots : MakeTraits().slots };
    }
    this->fleet.Begin(MakeTable(), registered);
    for (std::uint32_t i = 0; i < aOptions.entries; ++i) {
      this->ScheduleArrival(i);
    }
    this->Observe();
  }

  PaceTrialResult Run()
  {
    this->events.RunUntil(this->start + this->options.length);
    return std::move(this->result);
  }

private:
  Duration Since() const { return this->events.now - this->start; }
  bool UsesReducers() const
  {
    return this->options.strategy == PaceStrategy::Learned ||
           this->options.strategy == PaceStrategy::Unlearned;
  }
  TrialRequest& RequestOf(const Work& aWork) { return this->result.requests[aWork.request]; }

  void Observe()
  {
    ForwardReducer& reducer = this->fleet.ReducerOf(0);
    this->result.slowTargetCount.push_back(static_cast<double>(reducer.SlowTargets()));
    if (this->result.slowTargetCount.size() % 5 == 0) {
      const nlohmann::json dump = reducer.Dump(this->events.now);
      double greatest = 0;
      for (const auto& target : dump["targets"]) {
        greatest = std::max(greatest, target["pace_factor"].get<double>());
      }
      this->result.greatestFactor.push_back(greatest);
    }
    this->events.At(this->events.now + milliseconds(100), [this] { this->Observe(); });
  }

  void ScheduleArrival(std::uint32_t aEntry)
  {
    std::exponential_distribution<double> gap(this->options.rate);
    const auto delay = std::chrono::duration<double>(gap(this->random));
    this->events.At(this->events.now + std::chrono::duration_cast<Duration>(delay), [this, aEntry] {
      this->ScheduleArrival(aEntry);
      this->Arrive(aEntry);
    });
  }

  void Arrive(std::uint32_t aEntry)
  {
    // Late until its response is complete in time.
    this->result.requests.push_back({ .arrivedAt = this->Since(), .isLate = true });
    const std::size_t index = this->result.requests.size() - 1;
    if (!this->UsesReducers()) {
      this->Enqueue(this->Choose(aEntry), { .entry = aEntry, .request = index });
      return;
    }
    ForwardRequest request;
    request.handle = index;
    request.requestId = std::to_string(index);
    request.path = this->options.isPlain ? "/look/" : "/draft/";
    request.host = kHost;
    request.body = MakeBody("");
    request.promptTokens = this->options.isPlain ? 0 : kPromptTokens;
    request.outputTokens = this->options.isPlain ? 0 : 500;
    request.fingerprint = index + 1;
    this->fleet.Step(aEntry, request);
  }

  std::uint32_t Choose(std::uint32_t aEntry)
  {
    const std::uint32_t first = std::uniform_int_distribution<std::uint32_t>(
      0, this->options.targets - 1)(this->targetRandom);
    std::uint32_t best = first;
    if (this->options.strategy == PaceStrategy::LeastOutstanding) {
      for (std::uint32_t i = 1; i < this->options.targets; ++i) {
        const std::uint32_t target = (first + i) % this->options.targets;
        best = this->outstanding[aEntry][target] < this->outstanding[aEntry][best] ? target : best;
      }
    }
    return best;
  }

  void OnEffect(std::uint32_t aEntry, const ForwardEffect& aEffect)
  {
    if (const auto* attempt = std::get_if<StartAttempt>(&aEffect)) {
      const auto target = static_cast<std::uint32_t>(std::stoul(attempt->instance.substr(7)));
      this->Enqueue(target,
                    { .entry = aEntry, .attempt = attempt->attempt, .request = attempt->handle });
    } else if (const auto* log = std::get_if<LogDecision>(&aEffect)) {
      this->result.changesLogged += log->decision == "target-slow" ? 1 : 0;
      this->result.changesLogged += log->decision == "target-not-slow" ? 1 : 0;
    }
  }

  void Enqueue(std::uint32_t aTarget, Work aWork)
  {
    ++this->outstanding[aWork.entry][aTarget];
    TrialRequest& request = this->RequestOf(aWork);
    request.target = request.isPlaced ? request.target : aTarget;
    request.isPlaced = true;
    request.isLate = false;
    if (this->options.fails && this->options.fails(aTarget, this->Since())) {
      request.isLate = true;
      this->events.At(this->events.now + milliseconds(2),
                      [this, aTarget, aWork] { this->Fail(aTarget, aWork); });
      return;
    }
    if (this->options.isPlain) {
      std::lognormal_distribution<double> duration(std::log(kCallMs), 0.25);
      aWork.durationMs = duration(this->targetRandom);
    }
    this->targets[aTarget].waiting.push_back(aWork);
    if (this->options.isPlain) {
      this->BeginCalls(aTarget);
    } else {
      this->BeginPass(aTarget);
    }
  }

  double SlownessOf(std::uint32_t aTarget) const
  {
    const Target& target = this->targets[aTarget];
    return this->options.slowness
             ? this->options.slowness(aTarget, this->Since(), target.running.size())
             : 1;
  }

  // ---- Plain calls ----

  void BeginCalls(std::uint32_t aTarget)
  {
    Target& target = this->targets[aTarget];
    while (!target.waiting.empty() && target.running.size() < kCallSlots) {
      const Work work = target.waiting.front();
      target.waiting.pop_front();
      target.running.push_back(work);
      this->events.At(this->events.now + FromMs(work.durationMs * this->SlownessOf(aTarget)),
                      [this, aTarget, work] { this->EndCall(aTarget, work); });
    }
  }

  void EndCall(std::uint32_t aTarget, const Work& aWork)
  {
    std::vector<Work>& running = this->targets[aTarget].running;
    running.erase(std::find_if(running.begin(), running.end(), [&](const Work& aOther) {
      return aOther.request == aWork.request;
    }));
    TrialRequest& request = this->RequestOf(aWork);
    request.isLate = request.isLate || this->Since() - request.arrivedAt > kCallObjective;
    this->Respond(aTarget, aWork, 200);
    this->BeginCalls(aTarget);
  }

  void Fail(std::uint32_t aTarget, const Work& aWork) { this->Respond(aTarget, aWork, 500); }

  void Respond(std::uint32_t aTarget, const Work& aWork, int aStatus)
  {
    --this->outstanding[aWork.entry][aTarget];
    if (this->UsesReducers()) {
      this->SendHead(aWork, aStatus);
      this->fleet.Step(aWork.entry, AttemptEnd{ aWork.attempt, AttemptEndKind::Complete, "" });
    }
  }

  void SendHead(const Work& aWork, int aStatus)
  {
    AttemptHead head;
    head.attempt = aWork.attempt;
    head.status = aStatus;
    head.isSigned = true;
    this->fleet.Step(aWork.entry, head);
  }

  // ---- Engines ----

  // Prefills what waits, as far as there are slots, and decodes an event of each stream.
  void BeginPass(std::uint32_t aTarget)
  {
    Target& target = this->targets[aTarget];
    if (target.isBusy || (target.waiting.empty() && target.running.empty())) {
      return;
    }
    const EngineTraits traits = MakeTraits();
    double ms = 0;
    while (!target.waiting.empty() && target.running.size() < traits.slots) {
      target.running.push_back(target.waiting.front());
      target.waiting.pop_front();
      ms += EstimatePrefillMs(traits, kPromptTokens);
    }
    const auto count = static_cast<double>(target.running.size());
    ms += EstimatePassMs(traits, count, count * kPromptTokens);
    target.isBusy = true;
    this->events.At(this->events.now + FromMs(ms * this->SlownessOf(aTarget)),
                    [this, aTarget] { this->EndPass(aTarget); });
  }

  void EndPass(std::uint32_t aTarget)
  {
    Target& target = this->targets[aTarget];
    target.isBusy = false;
    std::vector<Work> ended;
    for (Work& work : target.running) {
      this->SendEvent(work);
      if (++work.eventsSent == kEvents) {
        ended.push_back(work);
      }
    }
    std::erase_if(target.running, [](const Work& aWork) { return aWork.eventsSent == kEvents; });
    this->BeginPass(aTarget);
    for (const Work& work : ended) {
      --this->outstanding[work.entry][aTarget];
      if (this->UsesReducers()) {
        this->fleet.Step(work.entry, AttemptEnd{ work.attempt, AttemptEndKind::Complete, "" });
      }
    }
  }

  void SendEvent(const Work& aWork)
  {
    TrialRequest& request = this->RequestOf(aWork);
    Instant& lastEventAt = this->lastEventAt[aWork.request];
    request.isLate = request.isLate || (aWork.eventsSent == 0
                                          ? this->Since() - request.arrivedAt > kFirstEventObjective
                                          : this->events.now - lastEventAt > kGapObjective);
    lastEventAt = this->events.now;
    if (!this->UsesReducers()) {
      return;
    }
    if (aWork.eventsSent == 0) {
      this->SendHead(aWork, 200);
    }
    this->fleet.Step(
      aWork.entry,
      AttemptData{ aWork.attempt,
                   "id: " + std::to_string(aWork.eventsSent + 1) + "\ndata: x\n\n" });
  }

  PaceTrialOptions options;
  std::vector<Target> targets;
  VirtualEvents events;
  Instant start;
  std::mt19937_64 random;       // Of the arrivals, which are the same with every strategy.
  std::mt19937_64 targetRandom; // Of everything else.
  PaceTrialResult result;
  VirtualFleet fleet;
  std::vector<std::vector<std::uint32_t>> outstanding; // By entry and target.
  std::map<std::size_t, Instant> lastEventAt;          // By request.
};

} // namespace

double
PaceTrialResult::LateShare(Duration aFrom, Duration aTo) const
{
  std::size_t all = 0;
  std::size_t late = 0;
  for (const TrialRequest& request : this->requests) {
    const bool counts = request.arrivedAt >= aFrom && request.arrivedAt < aTo;
    all += counts ? 1 : 0;
    late += counts && request.isLate ? 1 : 0;
  }
  return all == 0 ? 0 : static_cast<double>(late) / static_cast<double>(all);
}

double
PaceTrialResult::ShareBelow(std::uint32_t aTarget, Duration aFrom, Duration aTo) const
{
  std::size_t all = 0;
  std::size_t below = 0;
  for (const TrialRequest& request : this->requests) {
    const bool counts = request.isPlaced && request.arrivedAt >= aFrom && request.arrivedAt < aTo;
    all += counts ? 1 : 0;
    below += counts && request.target < aTarget ? 1 : 0;
  }
  return all == 0 ? 0 : static_cast<double>(below) / static_cast<double>(all);
}

PaceTrialResult
RunPaceTrial(const PaceTrialOptions& aOptions)
{
  return Trial(aOptions).Run();
}

} // namespace sycamorepost::harness
