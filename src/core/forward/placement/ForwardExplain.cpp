// The explanation of a placement. It runs the decisions of a request without carrying them out.
#include <cstdio>

#include "ForwardImpl.h"

namespace sycamorepost {

using internal::kLaunchReasons;
using internal::LaunchDecision;
using internal::LaunchVerdict;
using internal::RequestState;

namespace {

// The targets that lost which an explanation lists.
constexpr std::size_t kMaxAlternatives = 5;

std::string
FormatNumber(double aNumber, int aDigits = 1)
{
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "%.*f", aDigits, aNumber);
  return text.data();
}

std::string
FormatLoss(const LosingTarget& aLoser, PlacementStatus aStatus)
{
  if (aLoser.isKeptOut) {
    return "it is cold, and gets no part of a long or divided prompt";
  }
  if (!aLoser.comparedWith) {
    return aStatus == PlacementStatus::TooCostly ? "the prompt costs other callers too much"
                                                 : "its free memory does not suffice";
  }
  if (aLoser.extraCostMs <= 0) {
    return "close to " + aLoser.comparedWith->instance + ", which was chosen at random";
  }
  return "costs " + FormatNumber(aLoser.extraCostMs) + " ms more than " +
         aLoser.comparedWith->instance + ", mostly because of " + aLoser.mainCost;
}

} // namespace

PlacementExplanation
ForwardReducer::Impl::Explain(const ForwardRequest& aRequest, Instant aNow) const
{
  PlacementExplanation explanation;
  explanation.configurationVersion = this->table ? this->table->version : 0;
  if (this->IsStarting(aNow)) {
    explanation.heldFor = this->StartDeadline(aNow) - aNow;
    explanation.heldUntil = "the entry has read the configuration and the registrations";
    return explanation;
  }
  // Never among the requests of this entry; it only carries what the decisions read.
  RequestState state;
  state.request = aRequest;
  state.arrivedAt = aNow;
  state.lastEventId = aRequest.resumeAfter;
  const auto refusal = this->Admit(state, aNow);
  if (state.route) {
    explanation.route = state.route->name;
    explanation.services = state.route->services;
    explanation.account = state.account;
  }
  if (refusal) {
    explanation.refusal = ExplainRefusal(state, refusal->status, refusal->reason);
    return explanation;
  }
  std::mt19937_64 randomCopy = this->random;
  state.service = PickService(*state.route, randomCopy);
  explanation.service = state.service;
  if (const auto wait = this->MaxReportWait(state, aNow)) {
    explanation.heldFor = std::min(*wait, state.deadline - aNow);
    explanation.heldUntil = "the first load reports of most neighbours are expected";
    return explanation;
  }
  PlacementRanking ranking;
  const LaunchDecision decision = this->DecideLaunch(state, randomCopy, aNow, &ranking);
  this->DescribeDecision(decision, ranking, aNow, explanation);
  if (decision.verdict != LaunchVerdict::Start) {
    state.retryAfterHint = decision.retryAfterHint;
    state.isRetryAfterRequested = decision.isRetryAfterRequested;
    explanation.refusal =
      ExplainRefusal(state,
                     FailureStatus(state, aNow),
                     kLaunchReasons.at(static_cast<std::size_t>(decision.verdict)));
  }
  return explanation;
}

ExplainedRefusal
ForwardReducer::Impl::ExplainRefusal(const RequestState& aState,
                                     int aStatus,
                                     const std::string& aReason)
{
  ExplainedRefusal refusal{ aStatus, aReason, std::nullopt, std::nullopt };
  if (const auto range = RetryAfterOf(aState, aStatus)) {
    refusal.minRetryAfter = range->min;
    refusal.maxRetryAfter = range->max;
  }
  return refusal;
}

void
ForwardReducer::Impl::DescribeDecision(const LaunchDecision& aDecision,
                                       const PlacementRanking& aRanking,
                                       Instant aNow,
                                       PlacementExplanation& aExplanation) const
{
  const Placement& placement = aDecision.placement;
  const bool isPlaced = placement.status == PlacementStatus::Placed;
  const bool isPrompt = isPlaced && placement.firstEventMs > 0;
  if (isPlaced) {
    aExplanation.target = this->DescribeTarget(placement.target, aNow);
    if (isPrompt) {
      aExplanation.firstEventMs = placement.firstEventMs;
      aExplanation.maxFirstEventMs = ToMs(aDecision.maxFirstEventWait);
    }
  }
  for (std::size_t i = 0; i < placement.helpers.size() && isPlaced; ++i) {
    const PrefillHelper& helper = placement.helpers[i];
    // The first element of placedWork is the target that decodes.
    aExplanation.helpers.push_back({ this->DescribeTarget(this->targets.at(helper.instance), aNow),
                                     placement.placedWork.at(i + 1).prefillMs,
                                     helper.reserveTokens });
  }
  aExplanation.equalChoices = aRanking.equalChoices;
  aExplanation.candidates = aRanking.candidates;
  for (const LosingTarget& loser : aRanking.losers) {
    if (aExplanation.alternatives.size() == kMaxAlternatives) {
      break;
    }
    ExplainedTarget target = this->DescribeTarget(*loser.target, aNow);
    target.reason = FormatLoss(loser, placement.status);
    if (loser.firstEventMs > 0) {
      target.firstEventMs = loser.firstEventMs;
    }
    aExplanation.alternatives.push_back(std::move(target));
  }
  for (const auto& [excluded, exclusion] : aRanking.excluded) {
    ExplainedTarget target = this->DescribeTarget(*excluded, aNow);
    target.reason = kExclusionNames.at(static_cast<std::size_t>(exclusion));
    aExplanation.excluded.push_back(std::move(target));
  }
}

// Returns a target with the facts about it that decisions take into account.
ExplainedTarget
ForwardReducer::Impl::DescribeTarget(const RegisteredTarget& aTarget, Instant aNow) const
{
  const TargetLoad load = this->loadTracker.LoadOf(aTarget.instance, aNow);
  ExplainedTarget target{ aTarget.instance, aTarget.address, aTarget.domain, std::nullopt, "", {} };
  target.facts = { { "running", std::to_string(load.running) },
                   { "read_ms", FormatNumber(load.PrefillMs(aNow)) },
                   { "memory_tokens", std::to_string(load.kvTokens) } };
  const double failureRate = this->loadTracker.FailureRate(aTarget.instance);
  if (failureRate > 0) {
    target.facts.emplace_back("failure_share", FormatNumber(failureRate, 2));
  }
  if (this->loadTracker.IsAvoided(aTarget.instance, aNow)) {
    target.facts.emplace_back("suspected", "yes");
  }
  if (this->notices.IsLeaving(aTarget)) {
    target.facts.emplace_back("leaving", "yes");
  }
  const Instant pausedUntil = this->notices.PausedUntil(aTarget);
  if (pausedUntil > aNow) {
    target.facts.emplace_back("paused_ms", std::to_string(ToMillis(pausedUntil - aNow)));
  }
  if (this->coldShares.IsCold(aTarget.instance, aNow)) {
    const Duration cold = this->coldShares.ColdUntil(aTarget.instance) - aNow;
    const Duration nextShare = this->coldShares.NextSendAt(aTarget.instance, aNow) - aNow;
    target.facts.emplace_back("cold_ms", std::to_string(ToMillis(cold)));
    target.facts.emplace_back("next_share_in_ms", std::to_string(ToMillis(nextShare)));
  }
  return target;
}

PlacementExplanation
ForwardReducer::Explain(const ForwardRequest& aRequest, Instant aNow) const
{
  return this->impl->Explain(aRequest, aNow);
}

} // namespace sycamorepost
