#include "ForwardImpl.h"

#include <algorithm>
#include <array>

namespace sycamorepost {

using internal::Attempt;
using internal::Flow;

namespace {

// A connection to a live target is open within a round trip between regions, with one
// retransmission.
constexpr Duration kConnectTimeout = std::chrono::milliseconds(300);

// Targets that may be dialled in vain for one request.
constexpr std::uint32_t kMaxMisses = 4;

// Placements of one request in all, whatever became of them.
constexpr std::uint32_t kMaxPlacements = 8;

// The shortest silence of a stream that is taken for a failure: a pass with much reading takes up
// to a second, and callers wait for two.
constexpr Duration kShortestGapBound = std::chrono::milliseconds(900);
constexpr int kGapObjectives = 4; // Pauses on time that fit into a silence that is a failure.

// A plain call may take this share of the time that is left before another target is tried.
constexpr int kFirstAnswerShare = 3;

// A prompt that takes longer to read than this is not read again because of silence alone, unless
// it lasts for a multiple of the objective: a connection to a VM that is gone breaks by itself.
constexpr Duration kLongReading = std::chrono::milliseconds(150);
constexpr int kSilentObjectives = 2;

// The share of its objective that a caller may be told to wait: the rest is for the error of the
// forecast, which is about a quarter.
constexpr double kFreshShare = 0.75;

// How many objectives a caller may wait that was sent away before. It is late already, so only
// callers' own patience bounds it, which is at least four objectives and two seconds.
constexpr int kReturnedObjectives = 8;

// How long a refused request is known: callers come back within a third of their time.
constexpr Duration kRefusalMemory = std::chrono::seconds(5);

// With less time left than this no target could answer.
constexpr Duration kShortestRemaining = std::chrono::milliseconds(5);

std::int64_t
AgeMs(Instant aFrom, Instant aNow)
{
  return ToMillis(aNow - aFrom);
}

} // namespace

// Chooses a target and starts, or ends the request when there is none.
void
ForwardReducer::Impl::Launch(Flow& aFlow)
{
  const ServiceTraits* service = aFlow.table->FindService(aFlow.service);
  const Duration remaining = aFlow.deadline - this->now;
  if (!service || remaining < kShortestRemaining || ++aFlow.placements > kMaxPlacements) {
    this->GiveUp(aFlow, service ? "no time is left for another target" : "the service is unknown");
    return;
  }
  PlacementAsk ask;
  ask.service = service;
  ask.promptTokens = aFlow.request.promptTokens;
  ask.answerTokens = aFlow.request.answerTokens;
  ask.objective = aFlow.route->objective;
  ask.gapObjective = aFlow.route->gapObjective;
  ask.tightGap = aFlow.table->ShortestGap();
  ask.looseGap = aFlow.table->NextGap();
  ask.tried = aFlow.tried;
  ask.domain = this->config.domain;
  Placement placement = Place(ask, this->targets, this->book, this->random, this->now);
  if (placement.end != PlacementEnd::Placed) {
    static constexpr std::array<const char*, 4> kReasons{ "",
                                                          "no target is known",
                                                          "all engines' memory is taken",
                                                          "the prompt is larger than all engines" };
    aFlow.busyFor = std::chrono::milliseconds(static_cast<std::int64_t>(placement.waitMs));
    this->GiveUp(aFlow, kReasons.at(static_cast<std::size_t>(placement.end)));
    return;
  }
  const Duration first =
    std::chrono::microseconds(static_cast<std::int64_t>(placement.firstMs * 1e3));
  if (first > std::min(remaining, this->LongestWait(aFlow))) {
    aFlow.busyFor = first;
    this->refused[aFlow.request.fingerprint] = this->now + kRefusalMemory;
    this->GiveUp(aFlow, "the first event would come too late");
    return;
  }
  if (!this->Reserve(aFlow, placement)) {
    this->LaunchPlaced(aFlow, std::move(placement));
  }
}

// Returns how long a request may wait for its first event. In a standing queue every caller would
// be late: a few are sent away so that the others are on time. Who comes back has waited already
// and may wait longer.
Duration
ForwardReducer::Impl::LongestWait(const Flow& aFlow) const
{
  const Duration objective = aFlow.route->objective;
  const bool started = aFlow.arrivals > 0 || aFlow.headSent;
  if (aFlow.route->kind != RouteKind::Stream || started) {
    return Duration::max();
  }
  const auto refusal = this->refused.find(aFlow.request.fingerprint);
  const bool returned = refusal != this->refused.end() && refusal->second > this->now;
  return returned ? objective * kReturnedObjectives
                  : std::chrono::duration_cast<Duration>(objective * kFreshShare);
}

void
ForwardReducer::Impl::LaunchPlaced(Flow& aFlow, Placement aPlacement)
{
  Attempt attempt;
  attempt.id = ++this->attemptSequence;
  attempt.startedAt = this->now;
  StartAttempt start;
  start.attempt = attempt.id;
  start.handle = aFlow.request.handle;
  start.address = aPlacement.target.address;
  start.instance = aPlacement.target.instance;
  start.account = aFlow.account;
  start.remaining = aFlow.deadline - this->now;
  start.connectTimeout = kConnectTimeout;
  start.resumeAfter = aFlow.lastEvent;
  if (aFlow.request.promptTokens > 0) {
    start.urgency = this->UrgencyOf(aFlow);
  }
  for (const ReadingHelper& helper : aPlacement.helpers) {
    HelperName name{ helper.address, "" };
    for (const internal::Reservation& reservation : aFlow.reservations) {
      name.reservation =
        reservation.instance == helper.instance ? reservation.name : name.reservation;
    }
    start.helpers.push_back(std::move(name));
  }
  for (const PlacedWork& work : aPlacement.works) {
    this->book.Place(work, this->now);
  }
  this->Log(aFlow,
            "sent",
            { { "target", start.instance },
              { "address", start.address },
              { "helpers", std::to_string(start.helpers.size()) },
              { "expected_ms", std::to_string(static_cast<std::int64_t>(aPlacement.firstMs)) },
              { "remaining_ms", std::to_string(ToMillis(start.remaining)) },
              { "run", std::to_string(aFlow.runs + 1) } },
            false);
  attempt.placement = std::move(aPlacement);
  this->attemptOwner[attempt.id] = aFlow.request.handle;
  aFlow.attempt = std::move(attempt);
  ++aFlow.runs;
  ++aFlow.arrivals;
  this->effects.emplace_back(std::move(start));
  this->ArmStall(aFlow, this->FirstEventBound(aFlow));
}

// Requests of more urgent routes go first; among these, those with less time for their first event.
std::uint32_t
ForwardReducer::Impl::UrgencyOf(const Flow& aFlow) const
{
  static constexpr Duration kShort = std::chrono::milliseconds(500);
  static constexpr Duration kMiddle = std::chrono::seconds(2);
  static constexpr std::uint32_t kLast = 9;
  static constexpr std::uint32_t kLevels = 3;
  const Duration objective = aFlow.route->objective;
  std::uint32_t level = 0;
  if (objective > kShort) {
    level = objective > kMiddle ? 2 : 1;
  }
  return std::min(kLast, aFlow.priority * kLevels + level);
}

Duration
ForwardReducer::Impl::FirstEventBound(const Flow& aFlow) const
{
  const Duration objective = aFlow.route->objective;
  if (aFlow.route->kind != RouteKind::Stream) {
    return std::min((aFlow.deadline - this->now) / kFirstAnswerShare, objective * 2);
  }
  const auto expected =
    std::chrono::microseconds(static_cast<std::int64_t>(aFlow.attempt->placement.firstMs * 1e3));
  return expected + (expected > kLongReading
                       ? std::max(kShortestGapBound, objective * kSilentObjectives)
                       : kShortestGapBound);
}

// Takes silence for a failure only where another target may go on.
void
ForwardReducer::Impl::ArmStall(Flow& aFlow, Duration aBound)
{
  aFlow.stallAt = this->MayRetryRun(aFlow) ? this->now + aBound : Instant::max();
  this->SetWake(aFlow);
}

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
                { "after_ms", std::to_string(AgeMs(aFlow.arrivedAt, this->now)) } },
              false);
  }
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
  this->Log(
    *flow,
    "done",
    { { "target", instance }, { "after_ms", std::to_string(AgeMs(flow->arrivedAt, this->now)) } },
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
              { "after_ms", std::to_string(AgeMs(aFlow.arrivedAt, this->now)) } },
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
              { "age_ms", std::to_string(AgeMs(aFlow.attempt->startedAt, this->now)) } },
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
              { "age_ms", std::to_string(AgeMs(aFlow.attempt->startedAt, this->now)) } },
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
