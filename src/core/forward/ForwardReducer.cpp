#include "sycamorepost/forward/ForwardReducer.h"

#include <algorithm>
#include <cmath>

#include <nlohmann/json.hpp>

#include "ForwardImpl.h"

namespace sycamorepost {

using internal::Attempt;
using internal::RequestState;

namespace {

// Every entry broadcasts at least at this interval; a peer that misses three counts as down.
constexpr Duration kHousekeepingInterval = std::chrono::seconds(1);
constexpr Duration kPeerTimeout = std::chrono::seconds(3);

// The delay from the first change of a load to its broadcast: the least one, the share of it for
// each recipient, and the greatest one. Several changes share one message; a pass of an engine
// takes twice the least delay.
constexpr Duration kMinBroadcastDelay = std::chrono::milliseconds(25);
constexpr Duration kBroadcastDelayPerPeer = std::chrono::milliseconds(1);
constexpr Duration kMaxBroadcastDelay = std::chrono::milliseconds(200);

// The reporters of a failure domain, of which one may be lost unnoticed, and how often they report
// together.
constexpr std::size_t kDomainReporters = 2;
constexpr Duration kDomainReportInterval = std::chrono::milliseconds(250);

// A neighbour that was not heard for two broadcasts does not count as a reporter.
constexpr Duration kReporterTimeout = std::chrono::milliseconds(2200);

// The loads of another failure domain are known in LoadTracker under its name with this prefix.
constexpr const char* kDomainPrefix = "domain ";

// The least number of entries that is assumed: reports of some may not have been received yet.
constexpr std::size_t kMinAssumedEntries = 6;

// How long an aborted attempt is remembered: the last retry of a caller comes within its timeout.
constexpr Duration kAbortRecordTtl = std::chrono::seconds(60);

} // namespace

ForwardReducer::Impl::Impl(ForwardConfig aConfig)
  : config(std::move(aConfig))
  , coldShares(config.address, config.coldBound)
  , fetcher(config.changeBound, config.seed)
  , group(config.address, config.domain)
  , random(config.seed)
{
}

void
ForwardReducer::Impl::BeginStep(Instant aNow)
{
  this->now = aNow;
  this->startedAt = this->startedAt.value_or(aNow);
  this->effects.clear();
}

void
ForwardReducer::Impl::OnEvent(const ForwardCallerDisconnected& aDisconnect)
{
  const auto found = this->requests.find(aDisconnect.handle);
  if (found == this->requests.end()) {
    return;
  }
  this->Count("forward_callers_gone", "");
  this->Log(found->second, "caller-gone", {}, false);
  this->EndRequest(found->second);
}

void
ForwardReducer::Impl::OnEvent(const TargetsChanged& aChanged)
{
  for (const auto& [instance, target] : this->targets) {
    const auto found = aChanged.targets.find(instance);
    const bool removed = found == aChanged.targets.end();
    // A target that restarted under its old instance id has lost all of its work.
    if (removed || found->second.startedAtMs != target.startedAtMs) {
      this->loadTracker.RemoveTarget(instance);
      this->pace.RemoveTarget(instance);
    }
  }
  this->targets = aChanged.targets;
  this->RecordRegistrations(aChanged);
  this->BeginHeldRequests();
}

void
ForwardReducer::Impl::OnEvent(const EntriesChanged& aChanged)
{
  const bool knewNobody = this->group.AllPeers().empty();
  this->group.SetEntries(aChanged.entries);
  std::set<std::string> addresses;
  for (const auto& [name, entry] : aChanged.entries) {
    addresses.insert(entry.address);
  }
  this->coldShares.SetEntries(addresses, this->now);
  if (knewNobody) {
    this->RequestQuarantined();
  }
  if (this->domainReportAt == Instant::max()) {
    this->domainReportAt = this->now + Duration(this->random() % kDomainReportInterval.count());
  }
}

void
ForwardReducer::Impl::OnEvent(const PeerLoadReport& aReport)
{
  this->RecordPeerVersion(aReport.peer, aReport.configurationVersion);
  if (this->group.IsRemote(aReport.peer)) {
    return; // Its load is part of the report of its domain.
  }
  const auto known = this->peers.find(aReport.peer);
  const bool isNew = known == this->peers.end() || known->second.incarnation != aReport.incarnation;
  if (isNew) {
    // A peer that has just started does not know the load of this entry, and has none of its
    // earlier incarnation.
    std::vector<TargetLoadReport> loads = this->LoadSnapshot();
    if (!loads.empty()) {
      this->effects.emplace_back(BroadcastLoad{ std::move(loads), true, { aReport.peer } });
    }
    for (const auto& [instance, target] : this->targets) {
      if (!target.draining && this->notices.IsLeaving(target)) {
        this->effects.emplace_back(
          BroadcastLeaving{ instance, target.startedAtMs, { aReport.peer } });
      }
    }
    this->ShareQuarantined({ aReport.peer }, true);
  }
  this->peers[aReport.peer] = { aReport.incarnation, this->now };
  this->coldShares.RecordEntryHeard(aReport.peer, this->now);
  if (aReport.isSnapshot || isNew) {
    this->loadTracker.RemovePeer(aReport.peer);
  }
  this->loadTracker.ApplyReport(aReport.peer, aReport.loads, this->now);
  this->pace.ApplyReport(aReport.peer, false, aReport.loads, this->now);
}

// Each report is complete, so a lost one, or one that arrives after a newer one, does no lasting
// harm.
void
ForwardReducer::Impl::OnEvent(const DomainLoadReport& aReport)
{
  if (!this->group.IsOtherDomain(aReport.domain)) {
    if (aReport.domain != this->config.domain) {
      this->coldShares.RecordUnlistedEntries(aReport.domain, aReport.entries, this->now);
    }
    this->Count("forward_peer_reports_ignored", "domain");
    return;
  }
  if (!aReport.isRelayed && !this->group.Neighbours().empty()) {
    SendDomainLoad relayed{ aReport, this->group.Neighbours() };
    relayed.report.isRelayed = true;
    this->effects.emplace_back(std::move(relayed));
  }
  this->AdoptEvacuations(aReport.evacuations, aReport.reporter);
  const std::string peer = kDomainPrefix + aReport.domain;
  this->loadTracker.RemovePeer(peer);
  this->loadTracker.ApplyReport(peer, aReport.loads, this->now);
  this->pace.ApplyReport(peer, true, aReport.loads, this->now);
  const std::size_t registered = this->group.CountOf(aReport.domain);
  const std::size_t entries = std::min<std::size_t>(aReport.entries, registered);
  this->domains[aReport.domain] = { entries, this->now };
  this->coldShares.RecordUnlistedEntries(aReport.domain, aReport.entries - entries, this->now);
  // The others get it from a neighbour, so that a version crosses failure domains once at the most.
  if (this->DomainRank(this->now) == 0) {
    this->RecordPeerVersion(aReport.reporter, aReport.configurationVersion);
  }
}

// An entry that does not read the store all the time gets new versions from its neighbours.
void
ForwardReducer::Impl::RecordPeerVersion(const std::string& aPeer, std::uint64_t aVersion)
{
  if (this->table && aVersion > this->table->version) {
    this->fetcher.SetReadsStore(this->DomainRank(this->now) == 0);
  }
  this->fetcher.RecordPeerVersion(aPeer, aVersion, this->now);
}

void
ForwardReducer::Impl::OnEvent(const PeerAbortReport& aReport)
{
  this->AddAbort(aReport.fingerprint);
}

void
ForwardReducer::Impl::OnEvent(const PeerLeavingReport& aReport)
{
  if (!this->targets.contains(aReport.instance)) {
    this->Count("forward_peer_reports_ignored", "leaving");
    return;
  }
  this->notices.Record(
    aReport.instance, aReport.startedAtMs, { .isLeaving = true, .pause = {} }, this->now);
}

// A request that cannot end in time gets a response that says so, rather than a cut connection.
void
ForwardReducer::Impl::OnEvent(const StopAnnounced& aStop)
{
  this->stopsAt = aStop.endsAt;
  for (auto& [handle, state] : this->requests) {
    state.deadline = std::min(state.deadline, aStop.endsAt);
    this->SetWake(state);
  }
}

void
ForwardReducer::Impl::OnEvent(const Wake& /*aWake*/)
{
  while (!this->timers.empty() && this->timers.begin()->first <= this->now) {
    RequestState& state = this->requests.at(this->timers.begin()->second);
    if (this->now >= state.deadline) {
      this->OnDeadline(state);
      continue;
    }
    if (state.HasReservations() && this->now >= state.renewAt) {
      this->RenewReservations(state);
    }
    if (this->now >= state.startAt) {
      state.startAt = Instant::max();
      this->Launch(state);
      continue;
    }
    if (this->now >= state.stallAt) {
      this->OnStall(state);
      continue;
    }
    this->SetWake(state);
  }
  this->RunPeriodicWork();
}

// Several changes of the load within kBroadcastDelay share one broadcast.
void
ForwardReducer::Impl::ScheduleBroadcast()
{
  if (this->loadTracker.HasChanges() && this->broadcastAt == Instant::max()) {
    this->broadcastAt = this->now + this->BroadcastDelay();
  }
}

// With many recipients more changes share a message, so that the messages of an entry are limited.
Duration
ForwardReducer::Impl::BroadcastDelay() const
{
  const auto peerCount = static_cast<std::int64_t>(this->group.DirectPeers().size());
  return std::clamp(kBroadcastDelayPerPeer * peerCount, kMinBroadcastDelay, kMaxBroadcastDelay);
}

std::size_t
ForwardReducer::Impl::DomainRank(Instant aNow) const
{
  return this->group.Rank([&](const std::string& aAddress) {
    const auto peer = this->peers.find(aAddress);
    return peer != this->peers.end() && peer->second.lastReceivedAt + kReporterTimeout > aNow;
  });
}

// Sends the load of this entry's failure domain to one entry of each other domain.
void
ForwardReducer::Impl::ReportDomainLoad()
{
  const std::vector<std::string> relays = this->group.TakeRelays();
  if (relays.empty()) {
    return;
  }
  DomainLoadReport report;
  report.domain = this->config.domain;
  report.reporter = this->config.address;
  report.configurationVersion = this->table ? this->table->version : 0;
  const auto& neighbours = this->group.Neighbours();
  report.entries = 1 + static_cast<std::uint32_t>(std::count_if(
                         neighbours.begin(), neighbours.end(), [this](const auto& aPeer) {
                           return this->peers.contains(aPeer);
                         }));
  report.evacuations = this->evacuated.View();
  report.loads = this->loadTracker.SnapshotOf(
    [this](const std::string& aPeer) { return this->group.IsNeighbour(aPeer); }, this->now);
  for (TargetLoadReport& load : report.loads) {
    // Whole numbers are shorter on the wire.
    load.prefillMs = std::round(load.prefillMs);
    load.pendingPrefillMs = std::round(load.pendingPrefillMs);
  }
  if (this->config.learnPace) {
    this->pace.AddDomainViews(report.loads, this->now);
  }
  this->effects.emplace_back(SendDomainLoad{ std::move(report), relays });
}

void
ForwardReducer::Impl::RunPeriodicWork()
{
  if (this->now >= this->housekeepingAt) {
    this->housekeepingAt = this->now + kHousekeepingInterval;
    this->RemoveUnresponsivePeers();
    this->ExpireEvacuations();
    this->notices.Expire(this->targets, this->now);
    this->coldShares.Expire(this->targets, this->now);
    std::erase_if(this->aborts,
                  [this](const auto& aAbort) { return aAbort.second.expiresAt < this->now; });
    this->quarantine.Expire(this->now);
    std::erase_if(this->suspectedCrashes,
                  [this](const auto& aItem) { return aItem.second.expiresAt < this->now; });
    if (this->DomainRank(this->now) < kDomainReporters) {
      this->ShareQuarantined(this->group.DirectPeers(), true);
      this->ShareQuarantined(this->group.TakeRelays(), false);
    }
    std::erase_if(this->recentRefusals,
                  [this](const auto& aRefusal) { return aRefusal.second < this->now; });
    for (auto& [service, budget] : this->budgets) {
      budget.Configure(this->config.retryRatio, this->config.retrySlack, this->EntryCount());
    }
    this->broadcastAt = this->now;
  }
  this->RunCrashWork();
  this->RefreshPace();
  if (this->now >= this->broadcastAt) {
    this->broadcastAt = Instant::max();
    this->effects.emplace_back(
      BroadcastLoad{ this->TakeLoadChanges(), false, this->group.DirectPeers() });
  }
  if (this->now >= this->domainReportAt) {
    this->domainReportAt = this->now + kDomainReportInterval * kDomainReporters;
    if (this->DomainRank(this->now) < kDomainReporters) {
      this->ReportDomainLoad();
    }
  }
}

void
ForwardReducer::Impl::RemoveUnresponsivePeers()
{
  std::erase_if(this->peers, [this](const auto& aPeer) {
    const bool unresponsive = aPeer.second.lastReceivedAt + kPeerTimeout < this->now;
    if (unresponsive) {
      this->loadTracker.RemovePeer(aPeer.first);
    }
    return unresponsive;
  });
  std::erase_if(this->domains, [this](const auto& aDomain) {
    const bool unresponsive = aDomain.second.lastReceivedAt + kPeerTimeout < this->now;
    if (unresponsive) {
      this->loadTracker.RemovePeer(kDomainPrefix + aDomain.first);
    }
    return unresponsive;
  });
}

void
ForwardReducer::Impl::OnDeadline(RequestState& aState)
{
  if (aState.attempt && !aState.headSent) {
    this->loadTracker.RecordFailure(aState.attempt->placement.target.instance, this->now);
  }
  this->FailRequest(aState,
                    aState.lastFailure.empty() ? "the deadline has passed" : aState.lastFailure);
}

// Releases everything that a request uses, here and at targets.
void
ForwardReducer::Impl::EndRequest(RequestState& aState)
{
  if (aState.attempt) {
    this->CloseAttempt(aState, true);
  }
  this->CancelOthers(aState);
  this->ReleaseReservations(aState.reservations);
  this->timers.erase({ aState.wakeAt, aState.request.handle });
  this->requests.erase(aState.request.handle);
}

void
ForwardReducer::Impl::CloseAttempt(RequestState& aState, bool aCancel)
{
  this->EndWork(*aState.attempt, aCancel);
  aState.attempt.reset();
  aState.stallAt = Instant::max();
}

void
ForwardReducer::Impl::EndWork(const Attempt& aAttempt, bool aCancel)
{
  for (const PlacedWork& work : aAttempt.placement.placedWork) {
    this->loadTracker.Remove(work, aAttempt.delivered, this->now);
  }
  if (aCancel) {
    this->effects.emplace_back(CancelAttempt{ aAttempt.id });
  }
  this->attemptOwner.erase(aAttempt.id);
  this->bufferedBytes -= aAttempt.bufferedBytes;
}

// Returns the request of an attempt, which becomes the current one; null when it has ended.
RequestState*
ForwardReducer::Impl::FindAttempt(std::uint64_t aAttempt)
{
  const auto owner = this->attemptOwner.find(aAttempt);
  if (owner == this->attemptOwner.end()) {
    return nullptr;
  }
  RequestState& state = this->requests.at(owner->second);
  this->MakeCurrent(state, aAttempt);
  state.attempt->isStalled = false;
  return &state;
}

void
ForwardReducer::Impl::SetWake(RequestState& aState)
{
  this->timers.erase({ aState.wakeAt, aState.request.handle });
  aState.wakeAt = std::min({ aState.deadline, aState.startAt, aState.stallAt });
  if (aState.HasReservations()) {
    aState.wakeAt = std::min(aState.wakeAt, aState.renewAt);
  }
  this->timers.insert({ aState.wakeAt, aState.request.handle });
}

RetryBudget&
ForwardReducer::Impl::BudgetOf(const std::string& aService)
{
  const auto [found, isNew] = this->budgets.try_emplace(aService);
  if (isNew) {
    found->second.Configure(this->config.retryRatio, this->config.retrySlack, this->EntryCount());
  }
  return found->second;
}

std::size_t
ForwardReducer::Impl::EntryCount() const
{
  std::size_t count = this->peers.size() + 1;
  for (const auto& [name, domain] : this->domains) {
    count += domain.entries;
  }
  return std::max(kMinAssumedEntries, count);
}

// Returns the addresses of the registered entries, and of those that were heard before their
// registration was.
std::vector<std::string>
ForwardReducer::Impl::AllPeers() const
{
  std::set<std::string> addresses(this->group.AllPeers());
  for (const auto& [address, peer] : this->peers) {
    addresses.insert(address);
  }
  return { addresses.begin(), addresses.end() };
}

// A request whose attempts are aborted at every target may be what crashes them.
void
ForwardReducer::Impl::RecordAbort(const RequestState& aState)
{
  this->AddAbort(aState.request.fingerprint);
  this->effects.emplace_back(BroadcastAbort{ aState.request.fingerprint, this->AllPeers() });
}

// Peers learn of a leaving target before the store lists it as draining.
void
ForwardReducer::Impl::RecordAnnouncement(const RegisteredTarget& aTarget,
                                         const TargetAnnouncement& aAnnouncement)
{
  const std::string& instance = aTarget.instance;
  if (this->notices.Record(instance, aTarget.startedAtMs, aAnnouncement, this->now)) {
    this->Count("forward_targets_leaving", "");
    this->effects.emplace_back(LogDecision{ "target-leaving", "", { { "target", instance } } });
    const auto known = this->targets.find(instance);
    if (known != this->targets.end() && !known->second.draining) {
      this->effects.emplace_back(
        BroadcastLeaving{ instance, aTarget.startedAtMs, this->AllPeers() });
    }
  }
  if (aAnnouncement.coldRemaining > Duration::zero()) {
    this->RecordColdness(aTarget, aAnnouncement.coldRemaining);
  }
  if (aAnnouncement.pause) {
    this->Count("forward_target_pauses", "");
    this->effects.emplace_back(LogDecision{
      "target-paused",
      "",
      { { "target", instance }, { "pause_ms", std::to_string(ToMillis(*aAnnouncement.pause)) } } });
  }
}

// Returns whether new work may be sent to a target.
bool
ForwardReducer::Impl::IsUsable(const std::string& aInstance) const
{
  const auto found = this->targets.find(aInstance);
  return found != this->targets.end() && !found->second.draining &&
         !this->evacuated.Contains(found->second.domain) &&
         this->notices.MayReceive(found->second, this->now) &&
         this->coldShares.MaySend(aInstance, this->now);
}

void
ForwardReducer::Impl::AddAbort(std::uint64_t aFingerprint)
{
  AbortRecord& known = this->aborts[aFingerprint];
  known.count = known.expiresAt < this->now ? 1 : known.count + 1;
  known.expiresAt = this->now + kAbortRecordTtl;
}

std::uint32_t
ForwardReducer::Impl::AbortCount(std::uint64_t aFingerprint, Instant aNow) const
{
  const auto found = this->aborts.find(aFingerprint);
  return found == this->aborts.end() || found->second.expiresAt < aNow ? 0 : found->second.count;
}

void
ForwardReducer::Impl::Count(std::string aName, std::string aLabel)
{
  this->effects.emplace_back(CountEvent{ std::move(aName), std::move(aLabel), 1 });
}

void
ForwardReducer::Impl::Log(const RequestState& aState,
                          std::string aDecision,
                          std::vector<Field> aFields,
                          bool aIsFailure)
{
  if (aState.route) {
    aFields.emplace_back("route", aState.route->name);
  }
  this->effects.emplace_back(
    LogDecision{ std::move(aDecision), aState.request.requestId, std::move(aFields), aIsFailure });
}

std::optional<Instant>
ForwardReducer::Impl::NextWake() const
{
  Instant next = std::min({ this->housekeepingAt,
                            this->broadcastAt,
                            this->domainReportAt,
                            this->fetcher.NextDue(),
                            this->NextCrashWork() });
  if (!this->timers.empty()) {
    next = std::min(next, this->timers.begin()->first);
  }
  return next;
}

bool
ForwardReducer::Impl::Ready() const
{
  return this->table != nullptr && !this->targets.empty();
}

nlohmann::json
ForwardReducer::Impl::Dump(Instant aNow) const
{
  nlohmann::json dump;
  dump["configuration"] = this->table ? this->table->version : 0;
  dump["evacuated"] = { { "domains", this->evacuated.Domains() },
                        { "as_of", ToString(this->evacuated.View().position) } };
  dump["cold_shares"] = this->DumpCold(aNow);
  for (const auto& [instance, target] : this->targets) {
    const TargetLoad load = this->loadTracker.LoadOf(instance, aNow);
    const PaceView view = this->pace.ViewOf(instance, aNow);
    dump["targets"][instance] = { { "service", target.service },
                                  { "address", target.address },
                                  { "domain", target.domain },
                                  { "draining", target.draining },
                                  { "leaving", this->notices.IsLeaving(target) },
                                  { "paused", !this->notices.MayReceive(target, aNow) },
                                  { "running", load.running },
                                  { "memory_tokens", load.kvTokens },
                                  { "read_ms", load.PrefillMs(aNow) },
                                  { "failure_share", this->loadTracker.FailureRate(instance) },
                                  { "suspected", this->loadTracker.IsAvoided(instance, aNow) },
                                  { "pace_factor", view.factor },
                                  { "pace_samples", view.samples },
                                  { "pace_age_ms", ToMillis(view.age) } };
  }
  for (const auto& [handle, state] : this->requests) {
    dump["requests"].push_back(
      { { "id", state.request.requestId },
        { "route", state.route ? state.route->name : "" },
        { "age_ms", ToMillis(aNow - state.arrivedAt) },
        { "runs", state.runs },
        { "reservations", state.reservations.size() },
        { "other_attempts", state.otherAttempts.size() },
        { "target", state.attempt ? state.attempt->placement.target.instance : "" } });
  }
  for (const auto& [name, peer] : this->peers) {
    dump["peers"][name] = { { "heard_ms_ago", ToMillis(aNow - peer.lastReceivedAt) } };
  }
  for (const auto& [name, domain] : this->domains) {
    dump["domains"][name] = { { "heard_ms_ago", ToMillis(aNow - domain.lastReceivedAt) },
                              { "entries", domain.entries } };
  }
  for (const auto& [service, budget] : this->budgets) {
    dump["retry_budget"][service] = budget.Level();
  }
  for (const QuarantinedParts& quarantined : this->quarantine.Snapshot(aNow)) {
    dump["quarantined"].push_back(
      { { "parts", FormatParts(quarantined.parts) },
        { "trials", quarantined.trials },
        { "trial_in_ms", std::max<std::int64_t>(0, quarantined.trialInMs) } });
  }
  dump["crashes_not_explained"] = this->quarantine.CrashCount();
  return dump;
}

// ---- The public face ----

ForwardReducer::ForwardReducer(ForwardConfig aConfig)
  : impl(std::make_unique<Impl>(std::move(aConfig)))
{
}

ForwardReducer::~ForwardReducer() = default;

std::vector<ForwardEffect>
ForwardReducer::Step(const ForwardEvent& aEvent, Instant aNow)
{
  this->impl->BeginStep(aNow);
  std::visit([this](const auto& aKnown) { this->impl->OnEvent(aKnown); }, aEvent);
  this->impl->ScheduleBroadcast();
  this->impl->RequestDueConfiguration();
  return std::exchange(this->impl->effects, {});
}

std::optional<Instant>
ForwardReducer::NextWake() const
{
  return this->impl->NextWake();
}

bool
ForwardReducer::IsReady() const
{
  return this->impl->Ready();
}

bool
ForwardReducer::HasRequest(std::uint64_t aHandle) const
{
  return this->impl->requests.contains(aHandle);
}

const EntryGroup&
ForwardReducer::Entries() const
{
  return this->impl->Entries();
}

const EvacuationView&
ForwardReducer::Evacuations() const
{
  return this->impl->Evacuations();
}

std::size_t
ForwardReducer::SlowTargets() const
{
  return this->impl->SlowTargets();
}

std::size_t
ForwardReducer::DomainRank(Instant aNow) const
{
  return this->impl->DomainRank(aNow);
}

std::size_t
ForwardReducer::InFlight() const
{
  return this->impl->requests.size();
}

nlohmann::json
ForwardReducer::Dump(Instant aNow) const
{
  return this->impl->Dump(aNow);
}

} // namespace sycamorepost
