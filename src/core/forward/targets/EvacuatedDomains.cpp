#include "sycamorepost/forward/targets/EvacuatedDomains.h"

namespace sycamorepost {

namespace {

// What a restore of the store has lost is written again. Targets do so within two seconds, and the
// operators are expected to be as fast; the rest is for the record to arrive here.
constexpr Duration kRewriteGrace = std::chrono::milliseconds(2500);

} // namespace

bool
EvacuatedDomains::ApplyRead(const EvacuationRead& aRead, Instant aNow)
{
  // The records of a read follow each other, so that a read that begins before the known position
  // and ends after it may be replayed as a whole.
  EvacuationView next{ aRead.position,
                       aRead.isListing ? std::set<std::string>() : this->view.domains };
  for (const EvacuationChange& change : aRead.changes) {
    if (change.isEvacuated) {
      next.domains.insert(change.domain);
    } else {
      next.domains.erase(change.domain);
    }
  }
  const bool isNewer = next.position > this->view.position;
  bool isChanged = this->Adopt(next, aNow);
  if (isNewer && !aRead.isListing) {
    // The operators have written this again, or have decided otherwise.
    for (const EvacuationChange& change : aRead.changes) {
      isChanged = this->keptUntil.erase(change.domain) > 0 || isChanged;
    }
  }
  return isChanged;
}

bool
EvacuatedDomains::Adopt(const EvacuationView& aView, Instant aNow)
{
  if (aView.position <= this->view.position) {
    return false;
  }
  const std::set<std::string> before = this->Domains();
  if (aView.position.era > this->view.position.era) {
    for (const std::string& domain : this->view.domains) {
      this->keptUntil[domain] = aNow + kRewriteGrace;
    }
  }
  this->view = aView;
  for (const std::string& domain : this->view.domains) {
    this->keptUntil.erase(domain);
  }
  return this->Domains() != before;
}

bool
EvacuatedDomains::Expire(Instant aNow)
{
  return std::erase_if(this->keptUntil,
                       [aNow](const auto& aKept) { return aKept.second <= aNow; }) > 0;
}

std::set<std::string>
EvacuatedDomains::Domains() const
{
  std::set<std::string> domains = this->view.domains;
  for (const auto& [domain, until] : this->keptUntil) {
    domains.insert(domain);
  }
  return domains;
}

} // namespace sycamorepost
