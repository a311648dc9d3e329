// Offers what an entry knows of the sidecars that it talks to: incarnations, silence and suspicion.
#ifndef SYCAMOREPOST_INTERNAL_PEER_TABLE_H_
#define SYCAMOREPOST_INTERNAL_PEER_TABLE_H_

#include <cstdint>
#include <map>
#include <string>

#include "sycamorepost/Types.h"

namespace sycamorepost::internal {

// How long a peer that left probes unanswered is passed over.
inline constexpr Duration kSuspectPeerTime = std::chrono::seconds(2);

// One sidecar as an entry sees it.
struct Peer
{
  std::uint64_t incarnation = 0;
  std::uint32_t outstanding = 0; // Attempts of this entry that run there.
  Instant heardAt;         // The last message, or the start of the oldest outstanding attempt.
  Instant pingedAt;        // The last ping, or the start of the oldest outstanding attempt.
  bool pingWanted = false; // A message is known to be missing.
  Instant resetAt;         // The last time the link was dialled anew.
  Instant suspectUntil;
  bool unheard = false; // Its last probe had no answer.

  // Returns how long the peer has been silent while something was outstanding.
  Duration Silence(Instant aNow) const
  {
    return this->outstanding == 0 ? Duration::zero() : aNow - this->heardAt;
  }
};

// The table, by message address.
class PeerTable
{
public:
  // Notes a message; returns true when the peer runs under a new incarnation.
  bool Heard(const std::string& aAddress, std::uint64_t aIncarnation, Instant aNow)
  {
    Peer& peer = this->peers[aAddress];
    const bool replaced = peer.incarnation != 0 && peer.incarnation != aIncarnation;
    peer.incarnation = aIncarnation;
    peer.heardAt = aNow;
    peer.suspectUntil = Instant();
    peer.unheard = false;
    return replaced;
  }

  // Notes that an attempt was sent.
  void Begin(const std::string& aAddress, Instant aNow)
  {
    Peer& peer = this->peers[aAddress];
    if (peer.outstanding++ == 0) {
      peer.heardAt = aNow;
      peer.pingedAt = aNow;
    }
  }

  // Notes that an attempt ended or was given up.
  void End(const std::string& aAddress)
  {
    Peer& peer = this->peers[aAddress];
    if (peer.outstanding > 0) {
      --peer.outstanding;
    }
  }

  // Passes a silent peer over for a while.
  void Suspect(const std::string& aAddress, Instant aNow)
  {
    Peer& peer = this->peers[aAddress];
    peer.suspectUntil = aNow + kSuspectPeerTime;
    peer.unheard = true;
  }

  // Returns whether the link to a peer should be dialled anew now, and notes that it is.
  bool TakeReset(const std::string& aAddress, Instant aNow, Duration aMinInterval)
  {
    Peer& peer = this->peers[aAddress];
    if (aNow - peer.resetAt < aMinInterval) {
      return false;
    }
    peer.resetAt = aNow;
    return true;
  }

  // Returns whether a peer is passed over now.
  bool IsSuspect(const std::string& aAddress, Instant aNow) const
  {
    const auto peer = this->peers.find(aAddress);
    return peer != this->peers.end() && peer->second.suspectUntil > aNow;
  }

  // Returns one peer, adding it when it is new.
  Peer& Find(const std::string& aAddress) { return this->peers[aAddress]; }

  // Returns all peers.
  std::map<std::string, Peer>& All() { return this->peers; }
  const std::map<std::string, Peer>& All() const { return this->peers; }

private:
  std::map<std::string, Peer> peers;
};

} // namespace sycamorepost::internal

#endif // SYCAMOREPOST_INTERNAL_PEER_TABLE_H_
