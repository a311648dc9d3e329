// Decides when an entry requests the configuration from a peer, because the peer has a newer
// version and the entry's own reads of the store do not deliver it.
#ifndef SYCAMOREPOST_FORWARD_SHARING_CONFIGURATION_FETCHER_H_
#define SYCAMOREPOST_FORWARD_SHARING_CONFIGURATION_FETCHER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>

#include "sycamorepost/Types.h"

namespace sycamorepost {

// At most one request is outstanding: a configuration may be large, and every copy of it costs
// bytes between failure domains and processor time.
class ConfigurationFetcher
{
public:
  // aChangeBound: the time within which a new version must be in force.
  ConfigurationFetcher(Duration aChangeBound, std::uint64_t aSeed)
    : changeBound(aChangeBound)
    , random(aSeed)
  {
  }

  // Records that a version is in force, whatever its source.
  void RecordApplied(std::uint64_t aVersion, Instant aNow);

  // Records the version that a peer has.
  void RecordPeerVersion(const std::string& aPeer, std::uint64_t aVersion, Instant aNow);

  // Records the response to a request. A version that it brings into force is recorded before.
  void RecordResponse(const std::string& aPeer, Instant aNow);

  // Records whether a read of the configuration reached the store.
  void RecordStoreRead(bool aReached, Instant aNow);

  // Sets whether this entry reads the store all the time. One that does not, requests a version
  // that a peer has without waiting for the store to deliver it.
  void SetReadsStore(bool aReadsStore) { this->readsStore = aReadsStore; }

  // Returns the peer to send a request to now, if one is due, and counts it as outstanding.
  std::optional<std::string> TakeDueRequest(Instant aNow);

  // Returns when the next request is due; Instant::max() when none is.
  Instant NextDue() const { return this->dueAt; }

private:
  void Schedule(Instant aNow);
  std::uint64_t NewestPeerVersion() const;

  Duration changeBound;
  std::mt19937_64 random;
  std::uint64_t version = 0;
  std::map<std::string, std::uint64_t> peerVersions; // By peer; only versions that are newer.
  std::string requestedPeer;                         // Empty when no request is outstanding.
  bool storeDelivers = true; // The store is expected to deliver a version that peers have.
  bool readsStore = true;
  Instant dueAt = Instant::max();
};

} // namespace sycamorepost

#endif // SYCAMOREPOST_FORWARD_SHARING_CONFIGURATION_FETCHER_H_
