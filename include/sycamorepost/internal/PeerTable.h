// Declares the table of an entry's peer sidecars: their incarnations, when each was last heard
// from, and which of them are suspected to be down.
#ifndef SYCAMOREPOST_INTERNAL_PEER_TABLE_H_
#define SYCAMOREPOST_INTERNAL_PEER_TABLE_H_

#include <cstdint>
#include <map>
#include <string>

#include "sycamorepost/Types.h"

namespace sycamorepost::internal {

// How long a peer that did not reply to a probe is avoided.
inline constexpr Duration kPeerSuspectDuration = std::chrono::seconds(2);

// The entry's state for one sidecar.
struct Peer
{
  std::uint64_t incarnation = 0;
  std::uint32_t outstanding = 0; // The number of this entry's attempts there.
  Instant lastReceivedAt;       // The last message, or the start of the oldest outstanding attempt.
  Instant lastPingAt;           // The last ping, or the start of the oldest outstanding attempt.
  bool pingWanted = false;      // A message is missing: ping at once to have it resent.
  Instant lastResetAt;          // When the connection was last reset.
  Instant suspectUntil;         // The peer is avoided until then.
  bool probeUnanswered = false; // The last probe had no reply.

  // Returns the time since the last message; zero while no attempt is outstanding.
  Duration Silence(Instant aNow) const
  {
    return this->outstanding == 0 ? Duration::zero() : aNow - this->lastReceivedAt;
  }
};

// The peers by message address.
class PeerTable
{
public:
  // Records that a message was received. Returns whether the peer's incarnation has changed.
  bool RecordMessage(const std::string& aAddress, std::uint64_t aIncarnation, Instant aNow)
  {
    Peer& peer = this->peers[aAddress];
    const bool replaced = peer.incarnation != 0 && peer.incarnation != aIncarnation;
    peer.incarnation = aIncarnation;
    peer.lastReceivedAt = aNow;
    peer.suspectUntil = Instant();
    peer.probeUnanswered = false;
    return replaced;
  }

  // Records that an attempt was sent.
  void BeginAttempt(const std::string& aAddress, Instant aNow)
  {
    Peer& peer = this->peers[aAddress];
    if (peer.outstanding++ == 0) {
      peer.lastReceivedAt = aNow;
      peer.lastPingAt = aNow;
    }
  }

  // Records that an attempt ended or was abandoned.
  void EndAttempt(const std::string& aAddress)
  {
    Peer& peer = this->peers[aAddress];
    if (peer.outstanding > 0) {
      --peer.outstanding;
    }
  }

  // Records that a peer did not reply to a probe, and suspects it for kPeerSuspectDuration.
  void MarkSuspect(const std::string& aAddress, Instant aNow)
  {
    Peer& peer = this->peers[aAddress];
    peer.suspectUntil = aNow + kPeerSuspectDuration;
    peer.probeUnanswered = true;
  }

  // Returns whether the connection to a peer may be reset now, which is at most once per
  // aMinInterval. If so, the reset is recorded.
  bool TryBeginReset(const std::string& aAddress, Instant aNow, Duration aMinInterval)
  {
    Peer& peer = this->peers[aAddress];
    if (aNow - peer.lastResetAt < aMinInterval) {
      return false;
    }
    peer.lastResetAt = aNow;
    return true;
  }

  // Returns whether a peer is suspected to be down.
  bool IsSuspect(const std::string& aAddress, Instant aNow) const
  {
    const auto peer = this->peers.find(aAddress);
    return peer != this->peers.end() && peer->second.suspectUntil > aNow;
  }

  // Returns a peer, added first if it is unknown.
  Peer& FindOrAdd(const std::string& aAddress) { return this->peers[aAddress]; }

  // Returns all peers.
  std::map<std::string, Peer>& All() { return this->peers; }
  const std::map<std::string, Peer>& All() const { return this->peers; }

private:
  std::map<std::string, Peer> peers;
};

} // namespace sycamorepost::internal

#endif // SYCAMOREPOST_INTERNAL_PEER_TABLE_H_
