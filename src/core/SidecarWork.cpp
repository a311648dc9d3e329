#include "SidecarImpl.h"

#include <algorithm>

namespace sycamorepost {

namespace {

using internal::Attempt;
using internal::KeyEnd;

constexpr Duration kMemoryRetry = std::chrono::milliseconds(50);

} // namespace

void
SidecarReducer::Impl::Dispatch()
{
  if (this->engineState != EngineState::Up) {
    return;
  }
  while (const auto item = this->queue.TakeNext(this->config.maxRunning, this->now)) {
    this->RunNext(this->attempts.at(item->attempt));
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
  this->plainCalls[call.call] = aAttempt.id;
  this->effects.emplace_back(std::move(call));
}

void
SidecarReducer::Impl::OnEvent(const EngineText& aText)
{
  Attempt* found = this->FindRun(aText.run);
  if (!found || aText.offset != found->end) {
    this->Count("engine_text_dropped", "");
    return;
  }
  Attempt& attempt = *found;
  this->queue.NoteFirstToken(attempt.id, this->now);
  attempt.digest.Update(aText.text);
  attempt.chunks.push_back({ aText.offset, aText.count, MakeBody(aText.text) });
  attempt.end += aText.count;
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
      if (attempt.span) {
        this->TakeSpan(attempt, aEnded.kvCache);
        return;
      }
      this->FinishOnEngine(attempt, aEnded);
      break;
    case EngineEndKind::NotReached:
      this->engineState = EngineState::Gone;
      this->RefuseAttempt(attempt, RefuseReason::NotReached);
      this->CheckEngine();
      break;
    case EngineEndKind::Refused:
      this->queue.Requeue(attempt.id);
      this->dispatchAt = this->now + kMemoryRetry;
      return;
    case EngineEndKind::Lost:
      this->lost.insert(attempt.id);
      this->checkIsOld = this->checking;
      this->CheckEngine();
      break;
  }
  this->Dispatch();
}

void
SidecarReducer::Impl::FinishOnEngine(Attempt& aAttempt, const EngineEnded& aEnded)
{
  const std::uint32_t prompt = aAttempt.start.shape.promptTokens;
  const auto answer = static_cast<std::uint32_t>(aAttempt.end - aAttempt.start.resumeOffset);
  this->Count("prompt_tokens", "", prompt);
  this->Count("cached_tokens", "", aEnded.cachedTokens);
  this->queue.cost.ObserveDecode(answer, aEnded.decodeSeconds);
  if (aAttempt.start.spans.empty()) {
    this->queue.cost.ObservePrefill(prompt - std::min(prompt, aEnded.cachedTokens),
                                    aEnded.prefillSeconds);
    this->prefixes.Add(aAttempt.prefix);
  }
  Finished finished;
  finished.outcome = Outcome::Done;
  this->Finish(aAttempt, std::move(finished), nullptr);
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
  this->reportAt = this->now + this->config.reportEvery;
  this->engineState = aReport.state;
  if (aReport.state == EngineState::Up) {
    if (aReport.bootId != this->bootId) {
      this->prefixes.Clear();
      this->LoseAllHolds();
      this->bootId = aReport.bootId;
    }
    this->queue.SetCapacity(aReport.capacityTokens);
    this->CancelStrays(aReport);
  }
  if (aReport.state == EngineState::Gone) {
    this->LoseAllHolds();
  }
  if (this->lost.empty() || !this->AsksAgain(aReport)) {
    this->JudgeLost();
  }
  this->Dispatch();
}

// Returns whether broken streams have to wait for another check: this one was sent before they
// broke, or it met an engine that did not answer and may be on its way out.
bool
SidecarReducer::Impl::AsksAgain(const EngineReport& aReport)
{
  // An engine that is only paused stays silent for longer.
  static constexpr std::uint32_t kMostSilentChecks = 3;
  const bool old = std::exchange(this->checkIsOld, false) && aReport.state == EngineState::Up;
  this->silentChecks = aReport.state == EngineState::Silent ? this->silentChecks + 1 : 0;
  const bool silent = this->silentChecks > 0 && this->silentChecks <= kMostSilentChecks;
  if (old || silent) {
    this->CheckEngine();
    return true;
  }
  this->silentChecks = 0;
  return false;
}

// Decides for each broken stream whether the engine died of it.
void
SidecarReducer::Impl::JudgeLost()
{
  for (const std::uint64_t id : std::exchange(this->lost, {})) {
    const auto found = this->attempts.find(id);
    if (found == this->attempts.end()) {
      continue;
    }
    const bool restarted =
      this->engineState == EngineState::Up && found->second.bootId != this->bootId;
    const bool died = this->engineState == EngineState::Gone || restarted;
    this->FailAttempt(
      found->second, died ? "the engine died" : "the engine's answer broke off", died);
  }
}

void
SidecarReducer::Impl::FailAttempt(Attempt& aAttempt, const std::string& aReason, bool aTargetDied)
{
  if (aTargetDied) {
    this->SpreadSuspicion(aAttempt);
  }
  Finished finished;
  finished.outcome = Outcome::Failed;
  finished.targetDied = aTargetDied;
  finished.reason = aReason;
  this->Finish(aAttempt, std::move(finished), nullptr);
}

void
SidecarReducer::Impl::SpreadSuspicion(const Attempt& aAttempt)
{
  SuspectNotice notice;
  notice.fingerprint = aAttempt.start.shape.fingerprint;
  notice.deaths = aAttempt.start.shape.alone ? kBlockingDeaths : 1;
  notice.leftMs = ToMillis(kSuspectTime);
  this->suspects.Note(notice.fingerprint, notice.deaths, this->now + kSuspectTime);
  this->Log("request " + aAttempt.start.requestId +
            ": ran on the engine as it died, deaths=" + std::to_string(notice.deaths));
  for (const std::string& entry : this->fleet.entries) {
    this->Send(entry, notice);
  }
  for (const TargetInfo& target : this->fleet.targets) {
    if (target.name != this->config.name && target.kind == TargetKind::Engine) {
      this->Send(target.address, notice);
    }
  }
}

// Frees what the engine holds for nobody: work of an earlier incarnation or of a lapsed lease.
void
SidecarReducer::Impl::CancelStrays(const EngineReport& aReport)
{
  for (const std::uint64_t run : aReport.running) {
    if (!this->runs.contains(run)) {
      this->Count("engine_strays_cancelled", "");
      this->effects.emplace_back(EngineCancel{ run });
    }
  }
  for (const std::uint64_t hold : aReport.held) {
    if (!this->holds.contains(hold)) {
      this->Count("engine_strays_cancelled", "");
      this->effects.emplace_back(EngineFree{ hold });
    }
  }
}

void
SidecarReducer::Impl::Finish(Attempt& aAttempt, Finished aFinished, SharedBody aBody)
{
  aFinished.attempt = aAttempt.id;
  aFinished.end = aAttempt.end;
  aFinished.digest = aAttempt.digest.Value();
  this->queue.Remove(aAttempt.id);
  this->StopRun(aAttempt);
  aAttempt.body.reset();
  aAttempt.spanCache.reset();
  aAttempt.sending.reset();
  aAttempt.finished = aFinished;
  aAttempt.leaseUntil = this->now + this->config.finishedTime;
  aAttempt.finishedBody = aBody;
  this->Count("attempts_finished", ToString(aFinished.outcome));
  this->Send(aAttempt.entry, std::move(aFinished), std::move(aBody));
}

void
SidecarReducer::Impl::RefuseAttempt(Attempt& aAttempt, RefuseReason aReason)
{
  this->Send(aAttempt.entry, Refused{ aAttempt.id, aReason });
  this->queue.Remove(aAttempt.id);
  this->StopRun(aAttempt);
  this->startedIds.erase(aAttempt.id);
  this->attempts.erase(aAttempt.id);
}

// Stops an attempt that nobody waits for. A non-idempotent call that runs is left to finish.
void
SidecarReducer::Impl::Abandon(std::uint64_t aAttempt)
{
  const auto found = this->attempts.find(aAttempt);
  if (found == this->attempts.end()) {
    return;
  }
  this->StopRun(found->second);
  this->once.Drop(aAttempt);
  this->queue.Remove(aAttempt);
  this->lost.erase(aAttempt);
  this->attempts.erase(found);
  this->Dispatch();
}

void
SidecarReducer::Impl::OnEvent(const ServiceEnded& aEnded)
{
  if (this->once.OnServiceEnded(aEnded, this->now)) {
    this->TellKeyEnds();
    return;
  }
  const auto call = this->plainCalls.find(aEnded.call);
  if (call == this->plainCalls.end()) {
    return;
  }
  const auto found = this->attempts.find(call->second);
  this->plainCalls.erase(call);
  if (found == this->attempts.end()) {
    return;
  }
  if (aEnded.kind == ServiceEndKind::NotReached) {
    this->RefuseAttempt(found->second, RefuseReason::NotReached);
    return;
  }
  Finished finished;
  finished.outcome = aEnded.kind == ServiceEndKind::Answered ? Outcome::Done : Outcome::Failed;
  finished.status = aEnded.status;
  finished.headers = aEnded.headers;
  finished.reason = aEnded.kind == ServiceEndKind::Answered ? "" : "the target's answer was lost";
  this->Finish(found->second, std::move(finished), MakeBody(aEnded.body));
}

void
SidecarReducer::Impl::TellKeyEnds()
{
  for (KeyEnd& end : this->once.TakeEnds()) {
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
    this->Finish(found->second, std::move(finished), std::move(body));
  }
}

void
SidecarReducer::Impl::OnEvent(const LogAppendEnded& aEnded)
{
  this->once.OnAppendEnded(aEnded, this->now);
  this->TellKeyEnds();
}

void
SidecarReducer::Impl::OnEvent(const LogReadEnded& aEnded)
{
  this->once.OnReadEnded(aEnded, this->now);
  this->TellKeyEnds();
}

} // namespace sycamorepost
