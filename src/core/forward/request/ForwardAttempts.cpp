#include "ForwardImpl.h"

#include <algorithm>
#include <utility>

#include "sycamorepost/forward/request/PromptParts.h"

namespace sycamorepost {

using internal::Attempt;
using internal::kEventsOfProgress;
using internal::kMinRemaining;
using internal::kMinStallTimeout;
using internal::RequestState;

namespace {

// Unreachable targets that one request may try.
constexpr std::uint32_t kMaxUnreachableTargets = 4;

// Gap objectives without an event after which a stream counts as failed.
constexpr int kStallGapObjectives = 4;

// The largest response that is passed on as a whole, and the largest event of a stream.
constexpr std::size_t kMaxWholeResponseBytes = 16 * 1024 * 1024;
constexpr std::size_t kMaxEventBytes = 1024 * 1024;

// Returns why a stream that ended is not complete, or null. When the connection's end is all that
// ends it, a stream without events cannot be told from one of an engine that has crashed.
const char*
FindEarlyEnd(const Attempt& aAttempt, const AttemptEnd& aEnd)
{
  if (!aAttempt.events.IsEmpty()) {
    return "the stream ended within an event";
  }
  return aEnd.endedByClose && aAttempt.eventCount == 0 ? "the stream ended without an event"
                                                       : nullptr;
}

} // namespace

void
ForwardReducer::Impl::OnEvent(const AttemptHead& aHead)
{
  RequestState* state = this->FindAttempt(aHead.attempt);
  if (!state) {
    return;
  }
  const std::string status = std::to_string(aHead.status);
  const std::string instance = state->attempt->placement.target.instance;
  // What a response to another request states, says nothing about this one.
  if (aHead.requestMismatch) {
    this->FailAttempt(*state, "the answer " + status + " belongs to another request", true);
    return;
  }
  if (!aHead.instanceMismatch) {
    this->RecordAnnouncement(state->attempt->placement.target, aHead.announcement);
  }
  if (aHead.notExecuted || aHead.instanceMismatch) {
    for (const PrefillHelper& helper : state->attempt->placement.helpers) {
      if (!aHead.failedHelperAddress.empty() && helper.address == aHead.failedHelperAddress) {
        state->triedInstances.insert(helper.instance);
        this->loadTracker.RecordUnreachable(helper.instance, this->now);
      }
    }
    if (aHead.instanceMismatch) {
      this->loadTracker.RecordUnreachable(instance, this->now);
      this->ConfirmCrash(instance);
    }
    const std::string fault =
      aHead.failedHelperAddress.empty() ? "" : ", at fault " + aHead.failedHelperAddress;
    this->HandleNotExecuted(
      *state, "the target answered " + status + " and did not run the request" + fault);
    return;
  }
  if ((!aHead.isSigned && aHead.status / 100 != 4) ||
      (aHead.status / 100 == 2 && !aHead.isIdentityEncoded)) {
    this->FailAttempt(*state, "the answer " + status + " is not the target's", true);
    return;
  }
  const bool serverError = aHead.status / 100 == 5;
  const bool mayRetry = serverError && (this->MayRetry(*state) || !state->otherAttempts.empty());
  // A stream that has begun goes on with events only.
  if (state->headSent ? aHead.status != 200 : mayRetry) {
    this->loadTracker.RecordFailure(instance, this->now);
    this->FailAttempt(*state, "the target answered " + status, true);
    return;
  }
  state->attempt->status = aHead.status;
  state->attempt->fields = aHead.fields;
  state->attempt->isStream = state->route->kind == RouteKind::Stream && aHead.status == 200;
}

void
ForwardReducer::Impl::OnEvent(const AttemptData& aData)
{
  RequestState* state = this->FindAttempt(aData.attempt);
  if (!state || !state->attempt->status) {
    return;
  }
  if (state->attempt->isStream) {
    this->DeliverEvents(*state, aData.bytes);
  } else {
    state->attempt->body += aData.bytes;
    const bool isWithin = this->CountBuffered(*state->attempt);
    if (!isWithin || state->attempt->body.size() > kMaxWholeResponseBytes) {
      this->FailAttempt(*state, "the answer does not end", true);
    }
  }
}

// Counts what an attempt buffers by now. Returns whether it may go on.
bool
ForwardReducer::Impl::CountBuffered(Attempt& aAttempt)
{
  const std::size_t bytes = aAttempt.body.size() + aAttempt.events.BufferedBytes();
  this->bufferedBytes += bytes;
  this->bufferedBytes -= std::exchange(aAttempt.bufferedBytes, bytes);
  const std::uint64_t limit = this->config.maxBufferedBytes;
  return this->bufferedBytes <= limit ||
         bytes <= limit / std::max<std::size_t>(1, this->attemptOwner.size());
}

void
ForwardReducer::Impl::DeliverEvents(RequestState& aState, const std::string& aBytes)
{
  std::string newEvents;
  const char* fault = nullptr;
  const std::uint32_t eventsBefore = aState.attempt->eventCount;
  for (const StreamEvent& event : aState.attempt->events.Feed(aBytes)) {
    aState.attempt->eventCount += event.isComment ? 0 : 1;
    if (event.id && aState.lastEventId && *event.id <= *aState.lastEventId) {
      continue;
    }
    if (event.id && aState.lastEventId && *event.id != *aState.lastEventId + 1) {
      fault = "an event of the stream is missing";
      break;
    }
    if (!event.id && !event.isComment && aState.lastEventId) {
      fault = "the stream contains text that is no event";
      break;
    }
    aState.lastEventId = event.id ? event.id : aState.lastEventId;
    newEvents += event.bytes;
  }
  this->SampleEvents(*aState.attempt, aState.attempt->eventCount - eventsBefore);
  const bool isWithin = this->CountBuffered(*aState.attempt);
  if (!isWithin || aState.attempt->events.BufferedBytes() > kMaxEventBytes) {
    fault = "an event of the stream does not end";
  }
  if (!newEvents.empty()) {
    this->PassOnEvents(aState, std::move(newEvents));
  }
  if (aState.attempt->eventCount >= kEventsOfProgress) {
    this->RecordProgress(aState);
  }
  if (fault) {
    this->FailAttempt(aState, fault, true);
  }
}

// Writes complete events to the caller, after the response head if they are the first.
void
ForwardReducer::Impl::PassOnEvents(RequestState& aState, std::string aEvents)
{
  this->CancelOthers(aState);
  if (!aState.headSent) {
    aState.headSent = true;
    this->effects.emplace_back(
      BeginResponse{ aState.request.handle, *aState.attempt->status, aState.attempt->fields });
    this->Log(aState,
              "first-event",
              { { "target", aState.attempt->placement.target.instance },
                { "after_ms", std::to_string(ToMillis(this->now - aState.arrivedAt)) } },
              false);
  } else {
    aState.maxEventGap = std::max(aState.maxEventGap, this->now - aState.lastEventAt);
  }
  aState.lastEventAt = this->now;
  if (!std::exchange(aState.attempt->delivered, true)) {
    for (const PlacedWork& work : aState.attempt->placement.placedWork) {
      this->loadTracker.MarkPrefilled(work, this->now);
    }
  }
  this->effects.emplace_back(WriteResponse{ aState.request.handle, std::move(aEvents) });
  this->ArmStallTimer(aState,
                      std::max(kMinStallTimeout, aState.route->gapObjective * kStallGapObjectives));
}

void
ForwardReducer::Impl::OnEvent(const AttemptEnd& aEnd)
{
  RequestState* state = this->FindAttempt(aEnd.attempt);
  if (!state) {
    return;
  }
  const std::string instance = state->attempt->placement.target.instance;
  if (aEnd.kind == AttemptEndKind::NotConnected) {
    this->loadTracker.RecordUnreachable(instance, this->now);
    this->CloseAttempt(*state, false);
    --state->runs;
    --state->reachedAttempts;
    state->triedInstances.insert(instance);
    state->lastFailure = "target " + instance + " was not reached: " + aEnd.reason;
    this->Log(*state, "not-reached", { { "target", instance }, { "reason", aEnd.reason } }, true);
    if (this->ReturnToOther(*state, false)) {
      return;
    }
    if (++state->unreachableAttempts >= kMaxUnreachableTargets) {
      this->FailRequest(*state, state->lastFailure);
      return;
    }
    this->Launch(*state);
    return;
  }
  if (aEnd.kind == AttemptEndKind::Aborted || !state->attempt->status) {
    this->RecordAbort(*state);
    this->SuspectCrash(*state);
    this->FailAttempt(*state, "the answer broke off: " + aEnd.reason, false);
    return;
  }
  if (!state->attempt->isStream) {
    this->CompleteBuffered(*state);
    return;
  }
  if (const char* fault = FindEarlyEnd(*state->attempt, aEnd)) {
    this->RecordAbort(*state);
    this->SuspectCrash(*state);
    this->FailAttempt(*state, fault, false);
    return;
  }
  this->RecordProgress(*state);
  this->loadTracker.RecordSuccess(instance);
  if (!state->headSent) {
    this->effects.emplace_back(
      BeginResponse{ state->request.handle, *state->attempt->status, state->attempt->fields });
  }
  this->effects.emplace_back(CompleteResponse{ state->request.handle });
  this->Log(*state,
            "done",
            { { "target", instance },
              { "pause_ms", std::to_string(ToMillis(state->maxEventGap)) },
              { "after_ms", std::to_string(ToMillis(this->now - state->arrivedAt)) } },
            false);
  this->EndRequest(*state);
}

void
ForwardReducer::Impl::CompleteBuffered(RequestState& aState)
{
  const std::string& instance = aState.attempt->placement.target.instance;
  const int status = *aState.attempt->status;
  if (status / 100 == 5) {
    this->loadTracker.RecordFailure(instance, this->now);
  } else {
    this->loadTracker.RecordSuccess(instance);
  }
  if (status / 100 == 2) {
    this->SampleCall(aState);
    this->RecordProgress(aState);
  }
  SendResponse response;
  response.handle = aState.request.handle;
  response.status = status;
  response.fields = aState.attempt->fields;
  response.body = std::move(aState.attempt->body);
  this->Count("forward_answers", std::to_string(status));
  this->Log(aState,
            "answered",
            { { "status", std::to_string(status) },
              { "target", instance },
              { "after_ms", std::to_string(ToMillis(this->now - aState.arrivedAt)) } },
            status / 100 != 2);
  this->effects.emplace_back(std::move(response));
  this->EndRequest(aState);
}

// Ends an attempt that may have run, and retries at another target where this is allowed.
void
ForwardReducer::Impl::FailAttempt(RequestState& aState, const std::string& aReason, bool aCancel)
{
  const std::string instance = aState.attempt->placement.target.instance;
  aState.lastFailure = aReason;
  this->loadTracker.RecordFailure(instance, this->now);
  this->Log(aState,
            "attempt-failed",
            { { "target", instance },
              { "reason", aReason },
              { "run", std::to_string(aState.runs) },
              { "events", std::to_string(aState.attempt->eventCount) },
              { "parts", FormatParts(aState.request.promptParts) },
              { "age_ms", std::to_string(ToMillis(this->now - aState.attempt->startedAt)) } },
            true);
  const bool mayRetry = this->MayRetry(aState);
  aState.isTrial = false;
  this->CloseAttempt(aState, aCancel);
  aState.triedInstances.insert(instance);
  if (this->ReturnToOther(aState, false)) {
    return;
  }
  if (mayRetry && this->TrySpendRetry(aState)) {
    this->Launch(aState);
  } else {
    this->FailRequest(aState, aReason);
  }
}

// The target guarantees that the request did not and will not run, so requests of any kind may be
// retried at another target.
void
ForwardReducer::Impl::HandleNotExecuted(RequestState& aState, const std::string& aReason)
{
  const std::string instance = aState.attempt->placement.target.instance;
  aState.lastFailure = aReason;
  this->Log(aState,
            "not-executed",
            { { "target", instance },
              { "reason", aReason },
              { "helpers", std::to_string(aState.attempt->placement.helpers.size()) },
              { "running", std::to_string(this->loadTracker.LoadOf(instance, this->now).running) },
              { "age_ms", std::to_string(ToMillis(this->now - aState.attempt->startedAt)) } },
            true);
  this->CloseAttempt(aState, true);
  aState.triedInstances.insert(instance);
  --aState.runs;
  if (this->ReturnToOther(aState, false)) {
    return;
  }
  if (this->TrySpendRetry(aState)) {
    this->Launch(aState);
  } else {
    this->FailRequest(aState, aReason);
  }
}

bool
ForwardReducer::Impl::MayRetry(const RequestState& aState) const
{
  return aState.route->IsRetryable() && aState.runs < std::max(1U, aState.route->maxAttempts);
}

// Spends one retry of the budget that all entries share.
bool
ForwardReducer::Impl::TrySpendRetry(RequestState& aState)
{
  if (std::exchange(aState.hasRetry, false)) {
    return true;
  }
  const double draw = std::uniform_real_distribution<double>(0, 1)(this->random);
  const bool spent = this->BudgetOf(aState.service).TrySpend(draw);
  this->Count("forward_retries", spent ? "made" : "no_budget");
  if (!spent) {
    this->Log(aState, "no-retry", { { "reason", "the retry budget is spent" } }, true);
  }
  return spent;
}

// Ends a request that cannot be served, unless a stalled attempt may still succeed. Only the
// status 503 tells the caller that it did not run.
void
ForwardReducer::Impl::FailRequest(RequestState& aState, const std::string& aReason)
{
  if (this->now < aState.deadline && this->ReturnToOther(aState, true)) {
    return;
  }
  if (aState.headSent) {
    this->Log(aState, "broken-off", { { "reason", aReason } }, true);
    this->Count("forward_broken_off", "");
    this->effects.emplace_back(AbortResponse{ aState.request.handle });
    this->EndRequest(aState);
    return;
  }
  this->Refuse(aState, { FailureStatus(aState, this->now), aReason });
}

int
ForwardReducer::Impl::FailureStatus(const RequestState& aState, Instant aNow)
{
  const bool deadlinePassed = aNow >= aState.deadline - kMinRemaining;
  return aState.runs == 0 ? 503 : (deadlinePassed ? 504 : 502);
}

} // namespace sycamorepost
