#include "SidecarImpl.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace sycamorepost {

void
SidecarReducer::Impl::Send(const std::string& aTo, Message aMessage, SharedBody aBody)
{
  this->effects.emplace_back(SendMessage{ aTo, 0, std::move(aMessage), std::move(aBody) });
}

void
SidecarReducer::Impl::Count(std::string aName, std::string aLabel, std::uint64_t aAmount)
{
  this->effects.emplace_back(CountEvent{ std::move(aName), std::move(aLabel), aAmount });
}

void
SidecarReducer::Impl::Log(std::string aText)
{
  this->effects.emplace_back(LogLine{ std::move(aText) });
}

std::optional<Instant>
SidecarReducer::Impl::NextWake() const
{
  Instant next = this->nextLoadReportAt;
  if (this->config.kind == TargetKind::Engine) {
    next = std::min(next, this->nextCheckAt);
  }
  if (this->nextDispatchAt) {
    next = std::min(next, *this->nextDispatchAt);
  }
  for (const auto& [id, attempt] : this->attempts) {
    next = std::min(next, attempt.leaseUntil);
  }
  for (const auto& [id, reservation] : this->reservations) {
    next = std::min(next, reservation.leaseUntil);
  }
  if (const auto wake = this->atMostOnceCalls.NextWake()) {
    next = std::min(next, *wake);
  }
  return next;
}

bool
SidecarReducer::Impl::Drained() const
{
  return this->drainRequested && this->attempts.empty() && this->reservations.empty() &&
         this->atMostOnceCalls.Idle();
}

nlohmann::json
SidecarReducer::Impl::Dump(Instant aNow) const
{
  static constexpr std::array<const char*, 3> kStateNames{ "up", "gone", "silent" };
  nlohmann::json json;
  json["role"] = "sidecar";
  json["name"] = this->config.name;
  json["address"] = this->config.address;
  json["domain"] = this->config.domain;
  json["pool"] = this->config.pool;
  json["rules_version"] = this->rulesVersion;
  json["leaving"] = this->IsDraining();
  json["tickets"] = this->tickets.size();
  json["suspects"] = this->crashTracker.Size();
  json["keys"] = this->atMostOnceCalls.Dump();
  if (this->config.kind == TargetKind::Engine) {
    json["engine"] = {
      { "state", kStateNames.at(static_cast<std::size_t>(this->engineState)) },
      { "boot_id", this->engineIncarnation },
      { "capacity_tokens", this->queue.Capacity() },
      { "reserved_tokens", this->queue.UsedTokens() },
      { "holds", this->reservations.size() },
      { "queued", this->queue.Queued() },
      { "running", this->queue.Running() },
      { "backlog_ms", ToMillis(this->queue.PrefillBacklog(aNow)) },
    };
  }
  json["attempts"] = nlohmann::json::array();
  for (const auto& [id, attempt] : this->attempts) {
    json["attempts"].push_back({ { "request", attempt.start.requestId },
                                 { "entry", attempt.entry },
                                 { "account", attempt.start.account },
                                 { "tokens", attempt.endOffset },
                                 { "finished", attempt.finished.has_value() },
                                 { "lease_ms", ToMillis(attempt.leaseUntil - aNow) } });
  }
  return json;
}

SidecarReducer::SidecarReducer(SidecarConfig aConfig)
  : impl(std::make_unique<Impl>(std::move(aConfig)))
{
}

SidecarReducer::~SidecarReducer() = default;

std::vector<SidecarEffect>
SidecarReducer::Step(const SidecarEvent& aEvent, Instant aNow)
{
  this->impl->now = aNow;
  this->impl->effects.clear();
  std::visit([this](const auto& aValue) { this->impl->OnEvent(aValue); }, aEvent);
  return std::move(this->impl->effects);
}

std::optional<Instant>
SidecarReducer::NextWake() const
{
  return this->impl->NextWake();
}

bool
SidecarReducer::Drained() const
{
  return this->impl->Drained();
}

nlohmann::json
SidecarReducer::Dump(Instant aNow) const
{
  return this->impl->Dump(aNow);
}

} // namespace sycamorepost
