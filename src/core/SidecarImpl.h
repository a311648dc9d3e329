// Declares the implementation of SidecarReducer. Its member functions are defined in
// SidecarAdmission.cpp, SidecarWork.cpp, SidecarSegments.cpp, SidecarEntries.cpp and
// SidecarReducer.cpp.
#ifndef SYCAMOREPOST_CORE_SIDECAR_IMPL_H_
#define SYCAMOREPOST_CORE_SIDECAR_IMPL_H_

#include <deque>
#include <map>
#include <set>

#include "AtMostOnceCalls.h"
#include "EngineQueue.h"
#include "sycamorepost/CrashTracker.h"
#include "sycamorepost/Hash.h"
#include "sycamorepost/SidecarReducer.h"

namespace sycamorepost {

namespace internal {

// A permission to start an attempt, granted in the reply to a probe.
struct Ticket
{
  Instant expiresAt;
  std::vector<PrefixHash> prefix;
  std::uint32_t cachedTokens = 0;
};

// A chunk of a response, buffered until the entry has received it.
struct BufferedChunk
{
  std::uint64_t offset = 0;
  std::uint32_t count = 0;
  SharedBody text;
};

// An attempt, from its start until the entry has received its end.
struct Attempt
{
  std::uint64_t id = 0;
  std::string entry;
  Start start;
  SharedBody body;
  std::vector<PrefixHash> prefix;
  Instant deadline;
  Instant startedAt;
  Instant leaseUntil;
  std::string engineIncarnation;        // The engine's incarnation when the run began.
  std::uint64_t run = 0;                // The current run's id on the engine; 0 when there is none.
  std::optional<std::uint32_t> segment; // The segment that the current run prefills.
  std::optional<std::uint32_t> sendingSegment; // The segment being transferred.
  SharedBody segmentKvCache;                   // The KV cache of the segment being transferred.
  Instant segmentSentAt;
  std::deque<BufferedChunk> chunks;
  std::uint64_t endOffset = 0; // The offset after the last chunk's last token.
  StreamDigest digest;
  std::uint64_t lastPingOffset = 0; // The offset that the entry needed at its last ping.
  bool pinged = false;
  std::optional<Finished> finished;
  SharedBody finishedBody;
};

// KV memory reserved for a segment of a prompt that another engine runs.
struct KvReservation
{
  std::string entry;
  std::uint32_t tokens = 0;
  Instant leaseUntil;
  bool imported = false; // Whether the engine stores the segment's KV cache.
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
  void OnEvent(const DrainRequested& aRequested);

  void OnMessage(const Envelope& aFrom, const ProbeRequest& aRequest);
  void OnMessage(const Envelope& aFrom, const Start& aStart);
  void OnMessage(const Envelope& aFrom, const Cancel& aCancel);
  void OnMessage(const Envelope& aFrom, const Ping& aPing);
  void OnMessage(const Envelope& aFrom, const ReserveRequest& aRequest);
  void OnMessage(const Envelope& aFrom, const ReserveRelease& aRelease);
  void OnMessage(const Envelope& aFrom, const SegmentTransfer& aTransfer);
  void OnMessage(const Envelope& aFrom, const SegmentTransferReply& aReply);
  void OnMessage(const Envelope& aFrom, const SegmentMoved& aMoved);
  void OnMessage(const Envelope& aFrom, const CrashNotice& aNotice);
  void OnMessage(const Envelope& aFrom, const CrashClearedNotice& aNotice);
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
  internal::LatencyPrediction Predict(const RequestShape& aShape, std::uint32_t aCachedTokens);
  void EvaluateEngineProbe(const ProbeRequest& aRequest, ProbeReply& aReply);
  internal::EngineWorkItem MakeEngineItem(const RequestShape& aShape,
                                          std::uint32_t aCachedTokens) const;
  std::optional<RefusalReason> CheckStart(const Start& aStart);
  void AcceptAttempt(const Envelope& aFrom, const Start& aStart, const internal::Ticket& aTicket);

  // Runs and calls on the target.
  void Dispatch();
  void FinishEngineAttempt(internal::Attempt& aAttempt, const EngineEnded& aEnded);
  void CallService(const internal::Attempt& aAttempt);
  void FinishAttempt(internal::Attempt& aAttempt, Finished aFinished, SharedBody aBody);
  void RefuseAttempt(internal::Attempt& aAttempt, RefusalReason aReason);
  void FailAttempt(internal::Attempt& aAttempt, const std::string& aReason, bool aTargetCrashed);
  void AbandonAttempt(std::uint64_t aAttempt);
  void AbandonEntryAttempts(const std::string& aEntry);
  void CheckEngine();
  void ResolveLostAttempts();
  bool NeedsAnotherCheck(const EngineReport& aReport);
  void BroadcastCrash(const internal::Attempt& aAttempt);
  void CancelOrphanedWork(const EngineReport& aReport);
  void FinishKeyedAttempts();

  // Segments of prompts that exceed the memory of one engine, and KV reservations for them.
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

  // Communication with entries.
  void SendChunk(const internal::Attempt& aAttempt, const internal::BufferedChunk& aChunk);
  void ResendChunks(const internal::Attempt& aAttempt, std::uint64_t aFrom);
  void HandleAwaitedAttempt(const Envelope& aFrom,
                            const AwaitedAttempt& aWaiting,
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
  CrashTracker crashTracker;
  bool drainRequested = false;
  bool drainingNotified = false;

  std::map<std::uint64_t, internal::Ticket> tickets;
  std::uint64_t ticketSequence = 0;
  std::map<std::uint64_t, internal::Attempt> attempts;
  // When each id of a started attempt expires; distinguishes a lost attempt from one whose start
  // message never arrived.
  std::map<std::uint64_t, Instant> startedAttemptIds;
  std::map<std::string, Instant> entryLastReceivedAt;
  std::map<std::string, Instant> entryResetAt; // The last reset of the connection, by entry.

  internal::EngineQueue queue;
  internal::PrefixCacheEstimate prefixes;
  EngineState engineState = EngineState::Down;
  std::string engineIncarnation;
  bool checking = false;
  bool checkIsStale = false; // The check in flight was sent before a stream broke.
  // The number of consecutive checks that timed out while there were lost attempts.
  std::uint32_t unresponsiveChecks = 0;
  Instant nextCheckAt;
  std::optional<Instant> nextDispatchAt;
  std::map<std::uint64_t, std::uint64_t> runs; // Attempt id by run id.
  std::uint64_t runSequence = 0;
  std::map<std::uint64_t, internal::KvReservation> reservations;
  std::set<std::uint64_t> lostAttempts; // Attempts whose stream broke; the next report shows why.
  Instant nextLoadReportAt;

  std::map<std::uint64_t, std::uint64_t> repeatableCalls; // Attempt id by call id.
  internal::AtMostOnceCalls atMostOnceCalls;
};

} // namespace sycamorepost

#endif // SYCAMOREPOST_CORE_SIDECAR_IMPL_H_
