// The state of the forwarding reducer. Its member functions are defined in ForwardReducer.cpp and
// in the files of the folders below whose names begin with Forward.
#ifndef SYCAMOREPOST_CORE_FORWARD_FORWARD_IMPL_H_
#define SYCAMOREPOST_CORE_FORWARD_FORWARD_IMPL_H_

#include <algorithm>
#include <array>
#include <random>
#include <set>

#include "sycamorepost/forward/ForwardReducer.h"
#include "sycamorepost/forward/admission/RetryBudget.h"
#include "sycamorepost/forward/load/RateMeter.h"
#include "sycamorepost/forward/placement/Placement.h"
#include "sycamorepost/forward/request/EventStream.h"
#include "sycamorepost/forward/sharing/ConfigurationFetcher.h"

namespace sycamorepost::internal {

// The shortest time without an event after which a stream counts as failed: half of the time that
// callers wait for one, so that another target can still respond.
inline constexpr Duration kMinStallTimeout = std::chrono::milliseconds(900);

// The number of events from which on a response has got on: an engine that its prompt crashes does
// so within two passes.
inline constexpr std::uint32_t kEventsOfProgress = 3;

// A prompt that takes longer to prefill is long: it delays the streams of its engines noticeably.
inline constexpr Duration kLongPrefill = std::chrono::milliseconds(150);

// With less remaining time than this, no target could respond.
inline constexpr Duration kMinRemaining = std::chrono::milliseconds(5);

// Memory that is reserved, or being reserved, on one engine.
struct HelperReservation
{
  std::string name;
  std::string instance;
  std::string address;
  std::uint64_t tokens = 0;
  std::uint64_t command = 0; // The pending command; 0 when there is none.
  bool granted = false;
};

// A release command that was sent and has not ended.
struct PendingRelease
{
  HelperReservation reservation;
  std::uint32_t attempts = 1;
};

// A target whose connections broke while prompts ran on it; a check shows whether it has crashed.
struct SuspectedCrash
{
  RegisteredTarget target;
  std::vector<PartSet> prompts;       // Those whose response had not got on.
  Instant checkAt = Instant::max();   // When the check is due.
  Instant expiresAt = Instant::max(); // When a crash that was not confirmed is forgotten.
};

// One exchange with a target.
struct Attempt
{
  std::uint64_t id = 0;
  Placement placement;
  Instant startedAt;
  std::optional<int> status; // Empty until the response head is received.
  std::vector<Field> fields;
  std::string body;                // Of a response that is passed on as a whole.
  bool isStream = false;           // Its events are passed on as they are received.
  bool delivered = false;          // At least one of its events was passed on.
  bool isStalled = false;          // Its target has sent nothing for too long.
  std::uint32_t eventCount = 0;    // Complete events received.
  Instant lastEventAt;             // When the last one was received.
  std::uint32_t runningBefore = 0; // Requests on the target when it was sent.
  std::size_t bufferedBytes = 0;   // Of the body and the incomplete event, as counted in the total.
  EventStreamParser events;
};

// Another attempt of a request, beside the current one. It is kept because its target may be at
// work, until one of the attempts brings something for the caller.
struct OtherAttempt
{
  Attempt attempt;
  std::vector<HelperReservation> reservations; // Those that it uses.
};

// The state of one request of a caller.
struct RequestState
{
  ForwardRequest request;
  std::shared_ptr<const RouteTable> table; // Keeps the route valid.
  const RouteRule* route = nullptr;
  std::string service;
  std::string account;
  std::uint32_t priority = 0;
  Instant arrivedAt;
  Instant deadline;                            // For the complete response.
  std::optional<Attempt> attempt;              // The current one.
  std::vector<HelperReservation> reservations; // Of the current attempt or pending placement.
  std::optional<Placement> pendingPlacement;   // Started once its reservations are granted.
  std::vector<OtherAttempt> otherAttempts;

  // Returns whether memory is reserved, or being reserved, for any of the attempts.
  bool HasReservations() const
  {
    return !this->reservations.empty() ||
           std::any_of(this->otherAttempts.begin(),
                       this->otherAttempts.end(),
                       [](const OtherAttempt& aOther) { return !aOther.reservations.empty(); });
  }

  // Returns whether a target may have worked for it.
  bool HasStarted() const { return this->reachedAttempts > 0 || this->headSent; }

  Instant startAt = Instant::max(); // When its first attempt starts, if that waits.
  Instant renewAt;                  // When the reservations are renewed.
  Instant stallAt = Instant::max(); // When the attempt counts as stalled.
  Instant wakeAt = Instant::max();
  std::set<std::string> triedInstances;
  std::uint32_t runs = 0;                // Attempts that may have run.
  std::uint32_t reachedAttempts = 0;     // Attempts that reached a target.
  std::uint32_t unreachableAttempts = 0; // Attempts without a connection.
  std::uint32_t placements = 0;
  bool hasRetry = false; // A retry is spent already.
  bool isTrial = false;  // It runs although parts of its prompt are quarantined.
  bool headSent = false;
  std::optional<std::uint64_t> lastEventId; // The last event that the caller has.
  Instant lastEventAt;                      // When it was passed on.
  Duration maxEventGap{};                   // Between two events that were passed on.
  std::string lastFailure;
  Duration retryAfterHint{}; // Predicted wait of the last failed placement.
  // The hint is not a prediction: it is what the targets asked for.
  bool isRetryAfterRequested = false;
};

// Whether an attempt of a request is started, or why the request fails instead.
enum class LaunchVerdict : std::uint8_t
{
  Start,
  Quarantined, // A part of its prompt is.
  UnknownService,
  NoTime, // The deadline is too close, or too many targets were tried.
  NoTarget,
  Full,
  TooLarge,
  Paused,
  ColdSharesSpent,
  TooCostly,
  TooLate, // The first event is predicted to come too late.
};

inline constexpr std::array<const char*, 11> kLaunchReasons{
  "",
  "a part of the prompt crashes engines",
  "the service is unknown",
  "no time is left for another target",
  "no target is known",
  "all engines' memory is taken",
  "the prompt is larger than all engines",
  "all targets want no work for a while",
  "the targets are cold and get no more requests now",
  "the prompt would delay too many other streams",
  "the first event would come too late"
};

// The decision on the next attempt of a request, before anything is sent, reserved or recorded.
struct LaunchDecision
{
  LaunchVerdict verdict = LaunchVerdict::Start;
  Placement placement;          // Valid for Start and TooLate.
  Duration maxFirstEventWait{}; // The longest accepted wait for the first event. Valid likewise.
  // The next values of the members of RequestState that have these names.
  Duration retryAfterHint{};
  bool isRetryAfterRequested = false;
};

} // namespace sycamorepost::internal

namespace sycamorepost {

class ForwardReducer::Impl
{
public:
  explicit Impl(ForwardConfig aConfig);

  void OnEvent(const ForwardRequest& aRequest);
  void OnEvent(const ForwardCallerDisconnected& aDisconnect);
  void OnEvent(const AttemptHead& aHead);
  void OnEvent(const AttemptData& aData);
  void OnEvent(const AttemptEnd& aEnd);
  void OnEvent(const ReservationCommandEnd& aEnd);
  void OnEvent(const RoutesChanged& aChanged);
  void OnEvent(const TargetsChanged& aChanged);
  void OnEvent(const EvacuationRead& aRead);
  void OnEvent(const PeerEvacuationReport& aReport);
  void OnEvent(const EntriesChanged& aChanged);
  void OnEvent(const PeerLoadReport& aReport);
  void OnEvent(const DomainLoadReport& aReport);
  void OnEvent(const PeerConfigurationReceived& aReceived);
  void OnEvent(const ConfigurationReadEnd& aEnd);
  void OnEvent(const PeerAbortReport& aReport);
  void OnEvent(const PeerLeavingReport& aReport);
  void OnEvent(const TargetChecked& aChecked);
  void OnEvent(const TargetCrashReport& aReport);
  void OnEvent(const PeerQuarantineReport& aReport);
  void OnEvent(const StopAnnounced& aStop);
  void OnEvent(const Wake& aWake);

  // Records that an event is about to be handled.
  void BeginStep(Instant aNow);
  // Schedules a broadcast when the last event changed the load of this entry.
  void ScheduleBroadcast();
  // Requests the configuration from a peer when that is due.
  void RequestDueConfiguration();
  std::optional<Instant> NextWake() const;
  bool Ready() const;
  const EntryGroup& Entries() const { return this->group; }
  const EvacuationView& Evacuations() const { return this->evacuated.View(); }
  std::size_t SlowTargets() const { return this->pace.SlowCount(); }
  std::size_t DomainRank(Instant aNow) const;
  nlohmann::json Dump(Instant aNow) const;
  PlacementExplanation Explain(const ForwardRequest& aRequest, Instant aNow) const;

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
  // The bounds between which a Retry-After is drawn.
  struct RetryAfterRange
  {
    Duration min;
    Duration max;
  };
  std::optional<Refusal> Admit(internal::RequestState& aState, Instant aNow) const;
  void Begin(internal::RequestState& aState);
  Instant StartDeadline(Instant aNow) const;
  bool IsStarting(Instant aNow) const;
  std::optional<Duration> MaxReportWait(const internal::RequestState& aState, Instant aNow) const;
  void BeginHeldRequests();
  static std::string PickService(const RouteRule& aRoute, std::mt19937_64& aRandom);
  void Refuse(internal::RequestState& aState, const Refusal& aRefusal);
  static std::optional<RetryAfterRange> RetryAfterOf(const internal::RequestState& aState,
                                                     int aStatus);

  // Attempts.
  void Launch(internal::RequestState& aState);
  internal::LaunchDecision DecideLaunch(const internal::RequestState& aState,
                                        std::mt19937_64& aRandom,
                                        Instant aNow,
                                        PlacementRanking* aRanking = nullptr) const;
  void FailLaunch(internal::RequestState& aState, const internal::LaunchDecision& aDecision);
  PlacementRequest MakePlacementRequest(const internal::RequestState& aState,
                                        const ServiceTraits& aService,
                                        Instant aNow) const;
  double UnreportedElsewhere(double aInDomain, Instant aNow) const;
  void StartPlaced(internal::RequestState& aState, Placement aPlacement);
  std::uint32_t UrgencyOf(const internal::RequestState& aState) const;
  void ArmStallTimer(internal::RequestState& aState, Duration aTimeout);
  Duration MaxFirstEventWait(const internal::RequestState& aState, Instant aNow) const;
  double MaxCostShare(const internal::RequestState& aState, Instant aNow) const;
  bool IsReturning(const internal::RequestState& aState, Instant aNow) const;
  Duration FirstEventTimeout(const internal::RequestState& aState) const;
  internal::RequestState* FindAttempt(std::uint64_t aAttempt);
  void CloseAttempt(internal::RequestState& aState, bool aCancel);
  void EndWork(const internal::Attempt& aAttempt, bool aCancel);

  // Explanations.
  static ExplainedRefusal
  ExplainRefusal(const internal::RequestState& aState, int aStatus, const std::string& aReason);
  void DescribeDecision(const internal::LaunchDecision& aDecision,
                        const PlacementRanking& aRanking,
                        Instant aNow,
                        PlacementExplanation& aExplanation) const;
  ExplainedTarget DescribeTarget(const RegisteredTarget& aTarget, Instant aNow) const;

  // Attempts beside the current one.
  void SetAside(internal::RequestState& aState);
  void MakeCurrent(internal::RequestState& aState, std::uint64_t aAttempt);
  bool ReturnToOther(internal::RequestState& aState, bool aMayBeStalled);
  void CancelOthers(internal::RequestState& aState);
  void FailStalledAttempts(const std::string& aInstance);
  void LogTakeover(const internal::RequestState& aState,
                   const internal::Attempt& aOther,
                   const char* aResult);
  void DeliverEvents(internal::RequestState& aState, const std::string& aBytes);
  void PassOnEvents(internal::RequestState& aState, std::string aEvents);
  void CompleteBuffered(internal::RequestState& aState);
  bool CountBuffered(internal::Attempt& aAttempt);
  void FailAttempt(internal::RequestState& aState, const std::string& aReason, bool aCancel);
  void HandleNotExecuted(internal::RequestState& aState, const std::string& aReason);
  bool MayRetry(const internal::RequestState& aState) const;
  bool TrySpendRetry(internal::RequestState& aState);
  void FailRequest(internal::RequestState& aState, const std::string& aReason);
  static int FailureStatus(const internal::RequestState& aState, Instant aNow);
  void OnStall(internal::RequestState& aState);
  void OnDeadline(internal::RequestState& aState);
  void EndRequest(internal::RequestState& aState);

  // Crashes of targets, and the parts of prompts that cause them.
  std::optional<internal::LaunchDecision> FindQuarantine(const internal::RequestState& aState,
                                                         Instant aNow) const;
  void BeginTrial(internal::RequestState& aState);
  void RecordProgress(const internal::RequestState& aState);
  void SuspectCrash(const internal::RequestState& aState);
  void ConfirmCrash(const std::string& aInstance);
  void ShareQuarantined(std::vector<std::string> aRecipients, bool aIsRelayed);
  void RequestQuarantined();
  void RunCrashWork();
  Instant NextCrashWork() const;

  // Reservations.
  bool ReserveMemory(internal::RequestState& aState, const Placement& aPlacement);
  void SendReserve(internal::HelperReservation& aReservation, std::uint64_t aHandle);
  void TryStartReserved(internal::RequestState& aState);
  void RenewReservations(internal::RequestState& aState);
  void ReleaseReservations(std::vector<internal::HelperReservation>& aReservations);
  void SendRelease(internal::PendingRelease aRelease);

  // The pace of targets.
  void SampleEvents(internal::Attempt& aAttempt, std::uint32_t aNewEvents);
  void SampleFirstEvent(const internal::Attempt& aAttempt);
  void SampleCall(const internal::RequestState& aState);
  void RefreshPace();
  std::vector<TargetLoadReport> TakeLoadChanges();
  std::vector<TargetLoadReport> LoadSnapshot();

  // Timers, budgets, peers and logging.
  void SetWake(internal::RequestState& aState);
  RetryBudget& BudgetOf(const std::string& aService);
  void RecordPeerVersion(const std::string& aPeer, std::uint64_t aVersion);
  std::size_t EntryCount() const;
  Duration BroadcastDelay() const;
  void ReportDomainLoad();
  std::vector<std::string> AllPeers() const;
  void RecordAbort(const internal::RequestState& aState);
  void RecordAnnouncement(const RegisteredTarget& aTarget, const TargetAnnouncement& aAnnouncement);
  bool IsUsable(const std::string& aInstance) const;
  void RecordRegistrations(const TargetsChanged& aChanged);
  void RecordColdness(const RegisteredTarget& aTarget, Duration aRemaining);
  void LogCold(const std::string& aInstance, const char* aSource);
  nlohmann::json DumpCold(Instant aNow) const;
  void AdoptEvacuations(const EvacuationView& aView, const std::string& aPeer);
  void ExpireEvacuations();
  void LogEvacuations(const std::set<std::string>& aBefore, const std::string& aSource);
  std::uint32_t AbortCount(std::uint64_t aFingerprint, Instant aNow) const;
  void AddAbort(std::uint64_t aFingerprint);
  void RunPeriodicWork();
  void RemoveUnresponsivePeers();
  void Count(std::string aName, std::string aLabel);
  void Log(const internal::RequestState& aState,
           std::string aDecision,
           std::vector<Field> aFields,
           bool aIsFailure);

  ForwardConfig config;
  std::shared_ptr<const RouteTable> table; // Null until the first routes are known.
  std::map<std::string, RegisteredTarget> targets;
  LoadTracker loadTracker;
  TargetPace pace;
  TargetNotices notices;
  EvacuatedDomains evacuated;
  ColdShares coldShares;
  ConfigurationFetcher fetcher;
  EntryGroup group;
  struct KnownPeer
  {
    std::uint64_t incarnation = 0;
    Instant lastReceivedAt;
  };
  std::map<std::string, KnownPeer> peers; // By address.
  struct KnownDomain
  {
    std::size_t entries = 0;
    Instant lastReceivedAt;
  };
  std::map<std::string, KnownDomain> domains; // Other failure domains, by name.
  RateMeter promptRate;                       // Prompts placed by this entry.
  std::map<std::string, RetryBudget> budgets; // By service.
  struct AbortRecord
  {
    std::uint32_t count = 0;
    Instant expiresAt;
  };
  std::map<std::uint64_t, AbortRecord> aborts; // By fingerprint.
  PartQuarantine quarantine;
  std::map<std::string, internal::SuspectedCrash> suspectedCrashes; // By instance.
  std::map<std::uint64_t, Instant> recentRefusals;                  // Expiry by fingerprint.
  std::set<std::pair<Instant, std::uint64_t>> timers;  // Handles by the time of their wake-up.
  std::map<std::uint64_t, std::uint64_t> attemptOwner; // Handle by attempt.
  std::size_t bufferedBytes = 0;                       // Of all attempts.
  std::map<std::uint64_t, std::uint64_t> commandOwner; // Handle by command.
  std::map<std::uint64_t, internal::PendingRelease> releases; // By command.
  std::optional<Instant> startedAt;                           // When the first event was handled.
  std::vector<std::uint64_t> heldWhileStarting; // Handles of requests; some may have ended.
  Instant stopsAt = Instant::max();             // When the process stops, once that is announced.
  std::mt19937_64 random;
  std::uint64_t attemptSequence = 0;
  std::uint64_t commandSequence = 0;
  Instant broadcastAt = Instant::max();    // When changed loads are broadcast.
  Instant domainReportAt = Instant::max(); // When the domain's load is due to be reported.
  // When old records are dropped, and the load is broadcast even if nothing changed.
  Instant housekeepingAt;
};

} // namespace sycamorepost

#endif // SYCAMOREPOST_CORE_FORWARD_FORWARD_IMPL_H_
