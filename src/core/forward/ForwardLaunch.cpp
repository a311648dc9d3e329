#include "ForwardImpl.h"

#include <algorithm>
#include <array>

namespace sycamorepost {

using internal::Attempt;
using internal::Flow;
using internal::kShortestGapBound;
using internal::kShortestRemaining;
using internal::kTellDelay;

namespace {

// A connection to a live target is open within a round trip between regions, with one
// retransmission.
constexpr Duration kConnectTimeout = std::chrono::milliseconds(300);

// Until the other entries know of a placement: the delay of telling it, one way between failure
// domains, and a wake-up on either side.
constexpr Duration kUntold = kTellDelay + std::chrono::milliseconds(15);

// Placements of one request in all, whatever became of them.
constexpr std::uint32_t kMaxPlacements = 8;

// The first event has to come within this part of the time that is left, as the rest of the answer
// has to follow: reading and writing a long prompt take about as long as each other.
constexpr int kFirstEventPart = 2;

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
  const PlacementAsk ask = this->AskOf(aFlow, *service);
  Placement placement = Place(ask, this->targets, this->book, this->random, this->now);
  if (placement.end != PlacementEnd::Placed) {
    static constexpr std::array<const char*, 4> kReasons{ "",
                                                          "no target is known",
                                                          "all engines' memory is taken",
                                                          "the prompt is larger than all engines" };
    aFlow.busyFor = FromMs(placement.waitMs);
    this->GiveUp(aFlow, kReasons.at(static_cast<std::size_t>(placement.end)));
    return;
  }
  const Duration first = FromMs(placement.firstMs);
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

PlacementAsk
ForwardReducer::Impl::AskOf(const Flow& aFlow, const ServiceTraits& aService) const
{
  PlacementAsk ask;
  ask.service = &aService;
  ask.promptTokens = aFlow.request.promptTokens;
  ask.answerTokens = aFlow.request.answerTokens;
  ask.objective = std::min(aFlow.route->objective, (aFlow.deadline - this->now) / kFirstEventPart);
  ask.gapObjective = aFlow.route->gapObjective;
  ask.tightGap = aFlow.table->ShortestGap();
  ask.looseGap = aFlow.table->NextGap();
  ask.tried = aFlow.tried;
  ask.domain = this->config.domain;
  ask.unseen = this->promptRate.At(this->now) * static_cast<double>(this->peers.size()) *
               std::chrono::duration<double>(kUntold).count();
  return ask;
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
  const TargetLoad load = this->book.LoadOf(start.instance, this->now);
  std::string helpers;
  for (const ReadingHelper& helper : aPlacement.helpers) {
    helpers += (helpers.empty() ? "" : ",") + helper.instance;
  }
  for (const PlacedWork& work : aPlacement.works) {
    this->book.Place(work, this->now);
  }
  this->Log(aFlow,
            "sent",
            { { "target", start.instance },
              { "address", start.address },
              { "helpers", helpers },
              { "running", std::to_string(load.running) },
              { "read_ms", std::to_string(static_cast<std::int64_t>(load.ReadMs(this->now))) },
              { "expected_ms", std::to_string(static_cast<std::int64_t>(aPlacement.firstMs)) },
              { "remaining_ms", std::to_string(ToMillis(start.remaining)) },
              { "run", std::to_string(aFlow.runs + 1) } },
            false);
  if (aFlow.request.promptTokens > 0) {
    this->promptRate.Add(this->now);
  }
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
  const auto expected = FromMs(aFlow.attempt->placement.firstMs);
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

} // namespace sycamorepost
