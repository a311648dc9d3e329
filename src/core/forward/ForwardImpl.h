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
inline constexpr Duration kShortestGapBound = std::chrono::milliseconds(900);

// Loads are told to peers this long after the first change: several changes share one message, and
// an engine's pass takes twice as long.
inline constexpr Duration kTellDelay = std::chrono::milliseconds(25);

// With less time left than this no target could answer.
inline constexpr Duration kShortestRemaining = std::chrono::milliseconds(5);

// Memory reserved, or being reserved, on one engine.
struct Reservation
{
  std::string name;
  std::string instance;
  std::string address;
  std::uint64_t tokens = 0;
  std::uint64_t order = 0; // The order that is out; 0 when none is.
  bool granted = false;
};

// A release that is out.
struct Release
{
  Reservation reservation;
  std::uint32_t tries = 1;
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
struct Flow
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
  std::vector<Reservation> reservations;
  std::optional<Placement> reserving; // Waits for its reservations.
  Instant renewAt;                    // When reservations are renewed.
  Instant stallAt = Instant::max();   // When the silence of the target is taken as a failure.
  Instant wakeAt = Instant::max();
  std::set<std::string> tried;
  std::uint32_t runs = 0;     // Attempts that may have run.
  std::uint32_t arrivals = 0; // Attempts that reached a target.
  std::uint32_t misses = 0;   // Attempts that did not.
  std::uint32_t placements = 0;
  bool headSent = false;
  std::optional<std::uint64_t> lastEvent; // The last event that the caller has.
  Instant lastEventAt;                    // When it was passed on.
  Duration longestPause{};                // Between two events that were passed on.
  std::string lastFailure;
  Duration busyFor{}; // What the last refusal of a target suggests to wait.
};

} // namespace sycamorepost::internal

namespace sycamorepost {

class ForwardReducer::Impl
{
public:
  explicit Impl(ForwardConfig aConfig);

  void OnEvent(const ForwardRequest& aRequest);
  void OnEvent(const ForwardCallerGone& aGone);
  void OnEvent(const AttemptHead& aHead);
  void OnEvent(const AttemptData& aData);
  void OnEvent(const AttemptEnd& aEnd);
  void OnEvent(const OrderEnd& aEnd);
  void OnEvent(const RoutesChanged& aChanged);
  void OnEvent(const TargetsChanged& aChanged);
  void OnEvent(const PeerLoadTold& aTold);
  void OnEvent(const PeerBreakTold& aTold);
  void OnEvent(const Wake& aWake);

  // Arms what the last event made due.
  void NoteChanges();
  std::optional<Instant> NextWake() const;
  bool Ready() const;
  nlohmann::json Dump(Instant aNow) const;

  std::vector<ForwardEffect> effects;
  Instant now;
  std::map<std::uint64_t, internal::Flow> flows; // By handle.

private:
  // Admission.
  struct Refusal
  {
    int status;
    std::string reason;
  };
  std::optional<Refusal> Admit(internal::Flow& aFlow);
  std::string PickService(const RouteRule& aRoute);
  void Refuse(internal::Flow& aFlow, const Refusal& aRefusal);
  Duration RetryAfterOf(const internal::Flow& aFlow);

  // Attempts.
  void Launch(internal::Flow& aFlow);
  PlacementAsk AskOf(const internal::Flow& aFlow, const ServiceTraits& aService) const;
  void LaunchPlaced(internal::Flow& aFlow, Placement aPlacement);
  std::uint32_t UrgencyOf(const internal::Flow& aFlow) const;
  void ArmStall(internal::Flow& aFlow, Duration aBound);
  Duration LongestWait(const internal::Flow& aFlow) const;
  Duration FirstEventBound(const internal::Flow& aFlow) const;
  internal::Flow* FindAttempt(std::uint64_t aAttempt);
  void CloseAttempt(internal::Flow& aFlow, bool aCancel);
  void DeliverEvents(internal::Flow& aFlow, const std::string& aBytes);
  void FinishWhole(internal::Flow& aFlow);
  void FailAttempt(internal::Flow& aFlow, const std::string& aReason, bool aCancel);
  void NotExecuted(internal::Flow& aFlow, const std::string& aReason);
  bool MayRetryRun(const internal::Flow& aFlow) const;
  bool TakeRetry(internal::Flow& aFlow);
  void GiveUp(internal::Flow& aFlow, const std::string& aReason);
  void OnStall(internal::Flow& aFlow);
  void OnDeadline(internal::Flow& aFlow);
  void End(internal::Flow& aFlow);

  // Reservations.
  bool Reserve(internal::Flow& aFlow, const Placement& aPlacement);
  void SendReserve(internal::Reservation& aReservation, std::uint64_t aHandle);
  void OnReserved(internal::Flow& aFlow);
  void RenewReservations(internal::Flow& aFlow);
  void ReleaseReservations(internal::Flow& aFlow);
  void SendRelease(internal::Release aRelease);

  // Helpers.
  void SetWake(internal::Flow& aFlow);
  RetryBudget& BudgetOf(const std::string& aService);
  std::size_t Entries() const;
  void NoteBreak(const internal::Flow& aFlow);
  std::uint32_t BreaksOf(std::uint64_t aFingerprint);
  void AddBreak(std::uint64_t aFingerprint);
  void TellPeers();
  void ForgetGonePeers();
  void Count(std::string aName, std::string aLabel);
  void Log(const internal::Flow& aFlow,
           std::string aDecision,
           std::vector<Field> aFields,
           bool aIsFailure);

  ForwardConfig config;
  std::shared_ptr<const RouteTable> table; // Null until one is known.
  std::map<std::string, RegisteredTarget> targets;
  LoadBook book;
  struct KnownPeer
  {
    std::uint64_t incarnation = 0;
    Instant heardAt;
  };
  std::map<std::string, KnownPeer> peers;
  RateMeter promptRate;                       // Prompts that this entry places.
  std::map<std::string, RetryBudget> budgets; // By service.
  struct Breaks
  {
    std::uint32_t count = 0;
    Instant until;
  };
  std::map<std::uint64_t, Breaks> breaks;              // By fingerprint.
  std::map<std::uint64_t, Instant> refused;            // Until when a refused fingerprint is known.
  std::set<std::pair<Instant, std::uint64_t>> timers;  // Flows by wake.
  std::map<std::uint64_t, std::uint64_t> attemptOwner; // Handle by attempt.
  std::map<std::uint64_t, std::uint64_t> orderOwner;   // Handle by order.
  std::map<std::uint64_t, internal::Release> releases; // By order.
  std::mt19937_64 random;
  std::uint64_t attemptSequence = 0;
  std::uint64_t orderSequence = 0;
  Instant tellAt = Instant::max(); // When changed loads are told.
  Instant houseAt; // When peers hear of this entry at the latest and old records are dropped.
};

} // namespace sycamorepost

#endif // SYCAMOREPOST_CORE_FORWARD_FORWARD_IMPL_H_
