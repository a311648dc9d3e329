#include "ForwardImpl.h"

#include <algorithm>

namespace sycamorepost {

using internal::HelperReservation;
using internal::RequestState;

namespace {

// Renewals per lease: one of them may be lost.
constexpr int kRenewalsPerLease = 3;

// Attempts to release; the lease has expired by itself after as many timeouts of a command.
constexpr std::uint32_t kMaxReleaseAttempts = 6;

// Returns the reservations of all attempts of a request.
std::vector<HelperReservation*>
AllReservations(RequestState& aState)
{
  std::vector<HelperReservation*> all;
  const auto append = [&](std::vector<HelperReservation>& aReservations) {
    for (HelperReservation& reservation : aReservations) {
      all.push_back(&reservation);
    }
  };
  append(aState.reservations);
  for (internal::OtherAttempt& other : aState.otherAttempts) {
    append(other.reservations);
  }
  return all;
}

} // namespace

// Reserves the memory that a placement needs on helpers. Returns false when it needs none. A
// refused reservation leads to another placement instead of waiting, so two prompts cannot block
// each other.
bool
ForwardReducer::Impl::ReserveMemory(RequestState& aState, const Placement& aPlacement)
{
  this->ReleaseReservations(aState.reservations);
  for (const PrefillHelper& helper : aPlacement.helpers) {
    if (helper.reserveTokens == 0) {
      continue;
    }
    HelperReservation reservation;
    reservation.name = this->config.name + "-" + std::to_string(this->random());
    reservation.instance = helper.instance;
    reservation.address = helper.address;
    reservation.tokens = helper.reserveTokens;
    aState.reservations.push_back(std::move(reservation));
  }
  if (aState.reservations.empty()) {
    return false;
  }
  aState.pendingPlacement = aPlacement;
  for (HelperReservation& reservation : aState.reservations) {
    this->SendReserve(reservation, aState.request.handle);
  }
  aState.renewAt = this->now + this->config.reservationLease / kRenewalsPerLease;
  aState.stallAt = Instant::max();
  this->SetWake(aState);
  return true;
}

void
ForwardReducer::Impl::SendReserve(HelperReservation& aReservation, std::uint64_t aHandle)
{
  aReservation.command = ++this->commandSequence;
  this->commandOwner[aReservation.command] = aHandle;
  this->effects.emplace_back(SendReservationCommand{ aReservation.command,
                                                     aReservation.address,
                                                     aReservation.instance,
                                                     aReservation.name,
                                                     aReservation.tokens,
                                                     this->config.reservationLease });
}

void
ForwardReducer::Impl::OnEvent(const ReservationCommandEnd& aEnd)
{
  const auto target = this->targets.find(aEnd.instance);
  if (target != this->targets.end()) {
    this->RecordAnnouncement(target->second, aEnd.announcement);
  }
  const auto release = this->releases.find(aEnd.command);
  if (release != this->releases.end()) {
    internal::PendingRelease retry = std::move(release->second);
    this->releases.erase(release);
    // A release without a reply may take effect much later; until then the memory stays reserved.
    if (!aEnd.replied && ++retry.attempts <= kMaxReleaseAttempts) {
      this->SendRelease(std::move(retry));
    }
    return;
  }
  const auto owner = this->commandOwner.find(aEnd.command);
  if (owner == this->commandOwner.end()) {
    return;
  }
  RequestState& state = this->requests.at(owner->second);
  this->commandOwner.erase(owner);
  for (HelperReservation* reservation : AllReservations(state)) {
    if (reservation->command == aEnd.command) {
      reservation->command = 0;
      reservation->granted = reservation->granted || aEnd.granted;
      if (!aEnd.granted) {
        state.triedInstances.insert(reservation->instance);
        this->Log(state,
                  "not-reserved",
                  { { "target", reservation->instance },
                    { "tokens", std::to_string(reservation->tokens) },
                    { "answered", aEnd.replied ? "yes" : "no" } },
                  true);
      }
    }
  }
  if (state.pendingPlacement) {
    this->TryStartReserved(state);
  }
}

// Starts the attempt when all reservations are granted. When all commands have ended and one was
// refused, chooses another placement without the engines that refused.
void
ForwardReducer::Impl::TryStartReserved(RequestState& aState)
{
  const auto& all = aState.reservations;
  const bool waiting = std::any_of(
    all.begin(), all.end(), [](const HelperReservation& aOne) { return aOne.command != 0; });
  if (waiting) {
    return;
  }
  const bool granted =
    std::all_of(all.begin(), all.end(), [](const HelperReservation& aOne) { return aOne.granted; });
  Placement placement = std::move(*aState.pendingPlacement);
  aState.pendingPlacement.reset();
  const std::string& decoder = placement.target.instance;
  const bool isUsable = std::all_of(
    placement.placedWork.begin(), placement.placedWork.end(), [&](const PlacedWork& aWork) {
      const bool mayHelp = !this->coldShares.IsCold(aWork.instance, this->now);
      return this->IsUsable(aWork.instance) && (mayHelp || aWork.instance == decoder);
    });
  if (granted && isUsable) {
    if (const auto refusal = this->FindQuarantine(aState, this->now)) {
      this->FailLaunch(aState, *refusal);
    } else {
      this->StartPlaced(aState, std::move(placement));
    }
    return;
  }
  this->ReleaseReservations(aState.reservations);
  this->Launch(aState);
}

void
ForwardReducer::Impl::RenewReservations(RequestState& aState)
{
  for (HelperReservation* reservation : AllReservations(aState)) {
    if (reservation->granted && reservation->command == 0) {
      this->SendReserve(*reservation, aState.request.handle);
    }
  }
  aState.renewAt = this->now + this->config.reservationLease / kRenewalsPerLease;
}

// Includes reservations that were never confirmed, as the command may have been executed.
void
ForwardReducer::Impl::ReleaseReservations(std::vector<HelperReservation>& aReservations)
{
  for (const HelperReservation& reservation : aReservations) {
    this->commandOwner.erase(reservation.command);
    this->SendRelease({ reservation });
  }
  aReservations.clear();
}

void
ForwardReducer::Impl::SendRelease(internal::PendingRelease aRelease)
{
  const HelperReservation& reservation = aRelease.reservation;
  this->effects.emplace_back(SendReservationCommand{ ++this->commandSequence,
                                                     reservation.address,
                                                     reservation.instance,
                                                     reservation.name,
                                                     0,
                                                     Duration::zero() });
  this->releases.emplace(this->commandSequence, std::move(aRelease));
}

} // namespace sycamorepost
