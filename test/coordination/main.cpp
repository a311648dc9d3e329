// Simulates the entries of a deployment in virtual time: real reducers, engines that prefill one
// prompt after the other, and a network with a delay. Prints what the entries send to each other
// and how well they place short prompts. The results depend on the flags only.
#include <cmath>
#include <cstdio>
#include <functional>
#include <queue>
#include <random>

#include <gflags/gflags.h>

#include "sycamorepost/Message.h"
#include "sycamorepost/forward/ForwardReducer.h"
#include "sycamorepost/forward/load/EngineEstimate.h"

DEFINE_uint32(entries, 20, "Number of entries.");
DEFINE_uint32(engines, 40, "Number of engines.");
DEFINE_uint32(domains, 5, "Number of failure domains; 1 makes all entries report to all others.");
DEFINE_double(rate, 3, "Prompts of each entry a second.");
DEFINE_uint32(tokens, 5'000, "Tokens of a prompt.");
DEFINE_uint32(stream_ms, 2'000, "Duration of a stream after its first event.");
DEFINE_uint32(seconds, 10, "Simulated time.");
DEFINE_uint64(seed, 1, "Seed of the arrivals and of the reducers.");
DEFINE_double(return_s, 0, "When the engines of the first domain return, all cold; 0: never away.");
DEFINE_double(cold_per_s, 32, "Requests that a cold engine bears a second; 0 for no limit.");
DEFINE_uint32(max_cold, 0, "Fail when a cold engine gets more requests in a second; 0: no limit.");
DEFINE_double(max_messages, 0, "Fail when an entry sends more messages a second; 0 for no limit.");
DEFINE_double(max_late, 1, "Fail when a larger share of the prompts is late or refused.");

namespace sycamorepost {
namespace {

using std::chrono::milliseconds;

constexpr const char* kService = "engine";
constexpr const char* kHost = "example";
constexpr milliseconds kObjective{ 400 };
constexpr milliseconds kDelayInDomain{ 1 };
constexpr milliseconds kDelayBetweenDomains{ 5 };
constexpr Instant kStart{ std::chrono::hours(1) };

// How long engines are cold after their return, how much longer they take meanwhile, and how often
// they register. Each entry reads a registration within kMaxReadDelay.
constexpr std::chrono::seconds kCold{ 3 };
constexpr double kColdSlowness = 3;
constexpr std::chrono::seconds kHeartbeat{ 1 };
constexpr milliseconds kMaxReadDelay{ 900 };

// The first seconds, in which the entries get to know each other, are not measured.
constexpr std::chrono::seconds kWarmUp{ 2 };

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
  RouteRule route;
  route.name = "draft";
  route.host = kHost;
  route.pathPrefix = "/";
  route.kind = RouteKind::Stream;
  route.services = { { kService, 1 } };
  route.timeout = std::chrono::seconds(10);
  route.objective = kObjective;
  route.gapObjective = milliseconds(300);
  route.allowsAnonymous = true;
  auto table = std::make_shared<RouteTable>();
  table->version = 1;
  table->AddRoute(route);
  table->services[kService] = { kService, 0, MakeTraits(), kCold, FLAGS_cold_per_s };
  return table;
}

struct Engine
{
  Instant prefillsUntil;
  std::uint32_t running = 0;
  std::vector<Instant> startedAt; // When requests were sent to it.
};

struct Entry
{
  std::string address;
  std::string domain;
  std::unique_ptr<ForwardReducer> reducer;
  Instant wakeAt = Instant::max();
  std::uint64_t messages = 0;
};

// What is measured after the warm-up.
struct Counts
{
  std::uint64_t prompts = 0;
  std::uint64_t refused = 0;
  std::uint64_t late = 0;
  std::uint64_t nearBest = 0; // Placed on an engine whose true wait was near the shortest one.
  std::uint64_t bytes = 0;
  std::uint64_t bytesBetweenDomains = 0;
  std::vector<double> firstEventMs;
};

class Simulation
{
public:
  Simulation()
    : engines(FLAGS_engines)
    , random(FLAGS_seed)
  {
    std::map<std::string, RegisteredEntry> registered;
    for (std::uint32_t i = 0; i < FLAGS_entries; ++i) {
      Entry entry;
      entry.address = "10.0." + std::to_string(i / 250) + "." + std::to_string(i % 250) + ":1";
      entry.domain = this->DomainOf(i);
      entry.reducer =
        std::make_unique<ForwardReducer>(ForwardConfig{ .name = "entry-" + std::to_string(i),
                                                        .address = entry.address,
                                                        .domain = entry.domain,
                                                        .seed = FLAGS_seed + i });
      registered["entry-" + std::to_string(i)] = { entry.address, entry.domain };
      this->indexByAddress[entry.address] = i;
      this->entries.push_back(std::move(entry));
    }
    const std::map<std::string, RegisteredTarget> targets = this->RegisteredAt(this->now);
    for (std::uint32_t i = 0; i < FLAGS_entries; ++i) {
      this->Step(i, RoutesChanged{ MakeTable() });
      this->Step(i, TargetsChanged{ targets });
      this->Step(i, EntriesChanged{ registered });
      this->Step(i, Wake{});
      this->ScheduleArrival(i);
    }
    this->ScheduleReturn();
  }

  // Runs to the end and prints the results. Returns whether they are within the limits.
  bool Run()
  {
    const Instant end = kStart + std::chrono::seconds(FLAGS_seconds) + kWarmUp;
    while (!this->events.empty() && this->events.top().at < end) {
      const Event event = this->events.top();
      this->events.pop();
      this->now = event.at;
      event.action();
    }
    return this->Report();
  }

private:
  struct Event
  {
    Instant at;
    std::uint64_t sequence = 0; // Events at the same time happen in order.
    std::function<void()> action;

    bool operator<(const Event& aOther) const
    {
      return std::tie(aOther.at, aOther.sequence) < std::tie(this->at, this->sequence);
    }
  };

  std::string DomainOf(std::uint32_t aIndex) const
  {
    return "domain-" + std::to_string(aIndex % std::max(1U, FLAGS_domains));
  }

  bool Returns(std::uint32_t aEngine) const
  {
    return FLAGS_return_s > 0 && this->DomainOf(aEngine) == this->DomainOf(0);
  }

  // Returns what the store lists at an instant.
  std::map<std::string, RegisteredTarget> RegisteredAt(Instant aAt) const
  {
    std::map<std::string, RegisteredTarget> targets;
    for (std::uint32_t i = 0; i < FLAGS_engines; ++i) {
      const std::string instance = "engine-" + std::to_string(i);
      const Duration coldFor = this->returnsAt + kCold - aAt;
      if (!this->Returns(i) || aAt >= this->returnsAt) {
        targets[instance] = { .instance = instance,
                              .service = kService,
                              .address = instance,
                              .domain = this->DomainOf(i),
                              .slots = MakeTraits().slots,
                              .coldRemainingMs = this->Returns(i)
                                                   ? std::max<std::int64_t>(0, ToMillis(coldFor))
                                                   : 0 };
      }
    }
    return targets;
  }

  // Each entry reads the registrations of the returned engines within its interval.
  void ScheduleReturn()
  {
    if (FLAGS_return_s <= 0) {
      return;
    }
    for (std::uint32_t i = 0; i < FLAGS_entries; ++i) {
      const Duration delay(this->random() % Duration(kMaxReadDelay).count());
      for (Duration sinceReturn{}; sinceReturn <= kCold; sinceReturn += kHeartbeat) {
        const Instant registeredAt = this->returnsAt + sinceReturn;
        this->At(registeredAt + delay, [this, i, registeredAt] {
          this->Step(i, TargetsChanged{ this->RegisteredAt(registeredAt) });
        });
      }
    }
  }

  bool IsMeasured() const { return this->now >= kStart + kWarmUp; }

  void At(Instant aAt, std::function<void()> aAction)
  {
    this->events.push({ aAt, ++this->sequence, std::move(aAction) });
  }

  void ScheduleArrival(std::uint32_t aEntry)
  {
    std::exponential_distribution<double> gap(FLAGS_rate);
    const auto delay = std::chrono::duration<double>(gap(this->random));
    this->At(this->now + std::chrono::duration_cast<Duration>(delay), [this, aEntry] {
      ForwardRequest request;
      request.handle = ++this->lastHandle;
      request.requestId = std::to_string(request.handle);
      request.path = "/";
      request.host = kHost;
      request.body = MakeBody("");
      request.promptTokens = FLAGS_tokens;
      request.outputTokens = 500;
      request.fingerprint = request.handle;
      this->arrivals[request.handle] = this->now;
      this->counts.prompts += this->IsMeasured() ? 1 : 0;
      this->Step(aEntry, request);
      this->ScheduleArrival(aEntry);
    });
  }

  void Step(std::uint32_t aEntry, const ForwardEvent& aEvent)
  {
    Entry& entry = this->entries[aEntry];
    for (const ForwardEffect& effect : entry.reducer->Step(aEvent, this->now)) {
      if (const auto* start = std::get_if<StartAttempt>(&effect)) {
        this->Serve(aEntry, *start);
      } else if (const auto* broadcast = std::get_if<BroadcastLoad>(&effect)) {
        EntryLoad load{ broadcast->loads, broadcast->isSnapshot, 1 };
        const PeerLoadReport report{
          entry.address, 1, broadcast->loads, broadcast->isSnapshot, load.version
        };
        this->Send(aEntry, broadcast->recipients, std::move(load), report);
      } else if (const auto* domain = std::get_if<SendDomainLoad>(&effect)) {
        this->Send(aEntry, domain->recipients, domain->report, domain->report);
      } else if (std::holds_alternative<SendResponse>(effect)) {
        this->counts.refused += this->IsMeasured() ? 1 : 0;
      }
    }
    const Instant next = entry.reducer->NextWake().value_or(Instant::max());
    if (next < entry.wakeAt) {
      entry.wakeAt = next;
      this->At(std::max(next, this->now), [this, aEntry, next] {
        if (this->entries[aEntry].wakeAt == next) {
          this->entries[aEntry].wakeAt = Instant::max();
          this->Step(aEntry, Wake{});
        }
      });
    }
  }

  void Send(std::uint32_t aFrom,
            const std::vector<std::string>& aRecipients,
            Message aMessage,
            const ForwardEvent& aEvent)
  {
    Entry& from = this->entries[aFrom];
    Envelope envelope;
    envelope.from = from.address;
    envelope.message = std::move(aMessage);
    const std::size_t bytes = EncodeHeader(envelope).size();
    for (const std::string& recipient : aRecipients) {
      const std::uint32_t to = this->indexByAddress.at(recipient);
      // Failure domains exist also where the entries are told that there is one only.
      const bool crosses = aFrom % kRealDomains != to % kRealDomains;
      from.messages += this->IsMeasured() ? 1 : 0;
      this->counts.bytes += this->IsMeasured() ? bytes : 0;
      this->counts.bytesBetweenDomains += this->IsMeasured() && crosses ? bytes : 0;
      this->At(this->now + (crosses ? kDelayBetweenDomains : kDelayInDomain),
               [this, to, aEvent] { this->Step(to, aEvent); });
    }
  }

  // An engine prefills one prompt after the other. A stream decodes beside them.
  void Serve(std::uint32_t aEntry, const StartAttempt& aStart)
  {
    static constexpr Duration kNear = milliseconds(60); // Two prompts.
    Engine& engine = this->engines.at(std::stoul(aStart.instance.substr(7)));
    Duration shortest = Duration::max();
    for (const Engine& other : this->engines) {
      shortest = std::min(shortest, this->WaitOf(other));
    }
    const EngineTraits traits = MakeTraits();
    engine.startedAt.push_back(this->now);
    const bool isCold =
      this->Returns(std::stoul(aStart.instance.substr(7))) && this->now < this->returnsAt + kCold;
    const double prefillMs = EstimatePrefillMs(traits, FLAGS_tokens) * (isCold ? kColdSlowness : 1);
    const double passMs = EstimatePassMs(traits, engine.running, engine.running * FLAGS_tokens);
    if (this->IsMeasured()) {
      this->counts.nearBest += this->WaitOf(engine) <= shortest + kNear ? 1 : 0;
    }
    engine.prefillsUntil = std::max(engine.prefillsUntil, this->now) + FromMs(prefillMs);
    ++engine.running;
    // Beyond its slots an engine makes requests wait for running ones.
    const Duration queued =
      engine.running > traits.slots
        ? milliseconds(FLAGS_stream_ms / traits.slots) * (engine.running - traits.slots)
        : Duration::zero();
    const Instant firstEvent = engine.prefillsUntil + queued + FromMs(passMs);
    this->At(firstEvent, [this, aEntry, start = aStart, &engine] {
      this->RecordFirstEvent(start.handle);
      AttemptHead head;
      head.attempt = start.attempt;
      head.status = 200;
      head.isSigned = true;
      this->Step(aEntry, head);
      this->Step(aEntry, AttemptData{ start.attempt, "id: 1\ndata: x\n\n" });
      const auto end = this->now + milliseconds(FLAGS_stream_ms);
      for (Instant at = this->now + milliseconds(200); at < end; at += milliseconds(200)) {
        const auto id = 1 + (at - this->now) / milliseconds(200);
        this->At(at, [this, aEntry, start, id] {
          this->Step(aEntry,
                     AttemptData{ start.attempt, "id: " + std::to_string(id) + "\ndata: x\n\n" });
        });
      }
      this->At(end, [this, aEntry, start, &engine] {
        --engine.running;
        this->Step(aEntry, AttemptEnd{ start.attempt, AttemptEndKind::Complete, "" });
      });
    });
  }

  Duration WaitOf(const Engine& aEngine) const
  {
    const bool isFull = aEngine.running >= MakeTraits().slots;
    return std::max(Duration::zero(), aEngine.prefillsUntil - this->now) +
           (isFull ? milliseconds(1'000) : milliseconds(0));
  }

  void RecordFirstEvent(std::uint64_t aHandle)
  {
    const Instant arrivedAt = this->arrivals[aHandle];
    if (arrivedAt >= kStart + kWarmUp) {
      const double ms = ToMs(this->now - arrivedAt);
      this->counts.firstEventMs.push_back(ms);
      this->counts.late += ms > ToMs(kObjective) ? 1 : 0;
    }
  }

  bool Report()
  {
    Counts& all = this->counts;
    std::sort(all.firstEventMs.begin(), all.firstEventMs.end());
    const auto quantile = [&](double aShare) {
      const auto last = static_cast<double>(all.firstEventMs.size()) - 1;
      return all.firstEventMs.empty()
               ? 0
               : all.firstEventMs[static_cast<std::size_t>(aShare * std::max(0.0, last))];
    };
    const auto most = std::max_element(
      this->entries.begin(), this->entries.end(), [](const Entry& aLeft, const Entry& aRight) {
        return aLeft.messages < aRight.messages;
      });
    std::uint64_t messages = 0;
    for (const Entry& entry : this->entries) {
      messages += entry.messages;
    }
    const double seconds = FLAGS_seconds;
    const auto prompts = static_cast<double>(std::max<std::uint64_t>(1, all.prompts));
    const double mean = static_cast<double>(messages) / seconds / FLAGS_entries;
    const double highest = static_cast<double>(most->messages) / seconds;
    const double lateShare = static_cast<double>(all.late + all.refused) / prompts;
    std::printf("entries %u, engines %u, domains %u, prompts %llu\n",
                FLAGS_entries,
                FLAGS_engines,
                FLAGS_domains,
                static_cast<unsigned long long>(all.prompts));
    std::printf("messages of an entry a second: mean %.0f, highest %.0f\n", mean, highest);
    std::printf("kB sent by an entry a second: %.1f; between failure domains, by all: %.0f\n",
                static_cast<double>(all.bytes) / seconds / FLAGS_entries / 1000,
                static_cast<double>(all.bytesBetweenDomains) / seconds / 1000);
    std::printf("placed near the best engine: %.1f %%\n",
                100 * static_cast<double>(all.nearBest) / prompts);
    std::printf("first event: p50 %.0f ms, p99 %.0f ms; late or refused %.1f %%\n",
                quantile(0.5),
                quantile(0.99),
                100 * lateShare);
    const bool isBoundKept = FLAGS_return_s <= 0 || this->ReportReturn();
    const bool isWithin = isBoundKept &&
                          (FLAGS_max_messages <= 0 || highest <= FLAGS_max_messages) &&
                          lateShare <= FLAGS_max_late;
    if (!isWithin) {
      std::printf("a limit is exceeded\n");
    }
    return isWithin;
  }

  // Returns the requests in an interval that were sent to returned engines, and to all.
  std::pair<double, double> SentIn(Instant aFrom, Instant aTo) const
  {
    double returned = 0;
    double all = 0;
    for (std::uint32_t i = 0; i < FLAGS_engines; ++i) {
      const auto& times = this->engines[i].startedAt;
      const auto count = static_cast<double>(std::lower_bound(times.begin(), times.end(), aTo) -
                                             std::lower_bound(times.begin(), times.end(), aFrom));
      returned += this->Returns(i) ? count : 0;
      all += count;
    }
    return { returned, all };
  }

  // Returns the most requests that one of the engines got within a window that begins in an
  // interval.
  std::size_t MostIn(bool aReturned, Instant aFrom, Instant aTo, Duration aWindow) const
  {
    std::ptrdiff_t most = 0;
    for (std::uint32_t i = 0; i < FLAGS_engines; ++i) {
      const auto& times = this->engines[i].startedAt;
      const auto end = std::lower_bound(times.begin(), times.end(), aTo);
      for (auto first = std::lower_bound(times.begin(), times.end(), aFrom);
           this->Returns(i) == aReturned && first < end;
           ++first) {
        const auto last = std::upper_bound(first, end, *first + aWindow);
        most = std::max(most, last - first);
      }
    }
    return static_cast<std::size_t>(most);
  }

  // Prints how the returned domain took its load. Returns whether the bound of cold engines held.
  bool ReportReturn() const
  {
    static constexpr milliseconds kStep{ 100 };
    static constexpr milliseconds kAveraged{ 500 };
    const Instant end = kStart + kWarmUp + std::chrono::seconds(FLAGS_seconds);
    const auto [finalReturned, finalAll] = this->SentIn(end - std::chrono::seconds(2), end);
    const double finalShare = finalReturned / std::max(1.0, finalAll);
    Instant reachedAt = this->returnsAt + kAveraged;
    for (; reachedAt < end; reachedAt += kStep) {
      const auto [returned, all] = this->SentIn(reachedAt - kAveraged, reachedAt);
      if (returned >= 0.9 * finalShare * all) {
        break;
      }
    }
    const std::size_t mostCold =
      this->MostIn(true, this->returnsAt, this->returnsAt + kCold, std::chrono::seconds(1));
    std::printf("returned domain: final share of the prompts %.1f %%, 90 %% of it after %lld ms\n",
                100 * finalShare,
                static_cast<long long>(ToMillis(reachedAt - this->returnsAt)));
    std::printf("most prompts to a cold engine in a second: %zu\n", mostCold);
    std::printf("most prompts to one engine in 100 ms: returned %zu, others before %zu\n",
                this->MostIn(true, this->returnsAt, end, kStep),
                this->MostIn(false, kStart + kWarmUp, this->returnsAt, kStep));
    return FLAGS_max_cold == 0 || mostCold <= FLAGS_max_cold;
  }

  // The failure domains of the network, whatever the entries are told.
  static constexpr std::uint32_t kRealDomains = 5;

  std::vector<Entry> entries;
  std::vector<Engine> engines;
  std::map<std::string, std::uint32_t> indexByAddress;
  std::map<std::uint64_t, Instant> arrivals; // By handle.
  std::priority_queue<Event> events;
  std::mt19937_64 random;
  Instant now = kStart;
  const Instant returnsAt = kStart + kWarmUp + FromMs(FLAGS_return_s * 1000);
  std::uint64_t sequence = 0;
  std::uint64_t lastHandle = 0;
  Counts counts;
};

} // namespace
} // namespace sycamorepost

int
main(int aCount, char** aArguments)
{
  gflags::SetUsageMessage("simulates the coordination of entries; see --helpshort");
  gflags::ParseCommandLineFlags(&aCount, &aArguments, true);
  if (FLAGS_entries == 0 || FLAGS_engines == 0 || FLAGS_rate <= 0 || FLAGS_seconds == 0) {
    std::fprintf(stderr, "--entries, --engines, --rate and --seconds must be above 0\n");
    return 2;
  }
  return sycamorepost::Simulation().Run() ? 0 : 1;
}
