#include "SidecarImpl.h"

#include <algorithm>

namespace sycamorepost {

namespace {

using internal::Attempt;
using internal::EngineWorkItem;
using internal::Ticket;

// How long the id of a started attempt is remembered.
constexpr Duration kStartedIdTtl = std::chrono::minutes(10);
// The predicted wait for a plain service grows by this with each running attempt.
constexpr Duration kServiceTimePerAttempt = std::chrono::milliseconds(1);

} // namespace

bool
SidecarReducer::Impl::IsDraining() const
{
  const auto self =
    std::find_if(this->fleet.targets.begin(),
                 this->fleet.targets.end(),
                 [this](const TargetInfo& aTarget) { return aTarget.name == this->config.name; });
  return this->drainRequested || this->rules->drainingTargets.contains(this->config.name) ||
         (self != this->fleet.targets.end() && self->draining);
}

void
SidecarReducer::Impl::OnMessage(const Envelope& aFrom, const ProbeRequest& aRequest)
{
  this->entryLastReceivedAt[aFrom.from] = this->now;
  if (aRequest.previousUnanswered) {
    this->ResetEntryConnection(aFrom.from);
  }
  this->Send(aFrom.from, this->EvaluateProbe(aRequest));
}

ProbeReply
SidecarReducer::Impl::EvaluateProbe(const ProbeRequest& aRequest)
{
  ProbeReply reply;
  reply.probe = aRequest.probe;
  reply.rulesVersion = this->rulesVersion;
  const CrashStatus status = this->crashTracker.Check(aRequest.shape.fingerprint, this->now);
  if (this->IsDraining()) {
    reply.verdict = ProbeVerdict::Draining;
  } else if (status == CrashStatus::Blocked) {
    reply.verdict = ProbeVerdict::Blocked;
  } else if (status == CrashStatus::Suspect && !aRequest.shape.alone) {
    reply.verdict = ProbeVerdict::Suspect;
  } else if (this->config.kind == TargetKind::Engine) {
    this->EvaluateEngineProbe(aRequest, reply);
  } else {
    const bool hasCapacity = this->attempts.size() < this->config.maxRunning;
    reply.verdict = hasCapacity ? ProbeVerdict::Granted : ProbeVerdict::Busy;
    reply.firstTokenMs =
      static_cast<std::int64_t>(this->attempts.size()) * ToMillis(kServiceTimePerAttempt);
  }
  if (reply.verdict == ProbeVerdict::Granted) {
    reply.ticket = ++this->ticketSequence;
    this->tickets[reply.ticket] = { this->now + this->config.ticketTtl,
                                    aRequest.prefix,
                                    reply.cachedTokens };
  }
  return reply;
}

EngineWorkItem
SidecarReducer::Impl::MakeEngineItem(const RequestShape& aShape, std::uint32_t aCachedTokens) const
{
  EngineWorkItem item;
  item.uncachedTokens = aShape.promptTokens - std::min(aShape.promptTokens, aCachedTokens);
  item.memoryTokens =
    aShape.promptTokens + aShape.maxTokens - std::min(aShape.promptTokens, aShape.remoteTokens);
  item.maxTokens = aShape.maxTokens;
  item.weight = aShape.weight;
  item.alone = aShape.alone;
  item.arrivedAt = this->now;
  item.deadline = this->now + std::chrono::milliseconds(aShape.remainingMs);
  return item;
}

// Predicts the latency of a request. Memory in the request's own KV reservation counts as free.
internal::LatencyPrediction
SidecarReducer::Impl::Predict(const RequestShape& aShape, std::uint32_t aCachedTokens)
{
  this->UpdateReservedTokens(aShape.reservation);
  const internal::LatencyPrediction prediction =
    this->queue.Predict(this->MakeEngineItem(aShape, aCachedTokens), this->now);
  this->UpdateReservedTokens(0);
  return prediction;
}

void
SidecarReducer::Impl::EvaluateEngineProbe(const ProbeRequest& aRequest, ProbeReply& aReply)
{
  static constexpr std::int64_t kDownRetryMs = 1000;
  if (this->engineState != EngineState::Up) {
    aReply.verdict = ProbeVerdict::Busy;
    aReply.retryAfterMs = kDownRetryMs;
    return;
  }
  aReply.cachedTokens = this->prefixes.CachedTokens(aRequest.prefix);
  const internal::LatencyPrediction prediction = this->Predict(aRequest.shape, aReply.cachedTokens);
  const std::int64_t finishMs = ToMillis(prediction.timeToFinish);
  if (!prediction.fits) {
    aReply.verdict = ProbeVerdict::TooLarge;
    aReply.capacityTokens = this->queue.Capacity();
  } else if (finishMs > aRequest.shape.remainingMs) {
    aReply.verdict = ProbeVerdict::Busy;
    aReply.retryAfterMs = finishMs - aRequest.shape.remainingMs;
  } else {
    aReply.verdict = ProbeVerdict::Granted;
  }
  aReply.firstTokenMs = ToMillis(prediction.timeToFirstToken);
}

std::optional<RefusalReason>
SidecarReducer::Impl::CheckStart(const Start& aStart)
{
  const auto ticket = this->tickets.find(aStart.ticket);
  if (ticket == this->tickets.end() || ticket->second.expiresAt <= this->now) {
    return RefusalReason::NoTicket;
  }
  if (this->IsDraining() || aStart.pool != this->config.pool) {
    return RefusalReason::Draining;
  }
  if (this->crashTracker.Check(aStart.shape.fingerprint, this->now) == CrashStatus::Blocked) {
    return RefusalReason::Blocked;
  }
  if (this->config.kind != TargetKind::Engine) {
    return std::nullopt;
  }
  // Requests admitted since the probe may have taken the capacity.
  const internal::LatencyPrediction prediction =
    this->Predict(aStart.shape, ticket->second.cachedTokens);
  const bool finishesInTime =
    prediction.fits && ToMillis(prediction.timeToFinish) <= aStart.shape.remainingMs;
  return finishesInTime ? std::nullopt : std::optional(RefusalReason::Busy);
}

void
SidecarReducer::Impl::OnMessage(const Envelope& aFrom, const Start& aStart)
{
  if (this->startedAttemptIds.contains(aStart.attempt)) {
    return;
  }
  const std::optional<RefusalReason> refusal = this->CheckStart(aStart);
  const auto ticketNode = this->tickets.extract(aStart.ticket);
  if (refusal) {
    this->Send(aFrom.from, Refused{ aStart.attempt, *refusal });
    return;
  }
  this->AcceptAttempt(aFrom, aStart, ticketNode.mapped());
}

void
SidecarReducer::Impl::AcceptAttempt(const Envelope& aFrom,
                                    const Start& aStart,
                                    const Ticket& aTicket)
{
  this->startedAttemptIds[aStart.attempt] = this->now + kStartedIdTtl;
  this->Count("attempts_started", "");
  Attempt attempt;
  attempt.id = aStart.attempt;
  attempt.entry = aFrom.from;
  attempt.start = aStart;
  attempt.body = aFrom.body ? aFrom.body : MakeBody("");
  attempt.prefix = aTicket.prefix;
  attempt.deadline = this->now + std::chrono::milliseconds(aStart.shape.remainingMs);
  attempt.startedAt = this->now;
  attempt.leaseUntil = this->now + this->config.leaseDuration;
  attempt.endOffset = aStart.resumeOffset;
  Attempt& accepted = this->attempts.insert_or_assign(attempt.id, std::move(attempt)).first->second;
  if (this->config.kind == TargetKind::Engine) {
    this->FreeReservation(aStart.shape.reservation);
    EngineWorkItem item = this->MakeEngineItem(aStart.shape, aTicket.cachedTokens);
    item.attempt = accepted.id;
    this->queue.Add(item, this->now);
    this->Dispatch();
  } else if (aStart.key.empty()) {
    this->CallService(accepted);
  } else {
    this->atMostOnceCalls.Begin(accepted.start, accepted.body, accepted.deadline, this->now);
    this->FinishKeyedAttempts();
  }
}

} // namespace sycamorepost
