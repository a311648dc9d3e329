#include "EntryImpl.h"

#include <algorithm>

namespace sycamorepost {

using internal::Call;

Call*
EntryReducer::Impl::FindAttempt(std::uint64_t aAttempt)
{
  const auto owner = this->attemptOwner.find(aAttempt);
  return owner == this->attemptOwner.end() ? nullptr : &this->calls.at(owner->second);
}

void
EntryReducer::Impl::DropAttempt(Call& aCall)
{
  if (!aCall.attempt) {
    return;
  }
  this->attemptOwner.erase(aCall.attempt->id);
  EngineStats& stats = this->engineStats[aCall.attempt->target];
  stats.outstanding -= stats.outstanding > 0 ? 1 : 0;
  this->peers.EndAttempt(aCall.attempt->address);
  aCall.tried.insert(aCall.attempt->target);
  aCall.attempt.reset();
}

void
EntryReducer::Impl::OnMessage(const Envelope& /*aFrom*/, const Refused& aRefused)
{
  Call* call = this->FindAttempt(aRefused.attempt);
  if (!call) {
    return;
  }
  this->Count("attempts_refused",
              std::string(kRefusalReasonNames.at(static_cast<std::size_t>(aRefused.reason))));
  this->DropAttempt(*call);
  if (aRefused.reason == RefusalReason::KeyMismatch) {
    this->EndWithError(*call,
                       call->mayHaveRun ? Outcome::Unknown : Outcome::NotRun,
                       { 422,
                         "idempotency_key_reused",
                         "The Idempotency-Key belongs to a request with another body." });
    return;
  }
  call->sawBusy = call->sawBusy || aRefused.reason == RefusalReason::Busy;
  this->StartProbeRound(*call);
}

void
EntryReducer::Impl::OnMessage(const Envelope& aFrom, const Chunk& aChunk)
{
  Call* call = this->FindAttempt(aChunk.attempt);
  if (!call) {
    this->Count("chunks_dropped", "attempt");
    this->CancelUnknownAttempt(aFrom, aChunk.attempt);
    return;
  }
  if (aChunk.offset != call->nextOffset || !aFrom.body) {
    this->Count("chunks_dropped", "offset");
    this->peers.FindOrAdd(aFrom.from).pingWanted = aChunk.offset > call->nextOffset;
    return;
  }
  call->nextOffset += aChunk.count;
  call->attempt->lastReceivedAt = this->now;
  call->attempt->digest.Update(*aFrom.body);
  this->effects.emplace_back(ResponseText{ call->request.handle, aFrom.body, aChunk.count });
}

// Cancels an attempt that this entry does not know: it counted as lost, or an earlier incarnation
// of this entry started it.
void
EntryReducer::Impl::CancelUnknownAttempt(const Envelope& aFrom, std::uint64_t aAttempt)
{
  this->Send(aFrom.from, Cancel{ aAttempt, 0 });
}

void
EntryReducer::Impl::OnMessage(const Envelope& aFrom, const Finished& aFinished)
{
  Call* call = this->FindAttempt(aFinished.attempt);
  if (!call) {
    this->Count("finishes_late", "");
    this->CancelUnknownAttempt(aFrom, aFinished.attempt);
    return;
  }
  if (call->kind == TargetKind::Service) {
    this->FinishService(*call, aFrom, aFinished);
  } else {
    this->FinishCompletion(*call, aFinished);
  }
}

void
EntryReducer::Impl::FinishCompletion(Call& aCall, const Finished& aFinished)
{
  if (aFinished.outcome != Outcome::Done) {
    const bool wasAlone = aCall.alone;
    this->DropAttempt(aCall);
    if (aFinished.targetCrashed) {
      this->crashTracker.RecordCrashes(
        aCall.fingerprint, wasAlone ? kBlockingCrashes : 1, this->now + kCrashRecordTtl);
      aCall.alone = true;
    }
    if (this->crashTracker.Check(aCall.fingerprint, this->now) == CrashStatus::Blocked) {
      this->EndWithError(aCall, Outcome::Failed, kBlockedRefusal);
      return;
    }
    this->RetryOrFail(aCall, aFinished.reason);
    return;
  }
  if (aFinished.endOffset != aCall.nextOffset) {
    // Chunks are missing. The next ping carries the expected offset and the sidecar resends them.
    this->Count("finishes_early", "");
    this->peers.FindOrAdd(aCall.attempt->address).pingWanted = true;
    return;
  }
  if (aFinished.digest != aCall.attempt->digest.Value()) {
    this->Count("digest_mismatches", "");
    this->EndWithError(
      aCall, Outcome::Failed, { 502, "answer_corrupted", "The answer did not match its digest." });
    return;
  }
  if (aCall.alone) {
    this->crashTracker.Clear(aCall.fingerprint);
    for (const std::string& entry : this->fleet.entries) {
      if (entry != this->config.address) {
        this->Send(entry, CrashClearedNotice{ aCall.fingerprint });
      }
    }
    for (const TargetInfo& target : this->fleet.targets) {
      this->Send(target.address, CrashClearedNotice{ aCall.fingerprint });
    }
  }
  ResponseEnd end;
  end.outcome = Outcome::Done;
  end.status = 200;
  this->End(aCall, std::move(end));
}

void
EntryReducer::Impl::FinishService(Call& aCall, const Envelope& aFrom, const Finished& aFinished)
{
  // Other statuses are those of no final response.
  const bool isValid = aFinished.status >= 200 && aFinished.status <= 599;
  if (aFinished.outcome == Outcome::Done && isValid) {
    ResponseEnd end;
    end.outcome = Outcome::Done;
    end.status = aFinished.status;
    end.headers = aFinished.headers;
    end.body = aFrom.body ? aFrom.body : MakeBody("");
    this->End(aCall, std::move(end));
    return;
  }
  const std::string reason =
    aFinished.outcome == Outcome::Done
      ? "the response has the invalid status " + std::to_string(aFinished.status)
      : aFinished.reason;
  if (aCall.IsAtMostOnce()) {
    this->EndWithError(
      aCall,
      Outcome::Unknown,
      { 503,
        "outcome_unknown",
        "The call may have run: " + reason + ". Repeat it with the same Idempotency-Key." });
    return;
  }
  this->DropAttempt(aCall);
  this->RetryOrFail(aCall, reason);
}

void
EntryReducer::Impl::HandleLostAttempt(Call& aCall,
                                      const std::string& aReason,
                                      bool aCancelOnSidecar)
{
  if (aCancelOnSidecar) {
    this->Send(aCall.attempt->address, Cancel{ aCall.attempt->id, aCall.attempt->ticket });
  }
  aCall.mayHaveRun = aCall.mayHaveRun || aCall.IsAtMostOnce();
  this->DropAttempt(aCall);
  this->RetryOrFail(aCall, aReason);
}

void
EntryReducer::Impl::RetryOrFail(Call& aCall, const std::string& aReason)
{
  this->Log(aCall, "attempt " + std::to_string(aCall.attempts) + " ended: " + aReason);
  if (this->retryBudget.TryTake(1, this->now)) {
    this->StartProbeRound(aCall);
    return;
  }
  this->EndWithError(aCall,
                     this->OutcomeWithoutResponse(aCall),
                     { 503, "retry_budget_exhausted", "The attempt failed: " + aReason + "." });
}

// Returns the outcome of a request that ends without a complete response.
Outcome
EntryReducer::Impl::OutcomeWithoutResponse(const Call& aCall) const
{
  if (aCall.IsAtMostOnce()) {
    return aCall.mayHaveRun || aCall.attempt ? Outcome::Unknown : Outcome::NotRun;
  }
  return aCall.attempts > 0 ? Outcome::Failed : Outcome::NotRun;
}

void
EntryReducer::Impl::OnDeadline(Call& aCall)
{
  const Outcome outcome = this->OutcomeWithoutResponse(aCall);
  this->EndWithError(
    aCall, outcome, { 504, "timeout", "The request did not finish within its timeout." });
}

void
EntryReducer::Impl::FailWithoutTarget(Call& aCall)
{
  Refusal refusal{ 503, "no_target", "No target can take the request now." };
  if (aCall.sawBusy) {
    refusal = { 503, "overloaded", "No engine can finish the request in time." };
  } else if (aCall.sawTooLarge) {
    refusal = { 413, "prompt_too_large", "The prompt does not fit into any engine's memory." };
  }
  this->EndWithError(aCall, this->OutcomeWithoutResponse(aCall), refusal);
}

void
EntryReducer::Impl::EndWithError(Call& aCall, Outcome aOutcome, Refusal aRefusal)
{
  ResponseEnd end;
  end.outcome = aOutcome;
  end.status = aRefusal.status;
  end.code = aRefusal.code;
  end.message = std::move(aRefusal.message);
  if (aRefusal.status == 503) {
    const auto wait = std::chrono::milliseconds(aCall.retryAfterMs);
    end.retryAfterSeconds =
      std::max<std::int64_t>(1, std::chrono::ceil<std::chrono::seconds>(wait).count());
  }
  this->End(aCall, std::move(end));
}

void
EntryReducer::Impl::End(Call& aCall, ResponseEnd aEnd)
{
  if (aCall.attempt && aEnd.outcome != Outcome::Done) {
    this->Send(aCall.attempt->address, Cancel{ aCall.attempt->id, aCall.attempt->ticket });
  }
  this->DropAttempt(aCall);
  this->ReleaseGroup(aCall);
  for (const auto& [id, slot] : aCall.probes) {
    this->probeOwner.erase(id);
  }
  this->limits.Release(
    this->AccountOf(aCall), static_cast<std::uint32_t>(aCall.nextOffset), this->now);
  aEnd.handle = aCall.request.handle;
  aEnd.tokens = aCall.nextOffset;
  this->Count("outcomes", ToString(aEnd.outcome));
  if (!aEnd.code.empty()) {
    this->Log(aCall, "ended as " + ToString(aEnd.outcome) + " with " + aEnd.code);
  }
  this->effects.emplace_back(std::move(aEnd));
  this->calls.erase(aCall.request.handle);
}

void
EntryReducer::Impl::OnEvent(const CallerDisconnected& aGone)
{
  const auto call = this->calls.find(aGone.handle);
  if (call != this->calls.end()) {
    this->EndWithError(call->second,
                       this->OutcomeWithoutResponse(call->second),
                       { 499, "caller_gone", "The caller closed its connection." });
  }
}

} // namespace sycamorepost
