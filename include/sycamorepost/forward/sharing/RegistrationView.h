// What one entry knows of the registered targets, from its own reads of the store and from the
// reports of its neighbours.
#ifndef SYCAMOREPOST_FORWARD_SHARING_REGISTRATION_VIEW_H_
#define SYCAMOREPOST_FORWARD_SHARING_REGISTRATION_VIEW_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "sycamorepost/Types.h"
#include "sycamorepost/forward/sharing/StoreSharing.h"
#include "sycamorepost/forward/targets/TargetDirectory.h"

namespace sycamorepost {

// How long a read of the registrations waits for the start of the response. What a hung read takes
// counts as an outage of the store, which may have been back for as long.
inline constexpr Duration kRegistrationReadTimeout = std::chrono::milliseconds(700);

// How a read of the registrations has ended.
enum class ReadOutcome : std::uint8_t
{
  Served,
  NotServed,    // The store has refused it, or did not respond in time.
  NotConnected, // No connection was established; a packet may have been lost.
};

// What a read of the registrations has returned.
struct RegistrationRead
{
  bool isListing = false; // All registrations, instead of the changes since the last read.
  std::vector<RegistrationChange> changes;
};

// Combines reads and reports, decides which targets are used, and makes the reports for the
// neighbours.
class RegistrationView
{
public:
  // Record that a read of the registrations begins, and how it has ended.
  void RecordReadStarted();
  void RecordReadEnd(ReadOutcome aOutcome, Instant aNow);

  // Records that the store was restored from an older copy: registrations that it lacks were lost,
  // as in an outage, and their targets register again.
  void RecordRestore(Instant aNow) { this->directory.RecordStoreUnreachable(aNow); }

  // Applies what a read has returned; returns whether the set of usable targets changed.
  bool ApplyRead(const RegistrationRead& aRead, Instant aNow);

  // Returns the report of a read that ended at a position of the topic.
  RegistrationReport MakeReport(TopicPosition aNext, Instant aNow);

  // Applies the report of a neighbour, which continues what is known here; returns whether the set
  // of usable targets changed.
  bool Accept(const RegistrationReport& aReport, Instant aNow);

  // Returns whether a neighbour that made a report knows the same registrations.
  bool Agrees(const RegistrationReport& aReport) const;

  // Returns as of when the state of the topic must be known before the next kept target is dropped:
  // it may have been registered again. Returns nothing when no target is kept.
  std::optional<Instant> NextDecisionAt() const;

  // Drops targets whose grace period has ended; returns whether there was any.
  bool Expire(Instant aNow);

  // Returns the usable targets by instance.
  const std::map<std::string, RegisteredTarget>& Targets() const
  {
    return this->directory.Targets();
  }

  // Returns what has happened to targets since the last call.
  std::vector<DirectoryEvent> TakeEvents() { return this->directory.TakeEvents(); }

private:
  TargetDirectory directory;
  std::uint32_t failedConnections = 0; // In a row.
  RegistrationHistory history;
};

} // namespace sycamorepost

#endif // SYCAMOREPOST_FORWARD_SHARING_REGISTRATION_VIEW_H_
