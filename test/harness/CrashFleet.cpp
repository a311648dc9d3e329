#include "CrashFleet.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace sycamorepost::harness {

namespace {

using std::chrono::milliseconds;

constexpr const char* kService = "engines";
constexpr const char* kHost = "host";
constexpr std::array<const char*, 3> kDomains{ "burnie", "hobart", "huon" };
constexpr std::uint32_t kPromptTokens = 5'000;
constexpr int kStreamEvents = 20;
constexpr int kAccounts = 4;

// One way between any two processes.
constexpr Duration kNetworkDelay = milliseconds(5);
constexpr Duration kPrefill = milliseconds(30); // One prompt after the other.
constexpr Duration kPass = milliseconds(45);
// From the first token to the crash.
constexpr Duration kTimeToCrash = milliseconds(60);
constexpr Duration kMinRestart = milliseconds(1'300);
constexpr Duration kMaxRestart = milliseconds(3'000);
// From a change in the store until the entries know it.
constexpr Duration kDirectoryDelay = milliseconds(400);
constexpr Duration kRegistrationTtl = milliseconds(3'600);
// An entry counts again this long after a restart, a cut or a suspension.
constexpr Duration kStableTime = std::chrono::seconds(3);

std::string
AddressOf(int aEntry)
{
  return "10.0.0." + std::to_string(aEntry) + ":7000";
}

std::shared_ptr<RouteTable>
MakeTable()
{
  RouteRule route;
  route.name = "draft";
  route.host = kHost;
  route.pathPrefix = "/";
  route.kind = RouteKind::Stream;
  route.services = { { kService, 1 } };
  route.timeout = std::chrono::seconds(10);
  route.objective = milliseconds(300);
  route.gapObjective = milliseconds(250);
  route.maxAttempts = 2;
  route.isResumable = true;
  route.allowsAnonymous = true;
  auto table = std::make_shared<RouteTable>();
  table->version = 1;
  table->AddRoute(route);
  table->services[kService] = { kService,
                                0,
                                EngineTraits{ .stepMs = 0.85,
                                              .prefillTokensPerMs = 177,
                                              .stepsPerPass = 51,
                                              .kvCapacityTokens = 300'000,
                                              .slots = 16 } };
  return table;
}

} // namespace

struct CrashFleet::Entry
{
  std::unique_ptr<ForwardReducer> reducer;
  std::uint64_t incarnation = 0;
  Instant wakeAt = Instant::max();
  Instant cutUntil;
  Instant suspendedUntil;
  bool isOld = false;
  std::vector<std::pair<Instant, Instant>> unstable; // Periods in which the entry does not count.
};

struct CrashFleet::Engine
{
  std::string instance;
  std::string address;
  std::string domain;
  bool isUp = true;
  Instant prefillsUntil;
  std::vector<std::shared_ptr<Running>> running;
};

struct CrashFleet::Running
{
  Engine* engine = nullptr;
  std::string instance;
  int entry = 0;
  std::uint64_t incarnation = 0; // Of the entry.
  std::uint64_t attempt = 0;
  std::uint64_t request = 0;
  std::uint64_t nextEvent = 0;
  bool isOpen = true;
};

CrashFleet::CrashFleet(const CrashFleetPlan& aPlan)
  : plan(aPlan)
  , random(aPlan.seed)
{
  for (int i = 0; i < this->plan.engines; ++i) {
    auto engine = std::make_unique<Engine>();
    engine->instance = "engine-" + std::to_string(i);
    engine->address = "10.1.0." + std::to_string(i) + ":80";
    engine->domain = kDomains.at(static_cast<std::size_t>(i) % kDomains.size());
    this->engines.push_back(std::move(engine));
  }
  this->RegisterTargets();
  for (int i = 0; i < this->plan.entries; ++i) {
    this->entries.push_back(std::make_unique<Entry>());
  }
  for (int i = 0; i < this->plan.entries; ++i) {
    this->StartEntry(i);
  }
  this->ScheduleArrival(false);
  this->ScheduleArrival(true);
}

CrashFleet::~CrashFleet() = default;

void
CrashFleet::At(Instant aAt, std::function<void()> aAction)
{
  this->events.push({ aAt, ++this->sequence, std::move(aAction) });
}

void
CrashFleet::After(Duration aDelay, std::function<void()> aAction)
{
  this->At(this->now + aDelay, std::move(aAction));
}

void
CrashFleet::Run(Duration aDuration)
{
  const Instant until = this->now + aDuration;
  while (!this->events.empty() && this->events.top().at <= until) {
    const Event event = this->events.top();
    this->events.pop();
    this->now = event.at;
    event.action();
  }
  this->now = until;
}

// ---- Entries ----

void
CrashFleet::StartEntry(int aEntry)
{
  Entry& entry = *this->entries[static_cast<std::size_t>(aEntry)];
  ++entry.incarnation;
  entry.wakeAt = Instant::max();
  entry.reducer = std::make_unique<ForwardReducer>(
    ForwardConfig{ .name = "entry-" + std::to_string(aEntry),
                   .address = AddressOf(aEntry),
                   .domain = kDomains.at(static_cast<std::size_t>(aEntry) % kDomains.size()),
                   .seed = this->plan.seed * 1'000 + static_cast<std::uint64_t>(aEntry),
                   .retrySlack = 100 });
  std::map<std::string, RegisteredEntry> registered;
  for (int i = 0; i < this->plan.entries; ++i) {
    registered["entry-" + std::to_string(i)] = {
      AddressOf(i), kDomains.at(static_cast<std::size_t>(i) % kDomains.size())
    };
  }
  this->Step(aEntry, RoutesChanged{ MakeTable() });
  this->Step(aEntry, TargetsChanged{ this->targets });
  this->Step(aEntry, EntriesChanged{}); // Read before the entry has registered itself.
  this->Step(aEntry, EntriesChanged{ registered });
  this->Step(aEntry, Wake{});
}

void
CrashFleet::RestartEntry(int aEntry)
{
  Entry& entry = *this->entries[static_cast<std::size_t>(aEntry)];
  for (const auto& engine : this->engines) {
    std::erase_if(engine->running, [&](const auto& aRunning) {
      aRunning->isOpen = aRunning->isOpen && aRunning->entry != aEntry;
      return aRunning->entry == aEntry;
    });
  }
  entry.unstable.emplace_back(this->now, this->now + kStableTime);
  this->StartEntry(aEntry);
}

void
CrashFleet::CutEntry(int aEntry, Duration aDuration)
{
  Entry& entry = *this->entries[static_cast<std::size_t>(aEntry)];
  entry.cutUntil = this->now + aDuration;
  entry.unstable.emplace_back(this->now, entry.cutUntil + kStableTime);
}

void
CrashFleet::SuspendEntry(int aEntry, Duration aDuration)
{
  Entry& entry = *this->entries[static_cast<std::size_t>(aEntry)];
  entry.suspendedUntil = this->now + aDuration;
  entry.unstable.emplace_back(this->now, entry.suspendedUntil + kStableTime);
}

void
CrashFleet::MakeEntryOld(int aEntry)
{
  this->entries[static_cast<std::size_t>(aEntry)]->isOld = true;
}

void
CrashFleet::Step(int aEntry, const ForwardEvent& aEvent)
{
  Entry& entry = *this->entries[static_cast<std::size_t>(aEntry)];
  if (entry.suspendedUntil > this->now) {
    const std::uint64_t incarnation = entry.incarnation;
    this->At(entry.suspendedUntil, [this, aEntry, aEvent, incarnation] {
      if (this->entries[static_cast<std::size_t>(aEntry)]->incarnation == incarnation) {
        this->Step(aEntry, aEvent);
      }
    });
    return;
  }
  for (const ForwardEffect& effect : entry.reducer->Step(aEvent, this->now)) {
    this->Execute(aEntry, effect);
  }
  const Instant next = entry.reducer->NextWake().value_or(Instant::max());
  if (next < entry.wakeAt) {
    entry.wakeAt = next;
    this->At(std::max(next, this->now),
             [this, aEntry, next, &entry, incarnation = entry.incarnation] {
               if (entry.incarnation == incarnation && entry.wakeAt == next) {
                 entry.wakeAt = Instant::max();
                 this->Step(aEntry, Wake{});
               }
             });
  }
}

void
CrashFleet::StepLater(int aEntry, Duration aDelay, const ForwardEvent& aEvent)
{
  Entry& entry = *this->entries[static_cast<std::size_t>(aEntry)];
  this->After(aDelay, [this, aEntry, aEvent, &entry, incarnation = entry.incarnation] {
    if (entry.incarnation == incarnation) {
      this->Step(aEntry, aEvent);
    }
  });
}

void
CrashFleet::Execute(int aEntry, const ForwardEffect& aEffect)
{
  const Entry& entry = *this->entries[static_cast<std::size_t>(aEntry)];
  if (const auto* start = std::get_if<StartAttempt>(&aEffect)) {
    this->Serve(aEntry, *start);
  } else if (const auto* cancel = std::get_if<CancelAttempt>(&aEffect)) {
    for (const auto& engine : this->engines) {
      for (const auto& running : engine->running) {
        const bool isCancelled = running->entry == aEntry && running->attempt == cancel->attempt;
        running->isOpen = running->isOpen && !isCancelled;
      }
    }
  } else if (const auto* load = std::get_if<BroadcastLoad>(&aEffect)) {
    const PeerLoadReport report{
      AddressOf(aEntry), entry.incarnation, load->loads, load->isSnapshot, 1
    };
    this->Broadcast(aEntry, load->recipients, report, false);
  } else if (const auto* domain = std::get_if<SendDomainLoad>(&aEffect)) {
    this->Broadcast(aEntry, domain->recipients, domain->report, false);
  } else if (const auto* aborted = std::get_if<BroadcastAbort>(&aEffect)) {
    this->Broadcast(aEntry, aborted->recipients, PeerAbortReport{ aborted->fingerprint }, false);
  } else if (const auto* crash = std::get_if<BroadcastCrash>(&aEffect)) {
    this->Broadcast(aEntry, crash->recipients, crash->report, true);
  } else if (const auto* quarantine = std::get_if<BroadcastQuarantine>(&aEffect)) {
    const PeerQuarantineReport report{ AddressOf(aEntry), quarantine->report };
    this->Broadcast(aEntry, quarantine->recipients, report, true);
  } else if (const auto* check = std::get_if<CheckTarget>(&aEffect)) {
    this->StepLater(aEntry,
                    2 * kNetworkDelay,
                    TargetChecked{ check->instance,
                                   this->IsListening(check->address) ? Reachability::Accepted
                                                                     : Reachability::Refused });
  } else if (const auto* begin = std::get_if<BeginResponse>(&aEffect)) {
    this->requests[begin->handle].hasBegun = true;
  } else if (const auto* response = std::get_if<SendResponse>(&aEffect)) {
    this->requests[response->handle].refusal = response->status;
    this->requests[response->handle].retryAfter = response->retryAfter.value_or(Duration::zero());
  }
}

void
CrashFleet::Broadcast(int aFrom,
                      const std::vector<std::string>& aRecipients,
                      const ForwardEvent& aEvent,
                      bool aIsAboutCrashes)
{
  const Entry& from = *this->entries[static_cast<std::size_t>(aFrom)];
  for (int to = 0; to < this->plan.entries; ++to) {
    const Entry& recipient = *this->entries[static_cast<std::size_t>(to)];
    const bool isNamed =
      std::find(aRecipients.begin(), aRecipients.end(), AddressOf(to)) != aRecipients.end();
    const bool isLost = from.cutUntil > this->now || recipient.cutUntil > this->now ||
                        (aIsAboutCrashes && (from.isOld || recipient.isOld));
    if (isNamed && !isLost) {
      this->StepLater(to, kNetworkDelay, aEvent);
    }
  }
}

// ---- Callers ----

void
CrashFleet::ScheduleArrival(bool aIsCrashing)
{
  std::exponential_distribution<double> gap(aIsCrashing ? this->plan.crashingPerSecond
                                                        : this->plan.soundPerSecond);
  const auto delay = std::chrono::duration<double>(gap(this->random));
  this->After(std::chrono::duration_cast<Duration>(delay), [this, aIsCrashing] {
    const auto entry = static_cast<int>(this->random() % this->entries.size());
    // All prompts begin with the same part; each account has one of its own.
    PartSet parts{ 1, 100 + this->random() % kAccounts };
    if (!aIsCrashing) {
      this->Send(entry, std::move(parts), false);
    } else if (this->crashingPart) {
      parts.push_back(*this->crashingPart);
      this->Send(entry, MakePartSet(std::move(parts)), true);
    }
    this->ScheduleArrival(aIsCrashing);
  });
}

std::uint64_t
CrashFleet::SendPrompt(int aEntry, PartSet aParts)
{
  return this->Send(aEntry, std::move(aParts), false);
}

std::uint64_t
CrashFleet::Send(int aEntry, PartSet aParts, bool aIsCrashing)
{
  ForwardRequest request;
  request.handle = ++this->lastHandle;
  request.requestId = std::to_string(request.handle);
  request.method = "POST";
  request.path = "/";
  request.host = kHost;
  request.body = MakeBody("");
  request.promptTokens = kPromptTokens;
  request.outputTokens = 500;
  request.fingerprint = request.handle; // No two requests are alike.
  request.promptParts = aParts;
  this->requests[request.handle] = {
    .parts = std::move(aParts), .sentAt = this->now, .entry = aEntry, .isCrashing = aIsCrashing
  };
  this->Step(aEntry, request);
  return request.handle;
}

// ---- Engines ----

CrashFleet::Engine*
CrashFleet::FindEngine(const std::string& aInstance)
{
  const auto found =
    std::find_if(this->engines.begin(), this->engines.end(), [&](const auto& aEngine) {
      return aEngine->instance == aInstance && aEngine->isUp;
    });
  return found == this->engines.end() ? nullptr : found->get();
}

// Returns whether any incarnation of an engine listens at an address.
bool
CrashFleet::IsListening(const std::string& aAddress) const
{
  return std::any_of(this->engines.begin(), this->engines.end(), [&](const auto& aEngine) {
    return aEngine->address == aAddress && aEngine->isUp;
  });
}

void
CrashFleet::Serve(int aEntry, const StartAttempt& aStart)
{
  Engine* engine = this->FindEngine(aStart.instance);
  if (!engine) {
    this->StepLater(aEntry,
                    2 * kNetworkDelay,
                    AttemptEnd{ aStart.attempt, AttemptEndKind::NotConnected, "refused" });
    return;
  }
  FleetRequest& request = this->requests[aStart.handle];
  ++request.arrivals;
  if (request.isCrashing) {
    this->crashingArrivals.emplace_back(this->now, aEntry);
  }
  auto running = std::make_shared<Running>();
  running->engine = engine;
  running->instance = engine->instance;
  running->entry = aEntry;
  running->incarnation = this->entries[static_cast<std::size_t>(aEntry)]->incarnation;
  running->attempt = aStart.attempt;
  running->request = aStart.handle;
  running->nextEvent = aStart.resumeAfter.value_or(0) + 1;
  engine->running.push_back(running);
  engine->prefillsUntil = std::max(engine->prefillsUntil, this->now + kNetworkDelay) + kPrefill;
  this->At(engine->prefillsUntil, [this, running] {
    if (!running->isOpen) {
      return;
    }
    AttemptHead head;
    head.attempt = running->attempt;
    head.status = 200;
    head.isSigned = true;
    this->StepLater(running->entry, kNetworkDelay, head);
    if (this->requests[running->request].isCrashing) {
      this->After(kTimeToCrash, [this, running] {
        if (running->isOpen && running->engine->instance == running->instance) {
          this->crashes.push_back(this->now);
          this->CrashEngine(*running->engine);
        }
      });
    } else {
      this->After(kPass, [this, running] { this->Decode(running); });
    }
  });
}

// Sends the next event of a stream.
void
CrashFleet::Decode(const std::shared_ptr<Running>& aRunning)
{
  if (!aRunning->isOpen) {
    return;
  }
  const std::uint64_t id = aRunning->nextEvent++;
  this->StepLater(aRunning->entry,
                  kNetworkDelay,
                  AttemptData{ aRunning->attempt, "id: " + std::to_string(id) + "\ndata: x\n\n" });
  if (id < kStreamEvents) {
    this->After(kPass, [this, aRunning] { this->Decode(aRunning); });
    return;
  }
  aRunning->isOpen = false;
  std::erase(aRunning->engine->running, aRunning);
  this->StepLater(
    aRunning->entry, kNetworkDelay, AttemptEnd{ aRunning->attempt, AttemptEndKind::Complete, "" });
}

// Ends an engine and all of its streams. It starts again under another instance id.
void
CrashFleet::CrashEngine(Engine& aEngine)
{
  for (const auto& running : std::exchange(aEngine.running, {})) {
    if (std::exchange(running->isOpen, false)) {
      this->StepLater(running->entry,
                      kNetworkDelay,
                      AttemptEnd{ running->attempt, AttemptEndKind::Aborted, "partial message" });
    }
  }
  aEngine.isUp = false;
  const std::string former = aEngine.instance;
  const Duration restart =
    kMinRestart + Duration(this->random() % (kMaxRestart - kMinRestart).count());
  this->After(restart, [this, &aEngine] {
    aEngine.isUp = true;
    aEngine.instance = aEngine.address + "-" + std::to_string(this->random());
    this->RegisterTargets();
  });
  this->After(kRegistrationTtl, [this, former] {
    this->targets.erase(former);
    this->RegisterTargets();
  });
}

void
CrashFleet::CrashEngines(int aCount)
{
  for (int i = 0; i < aCount; ++i) {
    Engine& engine = *this->engines[static_cast<std::size_t>(i)];
    if (engine.isUp) {
      this->CrashEngine(engine);
    }
  }
}

void
CrashFleet::ResetConnections()
{
  for (const auto& engine : this->engines) {
    for (const auto& running : std::exchange(engine->running, {})) {
      if (std::exchange(running->isOpen, false)) {
        this->StepLater(running->entry,
                        kNetworkDelay,
                        AttemptEnd{ running->attempt, AttemptEndKind::Aborted, "reset" });
      }
    }
  }
}

void
CrashFleet::RegisterTargets()
{
  for (const auto& engine : this->engines) {
    if (engine->isUp) {
      this->targets[engine->instance] = { .instance = engine->instance,
                                          .service = kService,
                                          .address = engine->address,
                                          .domain = engine->domain,
                                          .slots = 16 };
    }
  }
  for (std::size_t i = 0; i < this->entries.size(); ++i) {
    this->StepLater(static_cast<int>(i), kDirectoryDelay, TargetsChanged{ this->targets });
  }
}

// ---- Results ----

int
CrashFleet::ArrivalsAfterFifthCrash(Duration aDelay) const
{
  static constexpr std::size_t kFifth = 4;
  if (this->crashes.size() <= kFifth) {
    return 0;
  }
  const Instant from = this->crashes[kFifth] + aDelay;
  return static_cast<int>(std::count_if(
    this->crashingArrivals.begin(), this->crashingArrivals.end(), [&](const auto& aArrival) {
      const auto& unstable = this->entries[static_cast<std::size_t>(aArrival.second)]->unstable;
      const bool counts = std::none_of(unstable.begin(), unstable.end(), [&](const auto& aPeriod) {
        return aPeriod.first <= aArrival.first && aArrival.first <= aPeriod.second;
      });
      return aArrival.first > from && counts;
    }));
}

double
CrashFleet::BegunShare(Instant aFrom, Instant aUntil) const
{
  int all = 0;
  int begun = 0;
  for (const auto& [handle, request] : this->requests) {
    if (!request.isCrashing && request.sentAt >= aFrom && request.sentAt < aUntil) {
      ++all;
      begun += request.hasBegun ? 1 : 0;
    }
  }
  return all == 0 ? 1 : static_cast<double>(begun) / all;
}

int
CrashFleet::RefusedCount(Instant aFrom, Instant aUntil) const
{
  return static_cast<int>(
    std::count_if(this->requests.begin(), this->requests.end(), [&](const auto& aItem) {
      const FleetRequest& request = aItem.second;
      return !request.isCrashing && request.sentAt >= aFrom && request.sentAt < aUntil &&
             request.refusal;
    }));
}

nlohmann::json
CrashFleet::Dump(int aEntry) const
{
  return this->entries[static_cast<std::size_t>(aEntry)]->reducer->Dump(this->now);
}

} // namespace sycamorepost::harness
