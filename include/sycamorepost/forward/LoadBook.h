// Offers the book of what runs where: the work that this entry placed on each target, what the
// other entries say they placed, and how each target has behaved.
#ifndef SYCAMOREPOST_FORWARD_LOAD_BOOK_H_
#define SYCAMOREPOST_FORWARD_LOAD_BOOK_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "sycamorepost/Types.h"
#include "sycamorepost/forward/TargetShare.h"

namespace sycamorepost {

// The work of one request on one target.
struct PlacedWork
{
  std::string instance;
  double readMs = 0;        // Reading time that it adds there.
  std::uint64_t memory = 0; // Tokens of KV cache that it takes there.
  bool writes = false;      // It takes a slot; a helper only reads.
  bool isTight = false;     // Its pauses between events must be short.
};

// What one entry has on one target.
struct TargetLoad
{
  std::uint32_t running = 0;
  std::uint32_t tight = 0; // Of these, the ones whose pauses must be short.
  std::uint64_t memory = 0;
  Instant readUntil;   // When the reading that was placed there should be done.
  double unreadMs = 0; // Reading of requests that have shown no event yet.

  // Returns the reading time that is left in milliseconds. What has shown no event is not done,
  // though its time may have passed.
  double ReadMs(Instant aNow) const;
  // Returns whether nothing is placed there.
  bool Idle(Instant aNow) const
  {
    return this->running == 0 && this->memory == 0 && this->ReadMs(aNow) <= 0;
  }
};

// The book.
class LoadBook
{
public:
  // Adds and removes the work of one request. The reading time passes by itself.
  void Place(const PlacedWork& aWork, Instant aNow);
  void MarkRead(const PlacedWork& aWork, Instant aNow);
  void Remove(const PlacedWork& aWork, bool aWasPrefilled, Instant aNow);

  // Takes what a peer says of its own load, and drops what one that is gone has said.
  void TakeTold(const std::string& aPeer, const std::vector<TargetShare>& aReports, Instant aNow);
  void ForgetPeer(const std::string& aPeer) { this->peers.erase(aPeer); }

  // Returns this entry's own load where it changed since the last call.
  std::vector<TargetShare> TakeChanges(Instant aNow);
  bool HasChanges() const { return !this->changed.empty(); }

  // Returns the whole of this entry's own load.
  std::vector<TargetShare> Snapshot(Instant aNow) const;

  // Returns the load of all entries on a target.
  TargetLoad LoadOf(const std::string& aInstance, Instant aNow) const;

  // Notes how an exchange with a target ended.
  void NoteSuccess(const std::string& aInstance);
  void NoteFailure(const std::string& aInstance, Instant aNow);
  void NoteUnreachable(const std::string& aInstance, Instant aNow);

  // Returns whether a target should be left out for now.
  bool Suspected(const std::string& aInstance, Instant aNow) const;

  // Returns the share of late exchanges that failed, from 0 to 1.
  double FailureShare(const std::string& aInstance) const;

  // Drops everything about targets that are not listed any more.
  void Forget(const std::string& aInstance);

private:
  struct Health
  {
    double failureShare = 0;
    std::uint32_t failuresInARow = 0;
    Instant avoidUntil;
  };

  using Loads = std::map<std::string, TargetLoad>; // By instance.

  Health& CountFailure(const std::string& aInstance);
  void BackOff(Health& aHealth, Instant aNow);

  Loads own;
  std::map<std::string, Loads> peers;
  std::map<std::string, Health> health;
  std::set<std::string> changed;
};

} // namespace sycamorepost

#endif // SYCAMOREPOST_FORWARD_LOAD_BOOK_H_
