#include "sycamorepost/forward/targets/EvacuatedDomains.h"

namespace sycamorepost {

bool
EvacuatedDomains::ApplyRead(const EvacuationRead& aRead)
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
  return this->Adopt(next);
}

bool
EvacuatedDomains::Adopt(const EvacuationView& aView)
{
  if (aView.position <= this->view.position) {
    return false;
  }
  const bool isChanged = aView.domains != this->view.domains;
  this->view = aView;
  return isChanged;
}

} // namespace sycamorepost
