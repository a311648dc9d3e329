#include "sycamorepost/forward/targets/PartQuarantine.h"

#include <algorithm>
#include <iterator>

namespace sycamorepost {

namespace {

// Crashes after which a part is quarantined. A sound part may be in two by chance.
constexpr int kCrashesToQuarantine = 3;

// Crashes within this time count once: engines that a common cause ends at the same moment say
// nothing about the parts that they had in common.
constexpr Duration kMinCrashDistance = std::chrono::milliseconds(200);

// Most entries report a crash within this time.
constexpr Duration kSettleTime = std::chrono::milliseconds(50);

// Later reports are of another crash: a target may start again under its name, and crash before its
// new registration is known. Busy entries report within this time.
constexpr Duration kMergeTime = std::chrono::seconds(1);

// How long crashes count, and what is quarantined is kept without a request for it.
constexpr Duration kCrashTtl = std::chrono::minutes(10);

// From the quarantine to the first trial, unless engines crash in the meantime.
constexpr Duration kFirstTrialDelay = std::chrono::seconds(1);

// A trial without a result counts as ended after this time.
constexpr Duration kTrialTimeout = std::chrono::seconds(10);

// From a crash to the next trial; each trial that ended with a crash multiplies it.
constexpr Duration kTrialInterval = std::chrono::seconds(15);
constexpr int kTrialIntervalFactor = 4;
constexpr Duration kMaxTrialInterval = std::chrono::minutes(10);

// Longer than reports of a cleared part may be on their way, or be repeated by entries that were
// cut off.
constexpr Duration kClearedTtl = std::chrono::minutes(1);

constexpr std::size_t kMaxCrashes = 128;
constexpr std::size_t kMaxPromptsOfCrash = 32;
constexpr std::size_t kMaxQuarantined = 64;
constexpr std::size_t kMaxCleared = 4096;

bool
Contains(const PartSet& aSet, std::uint64_t aPart)
{
  return std::binary_search(aSet.begin(), aSet.end(), aPart);
}

// Returns whether all parts of the first set are in the second.
bool
IsSubset(const PartSet& aSubset, const PartSet& aSet)
{
  return std::includes(aSet.begin(), aSet.end(), aSubset.begin(), aSubset.end());
}

PartSet
Intersect(const PartSet& aLeft, const PartSet& aRight)
{
  PartSet common;
  std::set_intersection(
    aLeft.begin(), aLeft.end(), aRight.begin(), aRight.end(), std::back_inserter(common));
  return common;
}

// Returns the parts of all prompts.
PartSet
PartsOf(const std::vector<PartSet>& aPrompts)
{
  PartSet all;
  for (const PartSet& prompt : aPrompts) {
    all.insert(all.end(), prompt.begin(), prompt.end());
  }
  return MakePartSet(std::move(all));
}

// Returns whether all parts of a set are in one of the prompts.
bool
IsInPrompt(const PartSet& aSet, const std::vector<PartSet>& aPrompts)
{
  return std::any_of(aPrompts.begin(), aPrompts.end(), [&aSet](const PartSet& aPrompt) {
    return IsSubset(aSet, aPrompt);
  });
}

Duration
TrialInterval(std::uint32_t aTrials)
{
  Duration interval = kTrialInterval;
  for (std::uint32_t i = 0; i < aTrials && interval < kMaxTrialInterval; ++i) {
    interval *= kTrialIntervalFactor;
  }
  return std::min(interval, kMaxTrialInterval);
}

} // namespace

void
PartQuarantine::RecordCrash(const TargetCrashReport& aReport, Instant aNow)
{
  auto crash = std::find_if(this->crashes.begin(), this->crashes.end(), [&](const Crash& aCrash) {
    return aCrash.instance == aReport.instance && aCrash.startedAtMs == aReport.startedAtMs &&
           aNow < aCrash.at + kMergeTime;
  });
  if (crash == this->crashes.end()) {
    if (this->crashes.size() >= kMaxCrashes) {
      this->crashes.pop_front();
    }
    crash = this->crashes.insert(
      this->crashes.end(),
      { .instance = aReport.instance, .startedAtMs = aReport.startedAtMs, .at = aNow });
  }
  for (const PartSet& reported : aReport.prompts) {
    const PartSet prompt = MakePartSet(reported);
    PartSet suspects;
    std::copy_if(
      prompt.begin(), prompt.end(), std::back_inserter(suspects), [&](std::uint64_t aPart) {
        const auto known = this->cleared.find(aPart);
        return known == this->cleared.end() || known->second < crash->at;
      });
    const bool isKnown =
      std::find(crash->prompts.begin(), crash->prompts.end(), suspects) != crash->prompts.end();
    const bool isValid = !suspects.empty() && suspects.size() <= kMaxPromptParts;
    if (isValid && !isKnown && crash->prompts.size() < kMaxPromptsOfCrash) {
      crash->prompts.push_back(std::move(suspects));
    }
  }
}

Instant
PartQuarantine::NextDue() const
{
  const auto first = std::find_if(this->crashes.begin(),
                                  this->crashes.end(),
                                  [](const Crash& aCrash) { return !aCrash.isEvaluated; });
  return first == this->crashes.end() ? Instant::max() : first->at + kSettleTime;
}

std::vector<PartSet>
PartQuarantine::Evaluate(Instant aNow)
{
  std::vector<PartSet> added;
  for (Crash& crash : this->crashes) {
    if (!crash.isEvaluated && crash.at + kSettleTime <= aNow) {
      crash.isEvaluated = true;
      this->EvaluateCrash(crash, aNow, added);
    }
  }
  this->DropResolvedCrashes();
  return added;
}

void
PartQuarantine::EvaluateCrash(const Crash& aCrash, Instant aNow, std::vector<PartSet>& aNew)
{
  bool isExplained = false;
  for (Quarantined& known : this->quarantined) {
    if (IsInPrompt(known.parts, aCrash.prompts)) {
      known.nextTrialAt = std::max(known.nextTrialAt, aNow + TrialInterval(known.trials));
      isExplained = true;
    }
  }
  if (isExplained) {
    return;
  }
  // The parts that most crashes speak against account for this one, so the others stay free.
  const std::vector<Evidence> evidence = this->CollectEvidence(aCrash);
  int most = kCrashesToQuarantine;
  for (const Evidence& one : evidence) {
    most = std::max(most, one.crashes);
  }
  for (const Evidence& one : evidence) {
    if (one.crashes == most) {
      PartSet parts = this->CompanionsOf(one.part);
      if (this->Quarantine({ parts, 0, aNow + kFirstTrialDelay })) {
        aNew.push_back(std::move(parts));
      }
    }
  }
}

// Returns how many crashes speak against each part of the prompts of a crash.
std::vector<PartQuarantine::Evidence>
PartQuarantine::CollectEvidence(const Crash& aCrash) const
{
  std::vector<Evidence> evidence;
  for (const std::uint64_t part : PartsOf(aCrash.prompts)) {
    evidence.push_back({ .part = part });
  }
  for (const Crash& crash : this->crashes) {
    const PartSet parts = PartsOf(crash.prompts);
    const std::vector<const Quarantined*> causes = this->CausesOf(crash);
    for (Evidence& one : evidence) {
      const bool speaksAgainst =
        Contains(parts, one.part) &&
        std::all_of(causes.begin(), causes.end(), [&](const Quarantined* aCause) {
          return Contains(aCause->parts, one.part);
        });
      if (speaksAgainst && (one.crashes == 0 || crash.at >= one.lastAt + kMinCrashDistance)) {
        ++one.crashes;
        one.lastAt = crash.at;
      }
    }
  }
  return evidence;
}

// Returns the quarantined combinations that were in a prompt of a crash.
std::vector<const PartQuarantine::Quarantined*>
PartQuarantine::CausesOf(const Crash& aCrash) const
{
  std::vector<const Quarantined*> causes;
  for (const Quarantined& known : this->quarantined) {
    if (IsInPrompt(known.parts, aCrash.prompts)) {
      causes.push_back(&known);
    }
  }
  return causes;
}

// Returns a part with all parts that were with it in one prompt of each crash.
PartSet
PartQuarantine::CompanionsOf(std::uint64_t aPart) const
{
  std::optional<PartSet> companions;
  for (const Crash& crash : this->crashes) {
    std::vector<PartSet> prompts; // Those with the part.
    std::copy_if(crash.prompts.begin(),
                 crash.prompts.end(),
                 std::back_inserter(prompts),
                 [aPart](const PartSet& aPrompt) { return Contains(aPrompt, aPart); });
    if (!prompts.empty()) {
      const PartSet parts = PartsOf(prompts);
      companions = companions ? Intersect(*companions, parts) : parts;
    }
  }
  return companions.value_or(PartSet{ aPart });
}

// Adds a combination unless a part of it is quarantined already; returns whether it was added.
bool
PartQuarantine::Quarantine(Quarantined aNew)
{
  const bool isCovered =
    std::any_of(this->quarantined.begin(), this->quarantined.end(), [&](const Quarantined& aKnown) {
      return IsSubset(aKnown.parts, aNew.parts);
    });
  if (isCovered) {
    return false;
  }
  std::erase_if(this->quarantined,
                [&](const Quarantined& aKnown) { return IsSubset(aNew.parts, aKnown.parts); });
  if (this->quarantined.size() >= kMaxQuarantined) {
    return false;
  }
  this->quarantined.push_back(std::move(aNew));
  return true;
}

bool
PartQuarantine::IsQuarantined(std::uint64_t aPart) const
{
  return std::any_of(this->quarantined.begin(),
                     this->quarantined.end(),
                     [aPart](const Quarantined& aKnown) { return Contains(aKnown.parts, aPart); });
}

// A part that only one crash here speaks against is cleared silently: the other entries have seen
// no more, and clear it by themselves.
PartSet
PartQuarantine::RecordProgress(const PartSet& aParts, Instant aNow)
{
  PartSet reported;
  for (const std::uint64_t part : aParts) {
    const auto crashCount =
      std::count_if(this->crashes.begin(), this->crashes.end(), [part](const Crash& aCrash) {
        return std::any_of(aCrash.prompts.begin(),
                           aCrash.prompts.end(),
                           [part](const PartSet& aPrompt) { return Contains(aPrompt, part); });
      });
    const bool isQuarantined = this->IsQuarantined(part);
    if (isQuarantined || crashCount > 1) {
      reported.push_back(part);
    }
    if (isQuarantined || crashCount > 0) {
      this->ClearPart(part, aNow);
    }
  }
  return reported;
}

void
PartQuarantine::Clear(const PartSet& aParts, Instant aNow)
{
  for (const std::uint64_t part : aParts) {
    this->ClearPart(part, aNow);
  }
}

void
PartQuarantine::ClearPart(std::uint64_t aPart, Instant aNow)
{
  for (Crash& crash : this->crashes) {
    for (PartSet& prompt : crash.prompts) {
      std::erase(prompt, aPart);
    }
    std::erase_if(crash.prompts, [](const PartSet& aPrompt) { return aPrompt.empty(); });
  }
  this->DropResolvedCrashes();
  for (Quarantined& known : this->quarantined) {
    std::erase(known.parts, aPart);
  }
  std::erase_if(this->quarantined, [](const Quarantined& aKnown) { return aKnown.parts.empty(); });
  if (this->cleared.size() < kMaxCleared) {
    this->cleared[aPart] = aNow;
  }
}

void
PartQuarantine::DropResolvedCrashes()
{
  std::erase_if(this->crashes,
                [](const Crash& aCrash) { return aCrash.isEvaluated && aCrash.prompts.empty(); });
}

PartDecision
PartQuarantine::Decide(const PartSet& aParts, Instant aNow) const
{
  PartDecision decision;
  for (const Quarantined& known : this->quarantined) {
    if (IsSubset(known.parts, aParts)) {
      decision.verdict =
        decision.verdict == PartVerdict::Refused ? PartVerdict::Refused : PartVerdict::Trial;
      if (known.nextTrialAt > aNow) {
        decision.verdict = PartVerdict::Refused;
        decision.trialIn = std::max(decision.trialIn, known.nextTrialAt - aNow);
      }
    }
  }
  return decision;
}

std::vector<QuarantinedParts>
PartQuarantine::BeginTrial(const PartSet& aParts, Instant aNow)
{
  std::vector<QuarantinedParts> begun;
  for (Quarantined& known : this->quarantined) {
    if (IsSubset(known.parts, aParts)) {
      ++known.trials;
      known.nextTrialAt = aNow + kTrialTimeout;
      begun.push_back({ known.parts, known.trials, ToMillis(kTrialTimeout) });
    }
  }
  return begun;
}

PartSet
PartQuarantine::Merge(const std::vector<QuarantinedParts>& aReported, Instant aNow)
{
  PartSet clearedHere;
  for (const QuarantinedParts& reported : aReported) {
    PartSet parts = MakePartSet(reported.parts);
    std::erase_if(parts, [&](std::uint64_t aPart) {
      const bool isCleared = this->cleared.contains(aPart);
      if (isCleared) {
        clearedHere.push_back(aPart);
      }
      return isCleared;
    });
    const bool isOutOfDate = reported.trialInMs <= -ToMillis(kCrashTtl);
    if (parts.empty() || parts.size() > kMaxPromptParts || isOutOfDate) {
      continue;
    }
    const auto trialInMs = std::clamp<std::int64_t>(
      reported.trialInMs, -ToMillis(kCrashTtl), ToMillis(kMaxTrialInterval));
    const Instant nextTrialAt = aNow + std::chrono::milliseconds(trialInMs);
    const auto known =
      std::find_if(this->quarantined.begin(),
                   this->quarantined.end(),
                   [&](const Quarantined& aKnown) { return aKnown.parts == parts; });
    if (known == this->quarantined.end()) {
      this->Quarantine({ std::move(parts), reported.trials, nextTrialAt });
    } else {
      known->trials = std::max(known->trials, reported.trials);
      known->nextTrialAt = std::max(known->nextTrialAt, nextTrialAt);
    }
  }
  return MakePartSet(std::move(clearedHere));
}

std::vector<QuarantinedParts>
PartQuarantine::Snapshot(Instant aNow) const
{
  std::vector<QuarantinedParts> all;
  for (const Quarantined& known : this->quarantined) {
    all.push_back({ known.parts, known.trials, ToMillis(known.nextTrialAt - aNow) });
  }
  return all;
}

void
PartQuarantine::Expire(Instant aNow)
{
  while (!this->crashes.empty() && this->crashes.front().at + kCrashTtl < aNow) {
    this->crashes.pop_front();
  }
  std::erase_if(this->quarantined, [aNow](const Quarantined& aKnown) {
    return aKnown.nextTrialAt + kCrashTtl < aNow;
  });
  std::erase_if(this->cleared,
                [aNow](const auto& aItem) { return aItem.second + kClearedTtl < aNow; });
}

} // namespace sycamorepost
