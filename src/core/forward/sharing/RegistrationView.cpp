#include "sycamorepost/forward/sharing/RegistrationView.h"

#include <algorithm>

namespace sycamorepost {

namespace {

// One connection may fail because a packet was lost.
constexpr std::uint32_t kFailedConnectionsOfAnOutage = 2;

// For a read of the store that is made before a kept target is dropped.
constexpr Duration kFinalReadTime = std::chrono::milliseconds(150);

} // namespace

void
RegistrationView::RecordReadStarted()
{
  this->directory.RecordReadStarted();
}

void
RegistrationView::RecordReadEnd(ReadOutcome aOutcome, Instant aNow)
{
  if (aOutcome == ReadOutcome::Served) {
    this->failedConnections = 0;
    this->directory.RecordStoreReachable();
    return;
  }
  const bool isConnected = aOutcome != ReadOutcome::NotConnected;
  this->failedConnections = isConnected ? 0 : this->failedConnections + 1;
  if (isConnected || this->failedConnections >= kFailedConnectionsOfAnOutage) {
    this->directory.RecordStoreUnreachable(aNow);
  }
}

bool
RegistrationView::ApplyRead(const RegistrationRead& aRead, Instant aNow)
{
  bool changed = false;
  std::vector<RegisteredTarget> listing;
  for (const RegistrationChange& change : aRead.changes) {
    if (aRead.isListing && change.target) {
      listing.push_back(*change.target);
    } else {
      changed = this->directory.Apply(change, aNow) || changed;
    }
  }
  if (aRead.isListing) {
    changed = this->directory.ApplyListing(listing, aNow) || changed;
  }
  return changed;
}

RegistrationReport
RegistrationView::MakeReport(TopicPosition aNext, Instant aNow)
{
  this->history.Record(aNext, this->directory.Registered());
  RegistrationReport report = this->history.MakeReport();
  if (const auto since = this->directory.ServedSince()) {
    report.servedForMs = std::min(ToMillis(aNow - *since), kMaxReportAgeMs);
  }
  return report;
}

bool
RegistrationView::Accept(const RegistrationReport& aReport, Instant aNow)
{
  const auto servedSince = ReportAsOf(aReport.servedForMs, aNow);
  const bool changed = this->directory.Adopt(aReport.changed, aReport.removed, servedSince, aNow);
  this->history.Record(aReport.next, this->directory.Registered());
  if (servedSince && this->directory.NextExpiry() && this->Agrees(aReport)) {
    this->directory.RecordNeighbourServed(*servedSince);
  }
  return changed;
}

bool
RegistrationView::Agrees(const RegistrationReport& aReport) const
{
  return DigestOf(this->directory.Registered()) == aReport.digest;
}

std::optional<Instant>
RegistrationView::NextDecisionAt() const
{
  const auto expiry = this->directory.NextExpiry();
  return expiry ? std::optional(*expiry - kFinalReadTime) : std::nullopt;
}

bool
RegistrationView::Expire(Instant aNow)
{
  return this->directory.Expire(aNow);
}

} // namespace sycamorepost
