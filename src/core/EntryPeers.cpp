#include "EntryImpl.h"

#include <algorithm>

namespace sycamorepost {

using internal::Call;
using internal::Peer;

void
EntryReducer::Impl::OnEvent(const MessageReceived& aReceived)
{
  const Envelope& envelope = aReceived.envelope;
  const bool replaced =
    this->peers.RecordMessage(envelope.from, envelope.fromIncarnation, this->now);
  if (replaced) {
    this->ReplaceMembersAt(envelope.from);
    for (const std::uint64_t handle : this->CallsAt(envelope.from)) {
      this->HandleLostAttempt(this->calls.at(handle), "the sidecar was restarted", false);
    }
  }
  std::visit([&](const auto& aMessage) { this->OnMessage(envelope, aMessage); }, envelope.message);
}

void
EntryReducer::Impl::OnMessage(const Envelope& /*aFrom*/, const Pong& aPong)
{
  for (const std::uint64_t hold : aPong.lostReservations) {
    Call* call = nullptr;
    if (internal::GroupMember* member = this->FindReservation(hold, &call)) {
      this->ReplaceMember(*call, *member);
    }
  }
  for (const std::uint64_t attempt : aPong.lostAttempts) {
    if (Call* call = this->FindAttempt(attempt)) {
      this->HandleLostAttempt(*call, "the sidecar no longer knows the attempt", false);
    }
  }
}

void
EntryReducer::Impl::OnMessage(const Envelope& /*aFrom*/, const DrainingNotice& aNotice)
{
  this->drainingUntil[aNotice.target] = this->now + kDrainingNoticeTtl;
}

void
EntryReducer::Impl::OnMessage(const Envelope& /*aFrom*/, const CrashNotice& aNotice)
{
  this->crashTracker.RecordCrashes(aNotice.fingerprint,
                                   aNotice.crashes,
                                   this->now + std::chrono::milliseconds(aNotice.remainingMs));
}

void
EntryReducer::Impl::OnMessage(const Envelope& /*aFrom*/, const CrashClearedNotice& aNotice)
{
  this->crashTracker.Clear(aNotice.fingerprint);
}

void
EntryReducer::Impl::OnMessage(const Envelope& /*aFrom*/, const LoadNotice& aNotice)
{
  this->engineStats[aNotice.target].queuedMs = aNotice.queuedMs;
}

std::vector<std::uint64_t>
EntryReducer::Impl::CallsAt(const std::string& aAddress) const
{
  std::vector<std::uint64_t> handles;
  for (const auto& [attempt, handle] : this->attemptOwner) {
    if (this->calls.at(handle).attempt->address == aAddress) {
      handles.push_back(handle);
    }
  }
  return handles;
}

void
EntryReducer::Impl::CheckPeers()
{
  std::vector<std::string> busy;
  for (const auto& [address, peer] : this->peers.All()) {
    if (peer.outstanding > 0) {
      busy.push_back(address);
    }
  }
  for (const std::string& address : busy) {
    this->CheckPeer(address, this->peers.FindOrAdd(address));
  }
  this->nextPeerCheckAt = busy.empty() ? Instant() : this->now + this->config.peerCheckInterval;
}

void
EntryReducer::Impl::CheckPeer(const std::string& aAddress, Peer& aPeer)
{
  const Duration silence = aPeer.Silence(this->now);
  if (silence >= this->config.peerLostTimeout) {
    this->peers.MarkSuspect(aAddress, this->now);
    this->Count("peers_lost", "");
    this->ReplaceMembersAt(aAddress);
    for (const std::uint64_t handle : this->CallsAt(aAddress)) {
      this->HandleLostAttempt(
        this->calls.at(handle), "the sidecar at " + aAddress + " is silent", true);
    }
    return;
  }
  if (silence >= this->config.peerReconnectTimeout) {
    this->ResetSilentConnection(aAddress);
  }
  const Duration unpinged = this->now - aPeer.lastPingAt;
  const bool quiet =
    silence >= this->config.peerPingTimeout && unpinged >= this->config.peerPingTimeout;
  const bool stalled =
    unpinged >= this->config.peerReconnectTimeout && this->HasStalledAttempt(aAddress);
  if (quiet || stalled || aPeer.pingWanted || unpinged >= this->config.renewInterval) {
    aPeer.lastPingAt = this->now;
    aPeer.pingWanted = false;
    this->SendPing(aAddress, aPeer);
  }
}

// Returns whether an attempt at a peer has been silent for peerReconnectTimeout, even if the
// peer itself has sent other messages.
bool
EntryReducer::Impl::HasStalledAttempt(const std::string& aAddress) const
{
  const std::vector<std::uint64_t> handles = this->CallsAt(aAddress);
  return std::any_of(handles.begin(), handles.end(), [this](std::uint64_t aHandle) {
    return this->now - this->calls.at(aHandle).attempt->lastReceivedAt >=
           this->config.peerReconnectTimeout;
  });
}

void
EntryReducer::Impl::SendPing(const std::string& aAddress, const Peer& aPeer)
{
  Ping ping;
  ping.lastReceivedAgoMs = ToMillis(aPeer.Silence(this->now));
  for (const std::uint64_t handle : this->CallsAt(aAddress)) {
    const Call& call = this->calls.at(handle);
    ping.awaited.push_back({ call.attempt->id, call.attempt->ticket, call.nextOffset });
  }
  for (const auto& [hold, handle] : this->reservationOwner) {
    Call* call = nullptr;
    const internal::GroupMember* member = this->FindReservation(hold, &call);
    if (member && member->granted && member->segment.address == aAddress) {
      ping.reservations.push_back(hold);
    }
  }
  this->Send(aAddress, std::move(ping));
}

} // namespace sycamorepost
