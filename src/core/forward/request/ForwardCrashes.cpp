#include "ForwardImpl.h"

#include <algorithm>

namespace sycamorepost {

using internal::LaunchDecision;
using internal::LaunchVerdict;
using internal::RequestState;
using internal::SuspectedCrash;

namespace {

// All connections to a target that ends are lost within this time.
constexpr Duration kCheckDelay = std::chrono::milliseconds(15);

// Longer than a check takes, and than it takes until a request is told that another incarnation
// listens at the address.
constexpr Duration kSuspicionTtl = std::chrono::seconds(5);

constexpr std::size_t kMaxSuspectedCrashes = 256;
constexpr std::size_t kMaxPromptsOfCrash = 32;

} // namespace

// Returns the refusal of a request that has quarantined parts; nothing when it may run.
std::optional<LaunchDecision>
ForwardReducer::Impl::FindQuarantine(const RequestState& aState, Instant aNow) const
{
  if (aState.isTrial || aState.request.promptParts.empty()) {
    return std::nullopt;
  }
  const PartDecision decision = this->quarantine.Decide(aState.request.promptParts, aNow);
  if (decision.verdict != PartVerdict::Refused) {
    return std::nullopt;
  }
  LaunchDecision refusal;
  refusal.verdict = LaunchVerdict::Quarantined;
  refusal.retryAfterHint = decision.trialIn;
  refusal.isRetryAfterRequested = true;
  return refusal;
}

void
ForwardReducer::Impl::BeginTrial(RequestState& aState)
{
  if (aState.isTrial) {
    return;
  }
  QuarantineReport report;
  report.quarantined = this->quarantine.BeginTrial(aState.request.promptParts, this->now);
  if (report.quarantined.empty()) {
    return;
  }
  aState.isTrial = true;
  report.isRelayed = true; // All entries are told.
  this->Count("forward_quarantine", "trial");
  this->Log(
    aState, "quarantine-trial", { { "parts", FormatParts(aState.request.promptParts) } }, true);
  this->effects.emplace_back(BroadcastQuarantine{ std::move(report), this->AllPeers() });
}

// The response to a prompt goes on, so no part of it crashes engines.
void
ForwardReducer::Impl::RecordProgress(const RequestState& aState)
{
  if (this->quarantine.IsEmpty() || aState.request.promptParts.empty()) {
    return;
  }
  QuarantineReport report;
  report.cleared = this->quarantine.RecordProgress(aState.request.promptParts, this->now);
  if (report.cleared.empty()) {
    return;
  }
  report.isRelayed = true; // All entries are told.
  this->Count("forward_quarantine", "cleared");
  this->Log(aState, "parts-cleared", { { "parts", FormatParts(report.cleared) } }, true);
  this->effects.emplace_back(BroadcastQuarantine{ std::move(report), this->AllPeers() });
}

// The connection of the request's attempt is lost before the response got on.
void
ForwardReducer::Impl::SuspectCrash(const RequestState& aState)
{
  const RegisteredTarget& target = aState.attempt->placement.target;
  const bool hasProgress = aState.attempt->eventCount >= internal::kEventsOfProgress;
  const bool isFull = this->suspectedCrashes.size() >= kMaxSuspectedCrashes &&
                      !this->suspectedCrashes.contains(target.instance);
  if (aState.request.promptParts.empty() || hasProgress || isFull) {
    return;
  }
  SuspectedCrash& suspected = this->suspectedCrashes[target.instance];
  suspected.target = target;
  suspected.checkAt = std::min(suspected.checkAt, this->now + kCheckDelay);
  suspected.expiresAt = this->now + kSuspicionTtl;
  const auto known =
    std::find(suspected.prompts.begin(), suspected.prompts.end(), aState.request.promptParts);
  if (known == suspected.prompts.end() && suspected.prompts.size() < kMaxPromptsOfCrash) {
    suspected.prompts.push_back(aState.request.promptParts);
  }
}

void
ForwardReducer::Impl::OnEvent(const TargetChecked& aChecked)
{
  if (aChecked.reachability == Reachability::Refused) {
    this->ConfirmCrash(aChecked.instance);
  }
  if (aChecked.reachability != Reachability::Accepted) {
    this->FailStalledAttempts(aChecked.instance);
  }
}

// Reports a crash here and to all entries. Nothing happens when no prompt was running there.
void
ForwardReducer::Impl::ConfirmCrash(const std::string& aInstance)
{
  const auto found = this->suspectedCrashes.find(aInstance);
  if (found == this->suspectedCrashes.end()) {
    return;
  }
  TargetCrashReport report{ aInstance,
                            found->second.target.startedAtMs,
                            std::move(found->second.prompts) };
  this->suspectedCrashes.erase(found);
  PartSet parts;
  for (const PartSet& prompt : report.prompts) {
    parts.insert(parts.end(), prompt.begin(), prompt.end());
  }
  this->Count("forward_target_crashes", "");
  this->effects.emplace_back(
    LogDecision{ "target-crashed",
                 "",
                 { { "target", aInstance }, { "parts", FormatParts(MakePartSet(parts)) } },
                 true });
  this->quarantine.RecordCrash(report, this->now);
  this->effects.emplace_back(BroadcastCrash{ std::move(report), this->AllPeers() });
}

void
ForwardReducer::Impl::OnEvent(const TargetCrashReport& aReport)
{
  this->quarantine.RecordCrash(aReport, this->now);
}

void
ForwardReducer::Impl::OnEvent(const PeerQuarantineReport& aReport)
{
  QuarantineReport reply;
  reply.cleared = this->quarantine.Merge(aReport.report.quarantined, this->now);
  reply.isRelayed = true;
  this->quarantine.Clear(aReport.report.cleared, this->now);
  if (!reply.cleared.empty()) {
    this->effects.emplace_back(BroadcastQuarantine{ std::move(reply), { aReport.peer } });
  }
  if (aReport.report.wantsReply) {
    this->ShareQuarantined({ aReport.peer }, true);
  }
  if (!aReport.report.isRelayed && this->group.IsRemote(aReport.peer)) {
    QuarantineReport relayed = aReport.report;
    relayed.isRelayed = true;
    this->effects.emplace_back(BroadcastQuarantine{ std::move(relayed), this->group.Neighbours() });
  }
}

// Tells what is quarantined to entries that may have missed it.
void
ForwardReducer::Impl::ShareQuarantined(std::vector<std::string> aRecipients, bool aIsRelayed)
{
  if (this->quarantine.HasQuarantined() && !aRecipients.empty()) {
    QuarantineReport report;
    report.quarantined = this->quarantine.Snapshot(this->now);
    report.isRelayed = aIsRelayed;
    this->effects.emplace_back(BroadcastQuarantine{ std::move(report), std::move(aRecipients) });
  }
}

// Asks an entry of each other failure domain. Neighbours tell a new one unasked.
void
ForwardReducer::Impl::RequestQuarantined()
{
  QuarantineReport request;
  request.isRelayed = true;
  request.wantsReply = true;
  std::vector<std::string> relays = this->group.TakeRelays();
  if (!relays.empty()) {
    this->effects.emplace_back(BroadcastQuarantine{ std::move(request), std::move(relays) });
  }
}

void
ForwardReducer::Impl::RunCrashWork()
{
  for (auto& [instance, suspected] : this->suspectedCrashes) {
    if (suspected.checkAt <= this->now) {
      suspected.checkAt = Instant::max();
      this->effects.emplace_back(CheckTarget{ instance, suspected.target.address });
    }
  }
  for (const PartSet& parts : this->quarantine.Evaluate(this->now)) {
    this->Count("forward_quarantine", "added");
    this->effects.emplace_back(
      LogDecision{ "parts-quarantined", "", { { "parts", FormatParts(parts) } }, true });
  }
}

Instant
ForwardReducer::Impl::NextCrashWork() const
{
  Instant next = this->quarantine.NextDue();
  for (const auto& [instance, suspected] : this->suspectedCrashes) {
    next = std::min(next, suspected.checkAt);
  }
  return next;
}

} // namespace sycamorepost
