// The events by which an entry follows the configuration: reads of the store, and requests to peers
// when the reads do not deliver a version that a peer has.
#include "ForwardImpl.h"

namespace sycamorepost {

void
ForwardReducer::Impl::OnEvent(const RoutesChanged& aChanged)
{
  // Versions only increase within one process.
  if (this->table && aChanged.table->version <= this->table->version) {
    return;
  }
  this->table = aChanged.table;
  this->coldShares.SetServices(this->table->services, this->now);
  this->fetcher.RecordApplied(this->table->version, this->now);
  this->broadcastAt = this->now; // Neighbours learn of the version from the load report.
  this->BeginHeldRequests();
}

void
ForwardReducer::Impl::OnEvent(const ConfigurationReadEnd& aEnd)
{
  this->fetcher.RecordStoreRead(aEnd.reached, this->now);
}

void
ForwardReducer::Impl::OnEvent(const PeerConfigurationReceived& aReceived)
{
  this->fetcher.RecordResponse(aReceived.peer, this->now);
}

void
ForwardReducer::Impl::RequestDueConfiguration()
{
  if (const auto peer = this->fetcher.TakeDueRequest(this->now)) {
    const std::uint64_t version = this->table ? this->table->version : 0;
    this->Count("configuration_requests", "");
    this->effects.emplace_back(RequestConfiguration{ *peer, version });
  }
}

} // namespace sycamorepost
