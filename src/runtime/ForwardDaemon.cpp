#include "runtime/ForwardDaemon.h"

#include <algorithm>
#include <csignal>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <glog/logging.h>
#include <nlohmann/json.hpp>

#include "net/Compression.h"
#include "platform/RequestCodec.h"
#include "runtime/Node.h"
#include "runtime/WherePage.h"

namespace sycamorepost {

namespace {

constexpr auto kTuple = asio::as_tuple(asio::use_awaitable);
constexpr Duration kDrainPollInterval = std::chrono::milliseconds(50);
constexpr Duration kHousekeepingInterval = std::chrono::milliseconds(250);

// File descriptors reserved for files, peer connections and the store.
constexpr std::uint32_t kReservedDescriptors = 300;

// What attempts may buffer of responses, as a part of what callers may hold.
constexpr std::uint64_t kAttemptShare = 4;

// The largest message of a peer, as a part of what callers may hold. The largest one that peers
// send is a configuration.
constexpr std::uint64_t kFrameShare = 8;
constexpr std::size_t kMinFrameBytes = 4 * 1024 * 1024;

// The largest configuration that is accepted from a peer: as much as one page of the store.
constexpr std::size_t kMaxConfigurationBytes = 16 * 1024 * 1024;

HttpLimits
MakeLimits(const ForwardSettings& aSettings, const CallerLimits& aLimits)
{
  HttpLimits limits;
  limits.headerBytes = aLimits.maxHeaderBytes;
  limits.bodyBytes = aLimits.maxBodyBytes;
  // Each request in flight needs a second descriptor for the connection to its target.
  limits.connections =
    (aSettings.descriptors - std::min(aSettings.descriptors, kReservedDescriptors)) / 2;
  limits.headerTimeout = aLimits.headerTimeout;
  limits.idleTimeout = aLimits.idleTimeout;
  return limits;
}

std::int64_t
UnixMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

} // namespace

ForwardDaemon::ForwardDaemon(ForwardSettings aSettings,
                             std::string aSettingsPath,
                             ProcessLog& aProcessLog)
  : settings(std::move(aSettings))
  , settingsPath(std::move(aSettingsPath))
  , processLog(aProcessLog)
  , ledger(CallerMemory(this->settings.memory))
  , incarnation(MakeIncarnation())
  , log(this->settings.name, this->settings.logSample)
  , reducer(ForwardConfig{ .name = this->settings.name,
                           .address = this->settings.peerAddress,
                           .domain = this->settings.domain,
                           .seed = this->incarnation,
                           .retryRatio = this->settings.retryRatio,
                           .retrySlack = this->settings.retrySlack,
                           .reservationLease = this->settings.reservationLease,
                           .changeBound = this->settings.changeBound,
                           .coldBound = { this->settings.coldOverage, this->settings.coldSlack },
                           .maxBufferedBytes = CallerMemory(this->settings.memory) / kAttemptShare,
                           .learnPace = this->settings.learnPace })
  , bus(
      this->context,
      this->settings.peerAddress,
      this->incarnation,
      [this](const Envelope& aEnvelope) { this->OnMessage(aEnvelope); },
      // The lost message is not repeated, as the next one carries the same state.
      [this](const std::string& aPeer) { this->bus.Reconnect(aPeer); })
  , follower(this->context,
             { this->settings.storeAddress,
               this->settings.name,
               this->settings.peerAddress,
               this->settings.domain,
               this->settings.targetDrainTimeout,
               this->settings.changeBound },
             { [this](const std::shared_ptr<const RouteTable>& aTable, const std::string& aText) {
                this->OnRoutes(aTable, aText);
              },
               [this](const std::map<std::string, RegisteredTarget>& aTargets, Instant aReadAt) {
                 LOG(INFO) << "[forward] " << aTargets.size() << " targets are registered";
                 const std::int64_t unixMs = UnixMs() - ToMillis(Now() - aReadAt);
                 this->Step(TargetsChanged{ aTargets, aReadAt, unixMs });
               },
               [this](const std::map<std::string, RegisteredEntry>& aEntries) {
                 this->OnEntries(aEntries);
               },
               [this](const EvacuationRead& aRead) { this->Step(aRead); },
               [this](bool aReached) { this->Step(ConfigurationReadEnd{ aReached }); },
               [this](StoreReport aReport) {
                 aReport.evacuations = this->reducer.Evacuations();
                 this->bus.SendToAll(this->reducer.Entries().Neighbours(), std::move(aReport));
               },
               [this] { return this->reducer.DomainRank(Now()); } },
             this->incarnation)
  , server(
      this->context,
      MakeLimits(this->settings, CallerLimits{}),
      [this](HttpRequest aRequest, HttpExchange& aExchange) {
        return this->Serve(std::move(aRequest), aExchange);
      },
      &this->ledger)
  , pages{ [this] { return this->reducer.IsReady() && !this->draining; },
           [this] { return this->FormatMetrics(); },
           [this] { return this->MakeDump(); },
           [this] { return this->table ? this->table->Format() : std::string(); },
           [this](const HttpRequest& aRequest) {
             return ServeWhere(aRequest, this->table.get(), this->reducer, Now());
           } }
  , admin(this->context,
          kAdminLimits,
          [this](HttpRequest aRequest, HttpExchange& aExchange) {
            return ServeAdminPage(this->pages, std::move(aRequest), aExchange);
          })
  , signals(this->context, SIGTERM, SIGINT, SIGHUP)
  , wakeTimer(this->context)
{
  this->server.SetRefusalHandler(
    [this](HttpRefusal aRefusal) { this->metrics.Count("caller_refusals", ToString(aRefusal)); });
}

int
ForwardDaemon::Run()
{
  struct Listener
  {
    HttpServer& server;
    const std::string& address;
  };
  std::string reason;
  for (const Listener& listener : { Listener{ this->server, this->settings.httpAddress },
                                    Listener{ this->admin, this->settings.adminAddress } }) {
    if (!listener.server.Listen(*ParseEndpoint(listener.address), reason)) {
      LOG(ERROR) << "[forward] cannot listen on " << listener.address << ": " << reason;
      return 1;
    }
  }
  this->bus.SetMaxFrameBytes(std::clamp<std::size_t>(
    CallerMemory(this->settings.memory) / kFrameShare, kMinFrameBytes, PeerBus::kMaxFrameBytes));
  if (!this->bus.Listen(this->settings.peerAddress, reason)) {
    LOG(ERROR) << "[forward] cannot listen on " << this->settings.peerAddress << ": " << reason;
    return 1;
  }
  this->follower.Start();
  this->WaitForSignal();
  asio::co_spawn(this->context, this->RunHousekeeping(), asio::detached);
  this->Step(Wake{});
  LOG(INFO) << "[forward] serving on " << this->settings.httpAddress;
  this->context.run();
  this->log.Flush();
  LOG(INFO) << "[forward] stopped";
  return 0;
}

// ---- Events and effects of the reducer ----

void
ForwardDaemon::Step(const ForwardEvent& aEvent)
{
  for (ForwardEffect& effect : this->reducer.Step(aEvent, Now())) {
    std::visit([this](auto& aEffect) { this->Execute(aEffect); }, effect);
  }
  this->ArmWake();
}

// Rearms the timer only if it would expire too late. One that expires too early causes a Wake event
// without effect and is then armed again.
void
ForwardDaemon::ArmWake()
{
  const auto next = this->reducer.NextWake();
  if (!next || this->wakeAt <= *next) {
    return;
  }
  this->wakeAt = *next;
  ArmTimer(this->wakeTimer, *next);
  this->wakeTimer.async_wait([this](beast::error_code aError) {
    if (!aError) {
      this->wakeAt = Instant::max();
      this->Step(Wake{});
    }
  });
}

void
ForwardDaemon::Execute(StartAttempt& aStart)
{
  const auto found = this->sessions.find(aStart.handle);
  if (found == this->sessions.end()) {
    return;
  }
  const std::shared_ptr<Session> session = found->second;
  auto stream = std::make_shared<HttpStream>(this->context.get_executor());
  this->attempts[aStart.attempt] = stream;
  asio::co_spawn(this->context,
                 this->RunAttempt(aStart.attempt,
                                  platform::EncodeAttempt(*session->request, aStart),
                                  session,
                                  std::move(stream)),
                 asio::detached);
}

void
ForwardDaemon::Execute(CancelAttempt& aCancel)
{
  const auto found = this->attempts.find(aCancel.attempt);
  if (found != this->attempts.end()) {
    const auto stream = std::move(found->second);
    this->attempts.erase(found);
    stream->Close();
  }
}

void
ForwardDaemon::Execute(SendReservationCommand& aCommand)
{
  asio::co_spawn(this->context, this->RunReservationCommand(std::move(aCommand)), asio::detached);
}

void
ForwardDaemon::Execute(BroadcastLoad& aBroadcast)
{
  EntryLoad load;
  load.reports = std::move(aBroadcast.loads);
  load.isSnapshot = aBroadcast.isSnapshot;
  load.version = this->follower.ConfigurationVersion();
  this->bus.SendToAll(aBroadcast.recipients, std::move(load));
}

void
ForwardDaemon::Execute(SendDomainLoad& aSend)
{
  this->bus.SendToAll(aSend.recipients, std::move(aSend.report));
}

void
ForwardDaemon::Execute(BroadcastAbort& aBroadcast)
{
  this->bus.SendToAll(aBroadcast.recipients, AbortNotice{ aBroadcast.fingerprint });
}

void
ForwardDaemon::Execute(BroadcastLeaving& aBroadcast)
{
  this->bus.SendToAll(aBroadcast.recipients,
                      TargetLeavingNotice{ aBroadcast.instance, aBroadcast.startedAtMs });
}

void
ForwardDaemon::Execute(CheckTarget& aCheck)
{
  asio::co_spawn(this->context, this->RunCheck(std::move(aCheck)), asio::detached);
}

void
ForwardDaemon::Execute(BroadcastCrash& aBroadcast)
{
  this->bus.SendToAll(aBroadcast.recipients, std::move(aBroadcast.report));
}

void
ForwardDaemon::Execute(BroadcastQuarantine& aBroadcast)
{
  this->bus.SendToAll(aBroadcast.recipients, std::move(aBroadcast.report));
}

void
ForwardDaemon::Execute(RequestConfiguration& aRequest)
{
  LOG(INFO) << "[forward] requested the configuration from " << aRequest.peer
            << ", which has a newer version than " << aRequest.version;
  this->bus.Send(aRequest.peer, 0, RulesRequest{ aRequest.version }, nullptr);
}

void
ForwardDaemon::Execute(CountEvent& aCount)
{
  this->metrics.Count(aCount.name, aCount.label, aCount.amount);
}

void
ForwardDaemon::Execute(LogDecision& aDecision)
{
  this->log.Write(aDecision, UnixMs());
}

// ---- Peers, configuration and process control ----

void
ForwardDaemon::OnMessage(const Envelope& aEnvelope)
{
  if (const auto* load = std::get_if<EntryLoad>(&aEnvelope.message)) {
    this->Step(PeerLoadReport{
      aEnvelope.from, aEnvelope.fromIncarnation, load->reports, load->isSnapshot, load->version });
  } else if (const auto* domainLoad = std::get_if<DomainLoadReport>(&aEnvelope.message)) {
    this->Step(*domainLoad);
  } else if (const auto* report = std::get_if<StoreReport>(&aEnvelope.message)) {
    this->AcceptStoreReport(*report, aEnvelope.from);
  } else if (const auto* notice = std::get_if<AbortNotice>(&aEnvelope.message)) {
    this->Step(PeerAbortReport{ notice->fingerprint });
  } else if (const auto* leaving = std::get_if<TargetLeavingNotice>(&aEnvelope.message)) {
    this->Step(PeerLeavingReport{ leaving->instance, leaving->startedAtMs });
  } else if (const auto* crash = std::get_if<TargetCrashReport>(&aEnvelope.message)) {
    this->Step(*crash);
  } else if (const auto* quarantine = std::get_if<QuarantineReport>(&aEnvelope.message)) {
    this->Step(PeerQuarantineReport{ aEnvelope.from, *quarantine });
  } else if (const auto* evacuation = std::get_if<EvacuationNotice>(&aEnvelope.message)) {
    this->Step(PeerEvacuationReport{ aEnvelope.from, evacuation->view });
  } else if (const auto* request = std::get_if<RulesRequest>(&aEnvelope.message)) {
    this->SendConfiguration(aEnvelope.from, request->version);
  } else if (const auto* response = std::get_if<RulesResponse>(&aEnvelope.message)) {
    this->AcceptPeerConfiguration(response->version, *aEnvelope.body, aEnvelope.from);
    this->Step(PeerConfigurationReceived{ aEnvelope.from });
  }
}

// The evacuated domains come first: the follower takes over the offset of the report, and does not
// read the records before it.
void
ForwardDaemon::AcceptStoreReport(const StoreReport& aReport, const std::string& aPeer)
{
  if (!this->reducer.Entries().IsNeighbour(aPeer)) {
    this->metrics.Count("forward_peer_reports_ignored", "store");
    return;
  }
  this->Step(PeerEvacuationReport{ aPeer, aReport.evacuations });
  if (!this->follower.AcceptReport(aReport, aPeer)) {
    this->metrics.Count("forward_peer_reports_ignored", "store");
  }
}

void
ForwardDaemon::SendConfiguration(const std::string& aPeer, std::uint64_t aKnownVersion)
{
  const std::uint64_t version = this->follower.ConfigurationVersion();
  if (version > aKnownVersion) {
    this->bus.Send(aPeer, 0, EvacuationNotice{ this->reducer.Evacuations() }, nullptr);
    if (!this->compressedConfiguration) {
      this->compressedConfiguration = MakeBody(Compress(this->configuration));
    }
    this->bus.Send(aPeer, 0, RulesResponse{ version, 0 }, this->compressedConfiguration);
  }
}

void
ForwardDaemon::AcceptPeerConfiguration(std::uint64_t aVersion,
                                       const std::string& aBody,
                                       const std::string& aPeer)
{
  const bool isNewer = aVersion > this->follower.ConfigurationVersion();
  const auto text = isNewer ? Decompress(aBody, kMaxConfigurationBytes) : std::string();
  if (!text) {
    LOG(WARNING) << "[forward] ignored the configuration " << aVersion << " from " << aPeer
                 << ": it cannot be decompressed";
    return;
  }
  this->follower.AcceptPeerConfiguration(aVersion, *text, aPeer);
}

void
ForwardDaemon::OnRoutes(const std::shared_ptr<const RouteTable>& aTable, const std::string& aText)
{
  this->table = aTable;
  this->configuration = aText;
  this->compressedConfiguration = nullptr;
  this->server.SetLimits(MakeLimits(this->settings, aTable->limits));
  this->Step(RoutesChanged{ aTable });
}

void
ForwardDaemon::OnEntries(const std::map<std::string, RegisteredEntry>& aEntries)
{
  LOG(INFO) << "[forward] " << aEntries.size() << " entries are registered";
  this->Step(EntriesChanged{ aEntries });
}

void
ForwardDaemon::WaitForSignal()
{
  this->signals.async_wait([this](beast::error_code aError, int aSignal) {
    if (aError) {
      return;
    }
    if (aSignal == SIGHUP) {
      this->Reload();
    } else if (!this->draining) {
      LOG(INFO) << "[forward] received a termination signal; draining " << this->reducer.InFlight()
                << " requests in flight";
      this->draining = true;
      asio::co_spawn(this->context, this->Drain(), asio::detached);
    }
    this->WaitForSignal();
  });
}

// Applies only the drain delay: the addresses of a running process cannot change, and everything
// else that varies comes from the store.
void
ForwardDaemon::Reload()
{
  const auto fresh = LoadSettings<ForwardSettings>(this->settingsPath, ParseForwardSettings);
  if (!fresh) {
    LOG(WARNING) << "[forward] the changed settings file is invalid; keeping the current settings";
    return;
  }
  this->settings.drainDelay = fresh->drainDelay;
  LOG(INFO) << "[forward] reloaded the settings file";
}

// Keeps accepting requests during the drain delay: /readyz already fails, but the balancer sends
// new requests until it has noticed.
asio::awaitable<void>
ForwardDaemon::Drain()
{
  // Time to send the last responses, and for the platform's delay in sending the signal.
  static constexpr Duration kStopMargin = std::chrono::milliseconds(500);
  this->server.CloseAfterResponses();
  this->Step(StopAnnounced{ Now() + std::max(kStopMargin, this->settings.grace - kStopMargin) });
  asio::co_spawn(this->context, this->follower.Deregister(), asio::detached);
  asio::steady_timer timer(this->context, this->settings.drainDelay);
  co_await timer.async_wait(kTuple);
  this->server.StopAccepting();
  while (this->server.ActiveRequests() > 0 || this->reducer.InFlight() > 0) {
    timer.expires_after(kDrainPollInterval);
    co_await timer.async_wait(kTuple);
  }
  this->context.stop();
}

asio::awaitable<void>
ForwardDaemon::RunHousekeeping()
{
  asio::steady_timer timer(this->context);
  while (true) {
    timer.expires_after(kHousekeepingInterval);
    co_await timer.async_wait(kTuple);
    this->log.Flush();
    this->processLog.Flush();
    this->bus.CloseIdleConnections();
    const bool ready = this->pages.ready();
    if (ready != this->wasReady) {
      LOG(INFO) << "[forward] " << (ready ? "ready" : "not ready");
      this->wasReady = ready;
    }
  }
}

std::string
ForwardDaemon::FormatMetrics()
{
  this->metrics.Set("configuration_version",
                    static_cast<double>(this->follower.ConfigurationVersion()));
  this->metrics.Set("store_era", static_cast<double>(this->follower.StoreEra()));
  this->metrics.Set("requests_in_flight", static_cast<double>(this->reducer.InFlight()));
  this->metrics.Set("forward_evacuated_domains",
                    static_cast<double>(this->reducer.Evacuations().domains.size()));
  this->metrics.Set("forward_slow_targets", static_cast<double>(this->reducer.SlowTargets()));
  this->metrics.Set("caller_connections", static_cast<double>(this->server.Connections()));
  this->metrics.Set("caller_sessions", static_cast<double>(this->sessions.size()));
  this->metrics.Set("caller_memory_bytes", static_cast<double>(this->ledger.Used()));
  this->metrics.Set("caller_memory_capacity_bytes", static_cast<double>(this->ledger.Capacity()));
  this->metrics.Set("peer_connections", static_cast<double>(this->bus.Connections()));
  this->metrics.Set("peer_messages_dropped", static_cast<double>(this->bus.Dropped()));
  this->metrics.Set("peer_messages_malformed", static_cast<double>(this->bus.Malformed()));
  this->metrics.Set(
    "log_lines_dropped",
    static_cast<double>(this->log.DroppedLines() + this->processLog.DroppedLines()));
  return this->metrics.Format();
}

nlohmann::json
ForwardDaemon::MakeDump()
{
  nlohmann::json json = this->reducer.Dump(Now());
  json["incarnation"] = this->incarnation;
  json["peer_links"] = this->bus.Connections();
  return json;
}

} // namespace sycamorepost
