#include "ForwardImpl.h"

#include <algorithm>
#include <utility>

namespace sycamorepost {

using internal::Flow;
using internal::kShortestGapBound;
using internal::kShortestRemaining;

namespace {

// Targets that may be dialled in vain for one request.
constexpr std::uint32_t kMaxMisses = 4;

// Pauses on time that fit into a silence that is a failure.
constexpr int kGapObjectives = 4;

} // namespace

void
ForwardReducer::Impl::OnEvent(const AttemptHead& aHead)
{
  Flow* flow = this->FindAttempt(aHead.attempt);
  if (!flow) {
    return;
  }
  const std::string status = std::to_string(aHead.status);
  const std::string instance = flow->attempt->placement.target.instance;
  if (aHead.notExecuted || aHead.misdirected) {
    for (const ReadingHelper& helper : flow->attempt->placement.helpers) {
      if (!aHead.faultyAddress.empty() && helper.address == aHead.faultyAddress) {
        flow->tried.insert(helper.instance);
        this->book.NoteUnreachable(helper.instance, this->now);
      }
    }
    if (aHead.misdirected) {
      this->book.NoteUnreachable(instance, this->now);
    }
    const std::string fault =
      aHead.faultyAddress.empty() ? "" : ", at fault " + aHead.faultyAddress;
    this->NotExecuted(*flow,
                      "the target answered " + status + " and did not run the request" + fault);
    return;
  }
  if (aHead.otherRequest || (!aHead.isSigned && aHead.status / 100 != 4) ||
      (aHead.status / 100 == 2 && !aHead.plainEncoding)) {
    this->FailAttempt(*flow, "the answer " + status + " is not the target's", true);
    return;
  }
  const bool serverError = aHead.status / 100 == 5;
  const bool again = flow->headSent || (serverError && this->MayRetryRun(*flow));
  if (aHead.status / 100 != 2 && again) {
    this->book.NoteFailure(instance, this->now);
    this->FailAttempt(*flow, "the target answered " + status, true);
    return;
  }
  flow->attempt->status = aHead.status;
  flow->attempt->fields = aHead.fields;
  flow->attempt->isStream = flow->route->kind == RouteKind::Stream && aHead.status == 200;
}

void
ForwardReducer::Impl::OnEvent(const AttemptData& aData)
{
  Flow* flow = this->FindAttempt(aData.attempt);
  if (!flow || !flow->attempt->status) {
    return;
  }
  if (flow->attempt->isStream) {
    this->DeliverEvents(*flow, aData.bytes);
  } else {
    flow->attempt->body += aData.bytes;
  }
}

void
ForwardReducer::Impl::DeliverEvents(Flow& aFlow, const std::string& aBytes)
{
  std::string whole;
  for (StreamEvent& event : aFlow.attempt->events.Add(aBytes)) {
    if (event.id) {
      if (aFlow.lastEvent && *event.id <= *aFlow.lastEvent) {
        continue;
      }
      if (aFlow.lastEvent && *event.id != *aFlow.lastEvent + 1) {
        this->FailAttempt(aFlow, "an event of the stream is missing", true);
        return;
      }
      aFlow.lastEvent = event.id;
    }
    whole += event.bytes;
  }
  if (whole.empty()) {
    return;
  }
  if (!aFlow.headSent) {
    aFlow.headSent = true;
    this->effects.emplace_back(
      BeginAnswer{ aFlow.request.handle, *aFlow.attempt->status, aFlow.attempt->fields });
    this->Log(aFlow,
              "first-event",
              { { "target", aFlow.attempt->placement.target.instance },
                { "after_ms", std::to_string(ToMillis(this->now - aFlow.arrivedAt)) } },
              false);
  } else {
    aFlow.longestPause = std::max(aFlow.longestPause, this->now - aFlow.lastEventAt);
  }
  aFlow.lastEventAt = this->now;
  if (!std::exchange(aFlow.attempt->delivered, true)) {
    for (const PlacedWork& work : aFlow.attempt->placement.works) {
      this->book.MarkRead(work, this->now);
    }
  }
  this->effects.emplace_back(ContinueAnswer{ aFlow.request.handle, std::move(whole) });
  this->ArmStall(aFlow, std::max(kShortestGapBound, aFlow.route->gapObjective * kGapObjectives));
}

void
ForwardReducer::Impl::OnEvent(const AttemptEnd& aEnd)
{
  Flow* flow = this->FindAttempt(aEnd.attempt);
  if (!flow) {
    return;
  }
  const std::string instance = flow->attempt->placement.target.instance;
  if (aEnd.kind == AttemptEndKind::NotReached) {
    this->book.NoteUnreachable(instance, this->now);
    this->CloseAttempt(*flow, false);
    --flow->runs;
    --flow->arrivals;
    flow->tried.insert(instance);
    flow->lastFailure = "target " + instance + " was not reached: " + aEnd.reason;
    this->Log(*flow, "not-reached", { { "target", instance }, { "reason", aEnd.reason } }, true);
    if (++flow->misses >= kMaxMisses) {
      this->GiveUp(*flow, flow->lastFailure);
      return;
    }
    this->Launch(*flow);
    return;
  }
  if (aEnd.kind == AttemptEndKind::Broken || !flow->attempt->status) {
    this->NoteBreak(*flow);
    this->FailAttempt(*flow, "the answer broke off: " + aEnd.reason, false);
    return;
  }
  if (!flow->attempt->isStream) {
    this->FinishWhole(*flow);
    return;
  }
  if (!flow->attempt->events.Empty()) {
    this->FailAttempt(*flow, "the stream ended within an event", false);
    return;
  }
  this->book.NoteSuccess(instance);
  if (!flow->headSent) {
    this->effects.emplace_back(
      BeginAnswer{ flow->request.handle, *flow->attempt->status, flow->attempt->fields });
  }
  this->effects.emplace_back(CompleteAnswer{ flow->request.handle });
  this->Log(*flow,
            "done",
            { { "target", instance },
              { "pause_ms", std::to_string(ToMillis(flow->longestPause)) },
              { "after_ms", std::to_string(ToMillis(this->now - flow->arrivedAt)) } },
            false);
  this->End(*flow);
}

void
ForwardReducer::Impl::FinishWhole(Flow& aFlow)
{
  const std::string& instance = aFlow.attempt->placement.target.instance;
  const int status = *aFlow.attempt->status;
  if (status / 100 == 5) {
    this->book.NoteFailure(instance, this->now);
  } else {
    this->book.NoteSuccess(instance);
  }
  WholeAnswer answer;
  answer.handle = aFlow.request.handle;
  answer.status = status;
  answer.fields = aFlow.attempt->fields;
  answer.body = std::move(aFlow.attempt->body);
  this->Count("forward_answers", std::to_string(status));
  this->Log(aFlow,
            "answered",
            { { "status", std::to_string(status) },
              { "target", instance },
              { "after_ms", std::to_string(ToMillis(this->now - aFlow.arrivedAt)) } },
            status / 100 != 2);
  this->effects.emplace_back(std::move(answer));
  this->End(aFlow);
}

// Ends the attempt of a request that may have run there, and goes on elsewhere where it may.
void
ForwardReducer::Impl::FailAttempt(Flow& aFlow, const std::string& aReason, bool aCancel)
{
  const std::string instance = aFlow.attempt->placement.target.instance;
  aFlow.lastFailure = aReason;
  this->book.NoteFailure(instance, this->now);
  this->Log(aFlow,
            "attempt-failed",
            { { "target", instance },
              { "reason", aReason },
              { "run", std::to_string(aFlow.runs) },
              { "age_ms", std::to_string(ToMillis(this->now - aFlow.attempt->startedAt)) } },
            true);
  const bool again = this->MayRetryRun(aFlow);
  this->CloseAttempt(aFlow, aCancel);
  aFlow.tried.insert(instance);
  if (again && this->TakeRetry(aFlow)) {
    this->Launch(aFlow);
  } else {
    this->GiveUp(aFlow, aReason);
  }
}

// The target has promised that the request did not and will not run, so any kind may go elsewhere.
void
ForwardReducer::Impl::NotExecuted(Flow& aFlow, const std::string& aReason)
{
  const std::string instance = aFlow.attempt->placement.target.instance;
  aFlow.lastFailure = aReason;
  this->Log(aFlow,
            "not-executed",
            { { "target", instance },
              { "reason", aReason },
              { "helpers", std::to_string(aFlow.attempt->placement.helpers.size()) },
              { "running", std::to_string(this->book.LoadOf(instance, this->now).running) },
              { "age_ms", std::to_string(ToMillis(this->now - aFlow.attempt->startedAt)) } },
            true);
  this->CloseAttempt(aFlow, true);
  aFlow.tried.insert(instance);
  --aFlow.runs;
  if (this->TakeRetry(aFlow)) {
    this->Launch(aFlow);
  } else {
    this->GiveUp(aFlow, aReason);
  }
}

bool
ForwardReducer::Impl::MayRetryRun(const Flow& aFlow) const
{
  return aFlow.route->Repeatable() && aFlow.runs < std::max(1U, aFlow.route->attempts);
}

// Takes one repeat out of the budget that all entries share.
bool
ForwardReducer::Impl::TakeRetry(Flow& aFlow)
{
  const bool taken = this->BudgetOf(aFlow.service).Take();
  this->Count("forward_retries", taken ? "made" : "no_budget");
  if (!taken) {
    this->Log(aFlow, "no-retry", { { "reason", "the retry budget is spent" } }, true);
  }
  return taken;
}

// Ends a request that cannot be served. Only one that never may have run is said not to have run.
void
ForwardReducer::Impl::GiveUp(Flow& aFlow, const std::string& aReason)
{
  if (aFlow.headSent) {
    this->Log(aFlow, "broken-off", { { "reason", aReason } }, true);
    this->Count("forward_broken_off", "");
    this->effects.emplace_back(BreakAnswer{ aFlow.request.handle });
    this->End(aFlow);
    return;
  }
  const bool late = this->now >= aFlow.deadline - kShortestRemaining;
  this->Refuse(aFlow, { aFlow.runs == 0 ? 503 : (late ? 504 : 502), aReason });
}

} // namespace sycamorepost
