#include "EntryImpl.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace sycamorepost {

namespace {

const AccountRule kNoAccount{};

constexpr Duration kPruneInterval = std::chrono::seconds(30);

} // namespace

using internal::Call;
using internal::CallPhase;

void
EntryReducer::Impl::OnEvent(const RulesChanged& aChanged)
{
  this->rules = aChanged.rules;
  this->rulesVersion = aChanged.version;
  this->UpdateShortPromptEngines();
}

void
EntryReducer::Impl::OnEvent(const FleetChanged& aChanged)
{
  this->fleet = aChanged.fleet;
  this->UpdateShortPromptEngines();
  const double entries = std::max<double>(1, static_cast<double>(this->fleet.entries.size()));
  this->limits.SetShare(1 / entries);
  std::set<std::string> names;
  for (const TargetInfo& target : this->fleet.targets) {
    names.insert(target.name);
  }
  std::erase_if(this->engineStats, [&](const auto& aItem) {
    return !names.contains(aItem.first) && aItem.second.outstanding == 0;
  });
  std::erase_if(this->drainingUntil, [&](const auto& aItem) { return aItem.second <= this->now; });
}

void
EntryReducer::Impl::OnEvent(const Wake& /*aWake*/)
{
  if (this->nextPeerCheckAt != Instant() && this->now >= this->nextPeerCheckAt) {
    this->CheckPeers();
  }
  std::vector<std::uint64_t> due;
  for (const auto& [handle, call] : this->calls) {
    if (call.wakeAt <= this->now || call.deadline <= this->now) {
      due.push_back(handle);
    }
  }
  for (const std::uint64_t handle : due) {
    const auto found = this->calls.find(handle);
    if (found == this->calls.end()) {
      continue;
    }
    Call& call = found->second;
    if (call.deadline <= this->now) {
      this->OnDeadline(call);
    } else if (call.phase == CallPhase::Probing) {
      this->EvaluateProbeRound(call);
    } else if (call.phase == CallPhase::BackingOff) {
      this->StartProbeRound(call);
    } else {
      this->OnReservationWake(call);
    }
  }
  if (this->now >= this->nextPruneAt) {
    this->limits.Prune(this->now);
    this->nextPruneAt = this->now + kPruneInterval;
  }
}

const AccountRule&
EntryReducer::Impl::AccountOf(const Call& aCall) const
{
  const AccountRule* account = this->rules->accounts.Find(aCall.account);
  return account ? *account : kNoAccount;
}

void
EntryReducer::Impl::Send(const std::string& aTo, Message aMessage, SharedBody aBody)
{
  SendMessage send;
  send.to = aTo;
  if (std::holds_alternative<Start>(aMessage)) {
    send.toIncarnation = this->peers.FindOrAdd(aTo).incarnation;
  }
  send.message = std::move(aMessage);
  send.body = std::move(aBody);
  this->effects.emplace_back(std::move(send));
}

void
EntryReducer::Impl::Count(std::string aName, std::string aLabel)
{
  this->effects.emplace_back(CountEvent{ std::move(aName), std::move(aLabel) });
}

void
EntryReducer::Impl::Log(const Call& aCall, const std::string& aText)
{
  this->effects.emplace_back(LogLine{ "request " + aCall.request.requestId + ": " + aText });
}

std::optional<Instant>
EntryReducer::Impl::NextWake() const
{
  std::optional<Instant> next;
  const auto consider = [&next](Instant aInstant) {
    next = next ? std::min(*next, aInstant) : aInstant;
  };
  for (const auto& [handle, call] : this->calls) {
    consider(std::min(call.wakeAt, call.deadline));
  }
  if (this->nextPeerCheckAt != Instant()) {
    consider(this->nextPeerCheckAt);
  }
  return next;
}

nlohmann::json
EntryReducer::Impl::Dump(Instant aNow) const
{
  nlohmann::json json;
  json["role"] = "entry";
  json["address"] = this->config.address;
  json["domain"] = this->config.domain;
  json["rules_version"] = this->rulesVersion;
  json["entries"] = this->fleet.entries;
  json["retry_tokens"] = this->retryBudget.AvailableTokens();
  json["suspects"] = this->crashTracker.Size();
  json["accounts_active"] = this->limits.Size();
  json["targets"] = nlohmann::json::array();
  for (const TargetInfo& target : this->fleet.targets) {
    json["targets"].push_back({ { "name", target.name },
                                { "address", target.address },
                                { "domain", target.domain },
                                { "pool", target.pool },
                                { "leaving", target.draining } });
  }
  json["peers"] = nlohmann::json::object();
  for (const auto& [address, peer] : this->peers.All()) {
    json["peers"][address] = { { "outstanding", peer.outstanding },
                               { "suspect", peer.suspectUntil > aNow } };
  }
  json["requests"] = nlohmann::json::array();
  for (const auto& [handle, call] : this->calls) {
    json["requests"].push_back(
      { { "id", call.request.requestId },
        { "account", call.account },
        { "pool", call.pool },
        { "phase", internal::kCallPhaseNames.at(static_cast<std::size_t>(call.phase)) },
        { "attempts", call.attempts },
        { "tokens", call.nextOffset },
        { "left_ms", ToMillis(call.deadline - aNow) } });
  }
  return json;
}

EntryReducer::EntryReducer(EntryConfig aConfig)
  : impl(std::make_unique<Impl>(std::move(aConfig)))
{
}

EntryReducer::~EntryReducer() = default;

std::vector<EntryEffect>
EntryReducer::Step(const EntryEvent& aEvent, Instant aNow)
{
  this->impl->now = aNow;
  this->impl->effects.clear();
  std::visit([this](const auto& aValue) { this->impl->OnEvent(aValue); }, aEvent);
  return std::move(this->impl->effects);
}

std::optional<Instant>
EntryReducer::NextWake() const
{
  return this->impl->NextWake();
}

std::size_t
EntryReducer::InFlight() const
{
  return this->impl->calls.size();
}

nlohmann::json
EntryReducer::Dump(Instant aNow) const
{
  return this->impl->Dump(aNow);
}

} // namespace sycamorepost
