#include "sycamorepost/forward/RegistrationView.h"

namespace sycamorepost {

void
RegistrationView::RecordReadStarted(Instant /*aNow*/)
{
}

void
RegistrationView::RecordReadAnswered(Instant /*aNow*/)
{
  this->directory.RecordStoreReachable();
}

void
RegistrationView::RecordReadFailed(Instant aNow)
{
  this->directory.RecordStoreUnreachable(aNow);
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
RegistrationView::MakeReport(std::uint64_t aNextOffset, Instant /*aNow*/)
{
  this->history.Record(aNextOffset, this->directory.Targets());
  return this->history.MakeReport();
}

bool
RegistrationView::Accept(const RegistrationReport& aReport, Instant /*aAsOf*/, Instant /*aNow*/)
{
  this->directory.RecordStoreReachable();
  const bool changed = this->directory.Adopt(aReport.changed, aReport.removed);
  this->history.Record(aReport.nextOffset, this->directory.Targets());
  return changed;
}

bool
RegistrationView::Agrees(const RegistrationReport& aReport) const
{
  return DigestOf(this->directory.Targets()) == aReport.digest;
}

bool
RegistrationView::Expire(Instant aNow)
{
  return this->directory.Expire(aNow);
}

} // namespace sycamorepost
