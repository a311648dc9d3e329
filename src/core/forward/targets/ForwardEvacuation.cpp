// The events by which an entry learns which failure domains are evacuated.
#include "ForwardImpl.h"

namespace sycamorepost {

void
ForwardReducer::Impl::OnEvent(const EvacuationRead& aRead)
{
  const std::set<std::string> before = this->evacuated.View().domains;
  if (this->evacuated.ApplyRead(aRead)) {
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
  const std::set<std::string> before = this->evacuated.View().domains;
  if (this->evacuated.Adopt(aView)) {
    this->LogEvacuations(before, aPeer);
  }
}

void
ForwardReducer::Impl::LogEvacuations(const std::set<std::string>& aBefore,
                                     const std::string& aSource)
{
  const EvacuationView& view = this->evacuated.View();
  const auto log = [&](const char* aDecision, const std::string& aDomain) {
    this->Count("forward_evacuations", aDecision);
    this->effects.emplace_back(LogDecision{
      aDecision,
      "",
      { { "domain", aDomain }, { "source", aSource }, { "as_of", ToString(view.position) } },
      true });
  };
  for (const std::string& domain : view.domains) {
    if (!aBefore.contains(domain)) {
      log("domain-evacuated", domain);
    }
  }
  for (const std::string& domain : aBefore) {
    if (!view.domains.contains(domain)) {
      log("evacuation-revoked", domain);
    }
  }
}

} // namespace sycamorepost
