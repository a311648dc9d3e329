#include "sycamorepost/forward/sharing/StoreSharing.h"

#include <algorithm>

#include "sycamorepost/Hash.h"

namespace sycamorepost {

namespace {

// From this rank on, entries read at the same time.
constexpr std::size_t kMaxHeirs = 5;

// The states that a report covers: it may be the third one that a neighbour gets.
constexpr std::size_t kMaxStates = 3;

} // namespace

Instant
ReadSchedule::DueAt(std::size_t aRank) const
{
  Instant due = this->knownAsOf + this->pacing.interval;
  if (aRank > 0) {
    due += this->pacing.heirDelay +
           this->pacing.heirStep * static_cast<std::int64_t>(std::min(aRank, kMaxHeirs) - 1);
  }
  return this->requiredAsOf > this->knownAsOf ? std::min(due, this->requiredAsOf) : due;
}

Instant
ReadAsOf(Instant aStartedAt, Instant aEndedAt, Duration aWait)
{
  return aStartedAt + std::min(aEndedAt - aStartedAt, aWait);
}

std::optional<Instant>
ReportAsOf(std::int64_t aAgeMs, Instant aNow)
{
  if (aAgeMs < 0 || aAgeMs > kMaxReportAgeMs) {
    return std::nullopt;
  }
  return aNow - std::chrono::milliseconds(aAgeMs);
}

void
RegistrationHistory::Record(TopicPosition aNext,
                            const std::map<std::string, RegisteredTarget>& aTargets)
{
  // A topic that was reset starts again, and so does one of a restored store: a neighbour may know
  // a state between two eras that this entry has not seen.
  if (!this->states.empty() &&
      (this->states.back().next > aNext || this->states.back().next.era != aNext.era)) {
    this->states.clear();
  }
  this->states.push_back({ aNext, aTargets });
  if (this->states.size() > kMaxStates) {
    this->states.pop_front();
  }
}

RegistrationReport
RegistrationHistory::MakeReport() const
{
  RegistrationReport report;
  if (this->states.empty()) {
    return report;
  }
  const State& first = this->states.front();
  const State& last = this->states.back();
  report.from = first.next;
  report.next = last.next;
  report.digest = DigestOf(last.targets);
  // A target that changed and changed back is listed as well: a neighbour may know the state
  // between.
  const auto isUnchanged = [&](const std::string& aInstance) {
    const auto known = last.targets.find(aInstance);
    return std::all_of(this->states.begin(), this->states.end(), [&](const State& aState) {
      const auto found = aState.targets.find(aInstance);
      return known == last.targets.end()
               ? found == aState.targets.end()
               : found != aState.targets.end() && found->second == known->second;
    });
  };
  for (const auto& [instance, target] : last.targets) {
    if (!isUnchanged(instance)) {
      report.changed.push_back(target);
    }
  }
  for (const State& state : this->states) {
    for (const auto& [instance, target] : state.targets) {
      if (!last.targets.contains(instance)) {
        report.removed.push_back(instance);
      }
    }
  }
  std::sort(report.removed.begin(), report.removed.end());
  report.removed.erase(std::unique(report.removed.begin(), report.removed.end()),
                       report.removed.end());
  return report;
}

std::uint64_t
DigestOf(const std::map<std::string, RegisteredTarget>& aTargets)
{
  StreamDigest digest;
  for (const auto& [instance, target] : aTargets) {
    for (const std::string* text :
         { &target.instance, &target.service, &target.address, &target.domain }) {
      digest.Update(*text);
      digest.Update("\n");
    }
    digest.Update(std::to_string(target.slots) + (target.draining ? " draining " : " ready ") +
                  std::to_string(target.startedAtMs) + "\n");
  }
  return digest.Value();
}

bool
Continues(const RegistrationReport& aReport, TopicPosition aNext)
{
  return aReport.from <= aNext && aNext <= aReport.next;
}

} // namespace sycamorepost
