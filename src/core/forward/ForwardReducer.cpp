#include "sycamorepost/forward/ForwardReducer.h"

#include <algorithm>

#include <nlohmann/json.hpp>

#include "ForwardImpl.h"

namespace sycamorepost {

using internal::Attempt;
using internal::Flow;
using internal::kTellDelay;

namespace {

// How often a peer that has nothing to tell is heard; three misses and it is taken as gone.
constexpr Duration kHouseEvery = std::chrono::seconds(1);
constexpr Duration kPeerGone = std::chrono::seconds(3);

// With fewer entries heard than this, as many are assumed: some may not have been heard yet.
constexpr std::size_t kAssumedEntries = 6;

// How long a request that broke off is remembered: a caller's last repeat comes within its timeout.
constexpr Duration kBreakMemory = std::chrono::seconds(60);

} // namespace

ForwardReducer::Impl::Impl(ForwardConfig aConfig)
  : config(std::move(aConfig))
  , random(config.seed)
{
}

void
ForwardReducer::Impl::OnEvent(const ForwardCallerGone& aGone)
{
  const auto found = this->flows.find(aGone.handle);
  if (found == this->flows.end()) {
    return;
  }
  this->Count("forward_callers_gone", "");
  this->Log(found->second, "caller-gone", {}, false);
  this->End(found->second);
}

void
ForwardReducer::Impl::OnEvent(const RoutesChanged& aChanged)
{
  // Versions only rise within one process.
  if (this->table && aChanged.table->version <= this->table->version) {
    return;
  }
  this->table = aChanged.table;
}

void
ForwardReducer::Impl::OnEvent(const TargetsChanged& aChanged)
{
  for (const auto& [instance, target] : this->targets) {
    const auto found = aChanged.targets.find(instance);
    const bool gone = found == aChanged.targets.end();
    // One that has started anew under its old name holds nothing of before.
    if (gone || found->second.startedAtMs != target.startedAtMs) {
      this->book.Forget(instance);
    }
  }
  this->targets = aChanged.targets;
}

void
ForwardReducer::Impl::OnEvent(const PeerLoadTold& aTold)
{
  const auto known = this->peers.find(aTold.peer);
  const bool isNew = known == this->peers.end() || known->second.incarnation != aTold.incarnation;
  if (isNew) {
    // One that has just started knows nothing of this entry's load yet, and has none of before.
    this->effects.emplace_back(TellLoad{ this->book.Snapshot(this->now), true });
  }
  this->peers[aTold.peer] = { aTold.incarnation, this->now };
  if (aTold.whole || isNew) {
    this->book.ForgetPeer(aTold.peer);
  }
  this->book.TakeTold(aTold.peer, aTold.loads, this->now);
}

void
ForwardReducer::Impl::OnEvent(const PeerBreakTold& aTold)
{
  this->AddBreak(aTold.fingerprint);
}

void
ForwardReducer::Impl::OnEvent(const Wake& /*aWake*/)
{
  while (!this->timers.empty() && this->timers.begin()->first <= this->now) {
    Flow& flow = this->flows.at(this->timers.begin()->second);
    if (this->now >= flow.deadline) {
      this->OnDeadline(flow);
      continue;
    }
    if (!flow.reservations.empty() && this->now >= flow.renewAt) {
      this->RenewReservations(flow);
    }
    if (this->now >= flow.stallAt) {
      this->OnStall(flow);
      continue;
    }
    this->SetWake(flow);
  }
  this->TellPeers();
}

// Has a changed load told soon.
void
ForwardReducer::Impl::NoteChanges()
{
  if (this->book.HasChanges() && this->tellAt == Instant::max()) {
    this->tellAt = this->now + kTellDelay;
  }
}

void
ForwardReducer::Impl::TellPeers()
{
  if (this->now >= this->houseAt) {
    this->houseAt = this->now + kHouseEvery;
    this->ForgetGonePeers();
    std::erase_if(this->breaks,
                  [this](const auto& aBreak) { return aBreak.second.until < this->now; });
    std::erase_if(this->refused,
                  [this](const auto& aRefusal) { return aRefusal.second < this->now; });
    for (auto& [service, budget] : this->budgets) {
      budget.Configure(this->config.retryRatio, this->config.retrySlack, this->Entries());
    }
    this->tellAt = this->now;
  }
  if (this->now >= this->tellAt) {
    this->tellAt = Instant::max();
    this->effects.emplace_back(TellLoad{ this->book.TakeChanges(this->now), false });
  }
}

void
ForwardReducer::Impl::ForgetGonePeers()
{
  std::erase_if(this->peers, [this](const auto& aPeer) {
    const bool gone = aPeer.second.heardAt + kPeerGone < this->now;
    if (gone) {
      this->book.ForgetPeer(aPeer.first);
    }
    return gone;
  });
}

void
ForwardReducer::Impl::OnStall(Flow& aFlow)
{
  const std::string& instance = aFlow.attempt->placement.target.instance;
  aFlow.stallAt = Instant::max();
  // Another target can go on only when one is left and the budget allows it.
  const bool other =
    std::any_of(this->targets.begin(), this->targets.end(), [&](const auto& aTarget) {
      return aTarget.second.service == aFlow.service && aTarget.first != instance &&
             !aTarget.second.draining && !aFlow.tried.contains(aTarget.first);
    });
  if (!other || !this->MayRetryRun(aFlow) || this->BudgetOf(aFlow.service).Level() < 1) {
    this->book.NoteFailure(instance, this->now);
    this->Log(aFlow, "silent", { { "target", instance } }, true);
    this->SetWake(aFlow);
    return;
  }
  this->FailAttempt(aFlow, "the target was silent", true);
}

void
ForwardReducer::Impl::OnDeadline(Flow& aFlow)
{
  if (aFlow.attempt && !aFlow.headSent) {
    this->book.NoteFailure(aFlow.attempt->placement.target.instance, this->now);
  }
  this->GiveUp(aFlow, aFlow.lastFailure.empty() ? "the deadline has passed" : aFlow.lastFailure);
}

// Drops what a request holds here and elsewhere.
void
ForwardReducer::Impl::End(Flow& aFlow)
{
  if (aFlow.attempt) {
    this->CloseAttempt(aFlow, true);
  }
  this->ReleaseReservations(aFlow);
  this->timers.erase({ aFlow.wakeAt, aFlow.request.handle });
  this->flows.erase(aFlow.request.handle);
}

void
ForwardReducer::Impl::CloseAttempt(Flow& aFlow, bool aCancel)
{
  Attempt& attempt = *aFlow.attempt;
  for (const PlacedWork& work : attempt.placement.works) {
    this->book.Remove(work, attempt.delivered, this->now);
  }
  if (aCancel) {
    this->effects.emplace_back(CancelAttempt{ attempt.id });
  }
  this->attemptOwner.erase(attempt.id);
  aFlow.attempt.reset();
  aFlow.stallAt = Instant::max();
}

Flow*
ForwardReducer::Impl::FindAttempt(std::uint64_t aAttempt)
{
  const auto owner = this->attemptOwner.find(aAttempt);
  return owner == this->attemptOwner.end() ? nullptr : &this->flows.at(owner->second);
}

void
ForwardReducer::Impl::SetWake(Flow& aFlow)
{
  this->timers.erase({ aFlow.wakeAt, aFlow.request.handle });
  aFlow.wakeAt = std::min(aFlow.deadline, aFlow.stallAt);
  if (!aFlow.reservations.empty()) {
    aFlow.wakeAt = std::min(aFlow.wakeAt, aFlow.renewAt);
  }
  this->timers.insert({ aFlow.wakeAt, aFlow.request.handle });
}

RetryBudget&
ForwardReducer::Impl::BudgetOf(const std::string& aService)
{
  const auto [found, isNew] = this->budgets.try_emplace(aService);
  if (isNew) {
    found->second.Configure(this->config.retryRatio, this->config.retrySlack, this->Entries());
  }
  return found->second;
}

std::size_t
ForwardReducer::Impl::Entries() const
{
  return std::max(kAssumedEntries, this->peers.size() + 1);
}

// A request that breaks off wherever it runs may be what crashes its targets.
void
ForwardReducer::Impl::NoteBreak(const Flow& aFlow)
{
  this->AddBreak(aFlow.request.fingerprint);
  this->effects.emplace_back(TellBreak{ aFlow.request.fingerprint });
}

void
ForwardReducer::Impl::AddBreak(std::uint64_t aFingerprint)
{
  Breaks& known = this->breaks[aFingerprint];
  known.count = known.until < this->now ? 1 : known.count + 1;
  known.until = this->now + kBreakMemory;
}

std::uint32_t
ForwardReducer::Impl::BreaksOf(std::uint64_t aFingerprint)
{
  const auto found = this->breaks.find(aFingerprint);
  return found == this->breaks.end() || found->second.until < this->now ? 0 : found->second.count;
}

void
ForwardReducer::Impl::Count(std::string aName, std::string aLabel)
{
  this->effects.emplace_back(CountEvent{ std::move(aName), std::move(aLabel), 1 });
}

void
ForwardReducer::Impl::Log(const Flow& aFlow,
                          std::string aDecision,
                          std::vector<Field> aFields,
                          bool aIsFailure)
{
  if (aFlow.route) {
    aFields.emplace_back("route", aFlow.route->name);
  }
  this->effects.emplace_back(
    LogDecision{ std::move(aDecision), aFlow.request.requestId, std::move(aFields), aIsFailure });
}

std::optional<Instant>
ForwardReducer::Impl::NextWake() const
{
  Instant next = std::min(this->houseAt, this->tellAt);
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
  for (const auto& [instance, target] : this->targets) {
    const TargetLoad load = this->book.LoadOf(instance, aNow);
    dump["targets"][instance] = { { "service", target.service },
                                  { "address", target.address },
                                  { "domain", target.domain },
                                  { "draining", target.draining },
                                  { "running", load.running },
                                  { "memory_tokens", load.memory },
                                  { "read_ms", load.ReadMs(aNow) },
                                  { "failure_share", this->book.FailureShare(instance) },
                                  { "suspected", this->book.Suspected(instance, aNow) } };
  }
  for (const auto& [handle, flow] : this->flows) {
    dump["requests"].push_back(
      { { "id", flow.request.requestId },
        { "route", flow.route ? flow.route->name : "" },
        { "age_ms", ToMillis(aNow - flow.arrivedAt) },
        { "runs", flow.runs },
        { "reservations", flow.reservations.size() },
        { "target", flow.attempt ? flow.attempt->placement.target.instance : "" } });
  }
  for (const auto& [name, peer] : this->peers) {
    dump["peers"][name] = { { "heard_ms_ago", ToMillis(aNow - peer.heardAt) } };
  }
  for (const auto& [service, budget] : this->budgets) {
    dump["retry_budget"][service] = budget.Level();
  }
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
  this->impl->now = aNow;
  this->impl->effects.clear();
  std::visit([this](const auto& aKnown) { this->impl->OnEvent(aKnown); }, aEvent);
  this->impl->NoteChanges();
  return std::exchange(this->impl->effects, {});
}

std::optional<Instant>
ForwardReducer::NextWake() const
{
  return this->impl->NextWake();
}

bool
ForwardReducer::Ready() const
{
  return this->impl->Ready();
}

bool
ForwardReducer::Knows(std::uint64_t aHandle) const
{
  return this->impl->flows.contains(aHandle);
}

std::size_t
ForwardReducer::InFlight() const
{
  return this->impl->flows.size();
}

nlohmann::json
ForwardReducer::Dump(Instant aNow) const
{
  return this->impl->Dump(aNow);
}

} // namespace sycamorepost
