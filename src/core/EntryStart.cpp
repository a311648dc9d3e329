#include "EntryImpl.h"

#include <algorithm>

#include "sycamorepost/IdempotencyKey.h"

namespace sycamorepost {

namespace {

// A request that no target has accepted within this time is refused.
constexpr Duration kNoTargetTimeout = std::chrono::seconds(3);
constexpr Duration kProbeBackoff = std::chrono::milliseconds(100);
constexpr std::size_t kProbesPerServiceRound = 2;

bool
HoldsSegment(const internal::EngineGroup& aGroup, const std::string& aTarget)
{
  return std::any_of(
    aGroup.members.begin(),
    std::prev(aGroup.members.end()),
    [&](const internal::GroupMember& aMember) { return aMember.target == aTarget; });
}

} // namespace

using internal::Call;
using internal::CallPhase;
using internal::ProbeSlot;
using internal::RunningAttempt;

TargetList
EntryReducer::Impl::UsableTargets(const Call& aCall) const
{
  TargetList usable;
  for (const TargetInfo& target : this->fleet.targets) {
    if (this->IsUsable(target, aCall)) {
      usable.push_back(&target);
    }
  }
  const auto firstSuspect =
    std::partition(usable.begin(), usable.end(), [this](const TargetInfo* aTarget) {
      return !this->peers.IsSuspect(aTarget->address, this->now);
    });
  if (firstSuspect != usable.begin()) {
    usable.erase(firstSuspect, usable.end());
  }
  return usable;
}

bool
EntryReducer::Impl::IsUsable(const TargetInfo& aTarget, const Call& aCall) const
{
  if (aTarget.kind != aCall.kind || aTarget.pool != aCall.pool || aTarget.draining) {
    return false;
  }
  const auto notice = this->drainingUntil.find(aTarget.name);
  const bool draining = notice != this->drainingUntil.end() && notice->second > this->now;
  const bool holdsSegment = aCall.group && HoldsSegment(*aCall.group, aTarget.name);
  if (draining || holdsSegment || this->rules->drainingTargets.contains(aTarget.name) ||
      aCall.tried.contains(aTarget.name)) {
    return false;
  }
  if (aCall.kind != TargetKind::Engine || aCall.alone) {
    return true;
  }
  return !this->rules->quarantineEngines.contains(aTarget.name) &&
         !this->IsReservedForShortPrompts(aTarget, aCall);
}

bool
EntryReducer::Impl::IsReservedForShortPrompts(const TargetInfo& aTarget, const Call& aCall) const
{
  if (!this->shortPromptEngines.contains(aTarget.name)) {
    return false;
  }
  const ReserveRule& reserve = this->rules->reserves.at(aTarget.domain);
  return aCall.request.completion->promptTokens > reserve.maxPromptTokens;
}

// Updates the engines reserved for short prompts: the first ones by name of each pool in a failure
// domain, so that all entries choose the same engines.
void
EntryReducer::Impl::UpdateShortPromptEngines()
{
  this->shortPromptEngines.clear();
  std::map<std::pair<std::string, std::string>, std::vector<std::string>> groups;
  for (const TargetInfo& target : this->fleet.targets) {
    if (target.kind == TargetKind::Engine && this->rules->reserves.contains(target.domain) &&
        !this->rules->quarantineEngines.contains(target.name)) {
      groups[{ target.domain, target.pool }].push_back(target.name);
    }
  }
  for (auto& [place, names] : groups) {
    std::sort(names.begin(), names.end());
    names.resize(
      std::min<std::size_t>(names.size(), this->rules->reserves.at(place.first).engineCount));
    this->shortPromptEngines.insert(names.begin(), names.end());
  }
}

TargetList
EntryReducer::Impl::ChooseTargets(const Call& aCall, const TargetList& aUsable)
{
  if (aUsable.empty()) {
    return {};
  }
  if (aCall.group) {
    return this->ChooseRunner(aCall, aUsable);
  }
  if (aCall.alone) {
    return this->ChooseQuarantineEngine(aCall, aUsable);
  }
  if (aCall.IsAtMostOnce()) {
    return this->ChooseHome(aCall, aUsable);
  }
  if (aCall.kind == TargetKind::Service) {
    return this->ChooseRandom(aUsable);
  }
  ChoiceInput input;
  input.usable = aUsable;
  input.domain = this->config.domain;
  input.prefix = aCall.request.completion->prefix;
  input.stats = &this->engineStats;
  return FindChoiceStrategy(this->rules->choiceStrategy)(input, this->choice);
}

TargetList
EntryReducer::Impl::ChooseRunner(const Call& aCall, const TargetList& aUsable) const
{
  const std::string& name = aCall.group->Runner().target;
  const auto runner = std::find_if(aUsable.begin(), aUsable.end(), [&](const TargetInfo* aTarget) {
    return aTarget->name == name;
  });
  return runner == aUsable.end() ? TargetList{} : TargetList{ *runner };
}

// All entries send a crash suspect to the same engine, so that it crashes at most one more.
TargetList
EntryReducer::Impl::ChooseQuarantineEngine(const Call& aCall, const TargetList& aUsable) const
{
  TargetList quarantined;
  for (const TargetInfo* target : aUsable) {
    if (this->rules->quarantineEngines.contains(target->name)) {
      quarantined.push_back(target);
    }
  }
  return { RendezvousFirst(aCall.fingerprint, quarantined.empty() ? aUsable : quarantined) };
}

// The home of a key is the target with the highest rendezvous weight for its shard. Entries with
// different fleet views may choose different homes; the order of the log then decides which home
// runs the call.
TargetList
EntryReducer::Impl::ChooseHome(const Call& aCall, const TargetList& aUsable) const
{
  return { RendezvousFirst(ShardOf(aCall.ledgerKey, aCall.shards), aUsable) };
}

TargetList
EntryReducer::Impl::ChooseRandom(const TargetList& aUsable)
{
  TargetList chosen = aUsable;
  std::shuffle(chosen.begin(), chosen.end(), this->choice.random);
  chosen.resize(std::min(chosen.size(), kProbesPerServiceRound));
  return chosen;
}

RequestShape
EntryReducer::Impl::MakeRequestShape(const Call& aCall) const
{
  RequestShape shape;
  shape.weight = this->AccountOf(aCall).weight;
  if (aCall.request.completion) {
    shape.promptTokens = aCall.request.completion->promptTokens;
    shape.maxTokens = aCall.request.completion->maxTokens;
  }
  shape.remainingMs = ToMillis(aCall.deadline - this->now);
  shape.fingerprint = aCall.fingerprint;
  shape.alone = aCall.alone;
  if (aCall.group) {
    shape.remoteTokens = aCall.group->RemoteTokens();
    shape.reservation = aCall.group->Runner().segment.reservation;
  }
  return shape;
}

void
EntryReducer::Impl::StartProbeRound(Call& aCall)
{
  if (aCall.group && !this->AllGranted(aCall)) {
    this->ReserveNextMember(aCall);
    return;
  }
  const TargetList chosen = this->ChooseTargets(aCall, this->UsableTargets(aCall));
  if (chosen.empty()) {
    this->BackOff(aCall);
    return;
  }
  aCall.phase = CallPhase::Probing;
  aCall.roundStartedAt = this->now;
  aCall.wakeAt = this->now + this->config.grantedProbeTimeout;
  for (const TargetInfo* target : chosen) {
    this->SendProbe(aCall, *target);
  }
}

void
EntryReducer::Impl::SendProbe(Call& aCall, const TargetInfo& aTarget)
{
  ProbeRequest request;
  request.probe = ++this->probeSequence;
  request.shape = this->MakeRequestShape(aCall);
  request.previousUnanswered = this->peers.FindOrAdd(aTarget.address).probeUnanswered;
  if (aCall.request.completion) {
    request.prefix = aCall.request.completion->prefix;
  }
  aCall.probes[request.probe] = { aTarget.name, aTarget.address, std::nullopt };
  this->probeOwner[request.probe] = aCall.request.handle;
  this->Send(aTarget.address, std::move(request));
}

void
EntryReducer::Impl::OnMessage(const Envelope& /*aFrom*/, const ProbeReply& aReply)
{
  const auto owner = this->probeOwner.find(aReply.probe);
  if (owner == this->probeOwner.end()) {
    this->Count("probe_replies_late", "");
    return;
  }
  Call& call = this->calls.at(owner->second);
  ProbeSlot& slot = call.probes.at(aReply.probe);
  slot.reply = aReply;
  EngineStats& stats = this->engineStats[slot.target];
  stats.firstTokenMs =
    aReply.verdict == ProbeVerdict::Granted ? aReply.firstTokenMs : aReply.retryAfterMs;
  stats.predictedAt = this->now;
  if (aReply.verdict == ProbeVerdict::Draining) {
    this->drainingUntil[slot.target] = this->now + kDrainingNoticeTtl;
  }
  this->EvaluateProbeRound(call);
}

// Starts an attempt on the best target that granted a probe once enough replies have arrived.
void
EntryReducer::Impl::EvaluateProbeRound(Call& aCall)
{
  const ProbeSlot* best = nullptr;
  bool waiting = false;
  for (const auto& [id, slot] : aCall.probes) {
    waiting = waiting || !slot.reply;
    const bool granted = slot.reply && slot.reply->verdict == ProbeVerdict::Granted;
    if (granted && (!best || slot.reply->firstTokenMs < best->reply->firstTokenMs)) {
      best = &slot;
    }
  }
  const Duration waited = this->now - aCall.roundStartedAt;
  if (best && (!waiting || waited >= this->config.grantedProbeTimeout)) {
    const ProbeSlot chosen = *best;
    this->StartAttempt(aCall, chosen);
    return;
  }
  if (!waiting || waited >= this->config.probeTimeout) {
    this->FailProbeRound(aCall);
    return;
  }
  aCall.wakeAt = aCall.roundStartedAt + (waited < this->config.grantedProbeTimeout
                                           ? this->config.grantedProbeTimeout
                                           : this->config.probeTimeout);
}

// An unanswered probe means that either the peer or the connection is down. Resetting the
// connection shows which.
void
EntryReducer::Impl::RecordUnansweredProbe(const ProbeSlot& aSlot)
{
  this->Count("probes_unanswered", "");
  this->peers.MarkSuspect(aSlot.address, this->now);
  this->ResetSilentConnection(aSlot.address);
}

void
EntryReducer::Impl::ResetSilentConnection(const std::string& aAddress)
{
  if (this->peers.TryBeginReset(aAddress, this->now, this->config.peerReconnectTimeout)) {
    this->Count("links_reset", "");
    this->effects.emplace_back(ResetConnection{ aAddress });
  }
}

// Handles a round in which no probe was granted: evaluates the replies, then probes other targets
// or ends the request.
void
EntryReducer::Impl::FailProbeRound(Call& aCall)
{
  bool blocked = false;
  bool suspect = false;
  for (const auto& [id, slot] : aCall.probes) {
    this->probeOwner.erase(id);
    aCall.tried.insert(slot.target);
    if (!slot.reply) {
      this->RecordUnansweredProbe(slot);
      continue;
    }
    const ProbeVerdict verdict = slot.reply->verdict;
    blocked = blocked || verdict == ProbeVerdict::Blocked;
    suspect = suspect || verdict == ProbeVerdict::Suspect;
    aCall.sawTooLarge = aCall.sawTooLarge || verdict == ProbeVerdict::TooLarge;
    aCall.capacityTokens = std::max(aCall.capacityTokens, slot.reply->capacityTokens);
    if (verdict == ProbeVerdict::Busy) {
      const std::int64_t wait = slot.reply->retryAfterMs;
      aCall.retryAfterMs = aCall.sawBusy ? std::min(aCall.retryAfterMs, wait) : wait;
      aCall.sawBusy = true;
    }
  }
  aCall.probes.clear();
  if (blocked) {
    this->EndWithError(aCall, Outcome::Failed, kBlockedRefusal);
    return;
  }
  if (suspect && !aCall.alone) {
    aCall.alone = true;
    aCall.tried.clear();
  }
  this->StartProbeRound(aCall);
}

// Waits before the next probe round, in which all targets are eligible again. A request that was
// never started is refused if targets were busy or too small, or after kNoTargetTimeout. If the
// prompt was too large for every engine that replied, a group of engines is formed instead.
void
EntryReducer::Impl::BackOff(Call& aCall)
{
  const bool overloaded = aCall.sawBusy || aCall.sawTooLarge;
  const bool timedOut = this->now - aCall.arrivedAt >= kNoTargetTimeout;
  if (!aCall.group && aCall.sawTooLarge && !aCall.sawBusy && this->CanFormGroup(aCall)) {
    this->FormGroup(aCall);
    return;
  }
  if (aCall.attempts == 0 && !aCall.group && (overloaded || timedOut)) {
    this->FailWithoutTarget(aCall);
    return;
  }
  aCall.tried.clear();
  aCall.phase = CallPhase::BackingOff;
  aCall.wakeAt = this->now + kProbeBackoff;
}

void
EntryReducer::Impl::StartAttempt(Call& aCall, const ProbeSlot& aSlot)
{
  for (const auto& [id, slot] : aCall.probes) {
    this->probeOwner.erase(id);
    if (!slot.reply && this->now - aCall.roundStartedAt >= this->config.probeTimeout) {
      this->RecordUnansweredProbe(slot);
    }
  }
  aCall.probes.clear();

  Start start;
  start.ticket = aSlot.reply->ticket;
  start.attempt = this->choice.random();
  start.requestId = aCall.request.requestId;
  start.pool = aCall.pool;
  start.account = aCall.account;
  start.shape = this->MakeRequestShape(aCall);
  start.method = aCall.request.method;
  start.path = aCall.request.path;
  start.headers = aCall.request.headers;
  start.resumeOffset = aCall.nextOffset;
  start.key = aCall.ledgerKey;
  start.shards = aCall.shards;
  if (aCall.group) {
    for (const internal::GroupMember& member : aCall.group->members) {
      start.segments.push_back(member.segment);
    }
    start.segments.pop_back();
    this->ForgetReservation(aCall.group->Runner());
  }

  aCall.attempt =
    RunningAttempt{ start.attempt, start.ticket, aSlot.target, aSlot.address, {}, this->now };
  aCall.phase = CallPhase::Running;
  aCall.wakeAt = aCall.deadline;
  ++aCall.attempts;
  this->attemptOwner[start.attempt] = aCall.request.handle;
  ++this->engineStats[aSlot.target].outstanding;
  this->peers.BeginAttempt(aSlot.address, this->now);
  if (aCall.attempts > 1) {
    this->Count("retries", aCall.pool);
  }
  if (this->nextPeerCheckAt == Instant()) {
    this->nextPeerCheckAt = this->now + this->config.peerCheckInterval;
  }
  this->Send(aSlot.address, std::move(start), aCall.request.body);
}

} // namespace sycamorepost
