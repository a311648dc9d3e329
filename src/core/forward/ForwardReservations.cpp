#include "ForwardImpl.h"

#include <algorithm>

namespace sycamorepost {

using internal::Flow;
using internal::Reservation;

namespace {

// A third of the lease: one renewal may be lost.
constexpr int kRenewalsPerLease = 3;

// The lease ends by itself after as many timeouts of an order.
constexpr std::uint32_t kMostReleases = 6;

} // namespace

// Reserves the memory that a placement wants on helpers. Returns false when it wants none. Nothing
// waits for memory: what is refused is placed anew, so two prompts cannot block each other.
bool
ForwardReducer::Impl::Reserve(Flow& aFlow, const Placement& aPlacement)
{
  this->ReleaseReservations(aFlow);
  for (const ReadingHelper& helper : aPlacement.helpers) {
    if (helper.reserveTokens == 0) {
      continue;
    }
    Reservation reservation;
    reservation.name = this->config.name + "-" + std::to_string(this->random());
    reservation.instance = helper.instance;
    reservation.address = helper.address;
    reservation.tokens = helper.reserveTokens;
    aFlow.reservations.push_back(std::move(reservation));
  }
  if (aFlow.reservations.empty()) {
    return false;
  }
  aFlow.reserving = aPlacement;
  for (Reservation& reservation : aFlow.reservations) {
    this->SendReserve(reservation, aFlow.request.handle);
  }
  aFlow.renewAt = this->now + this->config.reservationLease / kRenewalsPerLease;
  aFlow.stallAt = Instant::max();
  this->SetWake(aFlow);
  return true;
}

void
ForwardReducer::Impl::SendReserve(Reservation& aReservation, std::uint64_t aHandle)
{
  aReservation.order = ++this->orderSequence;
  this->orderOwner[aReservation.order] = aHandle;
  this->effects.emplace_back(SendOrder{ aReservation.order,
                                        aReservation.address,
                                        aReservation.instance,
                                        aReservation.name,
                                        aReservation.tokens,
                                        this->config.reservationLease });
}

void
ForwardReducer::Impl::OnEvent(const OrderEnd& aEnd)
{
  const auto release = this->releases.find(aEnd.order);
  if (release != this->releases.end()) {
    internal::Release again = std::move(release->second);
    this->releases.erase(release);
    // An unanswered release may come into force long after; until then the memory stays reserved.
    if (!aEnd.answered && ++again.tries <= kMostReleases) {
      this->SendRelease(std::move(again));
    }
    return;
  }
  const auto owner = this->orderOwner.find(aEnd.order);
  if (owner == this->orderOwner.end()) {
    return;
  }
  Flow& flow = this->flows.at(owner->second);
  this->orderOwner.erase(owner);
  for (Reservation& reservation : flow.reservations) {
    if (reservation.order == aEnd.order) {
      reservation.order = 0;
      reservation.granted = reservation.granted || aEnd.granted;
      if (!aEnd.granted) {
        flow.tried.insert(reservation.instance);
        this->Log(flow,
                  "not-reserved",
                  { { "target", reservation.instance },
                    { "tokens", std::to_string(reservation.tokens) },
                    { "answered", aEnd.answered ? "yes" : "no" } },
                  true);
      }
    }
  }
  if (flow.reserving) {
    this->OnReserved(flow);
  }
}

// Starts when all reservations are granted; places anew, without the engines that refused, when all
// orders have ended and one was refused.
void
ForwardReducer::Impl::OnReserved(Flow& aFlow)
{
  const auto& all = aFlow.reservations;
  const bool waiting =
    std::any_of(all.begin(), all.end(), [](const Reservation& aOne) { return aOne.order != 0; });
  if (waiting) {
    return;
  }
  const bool granted =
    std::all_of(all.begin(), all.end(), [](const Reservation& aOne) { return aOne.granted; });
  Placement placement = std::move(*aFlow.reserving);
  aFlow.reserving.reset();
  if (granted) {
    this->LaunchPlaced(aFlow, std::move(placement));
    return;
  }
  this->ReleaseReservations(aFlow);
  this->Launch(aFlow);
}

void
ForwardReducer::Impl::RenewReservations(Flow& aFlow)
{
  for (Reservation& reservation : aFlow.reservations) {
    if (reservation.granted && reservation.order == 0) {
      this->SendReserve(reservation, aFlow.request.handle);
    }
  }
  aFlow.renewAt = this->now + this->config.reservationLease / kRenewalsPerLease;
}

// Releases also what was never confirmed, as the order may have been carried out.
void
ForwardReducer::Impl::ReleaseReservations(Flow& aFlow)
{
  for (const Reservation& reservation : aFlow.reservations) {
    this->orderOwner.erase(reservation.order);
    this->SendRelease({ reservation });
  }
  aFlow.reservations.clear();
}

void
ForwardReducer::Impl::SendRelease(internal::Release aRelease)
{
  const Reservation& reservation = aRelease.reservation;
  this->effects.emplace_back(SendOrder{ ++this->orderSequence,
                                        reservation.address,
                                        reservation.instance,
                                        reservation.name,
                                        0,
                                        Duration::zero() });
  this->releases.emplace(this->orderSequence, std::move(aRelease));
}

} // namespace sycamorepost
