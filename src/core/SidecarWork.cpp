#include "SidecarImpl.h"

#include <algorithm>

namespace sycamorepost {

namespace {

using internal::Attempt;
using internal::KeyEnd;

// Delay before runs that the engine refused for lack of memory are started again.
constexpr Duration kMemoryRetryDelay = std::chrono::milliseconds(50);

} // namespace

void
SidecarReducer::Impl::Dispatch()
{
  if (this->engineState != EngineState::Up) {
    return;
  }
  while (const auto item = this->queue.StartNext(this->config.maxRunning, this->now)) {
    this->StartNextRun(this->attempts.at(item->attempt));
  }
}

void
SidecarReducer::Impl::CallService(const Attempt& aAttempt)
{
  ServiceCall call;
  call.call = aAttempt.id;
  call.requestId = aAttempt.start.requestId;
  call.method = aAttempt.start.method;
  call.path = aAttempt.start.path;
  call.headers = aAttempt.start.headers;
  call.body = aAttempt.body;
  call.timeout = aAttempt.deadline - this->now;
  this->repeatableCalls[call.call] = aAttempt.id;
  this->effects.emplace_back(std::move(call));
}

void
SidecarReducer::Impl::OnEvent(const EngineText& aText)
{
  Attempt* found = this->FindRun(aText.run);
  if (!found || aText.offset != found->endOffset) {
    this->Count("engine_text_dropped", "");
    return;
  }
  Attempt& attempt = *found;
  this->queue.RecordFirstToken(attempt.id, this->now);
  attempt.digest.Update(aText.text);
  attempt.chunks.push_back({ aText.offset, aText.count, MakeBody(aText.text) });
  attempt.endOffset += aText.count;
  this->SendChunk(attempt, attempt.chunks.back());
}

void
SidecarReducer::Impl::OnEvent(const EngineEnded& aEnded)
{
  Attempt* found = this->FindRun(aEnded.run);
  if (!found || found->finished) {
    return;
  }
  Attempt& attempt = *found;
  this->runs.erase(attempt.run);
  attempt.run = 0;
  switch (aEnded.kind) {
    case EngineEndKind::Done:
      if (attempt.segment) {
        this->BeginSegmentTransfer(attempt, aEnded.kvCache);
        return;
      }
      this->FinishEngineAttempt(attempt, aEnded);
      break;
    case EngineEndKind::NotConnected:
      this->engineState = EngineState::Down;
      this->RefuseAttempt(attempt, RefusalReason::NotConnected);
      this->CheckEngine();
      break;
    case EngineEndKind::Refused:
      this->queue.Requeue(attempt.id);
      this->nextDispatchAt = this->now + kMemoryRetryDelay;
      return;
    case EngineEndKind::Lost:
      this->lostAttempts.insert(attempt.id);
      this->checkIsStale = this->checking;
      this->CheckEngine();
      break;
  }
  this->Dispatch();
}

void
SidecarReducer::Impl::FinishEngineAttempt(Attempt& aAttempt, const EngineEnded& aEnded)
{
  const std::uint32_t promptTokens = aAttempt.start.shape.promptTokens;
  const auto outputTokens =
    static_cast<std::uint32_t>(aAttempt.endOffset - aAttempt.start.resumeOffset);
  this->Count("prompt_tokens", "", promptTokens);
  this->Count("cached_tokens", "", aEnded.cachedTokens);
  this->queue.cost.ObserveDecode(outputTokens, aEnded.decodeSeconds);
  if (aAttempt.start.segments.empty()) {
    this->queue.cost.ObservePrefill(promptTokens - std::min(promptTokens, aEnded.cachedTokens),
                                    aEnded.prefillSeconds);
    this->prefixes.Add(aAttempt.prefix);
  }
  Finished finished;
  finished.outcome = Outcome::Done;
  this->FinishAttempt(aAttempt, std::move(finished), nullptr);
}

void
SidecarReducer::Impl::CheckEngine()
{
  if (!this->checking) {
    this->checking = true;
    this->effects.emplace_back(EngineCheck{});
  }
}

void
SidecarReducer::Impl::OnEvent(const EngineReport& aReport)
{
  this->checking = false;
  this->nextCheckAt = this->now + this->config.reportInterval;
  this->engineState = aReport.state;
  if (aReport.state == EngineState::Up) {
    if (aReport.incarnation != this->engineIncarnation) {
      this->prefixes.Clear();
      this->DropAllReservations();
      this->engineIncarnation = aReport.incarnation;
    }
    this->queue.SetCapacity(aReport.capacityTokens);
    this->CancelOrphanedWork(aReport);
  }
  if (aReport.state == EngineState::Down) {
    this->DropAllReservations();
  }
  if (this->lostAttempts.empty() || !this->NeedsAnotherCheck(aReport)) {
    this->ResolveLostAttempts();
  }
  this->Dispatch();
}

// Returns whether lost attempts must wait for another check: this one was sent before their streams
// broke, or it timed out, as when an engine is about to crash.
bool
SidecarReducer::Impl::NeedsAnotherCheck(const EngineReport& aReport)
{
  // An engine that is only paused, not crashing, stays unresponsive for more checks than this.
  static constexpr std::uint32_t kMaxUnresponsiveChecks = 3;
  const bool stale = std::exchange(this->checkIsStale, false) && aReport.state == EngineState::Up;
  this->unresponsiveChecks =
    aReport.state == EngineState::Unresponsive ? this->unresponsiveChecks + 1 : 0;
  const bool unresponsive =
    this->unresponsiveChecks > 0 && this->unresponsiveChecks <= kMaxUnresponsiveChecks;
  if (stale || unresponsive) {
    this->CheckEngine();
    return true;
  }
  this->unresponsiveChecks = 0;
  return false;
}

// Decides for each lost attempt whether the engine crashed, and fails the attempt.
void
SidecarReducer::Impl::ResolveLostAttempts()
{
  for (const std::uint64_t id : std::exchange(this->lostAttempts, {})) {
    const auto found = this->attempts.find(id);
    if (found == this->attempts.end()) {
      continue;
    }
    const bool restarted = this->engineState == EngineState::Up &&
                           found->second.engineIncarnation != this->engineIncarnation;
    const bool crashed = this->engineState == EngineState::Down || restarted;
    this->FailAttempt(
      found->second, crashed ? "the engine died" : "the engine's answer broke off", crashed);
  }
}

void
SidecarReducer::Impl::FailAttempt(Attempt& aAttempt,
                                  const std::string& aReason,
                                  bool aTargetCrashed)
{
  if (aTargetCrashed) {
    this->BroadcastCrash(aAttempt);
  }
  Finished finished;
  finished.outcome = Outcome::Failed;
  finished.targetCrashed = aTargetCrashed;
  finished.reason = aReason;
  this->FinishAttempt(aAttempt, std::move(finished), nullptr);
}

void
SidecarReducer::Impl::BroadcastCrash(const Attempt& aAttempt)
{
  CrashNotice notice;
  notice.fingerprint = aAttempt.start.shape.fingerprint;
  notice.crashes = aAttempt.start.shape.alone ? kBlockingCrashes : 1;
  notice.remainingMs = ToMillis(kCrashRecordTtl);
  this->crashTracker.RecordCrashes(notice.fingerprint, notice.crashes, this->now + kCrashRecordTtl);
  this->Log("request " + aAttempt.start.requestId +
            ": was running when the engine crashed, crashes=" + std::to_string(notice.crashes));
  for (const std::string& entry : this->fleet.entries) {
    this->Send(entry, notice);
  }
  for (const TargetInfo& target : this->fleet.targets) {
    if (target.name != this->config.name && target.kind == TargetKind::Engine) {
      this->Send(target.address, notice);
    }
  }
}

// Cancels runs and frees KV caches on the engine that this sidecar does not know: those of an
// earlier incarnation of the sidecar or of an expired lease.
void
SidecarReducer::Impl::CancelOrphanedWork(const EngineReport& aReport)
{
  for (const std::uint64_t run : aReport.running) {
    if (!this->runs.contains(run)) {
      this->Count("engine_strays_cancelled", "");
      this->effects.emplace_back(EngineCancel{ run });
    }
  }
  for (const std::uint64_t reservation : aReport.storedReservations) {
    if (!this->reservations.contains(reservation)) {
      this->Count("engine_strays_cancelled", "");
      this->effects.emplace_back(EngineFree{ reservation });
    }
  }
}

void
SidecarReducer::Impl::FinishAttempt(Attempt& aAttempt, Finished aFinished, SharedBody aBody)
{
  aFinished.attempt = aAttempt.id;
  aFinished.endOffset = aAttempt.endOffset;
  aFinished.digest = aAttempt.digest.Value();
  this->queue.Remove(aAttempt.id);
  this->StopRun(aAttempt);
  aAttempt.body.reset();
  aAttempt.segmentKvCache.reset();
  aAttempt.sendingSegment.reset();
  aAttempt.finished = aFinished;
  aAttempt.leaseUntil = this->now + this->config.finishedTtl;
  aAttempt.finishedBody = aBody;
  this->Count("attempts_finished", ToString(aFinished.outcome));
  this->Send(aAttempt.entry, std::move(aFinished), std::move(aBody));
}

void
SidecarReducer::Impl::RefuseAttempt(Attempt& aAttempt, RefusalReason aReason)
{
  this->Send(aAttempt.entry, Refused{ aAttempt.id, aReason });
  this->queue.Remove(aAttempt.id);
  this->StopRun(aAttempt);
  this->startedAttemptIds.erase(aAttempt.id);
  this->attempts.erase(aAttempt.id);
}

// Cancels an attempt whose end is not awaited any more. A non-idempotent call that was sent to the
// target is left to finish.
void
SidecarReducer::Impl::AbandonAttempt(std::uint64_t aAttempt)
{
  const auto found = this->attempts.find(aAttempt);
  if (found == this->attempts.end()) {
    return;
  }
  this->StopRun(found->second);
  this->atMostOnceCalls.DropWaiter(aAttempt);
  this->queue.Remove(aAttempt);
  this->lostAttempts.erase(aAttempt);
  this->attempts.erase(found);
  this->Dispatch();
}

void
SidecarReducer::Impl::OnEvent(const ServiceEnded& aEnded)
{
  if (this->atMostOnceCalls.OnServiceEnded(aEnded, this->now)) {
    this->FinishKeyedAttempts();
    return;
  }
  const auto call = this->repeatableCalls.find(aEnded.call);
  if (call == this->repeatableCalls.end()) {
    return;
  }
  const auto found = this->attempts.find(call->second);
  this->repeatableCalls.erase(call);
  if (found == this->attempts.end()) {
    return;
  }
  if (aEnded.kind == ServiceEndKind::NotConnected) {
    this->RefuseAttempt(found->second, RefusalReason::NotConnected);
    return;
  }
  Finished finished;
  finished.outcome = aEnded.kind == ServiceEndKind::Responded ? Outcome::Done : Outcome::Failed;
  finished.status = aEnded.status;
  finished.headers = aEnded.headers;
  finished.reason = aEnded.kind == ServiceEndKind::Responded ? "" : "the target's answer was lost";
  this->FinishAttempt(found->second, std::move(finished), MakeBody(aEnded.body));
}

void
SidecarReducer::Impl::FinishKeyedAttempts()
{
  for (KeyEnd& end : this->atMostOnceCalls.TakeEnds()) {
    const auto found = this->attempts.find(end.attempt);
    if (found == this->attempts.end()) {
      continue;
    }
    if (end.refusal) {
      this->RefuseAttempt(found->second, *end.refusal);
      continue;
    }
    Finished finished;
    finished.outcome = end.result ? Outcome::Done : Outcome::Unknown;
    finished.reason = end.unknownReason;
    SharedBody body;
    if (end.result) {
      finished.status = end.result->status;
      finished.headers = end.result->headers;
      body = MakeBody(end.result->body);
    }
    this->FinishAttempt(found->second, std::move(finished), std::move(body));
  }
}

void
SidecarReducer::Impl::OnEvent(const LogAppendEnded& aEnded)
{
  this->atMostOnceCalls.OnAppendEnded(aEnded, this->now);
  this->FinishKeyedAttempts();
}

void
SidecarReducer::Impl::OnEvent(const LogReadEnded& aEnded)
{
  this->atMostOnceCalls.OnReadEnded(aEnded, this->now);
  this->FinishKeyedAttempts();
}

} // namespace sycamorepost
