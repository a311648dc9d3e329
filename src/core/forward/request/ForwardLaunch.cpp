#include "ForwardImpl.h"

#include <algorithm>
#include <array>
#include <limits>

namespace sycamorepost {

using internal::Attempt;
using internal::kLaunchReasons;
using internal::kLongPrefill;
using internal::kMinRemaining;
using internal::kMinStallTimeout;
using internal::LaunchDecision;
using internal::LaunchVerdict;
using internal::RequestState;

namespace {

// A connection to a live target is established within a round trip between regions, including one
// retransmission.
constexpr Duration kConnectTimeout = std::chrono::milliseconds(300);

// Time until a neighbour knows of a placement, beside the broadcast delay: one way, and a wake-up
// on either side.
constexpr Duration kReportTransit = std::chrono::milliseconds(15);

// Placements of one request in total, whatever their result.
constexpr std::uint32_t kMaxPlacements = 8;

// The first event is due within 1/kFirstEventDivisor of the remaining time, because the rest of the
// response has to follow: for a long prompt, prefill and decode take about equally long.
constexpr int kFirstEventDivisor = 2;

// The age of a report of another failure domain on average: half of the interval, two ways and a
// relay.
constexpr Duration kDomainReportAge = std::chrono::milliseconds(160);

// A plain call may take 1/kPlainCallDivisor of the remaining time before another target is tried.
constexpr int kPlainCallDivisor = 3;

// A long prompt is not prefilled again because its attempt stalls, unless the gap exceeds
// this many objectives: a connection to a lost VM fails by itself.
constexpr int kLongPrefillStallObjectives = 2;

// The fraction of its objective that a caller may be predicted to wait; the rest covers the
// prediction error, which is about a quarter.
constexpr double kMaxWaitShare = 0.75;

// The predicted wait, in objectives, that is accepted for a request that was refused before. It is
// late already, so only the patience of callers limits it, which is at least four objectives and
// two seconds.
constexpr int kRetryWaitObjectives = 8;

// The cost of a long prompt to all callers up to which it is accepted, as a share of its weight.
// Each gap is predicted as if nothing else arrived; about as much follows before the prompt has
// ended.
constexpr double kMaxCostShare = 0.5;
constexpr double kMaxCostShareOfReturning = 1;

// How long a refused request is remembered: callers retry within a third of their timeout.
constexpr Duration kRefusalTtl = std::chrono::seconds(5);

} // namespace

// Chooses a target and starts an attempt, or ends the request when there is no target.
void
ForwardReducer::Impl::Launch(RequestState& aState)
{
  this->RefreshPace();
  LaunchDecision decision = this->DecideLaunch(aState, this->random, this->now);
  if (decision.verdict != LaunchVerdict::Quarantined) {
    ++aState.placements;
  }
  if (decision.verdict != LaunchVerdict::Start) {
    this->FailLaunch(aState, decision);
  } else if (!this->ReserveMemory(aState, decision.placement)) {
    this->StartPlaced(aState, std::move(decision.placement));
  }
}

// Decides on the next attempt of a request. Changes nothing but the state of aRandom.
LaunchDecision
ForwardReducer::Impl::DecideLaunch(const RequestState& aState,
                                   std::mt19937_64& aRandom,
                                   Instant aNow,
                                   PlacementRanking* aRanking) const
{
  if (auto refusal = this->FindQuarantine(aState, aNow)) {
    return *refusal;
  }
  LaunchDecision decision;
  decision.retryAfterHint = aState.retryAfterHint;
  decision.isRetryAfterRequested = aState.isRetryAfterRequested;
  const ServiceTraits* service = aState.table->FindService(aState.service);
  const Duration remaining = aState.deadline - aNow;
  if (!service || remaining < kMinRemaining || aState.placements >= kMaxPlacements) {
    decision.verdict = service ? LaunchVerdict::NoTime : LaunchVerdict::UnknownService;
    return decision;
  }
  const PlacementRequest request = this->MakePlacementRequest(aState, *service, aNow);
  decision.placement =
    ChoosePlacement(request, this->targets, this->loadTracker, aRandom, aNow, aRanking);
  const PlacementStatus status = decision.placement.status;
  if (status != PlacementStatus::Placed) {
    static constexpr std::array<LaunchVerdict, 7> kVerdicts{
      LaunchVerdict::Start,    LaunchVerdict::NoTarget, LaunchVerdict::Full,
      LaunchVerdict::TooLarge, LaunchVerdict::Paused,   LaunchVerdict::ColdSharesSpent,
      LaunchVerdict::TooCostly
    };
    decision.verdict = kVerdicts.at(static_cast<std::size_t>(status));
    decision.retryAfterHint = FromMs(decision.placement.waitMs);
    decision.isRetryAfterRequested = status == PlacementStatus::Paused;
    return decision;
  }
  const Duration firstEvent = FromMs(decision.placement.firstEventMs);
  decision.maxFirstEventWait = std::min(remaining, this->MaxFirstEventWait(aState, aNow));
  if (firstEvent > decision.maxFirstEventWait) {
    decision.verdict = LaunchVerdict::TooLate;
    decision.retryAfterHint = firstEvent;
  }
  return decision;
}

// Ends a request for which no attempt is started.
void
ForwardReducer::Impl::FailLaunch(RequestState& aState, const LaunchDecision& aDecision)
{
  aState.retryAfterHint = aDecision.retryAfterHint;
  aState.isRetryAfterRequested = aDecision.isRetryAfterRequested;
  if (aDecision.verdict == LaunchVerdict::Quarantined) {
    this->Count("forward_quarantine", "refused");
  } else if (aDecision.verdict == LaunchVerdict::ColdSharesSpent) {
    this->Count("forward_cold_shares", "spent");
  } else if (aDecision.verdict == LaunchVerdict::TooCostly ||
             aDecision.verdict == LaunchVerdict::TooLate) {
    this->recentRefusals[aState.request.fingerprint] = this->now + kRefusalTtl;
  }
  this->FailRequest(aState, kLaunchReasons.at(static_cast<std::size_t>(aDecision.verdict)));
}

PlacementRequest
ForwardReducer::Impl::MakePlacementRequest(const RequestState& aState,
                                           const ServiceTraits& aService,
                                           Instant aNow) const
{
  PlacementRequest request;
  request.service = &aService;
  request.promptTokens = aState.request.promptTokens;
  request.outputTokens = aState.request.outputTokens;
  request.objective =
    std::min(aState.route->objective, (aState.deadline - aNow) / kFirstEventDivisor);
  request.gapObjective = aState.route->gapObjective;
  request.strictGap = aState.table->MinGapObjective();
  request.relaxedGap = aState.table->RelaxedGapObjective();
  request.triedInstances = aState.triedInstances;
  request.notices = &this->notices;
  request.evacuated = &this->evacuated;
  request.coldShares = &this->coldShares;
  request.pace = this->config.learnPace ? &this->pace : nullptr;
  request.domain = this->config.domain;
  request.maxCostShare = this->MaxCostShare(aState, aNow);
  request.hearsNeighbours = !this->peers.empty() || this->group.Neighbours().empty();
  const Duration reportDelay = this->BroadcastDelay() + kReportTransit;
  request.unreportedPrompts = this->promptRate.PerSecond(aNow) *
                              static_cast<double>(this->peers.size()) *
                              std::chrono::duration<double>(reportDelay).count();
  request.unreportedPromptsElsewhere = this->UnreportedElsewhere(request.unreportedPrompts, aNow);
  return request;
}

// Returns the expected number of prompts that entries of any failure domain have placed and not yet
// reported. aInDomain is that of this entry's domain.
double
ForwardReducer::Impl::UnreportedElsewhere(double aInDomain, Instant aNow) const
{
  std::size_t remoteEntries = 0;
  for (const auto& [name, domain] : this->domains) {
    remoteEntries += domain.entries;
  }
  return aInDomain + this->promptRate.PerSecond(aNow) * static_cast<double>(remoteEntries) *
                       std::chrono::duration<double>(kDomainReportAge).count();
}

// Returns the longest accepted wait for the first event. In a persistent queue every caller would
// be late, so a few are refused for the others to be on time. A caller that retries has waited
// already and may wait longer.
Duration
ForwardReducer::Impl::MaxFirstEventWait(const RequestState& aState, Instant aNow) const
{
  const Duration objective = aState.route->objective;
  if (aState.route->kind != RouteKind::Stream || aState.HasStarted()) {
    return Duration::max();
  }
  return this->IsReturning(aState, aNow)
           ? objective * kRetryWaitObjectives
           : std::chrono::duration_cast<Duration>(objective * kMaxWaitShare);
}

// Returns the greatest cost of a long prompt to all callers, as a share of its weight. While more
// long prompts arrive than the engines can prefill, those beyond it are refused, so that short
// streams keep their gaps. What has run once is finished, and a caller that returns is less likely
// to be refused again.
double
ForwardReducer::Impl::MaxCostShare(const RequestState& aState, Instant aNow) const
{
  if (aState.HasStarted()) {
    return std::numeric_limits<double>::infinity();
  }
  return this->IsReturning(aState, aNow) ? kMaxCostShareOfReturning : kMaxCostShare;
}

// Returns whether this entry has refused the request a short time ago.
bool
ForwardReducer::Impl::IsReturning(const RequestState& aState, Instant aNow) const
{
  const auto refusal = this->recentRefusals.find(aState.request.fingerprint);
  return refusal != this->recentRefusals.end() && refusal->second > aNow;
}

void
ForwardReducer::Impl::StartPlaced(RequestState& aState, Placement aPlacement)
{
  this->BeginTrial(aState);
  Attempt attempt;
  attempt.id = ++this->attemptSequence;
  attempt.startedAt = this->now;
  StartAttempt start;
  start.attempt = attempt.id;
  start.handle = aState.request.handle;
  start.address = aPlacement.target.address;
  start.instance = aPlacement.target.instance;
  start.account = aState.account;
  start.remaining = aState.deadline - this->now;
  start.connectTimeout = kConnectTimeout;
  start.resumeAfter = aState.lastEventId;
  if (aState.request.promptTokens > 0) {
    start.urgency = this->UrgencyOf(aState);
  }
  for (const PrefillHelper& helper : aPlacement.helpers) {
    HelperAssignment name{ helper.address, "" };
    for (const internal::HelperReservation& reservation : aState.reservations) {
      name.reservation =
        reservation.instance == helper.instance ? reservation.name : name.reservation;
    }
    start.helpers.push_back(std::move(name));
  }
  const TargetLoad load = this->loadTracker.LoadOf(start.instance, this->now);
  attempt.runningBefore = load.running;
  std::string helpers;
  for (const PrefillHelper& helper : aPlacement.helpers) {
    helpers += (helpers.empty() ? "" : ",") + helper.instance;
  }
  for (const PlacedWork& work : aPlacement.placedWork) {
    this->loadTracker.Place(work, this->now);
  }
  this->Log(aState,
            "sent",
            { { "target", start.instance },
              { "address", start.address },
              { "helpers", helpers },
              { "running", std::to_string(load.running) },
              { "read_ms", std::to_string(static_cast<std::int64_t>(load.PrefillMs(this->now))) },
              { "expected_ms", std::to_string(static_cast<std::int64_t>(aPlacement.firstEventMs)) },
              { "remaining_ms", std::to_string(ToMillis(start.remaining)) },
              { "run", std::to_string(aState.runs + 1) } },
            false);
  if (aState.request.promptTokens > 0) {
    this->promptRate.Record(this->now);
  }
  // A long prompt takes engines for so long that others must not choose them in the meantime.
  const bool isLong =
    std::any_of(aPlacement.placedWork.begin(),
                aPlacement.placedWork.end(),
                [](const PlacedWork& aWork) { return FromMs(aWork.prefillMs) > kLongPrefill; });
  if (isLong) {
    this->ReportDomainLoad();
  }
  if (this->coldShares.RecordSent(start.instance, this->now)) {
    this->Count("forward_cold_shares", "used");
  }
  attempt.placement = std::move(aPlacement);
  this->attemptOwner[attempt.id] = aState.request.handle;
  aState.attempt = std::move(attempt);
  ++aState.runs;
  ++aState.reachedAttempts;
  this->effects.emplace_back(std::move(start));
  this->ArmStallTimer(aState, this->FirstEventTimeout(aState));
}

// Requests of more urgent routes go first; among these, those with a shorter objective for the
// first event.
std::uint32_t
ForwardReducer::Impl::UrgencyOf(const RequestState& aState) const
{
  static constexpr Duration kShortObjective = std::chrono::milliseconds(500);
  static constexpr Duration kMediumObjective = std::chrono::seconds(2);
  static constexpr std::uint32_t kMaxUrgency = 9;
  static constexpr std::uint32_t kLevelsPerPriority = 3;
  const Duration objective = aState.route->objective;
  std::uint32_t level = 0;
  if (objective > kShortObjective) {
    level = objective > kMediumObjective ? 2 : 1;
  }
  return std::min(kMaxUrgency, aState.priority * kLevelsPerPriority + level);
}

Duration
ForwardReducer::Impl::FirstEventTimeout(const RequestState& aState) const
{
  const Duration objective = aState.route->objective;
  if (aState.route->kind != RouteKind::Stream) {
    return std::min((aState.deadline - this->now) / kPlainCallDivisor, objective * 2);
  }
  const auto expected = FromMs(aState.attempt->placement.firstEventMs);
  return expected + (expected > kLongPrefill
                       ? std::max(kMinStallTimeout, objective * kLongPrefillStallObjectives)
                       : kMinStallTimeout);
}

// An attempt stalls only where the request may be retried.
void
ForwardReducer::Impl::ArmStallTimer(RequestState& aState, Duration aTimeout)
{
  aState.stallAt = this->MayRetry(aState) ? this->now + aTimeout : Instant::max();
  this->SetWake(aState);
}

} // namespace sycamorepost
