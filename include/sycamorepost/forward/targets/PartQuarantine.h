// Finds out which part of prompts crashes the engines that decode it, and decides which requests
// may still run.
#ifndef SYCAMOREPOST_FORWARD_TARGETS_PART_QUARANTINE_H_
#define SYCAMOREPOST_FORWARD_TARGETS_PART_QUARANTINE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "sycamorepost/Types.h"
#include "sycamorepost/forward/request/PromptParts.h"

namespace sycamorepost {

// Parts that are quarantined together, in the form in which entries report them to each other.
struct QuarantinedParts
{
  PartSet parts;
  std::uint32_t trials = 0; // Trial requests so far.
  // Milliseconds until the next trial is allowed; negative since it has been, so that what entries
  // tell each other ends in time.
  std::int64_t trialInMs = 0;
};

// An entry's report of a crash: the parts of each prompt that ran there and whose response had not
// got on. Several entries report the same crash.
struct TargetCrashReport
{
  std::string instance;
  std::int64_t startedAtMs = 0; // See RegisteredTarget.
  std::vector<PartSet> prompts;
};

// An entry's report of what is quarantined, and of parts that are cleared.
struct QuarantineReport
{
  std::vector<QuarantinedParts> quarantined;
  PartSet cleared;
  bool isRelayed = false;  // Is not passed on within the recipient's failure domain.
  bool wantsReply = false; // The sender has just started and asks what is quarantined.
};

// The decision on a request.
enum class PartVerdict
{
  Allowed,
  Trial,   // It has quarantined parts, but may run to find out whether they still crash engines.
  Refused, // It has quarantined parts.
};

struct PartDecision
{
  PartVerdict verdict = PartVerdict::Allowed;
  Duration trialIn{}; // When refused: time until the next trial.
};

// A part that crashes engines is in a prompt of every crash, and no response to a prompt with it
// goes on. So a part is suspect while it is in prompts of crashed engines that had sent little of
// their responses, and it is cleared by any response with it that goes on. Parts that cannot be
// told apart, as they were in the same requests of all crashes, are quarantined together: only
// requests with all of them are refused, and the others show which of them it is.
//
// All state is bounded, whatever prompts contain. Not thread-safe.
class PartQuarantine
{
public:
  // Records the report of a crash. All reports of one crash are merged.
  void RecordCrash(const TargetCrashReport& aReport, Instant aNow);

  // Evaluates the crashes whose reports are complete by now. Returns the combinations that are
  // quarantined from now on.
  std::vector<PartSet> Evaluate(Instant aNow);

  // Returns when Evaluate is due; Instant::max() when it is not.
  Instant NextDue() const;

  // Records that a response to a prompt with these parts goes on. Returns the parts of which other
  // entries should know that they are cleared.
  PartSet RecordProgress(const PartSet& aParts, Instant aNow);

  // Clears parts, as another entry reports.
  void Clear(const PartSet& aParts, Instant aNow);

  // Decides on a request with these parts.
  PartDecision Decide(const PartSet& aParts, Instant aNow) const;

  // Records that a request with these parts runs as a trial. Returns what is quarantined and in it,
  // for the other entries.
  std::vector<QuarantinedParts> BeginTrial(const PartSet& aParts, Instant aNow);

  // Adopts what another entry has quarantined. Returns the parts that were cleared here not long
  // ago, of which the other entry does not know.
  PartSet Merge(const std::vector<QuarantinedParts>& aReported, Instant aNow);

  // Returns all that is quarantined.
  std::vector<QuarantinedParts> Snapshot(Instant aNow) const;

  // Drops what is out of date.
  void Expire(Instant aNow);

  bool HasQuarantined() const { return !this->quarantined.empty(); }
  // Returns whether nothing is suspect.
  bool IsEmpty() const { return this->crashes.empty() && this->quarantined.empty(); }
  // Returns the number of crashes in which a part is still suspect.
  std::size_t CrashCount() const { return this->crashes.size(); }

private:
  struct Crash
  {
    std::string instance;
    std::int64_t startedAtMs = 0;
    Instant at;
    std::vector<PartSet> prompts; // Without duplicates.
    bool isEvaluated = false;
  };

  struct Quarantined
  {
    PartSet parts;
    std::uint32_t trials = 0;
    Instant nextTrialAt;
  };

  // The crashes that speak against a part.
  struct Evidence
  {
    std::uint64_t part = 0;
    int crashes = 0; // Those at about the same time count once.
    Instant lastAt;  // The last one that counted.
  };

  std::vector<Evidence> CollectEvidence(const Crash& aCrash) const;
  std::vector<const Quarantined*> CausesOf(const Crash& aCrash) const;
  PartSet CompanionsOf(std::uint64_t aPart) const;
  void EvaluateCrash(const Crash& aCrash, Instant aNow, std::vector<PartSet>& aNew);
  bool Quarantine(Quarantined aNew);
  bool IsQuarantined(std::uint64_t aPart) const;
  void ClearPart(std::uint64_t aPart, Instant aNow);
  void DropResolvedCrashes();

  std::deque<Crash> crashes; // The oldest first.
  std::vector<Quarantined> quarantined;
  std::map<std::uint64_t, Instant> cleared; // When suspect parts were cleared.
};

} // namespace sycamorepost

#endif // SYCAMOREPOST_FORWARD_TARGETS_PART_QUARANTINE_H_
