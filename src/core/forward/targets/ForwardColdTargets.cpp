// The events by which an entry learns which targets are cold.
#include "ForwardImpl.h"

#include <nlohmann/json.hpp>

namespace sycamorepost {

void
ForwardReducer::Impl::RecordRegistrations(const TargetsChanged& aChanged)
{
  const RegistrationReading reading{ aChanged.readAt.value_or(this->now), aChanged.unixMs };
  for (const auto& [instance, target] : aChanged.targets) {
    if (this->coldShares.RecordRegistration(target, reading, this->now)) {
      this->LogCold(instance, target.coldRemainingMs > 0 ? "its registration" : "its start");
    }
  }
}

void
ForwardReducer::Impl::RecordColdness(const RegisteredTarget& aTarget, Duration aRemaining)
{
  if (this->coldShares.RecordResponse(aTarget, aRemaining, this->now)) {
    this->LogCold(aTarget.instance, "its response");
  }
}

void
ForwardReducer::Impl::LogCold(const std::string& aInstance, const char* aSource)
{
  const Duration remaining = this->coldShares.ColdUntil(aInstance) - this->now;
  this->effects.emplace_back(
    LogDecision{ "target-cold",
                 "",
                 { { "target", aInstance },
                   { "source", aSource },
                   { "cold_ms", std::to_string(ToMillis(remaining)) },
                   { "entries", std::to_string(this->coldShares.EntryCount()) } },
                 true });
}

nlohmann::json
ForwardReducer::Impl::DumpCold(Instant aNow) const
{
  const Instant inForceAt = this->coldShares.InForceAt();
  nlohmann::json dump{ { "entries", this->coldShares.EntryCount() },
                       { "in_force", inForceAt <= aNow } };
  for (const auto& [instance, target] : this->targets) {
    if (this->coldShares.IsCold(instance, aNow)) {
      dump["targets"][instance] = {
        { "cold_ms", ToMillis(this->coldShares.ColdUntil(instance) - aNow) },
        { "next_share_in_ms", ToMillis(this->coldShares.NextSendAt(instance, aNow) - aNow) }
      };
    }
  }
  return dump;
}

} // namespace sycamorepost
