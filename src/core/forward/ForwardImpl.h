// Offers the state of the forwarding reducer. Its member functions lie in ForwardAdmission.cpp,
// ForwardLaunch.cpp, ForwardAttempts.cpp, ForwardReservations.cpp and ForwardReducer.cpp.
#ifndef SYCAMOREPOST_CORE_FORWARD_FORWARD_IMPL_H_
#define SYCAMOREPOST_CORE_FORWARD_FORWARD_IMPL_H_

#include <random>
#include <set>

#include "sycamorepost/forward/EventStream.h"
#include "sycamorepost/forward/ForwardReducer.h"
#include "sycamorepost/forward/Placement.h"
#include "sycamorepost/forward/RateMeter.h"
#include "sycamorepost/forward/RetryBudget.h"

namespace sycamorepost::internal {

// The shortest silence of a stream that is taken for a failure: half of what callers wait for, so
// that another target can still answer.
inline constexpr Duration kMinStallTimeout = std::chrono::milliseconds(900);

// Loads are told to peers this long after the first change: several changes share one message, and
// an engine's pass takes twice as long.
inline constexpr Duration kBroadcastDelay = std::chrono::milliseconds(25);

// With less time left than this no target could answer.
inline constexpr Duration kMinRemaining = std::chrono::milliseconds(5);

// Memory reserved, or being reserved, on one engine.
struct HelperReservation
{
  std::string name;
  std::string instance;
  std::string address;
  std::uint64_t tokens = 0;
  std::uint64_t command = 0; // The order that is out; 0 when none is.
  bool granted = false;
};

// A release that is out.
struct PendingRelease
{
  HelperReservation reservation;
  std::uint32_t attempts = 1;
};

// One exchange with a target.
struct Attempt
{
  std::uint64_t id = 0;
  Placement placement;
  Instant startedAt;
  std::optional<int> status; // Empty until the head has come.
  std::vector<Field> fields;
  std::string body;       // Of an answer that is passed on whole.
  bool isStream = false;  // Its events are passed on as they come.
  bool delivered = false; // At least one event of it was passed on.
  EventStreamReader events;
};

// One request of a caller.
struct RequestState
{
  ForwardRequest request;
  std::shared_ptr<const RouteTable> table; // Keeps the route alive.
  const RouteRule* route = nullptr;
  std::string service;
  std::string account;
  std::uint32_t priority = 0;
  Instant arrivedAt;
  Instant deadline; // For the whole answer.
  std::optional<Attempt> attempt;
  std::vector<HelperReservation> reservations;
  std::optional<Placement> pendingPlacement; // Waits for its reservations.
  Instant renewAt;                           // When reservations are renewed.
  Instant stallAt = Instant::max(); // When the silence of the target is taken as a failure.
  Instant wakeAt = Instant::max();
  std::set<std::string> triedInstances;
  std::uint32_t runs = 0;                // Attempts that may have run.
  std::uint32_t reachedAttempts = 0;     // Attempts that reached a target.
  std::uint32_t unreachableAttempts = 0; // Attempts that did not.
  std::uint32_t placements = 0;
  bool headSent = false;
  std::optional<std::uint64_t> lastEventId; // The last event that the caller has.
  Instant lastEventAt;                      // When it was passed on.
  Duration maxEventGap{};                   // Between two events that were passed on.
  std::string lastFailure;
  Duration retryAfterHint{}; // What the last refusal of a target suggests to wait.
};

} // namespace sycamorepost::internal

namespace sycamorepost {

class ForwardReducer::Impl
{
public:
  explicit Impl(ForwardConfig aConfig);

  void OnEvent(const ForwardRequest& aRequest);
  void OnEvent(const ForwardCallerGone& aDisconnect);
  void OnEvent(const AttemptHead& aHead);
  void OnEvent(const AttemptData& aData);
  void OnEvent(const AttemptEnd& aEnd);
  void OnEvent(const OrderEnd& aEnd);
  void OnEvent(const RoutesChanged& aChanged);
  void OnEvent(const TargetsChanged& aChanged);
  void OnEvent(const PeerLoadTold& aReport);
  void OnEvent(const PeerBreakTold& aReport);
  void OnEvent(const Wake& aWake);

  // Arms what the last event made due.
  void ScheduleBroadcast();
  std::optional<Instant> NextWake() const;
  bool Ready() const;
  nlohmann::json Dump(Instant aNow) const;

  std::vector<ForwardEffect> effects;
  Instant now;
  std::map<std::uint64_t, internal::RequestState> requests; // By handle.

private:
  // Admission.
  struct Refusal
  {
    int status;
    std::string reason;
  };
  std::optional<Refusal> Admit(internal::RequestState& aState);
  std::string PickService(const RouteRule& aRoute);
  void Refuse(internal::RequestState& aState, const Refusal& aRefusal);
  Duration RetryAfterOf(const internal::RequestState& aState);

  // Attempts.
  void Launch(internal::RequestState& aState);
  PlacementAsk MakePlacementRequest(const internal::RequestState& aState,
                                    const ServiceTraits& aService) const;
  void StartPlaced(internal::RequestState& aState, Placement aPlacement);
  std::uint32_t UrgencyOf(const internal::RequestState& aState) const;
  void ArmStallTimer(internal::RequestState& aState, Duration aTimeout);
  Duration MaxFirstEventWait(const internal::RequestState& aState) const;
  Duration FirstEventTimeout(const internal::RequestState& aState) const;
  internal::RequestState* FindAttempt(std::uint64_t aAttempt);
  void CloseAttempt(internal::RequestState& aState, bool aCancel);
  void DeliverEvents(internal::RequestState& aState, const std::string& aBytes);
  void CompleteBuffered(internal::RequestState& aState);
  void FailAttempt(internal::RequestState& aState, const std::string& aReason, bool aCancel);
  void HandleNotExecuted(internal::RequestState& aState, const std::string& aReason);
  bool MayRetry(const internal::RequestState& aState) const;
  bool TrySpendRetry(internal::RequestState& aState);
  void FailRequest(internal::RequestState& aState, const std::string& aReason);
  void OnStall(internal::RequestState& aState);
  void OnDeadline(internal::RequestState& aState);
  void EndRequest(internal::RequestState& aState);

  // Reservations.
  bool ReserveMemory(internal::RequestState& aState, const Placement& aPlacement);
  void SendReserve(internal::HelperReservation& aReservation, std::uint64_t aHandle);
  void TryStartReserved(internal::RequestState& aState);
  void RenewReservations(internal::RequestState& aState);
  void ReleaseReservations(internal::RequestState& aState);
  void SendRelease(internal::PendingRelease aRelease);

  // Helpers.
  void SetWake(internal::RequestState& aState);
  RetryBudget& BudgetOf(const std::string& aService);
  std::size_t EntryCount() const;
  void RecordAbort(const internal::RequestState& aState);
  std::uint32_t AbortCount(std::uint64_t aFingerprint);
  void AddAbort(std::uint64_t aFingerprint);
  void RunPeriodicWork();
  void RemoveUnresponsivePeers();
  void Count(std::string aName, std::string aLabel);
  void Log(const internal::RequestState& aState,
           std::string aDecision,
           std::vector<Field> aFields,
           bool aIsFailure);

  ForwardConfig config;
  std::shared_ptr<const RouteTable> table; // Null until one is known.
  std::map<std::string, RegisteredTarget> targets;
  LoadBook loadTracker;
  struct KnownPeer
  {
    std::uint64_t incarnation = 0;
    Instant lastReceivedAt;
  };
  std::map<std::string, KnownPeer> peers;
  RateMeter promptRate;                       // Prompts that this entry places.
  std::map<std::string, RetryBudget> budgets; // By service.
  struct AbortRecord
  {
    std::uint32_t count = 0;
    Instant expiresAt;
  };
  std::map<std::uint64_t, AbortRecord> aborts;         // By fingerprint.
  std::map<std::uint64_t, Instant> recentRefusals;     // Until when a refused fingerprint is known.
  std::set<std::pair<Instant, std::uint64_t>> timers;  // Flows by wake.
  std::map<std::uint64_t, std::uint64_t> attemptOwner; // Handle by attempt.
  std::map<std::uint64_t, std::uint64_t> commandOwner; // Handle by order.
  std::map<std::uint64_t, internal::PendingRelease> releases; // By order.
  std::mt19937_64 random;
  std::uint64_t attemptSequence = 0;
  std::uint64_t commandSequence = 0;
  Instant broadcastAt = Instant::max(); // When changed loads are told.
  Instant
    housekeepingAt; // When peers hear of this entry at the latest and old records are dropped.
};

} // namespace sycamorepost

#endif // SYCAMOREPOST_CORE_FORWARD_FORWARD_IMPL_H_
