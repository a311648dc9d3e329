// Offers the state of the sidecar's reducer. Its member functions lie in SidecarAdmission.cpp,
// SidecarWork.cpp, SidecarSpans.cpp, SidecarEntries.cpp and SidecarReducer.cpp.
#ifndef SYCAMOREPOST_CORE_SIDECAR_IMPL_H_
#define SYCAMOREPOST_CORE_SIDECAR_IMPL_H_

#include <deque>
#include <map>
#include <set>

#include "EngineQueue.h"
#include "OnceCalls.h"
#include "sycamorepost/Hash.h"
#include "sycamorepost/SidecarReducer.h"
#include "sycamorepost/Suspects.h"

namespace sycamorepost {

namespace internal {

// A permission to start, given with a probe's answer.
struct Ticket
{
  Instant expiresAt;
  std::vector<PrefixMark> prefix;
  std::uint32_t cachedTokens = 0;
};

// A piece of an answer, kept until the entry has it.
struct BufferedChunk
{
  std::uint64_t offset = 0;
  std::uint32_t count = 0;
  SharedBody text;
};

// One attempt, from its start until its entry has its end.
struct Attempt
{
  std::uint64_t id = 0;
  std::string entry;
  Start start;
  SharedBody body;
  std::vector<PrefixMark> prefix;
  Instant deadline;
  Instant startedAt;
  Instant leaseUntil;
  std::string engineIncarnation;        // The engine's, when the attempt was sent to it.
  std::uint64_t run = 0;                // The engine's id of the present run; 0 when there is none.
  std::optional<std::uint32_t> segment; // The part that the present run computes.
  std::optional<std::uint32_t> sendingSegment; // The part that is on its way to its holder.
  SharedBody segmentKvCache;                   // Its KV cache.
  Instant segmentSentAt;
  std::deque<BufferedChunk> chunks;
  std::uint64_t endOffset = 0; // The token offset after the last chunk.
  StreamDigest digest;
  std::uint64_t lastPingOffset = 0;
  bool pinged = false;
  std::optional<Finished> finished;
  SharedBody finishedBody;
};

// Memory kept for a part of a prompt that runs on another engine.
struct KvReservation
{
  std::string entry;
  std::uint32_t tokens = 0;
  Instant leaseUntil;
  bool imported = false;
};

} // namespace internal

class SidecarReducer::Impl
{
public:
  explicit Impl(SidecarConfig aConfig)
    : config(std::move(aConfig))
    , atMostOnceCalls(this->config, this->effects)
  {
  }

  void OnEvent(const MessageReceived& aReceived);
  void OnEvent(const PeerUnreachable& aPeer);
  void OnEvent(const RulesChanged& aChanged);
  void OnEvent(const FleetChanged& aChanged);
  void OnEvent(const Wake& aWake);
  void OnEvent(const EngineText& aText);
  void OnEvent(const EngineEnded& aEnded);
  void OnEvent(const EngineImported& aImported);
  void OnEvent(const EngineReport& aReport);
  void OnEvent(const ServiceEnded& aEnded);
  void OnEvent(const LogAppendEnded& aEnded);
  void OnEvent(const LogReadEnded& aEnded);
  void OnEvent(const LeaveOrdered& aRequested);

  void OnMessage(const Envelope& aFrom, const ProbeRequest& aRequest);
  void OnMessage(const Envelope& aFrom, const Start& aStart);
  void OnMessage(const Envelope& aFrom, const Cancel& aCancel);
  void OnMessage(const Envelope& aFrom, const Ping& aPing);
  void OnMessage(const Envelope& aFrom, const HoldAsk& aRequest);
  void OnMessage(const Envelope& aFrom, const HoldRelease& aRelease);
  void OnMessage(const Envelope& aFrom, const SpanPut& aTransfer);
  void OnMessage(const Envelope& aFrom, const SpanHeld& aReply);
  void OnMessage(const Envelope& aFrom, const SpanMoved& aMoved);
  void OnMessage(const Envelope& aFrom, const SuspectNotice& aNotice);
  void OnMessage(const Envelope& aFrom, const ClearedNotice& aNotice);
  template<typename Other>
  void OnMessage(const Envelope& /*aFrom*/, const Other& /*aOther*/)
  {
    this->Count("messages_unexpected", "");
  }

  std::optional<Instant> NextWake() const;
  bool Drained() const;
  nlohmann::json Dump(Instant aNow) const;

  Instant now;
  std::vector<SidecarEffect> effects;

private:
  // Admission.
  bool IsDraining() const;
  ProbeReply EvaluateProbe(const ProbeRequest& aRequest);
  internal::Prediction Predict(const WorkShape& aShape, std::uint32_t aCachedTokens);
  void EvaluateEngineProbe(const ProbeRequest& aRequest, ProbeReply& aReply);
  internal::EngineItem MakeEngineItem(const WorkShape& aShape, std::uint32_t aCachedTokens) const;
  std::optional<RefuseReason> CheckStart(const Start& aStart);
  void AcceptAttempt(const Envelope& aFrom, const Start& aStart, const internal::Ticket& aTicket);

  // Work on the target.
  void Dispatch();
  void FinishEngineAttempt(internal::Attempt& aAttempt, const EngineEnded& aEnded);
  void CallService(const internal::Attempt& aAttempt);
  void FinishAttempt(internal::Attempt& aAttempt, Finished aFinished, SharedBody aBody);
  void RefuseAttempt(internal::Attempt& aAttempt, RefuseReason aReason);
  void FailAttempt(internal::Attempt& aAttempt, const std::string& aReason, bool aTargetCrashed);
  void AbandonAttempt(std::uint64_t aAttempt);
  void AbandonEntryAttempts(const std::string& aEntry);
  void CheckEngine();
  void ResolveLostAttempts();
  bool NeedsAnotherCheck(const EngineReport& aReport);
  void BroadcastCrash(const internal::Attempt& aAttempt);
  void CancelOrphanedWork(const EngineReport& aReport);
  void FinishKeyedAttempts();

  // Parts of prompts that no engine holds alone.
  void StartNextRun(internal::Attempt& aAttempt);
  void StopRun(internal::Attempt& aAttempt);
  internal::Attempt* FindRun(std::uint64_t aRun);
  void BeginSegmentTransfer(internal::Attempt& aAttempt, const std::string& aKvCache);
  void SendSegment(internal::Attempt& aAttempt);
  void ResendSegments();
  void UpdateReservedTokens(std::uint64_t aExcludedReservation);
  void FreeReservation(std::uint64_t aReservation);
  void DropAllReservations();
  void FreeExpiredReservations();

  // Entries.
  void SendChunk(const internal::Attempt& aAttempt, const internal::BufferedChunk& aChunk);
  void ResendChunks(const internal::Attempt& aAttempt, std::uint64_t aFrom);
  void HandleAwaitedAttempt(const Envelope& aFrom,
                            const Waiting& aWaiting,
                            bool aReplyOverdue,
                            Pong& aPong);
  void ResetEntryConnection(const std::string& aEntry);
  void NotifyDraining();
  void PublishLoad();

  void Send(const std::string& aTo, Message aMessage, SharedBody aBody = nullptr);
  void Count(std::string aName, std::string aLabel, std::uint64_t aAmount = 1);
  void Log(std::string aText);

  SidecarConfig config;
  std::shared_ptr<const RuleSet> rules = std::make_shared<const RuleSet>();
  std::uint64_t rulesVersion = 0;
  FleetView fleet;
  Suspects crashTracker;
  bool drainRequested = false;
  bool drainingNotified = false;

  std::map<std::uint64_t, internal::Ticket> tickets;
  std::uint64_t ticketSequence = 0;
  std::map<std::uint64_t, internal::Attempt> attempts;
  std::map<std::uint64_t, Instant>
    startedAttemptIds; // So that a lost attempt is told from one never seen.
  std::map<std::string, Instant> entryLastReceivedAt;
  std::map<std::string, Instant> entryResetAt; // By entry.

  internal::EngineQueue queue;
  internal::PrefixMemory prefixes;
  EngineState engineState = EngineState::Gone;
  std::string engineIncarnation;
  bool checking = false;
  bool checkIsStale = false; // The check on its way was sent before a stream broke.
  std::uint32_t unresponsiveChecks =
    0; // Checks in a row that said nothing while streams wait for one.
  Instant nextCheckAt;
  std::optional<Instant> nextDispatchAt;
  std::map<std::uint64_t, std::uint64_t> runs; // Attempt by run.
  std::uint64_t runSequence = 0;
  std::map<std::uint64_t, internal::KvReservation> reservations;
  std::set<std::uint64_t> lostAttempts; // Attempts whose stream broke; the next report explains it.
  Instant nextLoadReportAt;

  std::map<std::uint64_t, std::uint64_t>
    repeatableCalls; // internal::Attempt by call id, for repeatable calls.
  internal::AtMostOnceCalls atMostOnceCalls;
};

} // namespace sycamorepost

#endif // SYCAMOREPOST_CORE_SIDECAR_IMPL_H_
