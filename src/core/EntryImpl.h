// The state of the entry's reducer. Its member functions are defined in EntryAdmission.cpp,
// EntryStart.cpp, EntryAttempts.cpp, EntryGroups.cpp, EntryPeers.cpp and EntryReducer.cpp.
#ifndef SYCAMOREPOST_CORE_ENTRY_IMPL_H_
#define SYCAMOREPOST_CORE_ENTRY_IMPL_H_

#include "EntryCall.h"
#include "sycamorepost/EntryReducer.h"
#include "sycamorepost/internal/PeerTable.h"

namespace sycamorepost {

// Capacity of the retry budget: the number of retries that an idle entry may make in a burst.
inline constexpr double kRetryBurst = 10;

// An error that ends a request without a response from a target.
struct Refusal
{
  int status;
  const char* code;
  std::string message;
};

// The refusal of a request whose fingerprint is blocked.
inline const Refusal kBlockedRefusal{ 422,
                                      "request_blocked",
                                      "This request stopped its engine twice and is blocked." };

// How long a target's draining notice stays in force. If it is still draining afterwards, its next
// probe reply reports that again.
inline constexpr Duration kDrainingNoticeTtl = std::chrono::seconds(10);

class EntryReducer::Impl
{
public:
  explicit Impl(EntryConfig aConfig)
    : config(std::move(aConfig))
  {
    this->choice.random.seed(this->config.seed);
  }

  void OnEvent(const CallerRequest& aRequest);
  void OnEvent(const CallerDisconnected& aGone);
  void OnEvent(const MessageReceived& aReceived);
  void OnEvent(const RulesChanged& aChanged);
  void OnEvent(const FleetChanged& aChanged);
  void OnEvent(const Wake& aWake);

  void OnMessage(const Envelope& aFrom, const ProbeReply& aReply);
  void OnMessage(const Envelope& aFrom, const Refused& aRefused);
  void OnMessage(const Envelope& aFrom, const Chunk& aChunk);
  void OnMessage(const Envelope& aFrom, const Finished& aFinished);
  void OnMessage(const Envelope& aFrom, const Pong& aPong);
  void OnMessage(const Envelope& aFrom, const ReserveReply& aReply);
  void OnMessage(const Envelope& aFrom, const SegmentStored& aDone);
  void OnMessage(const Envelope& aFrom, const DrainingNotice& aNotice);
  void OnMessage(const Envelope& aFrom, const CrashNotice& aNotice);
  void OnMessage(const Envelope& aFrom, const CrashClearedNotice& aNotice);
  void OnMessage(const Envelope& aFrom, const LoadNotice& aNotice);
  template<typename Other>
  void OnMessage(const Envelope& /*aFrom*/, const Other& /*aOther*/)
  {
    this->Count("messages_unexpected", "");
  }

  std::optional<Instant> NextWake() const;
  nlohmann::json Dump(Instant aNow) const;

  std::vector<EntryEffect> effects;
  Instant now;
  std::map<std::uint64_t, internal::Call> calls; // By handle.

private:
  // Admission.
  std::optional<Refusal> Route(internal::Call& aCall) const;
  std::optional<Refusal> RouteCompletion(internal::Call& aCall) const;
  std::optional<Refusal> RouteService(internal::Call& aCall) const;
  std::optional<Refusal> CheckKey(const internal::Call& aCall, const ServiceRule& aService) const;
  bool AdmitAccount(const internal::Call& aCall);
  void Refuse(std::uint64_t aHandle, const Refusal& aRefusal, std::optional<Duration> aRetryAfter);

  // Target choice, probing and start of attempts.
  TargetList UsableTargets(const internal::Call& aCall) const;
  bool IsUsable(const TargetInfo& aTarget, const internal::Call& aCall) const;
  bool IsReservedForShortPrompts(const TargetInfo& aTarget, const internal::Call& aCall) const;
  void UpdateShortPromptEngines();
  TargetList ChooseTargets(const internal::Call& aCall, const TargetList& aUsable);
  TargetList ChooseRunner(const internal::Call& aCall, const TargetList& aUsable) const;
  TargetList ChooseQuarantineEngine(const internal::Call& aCall, const TargetList& aUsable) const;
  TargetList ChooseHome(const internal::Call& aCall, const TargetList& aUsable) const;
  TargetList ChooseRandom(const TargetList& aUsable);
  void StartProbeRound(internal::Call& aCall);
  void SendProbe(internal::Call& aCall, const TargetInfo& aTarget);
  void EvaluateProbeRound(internal::Call& aCall);
  void FailProbeRound(internal::Call& aCall);
  void RecordUnansweredProbe(const internal::ProbeSlot& aSlot);
  void ResetSilentConnection(const std::string& aAddress);
  void BackOff(internal::Call& aCall);
  void StartAttempt(internal::Call& aCall, const internal::ProbeSlot& aSlot);
  RequestShape MakeRequestShape(const internal::Call& aCall) const;

  // Groups of engines that share the KV cache of one prompt.
  bool CanFormGroup(const internal::Call& aCall) const;
  void FormGroup(internal::Call& aCall);
  void RequestReservation(internal::Call& aCall, internal::GroupMember& aMember);
  void ReserveNextMember(internal::Call& aCall);
  void OnReservationWake(internal::Call& aCall);
  void ReleaseReservation(internal::GroupMember& aMember);
  void ForgetReservation(internal::GroupMember& aMember);
  void ReleaseGroup(internal::Call& aCall);
  void ReplaceMember(internal::Call& aCall, internal::GroupMember& aMember);
  void ReplaceMembersAt(const std::string& aAddress);
  bool AllGranted(const internal::Call& aCall) const;
  internal::GroupMember* FindReservation(std::uint64_t aReservation, internal::Call** aCall);

  // Attempts and completion of requests.
  internal::Call* FindAttempt(std::uint64_t aAttempt);
  void CancelUnknownAttempt(const Envelope& aFrom, std::uint64_t aAttempt);
  void DropAttempt(internal::Call& aCall);
  void HandleLostAttempt(internal::Call& aCall, const std::string& aReason, bool aCancelOnSidecar);
  void RetryOrFail(internal::Call& aCall, const std::string& aReason);
  void FinishCompletion(internal::Call& aCall, const Finished& aFinished);
  void FinishService(internal::Call& aCall, const Envelope& aFrom, const Finished& aFinished);
  void OnDeadline(internal::Call& aCall);
  void FailWithoutTarget(internal::Call& aCall);
  Outcome OutcomeWithoutResponse(const internal::Call& aCall) const;
  void End(internal::Call& aCall, ResponseEnd aEnd);
  void EndWithError(internal::Call& aCall, Outcome aOutcome, Refusal aRefusal);

  // Monitoring of peers.
  void CheckPeers();
  void CheckPeer(const std::string& aAddress, internal::Peer& aPeer);
  std::vector<std::uint64_t> CallsAt(const std::string& aAddress) const;
  bool HasStalledAttempt(const std::string& aAddress) const;
  void SendPing(const std::string& aAddress, const internal::Peer& aPeer);

  // Utilities.
  const AccountRule& AccountOf(const internal::Call& aCall) const;
  void Send(const std::string& aTo, Message aMessage, SharedBody aBody = nullptr);
  void Count(std::string aName, std::string aLabel);
  void Log(const internal::Call& aCall, const std::string& aText);

  EntryConfig config;
  std::shared_ptr<const RuleSet> rules = std::make_shared<const RuleSet>();
  std::uint64_t rulesVersion = 0;
  FleetView fleet;
  std::set<std::string> shortPromptEngines; // Engines reserved for short prompts by the rules.
  AccountLimits limits;
  CrashTracker crashTracker;
  ChoiceState choice;
  TokenBucket retryBudget{ kRetryBurst, 0 };
  internal::PeerTable peers;
  std::map<std::string, EngineStats> engineStats;          // By target name.
  std::map<std::string, Instant> drainingUntil;            // By target name.
  std::map<std::uint64_t, std::uint64_t> probeOwner;       // Request handle by probe.
  std::map<std::uint64_t, std::uint64_t> attemptOwner;     // Request handle by attempt.
  std::map<std::uint64_t, std::uint64_t> reservationOwner; // Request handle by reservation.
  std::uint64_t probeSequence = 0;
  Instant nextPeerCheckAt;
  Instant nextPruneAt;
};

} // namespace sycamorepost

#endif // SYCAMOREPOST_CORE_ENTRY_IMPL_H_
