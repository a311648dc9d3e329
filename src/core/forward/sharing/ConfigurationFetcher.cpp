#include "sycamorepost/forward/sharing/ConfigurationFetcher.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace sycamorepost {

namespace {

// Shares of the time within which a new version must be in force. The store delivers a version to
// all entries at about the same time, so a peer's report alone does not show that a read hangs.
constexpr int kStoreGraceDivisor = 4;
// A large configuration may be on its way for that long, on the link of a peer that sends several.
constexpr int kResponseTimeoutDivisor = 2;
// Entries that cannot reach the store spread their requests over this time, and so over the peers
// that have reported the version by then.
constexpr int kSpreadDivisor = 8;

} // namespace

void
ConfigurationFetcher::RecordApplied(std::uint64_t aVersion, Instant aNow)
{
  this->version = aVersion;
  std::erase_if(this->peerVersions,
                [this](const auto& aPeer) { return aPeer.second <= this->version; });
  this->dueAt = Instant::max();
  this->requestedPeer.clear();
  this->Schedule(aNow);
}

void
ConfigurationFetcher::RecordPeerVersion(const std::string& aPeer,
                                        std::uint64_t aVersion,
                                        Instant aNow)
{
  if (aVersion > this->version) {
    this->peerVersions[aPeer] = aVersion;
    this->Schedule(aNow);
  }
}

void
ConfigurationFetcher::RecordResponse(const std::string& aPeer, Instant aNow)
{
  if (aPeer != this->requestedPeer) {
    return;
  }
  // The response brought nothing new, so another peer is requested.
  this->peerVersions.erase(aPeer);
  this->requestedPeer.clear();
  this->dueAt = Instant::max();
  this->Schedule(aNow);
}

void
ConfigurationFetcher::RecordStoreRead(bool aReached, Instant aNow)
{
  const bool changed = this->storeDelivers != aReached;
  this->storeDelivers = aReached;
  // Each read that reaches the store shows progress, and gives it more time to deliver a version.
  if (this->requestedPeer.empty() && (aReached || changed)) {
    this->dueAt = Instant::max();
    this->Schedule(aNow);
  }
}

std::optional<std::string>
ConfigurationFetcher::TakeDueRequest(Instant aNow)
{
  if (aNow < this->dueAt) {
    return std::nullopt;
  }
  // The time that the store had to deliver the version has passed.
  this->storeDelivers = false;
  if (!this->requestedPeer.empty()) {
    // The peer did not respond; it is asked again only after its next report.
    this->peerVersions.erase(std::exchange(this->requestedPeer, std::string()));
  }
  this->dueAt = Instant::max();
  const std::uint64_t newest = this->NewestPeerVersion();
  std::vector<std::string> candidates;
  for (const auto& [peer, peerVersion] : this->peerVersions) {
    if (peerVersion == newest) {
      candidates.push_back(peer);
    }
  }
  if (candidates.empty()) {
    return std::nullopt;
  }
  std::uniform_int_distribution<std::size_t> pick(0, candidates.size() - 1);
  this->requestedPeer = candidates[pick(this->random)];
  this->dueAt = aNow + this->changeBound / kResponseTimeoutDivisor;
  return this->requestedPeer;
}

// Schedules a request if a peer has a newer version and no request is scheduled or outstanding.
void
ConfigurationFetcher::Schedule(Instant aNow)
{
  if (this->dueAt != Instant::max() || this->peerVersions.empty()) {
    return;
  }
  Duration delay = this->changeBound / kStoreGraceDivisor;
  if (!this->storeDelivers || !this->readsStore) {
    const Duration spread = this->changeBound / kSpreadDivisor;
    delay = Duration(std::uniform_int_distribution<std::int64_t>(0, spread.count())(this->random));
  }
  this->dueAt = aNow + delay;
}

std::uint64_t
ConfigurationFetcher::NewestPeerVersion() const
{
  std::uint64_t newest = 0;
  for (const auto& [peer, peerVersion] : this->peerVersions) {
    newest = std::max(newest, peerVersion);
  }
  return newest;
}

} // namespace sycamorepost
