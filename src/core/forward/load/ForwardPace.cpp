#include <cstdio>

#include "ForwardImpl.h"
#include "sycamorepost/forward/load/EngineEstimate.h"

namespace sycamorepost {

using internal::Attempt;
using internal::RequestState;

namespace {

// Returns a number with two decimals, for the log.
std::string
FormatNumber(double aValue)
{
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "%.2f", aValue);
  return text.data();
}

} // namespace

// Takes a sample from what a read of a stream has brought. With helpers the first event tells of
// several engines; events of one read have arrived at unknown times. Called before the first event
// ends the prefill in the load.
void
ForwardReducer::Impl::SampleEvents(Attempt& aAttempt, std::uint32_t aNewEvents)
{
  if (aNewEvents == 0 || !this->config.learnPace) {
    return;
  }
  const Instant lastEventAt = std::exchange(aAttempt.lastEventAt, this->now);
  const RegisteredTarget& target = aAttempt.placement.target;
  if (aNewEvents > 1) {
    return;
  }
  if (aAttempt.eventCount == 1) {
    if (aAttempt.placement.helpers.empty()) {
      this->SampleFirstEvent(aAttempt);
    }
    return;
  }
  const ServiceTraits* service = this->table ? this->table->FindService(target.service) : nullptr;
  if (!service || !service->engine || !this->pace.WantsGap(target.instance, this->now)) {
    return;
  }
  const TargetLoad load = this->loadTracker.LoadOf(target.instance, this->now);
  this->pace.RecordGap(
    target.service,
    target.instance,
    ToMs(this->now - lastEventAt),
    EstimatePassMs(*service->engine, load.running, static_cast<double>(load.kvTokens)),
    load.pendingPrefillMs,
    this->now);
}

// What other entries placed at the same time, and have reported since, may have been prefilled
// first.
void
ForwardReducer::Impl::SampleFirstEvent(const Attempt& aAttempt)
{
  const std::string& instance = aAttempt.placement.target.instance;
  const double predictedMs = aAttempt.placement.firstEventMs / aAttempt.placement.paceFactor;
  const std::uint32_t running = this->loadTracker.LoadOf(instance, this->now).running;
  const std::uint32_t known = aAttempt.runningBefore + 1;
  const double joined = running > known ? running - known : 0;
  const double unknownMs = joined * aAttempt.placement.placedWork.front().prefillMs;
  const double observedMs = ToMs(this->now - aAttempt.startedAt);
  this->pace.RecordFirstEvent(aAttempt.placement.target.service,
                              instance,
                              observedMs,
                              std::clamp(observedMs, predictedMs, predictedMs + unknownMs),
                              this->now);
}

// Takes a sample from a plain call that has succeeded.
void
ForwardReducer::Impl::SampleCall(const RequestState& aState)
{
  if (aState.request.promptTokens > 0 || !this->config.learnPace) {
    return;
  }
  const Attempt& attempt = *aState.attempt;
  this->pace.RecordCall(attempt.placement.target.instance,
                        attempt.placement.target.service + '\n' + aState.route->name,
                        attempt.runningBefore,
                        ToMs(this->now - attempt.startedAt),
                        this->now);
}

void
ForwardReducer::Impl::RefreshPace()
{
  if (!this->config.learnPace) {
    return;
  }
  this->pace.Refresh(this->targets, this->now);
  for (const PaceChange& change : this->pace.TakeChanges(this->now)) {
    this->effects.emplace_back(LogDecision{ change.isSlow ? "target-slow" : "target-not-slow",
                                            "",
                                            { { "target", change.instance },
                                              { "factor", FormatNumber(change.factor) },
                                              { "samples", FormatNumber(change.samples) },
                                              { "age_ms", std::to_string(ToMillis(change.age)) } },
                                            true });
  }
}

// Returns the changes of this entry's load that are due to be broadcast, with its views of the
// targets. A view that has changed notably is added, so that it needs no message of its own.
std::vector<TargetLoadReport>
ForwardReducer::Impl::TakeLoadChanges()
{
  if (this->config.learnPace) {
    for (const std::string& instance : this->pace.NotableTargets()) {
      this->loadTracker.ReportAgain(instance);
    }
  }
  std::vector<TargetLoadReport> reports = this->loadTracker.TakeChanges(this->now);
  if (this->config.learnPace) {
    this->pace.AddOwnViews(reports, this->now);
  }
  return reports;
}

// Returns all of this entry's load with its views of the targets.
std::vector<TargetLoadReport>
ForwardReducer::Impl::LoadSnapshot()
{
  std::vector<TargetLoadReport> reports = this->loadTracker.Snapshot(this->now);
  if (this->config.learnPace) {
    this->pace.AddOwnViews(reports, this->now);
  }
  return reports;
}

} // namespace sycamorepost
