// The failure domains that the operators have evacuated.
#ifndef SYCAMOREPOST_FORWARD_TARGETS_EVACUATED_DOMAINS_H_
#define SYCAMOREPOST_FORWARD_TARGETS_EVACUATED_DOMAINS_H_

#include <map>
#include <set>
#include <string>
#include <vector>

#include "sycamorepost/Types.h"
#include "sycamorepost/forward/sharing/TopicPosition.h"

namespace sycamorepost {

// Which failure domains are evacuated, as the store's topic says up to a position.
struct EvacuationView
{
  TopicPosition position; // After the last record of the topic that is considered.
  std::set<std::string> domains;

  bool operator==(const EvacuationView&) const = default;
};

// A record of the topic: a domain is evacuated, or its evacuation is revoked.
struct EvacuationChange
{
  std::string domain;
  bool isEvacuated = false;
};

// What a read of the topic has returned.
struct EvacuationRead
{
  bool isListing = false; // Domains that are not listed are not evacuated.
  std::vector<EvacuationChange> changes;
  TopicPosition position; // After the last record of the read.
};

// The evacuated domains as this entry knows them. Of two views the one with the later position is
// newer, whether it comes from the store or from another entry, so that an old response or report
// never revives an evacuation or revokes one. Nothing is forgotten while the store is unreachable.
//
// A restored store may lack an evacuation until the operators have written it again. This entry
// keeps such a domain evacuated for a while, and does not pass that on: the view has only what the
// store says.
class EvacuatedDomains
{
public:
  // Apply a read of the store, and the view of another entry. Return whether a domain was evacuated
  // or an evacuation revoked; an older read or view changes nothing.
  bool ApplyRead(const EvacuationRead& aRead, Instant aNow);
  bool Adopt(const EvacuationView& aView, Instant aNow);

  // Drops kept evacuations that were not written again in time; returns whether there was any.
  bool Expire(Instant aNow);

  bool Contains(const std::string& aDomain) const
  {
    return this->view.domains.contains(aDomain) || this->keptUntil.contains(aDomain);
  }

  // Returns the evacuated domains, with the kept ones.
  std::set<std::string> Domains() const;

  const EvacuationView& View() const { return this->view; }

private:
  EvacuationView view;
  std::map<std::string, Instant> keptUntil; // Kept domains.
};

} // namespace sycamorepost

#endif // SYCAMOREPOST_FORWARD_TARGETS_EVACUATED_DOMAINS_H_
