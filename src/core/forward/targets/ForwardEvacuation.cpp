// The events by which an entry learns which failure domains are evacuated.
#include "ForwardImpl.h"

namespace sycamorepost {

void
ForwardReducer::Impl::OnEvent(const EvacuationRead& aRead)
{
  const std::set<std::string> before = this->evacuated.Domains();
  if (this->evacuated.ApplyRead(aRead, this->now)) {
    this->LogEvacuations(before, "the store");
  }
}

void
ForwardReducer::Impl::OnEvent(const PeerEvacuationReport& aReport)
{
  this->AdoptEvacuations(aReport.view, aReport.peer);
}

void
ForwardReducer::Impl::AdoptEvacuations(const EvacuationView& aView, const std::string& aPeer)
{
  const std::set<std::string> before = this->evacuated.Domains();
  if (this->evacuated.Adopt(aView, this->now)) {
    this->LogEvacuations(before, aPeer);
  }
}

void
ForwardReducer::Impl::ExpireEvacuations()
{
  const std::set<std::string> before = this->evacuated.Domains();
  if (this->evacuated.Expire(this->now)) {
    this->LogEvacuations(before, "the end of its grace period after a restore");
  }
}

void
ForwardReducer::Impl::LogEvacuations(const std::set<std::string>& aBefore,
                                     const std::string& aSource)
{
  const std::set<std::string> after = this->evacuated.Domains();
  const auto log = [&](const char* aDecision, const std::string& aDomain) {
    this->Count("forward_evacuations", aDecision);
    this->effects.emplace_back(
      LogDecision{ aDecision,
                   "",
                   { { "domain", aDomain },
                     { "source", aSource },
                     { "as_of", ToString(this->evacuated.View().position) } },
                   true });
  };
  for (const std::string& domain : after) {
    if (!aBefore.contains(domain)) {
      log("domain-evacuated", domain);
    }
  }
  for (const std::string& domain : aBefore) {
    if (!after.contains(domain)) {
      log("evacuation-revoked", domain);
    }
  }
}

} // namespace sycamorepost
