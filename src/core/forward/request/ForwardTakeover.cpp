#include "ForwardImpl.h"

#include <algorithm>
#include <utility>

namespace sycamorepost {

using internal::Attempt;
using internal::HelperReservation;
using internal::OtherAttempt;
using internal::RequestState;

// Starts another attempt when the current one stalls. The stalled one goes on: its
// target may be at work, and the other target may refuse the request.
void
ForwardReducer::Impl::OnStall(RequestState& aState)
{
  const RegisteredTarget target = aState.attempt->placement.target;
  const std::string& instance = target.instance;
  aState.attempt->isStalled = true;
  aState.stallAt = Instant::max();
  this->loadTracker.RecordFailure(instance, this->now);
  // Another target can take over only when one is left and the budget allows it.
  const bool hasAlternative =
    std::any_of(this->targets.begin(), this->targets.end(), [&](const auto& aTarget) {
      return aTarget.second.service == aState.service && aTarget.first != instance &&
             this->IsUsable(aTarget.first) && !aState.triedInstances.contains(aTarget.first);
    });
  const bool takesOver = hasAlternative && this->MayRetry(aState) && this->TrySpendRetry(aState);
  this->Log(aState,
            "silent",
            { { "target", instance },
              { "takeover", takesOver ? "yes" : "no" },
              { "events", std::to_string(aState.attempt->eventCount) },
              { "age_ms", std::to_string(ToMillis(this->now - aState.attempt->startedAt)) } },
            true);
  // Memory must not stay reserved for a request whose target is gone.
  if (!aState.reservations.empty()) {
    this->effects.emplace_back(CheckTarget{ instance, target.address });
  }
  if (!takesOver) {
    this->SetWake(aState);
    return;
  }
  this->Count("forward_takeovers", "begun");
  aState.lastFailure = "the target was silent";
  aState.isTrial = false;
  aState.triedInstances.insert(instance);
  this->SetAside(aState);
  this->Launch(aState);
}

// Keeps the current attempt beside the one that follows.
void
ForwardReducer::Impl::SetAside(RequestState& aState)
{
  aState.otherAttempts.push_back(
    { std::move(*aState.attempt), std::exchange(aState.reservations, {}) });
  aState.attempt.reset();
}

// Makes the attempt that an event is about the current one. A placement that waits for its
// reservations is given up for it.
void
ForwardReducer::Impl::MakeCurrent(RequestState& aState, std::uint64_t aAttempt)
{
  const auto found =
    std::find_if(aState.otherAttempts.begin(),
                 aState.otherAttempts.end(),
                 [&](const OtherAttempt& aOther) { return aOther.attempt.id == aAttempt; });
  if (found == aState.otherAttempts.end()) {
    return;
  }
  OtherAttempt other = std::move(*found);
  aState.otherAttempts.erase(found);
  const bool wasPlacing = !aState.attempt.has_value();
  if (wasPlacing) {
    aState.pendingPlacement.reset();
    aState.hasRetry = true;
    this->ReleaseReservations(aState.reservations);
  } else {
    this->SetAside(aState);
  }
  aState.attempt = std::move(other.attempt);
  aState.reservations = std::move(other.reservations);
  if (wasPlacing) {
    this->ArmStallTimer(aState, this->FirstEventTimeout(aState));
  }
}

// Goes back to another attempt after the current one has ended without success. Returns false when
// there is none, or only stalled ones while another target may be tried.
bool
ForwardReducer::Impl::ReturnToOther(RequestState& aState, bool aMayBeStalled)
{
  auto& others = aState.otherAttempts;
  auto found = std::find_if(others.begin(), others.end(), [](const OtherAttempt& aOther) {
    return !aOther.attempt.isStalled;
  });
  if (found == others.end() && aMayBeStalled && !others.empty()) {
    found = std::prev(others.end());
  }
  if (found == others.end()) {
    return false;
  }
  this->LogTakeover(aState, found->attempt, "returned");
  this->ReleaseReservations(aState.reservations);
  aState.attempt = std::move(found->attempt);
  aState.reservations = std::move(found->reservations);
  others.erase(found);
  this->ArmStallTimer(aState, this->FirstEventTimeout(aState));
  return true;
}

// The current attempt has brought something for the caller, so the others are not needed.
void
ForwardReducer::Impl::CancelOthers(RequestState& aState)
{
  for (OtherAttempt& other : std::exchange(aState.otherAttempts, {})) {
    this->LogTakeover(aState, other.attempt, other.attempt.isStalled ? "made" : "not-needed");
    this->EndWork(other.attempt, true);
    this->ReleaseReservations(other.reservations);
  }
}

// A target that stalls and cannot be reached is down. Ends the attempts there that have memory
// reserved.
void
ForwardReducer::Impl::FailStalledAttempts(const std::string& aInstance)
{
  const auto isGone = [&](const Attempt& aAttempt) {
    return aAttempt.isStalled && aAttempt.placement.target.instance == aInstance;
  };
  std::vector<std::uint64_t> gone;
  for (const auto& [handle, state] : this->requests) {
    if (state.attempt && isGone(*state.attempt) && !state.reservations.empty()) {
      gone.push_back(state.attempt->id);
    }
    for (const OtherAttempt& other : state.otherAttempts) {
      if (isGone(other.attempt) && !other.reservations.empty()) {
        gone.push_back(other.attempt.id);
      }
    }
  }
  for (const std::uint64_t attempt : gone) {
    if (RequestState* state = this->FindAttempt(attempt)) {
      this->FailAttempt(*state, "the target was silent and cannot be reached", true);
    }
  }
}

// Logs what became of a takeover; aOther is the attempt that is returned to or cancelled.
void
ForwardReducer::Impl::LogTakeover(const RequestState& aState,
                                  const Attempt& aOther,
                                  const char* aResult)
{
  this->Count("forward_takeovers", aResult);
  this->Log(aState,
            "takeover",
            { { "result", aResult }, { "other_target", aOther.placement.target.instance } },
            true);
}

} // namespace sycamorepost
