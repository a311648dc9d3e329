// How the entries of one failure domain share what they read from the store: when an entry reads by
// itself, and the reports of a reader to its neighbours.
#ifndef SYCAMOREPOST_FORWARD_SHARING_STORE_SHARING_H_
#define SYCAMOREPOST_FORWARD_SHARING_STORE_SHARING_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "sycamorepost/Types.h"
#include "sycamorepost/forward/sharing/TopicPosition.h"
#include "sycamorepost/forward/targets/EvacuatedDomains.h"
#include "sycamorepost/forward/targets/TargetDirectory.h"

namespace sycamorepost {

// When the entries of a failure domain read a topic. All of it fits into the time within which a
// change must be known everywhere.
struct ReadPacing
{
  Duration interval{};  // Between two reads of the first entry of the domain.
  Duration heirDelay{}; // How much later the second entry reads when it heard nothing newer,
  Duration heirStep{};  // and how much later than that each further one.
};

// Decides when an entry reads a topic by itself: the first entry of its failure domain does so all
// the time, the others only when what they know has become old. So a silent reader is replaced by
// the next entry, whose report reaches the rest before they read as well.
class ReadSchedule
{
public:
  ReadSchedule() = default;
  explicit ReadSchedule(ReadPacing aPacing)
    : pacing(aPacing)
  {
  }

  // Records that the state of the topic at an instant is known, from the store or a neighbour.
  void RecordKnown(Instant aAsOf) { this->knownAsOf = std::max(this->knownAsOf, aAsOf); }

  // Sets an instant as of which the state must be known, whatever the rank of the entry.
  void RequireKnown(Instant aAt) { this->requiredAsOf = aAt; }

  // Changes the time between two reads of the first entry.
  void SetInterval(Duration aInterval) { this->pacing.interval = aInterval; }

  // Returns when the entry with a rank in its failure domain reads next.
  Instant DueAt(std::size_t aRank) const;

  // Returns the last instant at which the state of the topic is known.
  Instant KnownAsOf() const { return this->knownAsOf; }

private:
  ReadPacing pacing;
  Instant knownAsOf;
  Instant requiredAsOf;
};

// Returns when the state that a read has returned was current. The store waits up to aWait for a
// record; what a read takes beyond that may have passed after the state was read.
Instant
ReadAsOf(Instant aStartedAt, Instant aEndedAt, Duration aWait);

// The longest age in a report: no bound on the age of knowledge is as long.
inline constexpr std::int64_t kMaxReportAgeMs = 60'000;

// Returns when the state of a report was current that is aAgeMs milliseconds old. Returns nothing
// for a negative age, which means that the report has no such state, and for one of over a minute.
std::optional<Instant>
ReportAsOf(std::int64_t aAgeMs, Instant aNow);

// The targets that the store lists, as a reader has found them: the changes since an earlier state
// of the topic. Targets that the reader keeps in use without a registration are not listed.
struct RegistrationReport
{
  TopicPosition from;       // The reader knew the records before it when the changes began.
  TopicPosition next;       // It knows the records before it now.
  std::uint64_t digest = 0; // DigestOf() all targets that the store lists.
  std::vector<RegisteredTarget> changed;
  std::vector<std::string> removed; // Instances.
  // Milliseconds for which the store has served the reader without a failure, a minute at the most;
  // negative when unknown.
  std::int64_t servedForMs = -1;
};

// What a reader tells its neighbours after each read of the store.
struct StoreReport
{
  // Milliseconds since the reported state was current; negative when nothing is reported.
  std::int64_t configurationAgeMs = -1;
  std::int64_t registrationsAgeMs = -1;
  std::uint64_t configurationVersion = 0;
  TopicPosition configurationPosition; // Of the next read of the configuration.
  RegistrationReport registrations;
  EvacuationView evacuations; // With a configuration, as of its position.
};

// The last states of the topic at a reader. A report covers all of them, so that a neighbour
// that missed one report can still apply the next.
class RegistrationHistory
{
public:
  // Records the registered targets after a read that ended at a position of the topic.
  void Record(TopicPosition aNext, const std::map<std::string, RegisteredTarget>& aTargets);

  // Returns the changes since the oldest recorded state.
  RegistrationReport MakeReport() const;

private:
  struct State
  {
    TopicPosition next;
    std::map<std::string, RegisteredTarget> targets;
  };

  std::deque<State> states; // The oldest one first.
};

// Returns a digest of the registered targets. Two entries that know the topic up to one position
// may still differ: one may have read a listing while it changed, or missed a report.
std::uint64_t
DigestOf(const std::map<std::string, RegisteredTarget>& aTargets);

// Returns whether a report continues what is known up to a position, and is not older.
bool
Continues(const RegistrationReport& aReport, TopicPosition aNext);

} // namespace sycamorepost

#endif // SYCAMOREPOST_FORWARD_SHARING_STORE_SHARING_H_
