#include "SidecarImpl.h"

#include <algorithm>

namespace sycamorepost {

namespace {

using internal::Attempt;
using internal::BufferedChunk;

// When an entry has received nothing for this long, its connection is reset; also the minimum time
// between resets.
constexpr Duration kSilenceBeforeReset = std::chrono::milliseconds(1000);
constexpr Duration kEntryRecordTtl = std::chrono::minutes(1);
constexpr Duration kLoadReportInterval = std::chrono::seconds(1);

} // namespace

void
SidecarReducer::Impl::OnEvent(const MessageReceived& aReceived)
{
  const Envelope& envelope = aReceived.envelope;
  const bool outdated =
    envelope.toIncarnation != 0 && envelope.toIncarnation != this->config.incarnation;
  const auto* start = std::get_if<Start>(&envelope.message);
  if (outdated && start) {
    this->Send(envelope.from, Refused{ start->attempt, RefusalReason::Incarnation });
    return;
  }
  std::visit([&](const auto& aMessage) { this->OnMessage(envelope, aMessage); }, envelope.message);
}

// Messages to an entry are undeliverable. If none was received from it for unreachableTimeout
// either, the entry is considered down and its attempts are cancelled.
void
SidecarReducer::Impl::OnEvent(const PeerUnreachable& aPeer)
{
  const auto lastReceived = this->entryLastReceivedAt.find(aPeer.peer);
  const bool recent = lastReceived != this->entryLastReceivedAt.end() &&
                      this->now - lastReceived->second < this->config.unreachableTimeout;
  if (!recent) {
    this->AbandonEntryAttempts(aPeer.peer);
  }
}

void
SidecarReducer::Impl::AbandonEntryAttempts(const std::string& aEntry)
{
  std::vector<std::uint64_t> ids;
  for (const auto& [id, attempt] : this->attempts) {
    const bool old = this->now - attempt.startedAt >= this->config.unreachableTimeout;
    if (attempt.entry == aEntry && old) {
      ids.push_back(id);
    }
  }
  for (const std::uint64_t id : ids) {
    this->Count("attempts_orphaned", "");
    this->AbandonAttempt(id);
  }
  for (auto& [id, reservation] : this->reservations) {
    if (reservation.entry == aEntry) {
      reservation.leaseUntil = this->now;
    }
  }
  this->FreeExpiredReservations();
}

void
SidecarReducer::Impl::OnMessage(const Envelope& /*aFrom*/, const Cancel& aCancel)
{
  this->tickets.erase(aCancel.ticket);
  this->AbandonAttempt(aCancel.attempt);
}

void
SidecarReducer::Impl::OnMessage(const Envelope& aFrom, const Ping& aPing)
{
  this->entryLastReceivedAt[aFrom.from] = this->now;
  const bool replyOverdue =
    std::chrono::milliseconds(aPing.lastReceivedAgoMs) >= kSilenceBeforeReset;
  if (replyOverdue) {
    this->ResetEntryConnection(aFrom.from);
  }
  std::set<std::uint64_t> awaitedIds;
  Pong pong;
  for (const std::uint64_t reservation : aPing.reservations) {
    const auto found = this->reservations.find(reservation);
    if (found == this->reservations.end()) {
      pong.lostReservations.push_back(reservation);
    } else {
      found->second.leaseUntil = this->now + this->config.leaseDuration;
    }
  }
  for (const AwaitedAttempt& waiting : aPing.awaited) {
    awaitedIds.insert(waiting.attempt);
    this->HandleAwaitedAttempt(aFrom, waiting, replyOverdue, pong);
  }
  this->Send(aFrom.from, std::move(pong));
  // The entry has received the end of every finished attempt that it no longer awaits.
  std::erase_if(this->attempts, [&](const auto& aItem) {
    return aItem.second.finished && aItem.second.entry == aFrom.from &&
           !awaitedIds.contains(aItem.first);
  });
}

// Resets the connection to an entry that receives nothing although its own messages arrive.
void
SidecarReducer::Impl::ResetEntryConnection(const std::string& aEntry)
{
  Instant& lastResetAt = this->entryResetAt[aEntry];
  if (this->now - lastResetAt >= kSilenceBeforeReset) {
    lastResetAt = this->now;
    this->Count("links_reset", "");
    this->effects.emplace_back(ResetConnection{ aEntry });
  }
}

void
SidecarReducer::Impl::HandleAwaitedAttempt(const Envelope& aFrom,
                                           const AwaitedAttempt& aWaiting,
                                           bool aReplyOverdue,
                                           Pong& aPong)
{
  const auto found = this->attempts.find(aWaiting.attempt);
  if (found == this->attempts.end()) {
    if (this->startedAttemptIds.contains(aWaiting.attempt)) {
      aPong.lostAttempts.push_back(aWaiting.attempt);
    } else {
      // The start message never arrived. Without the ticket a late one is refused.
      this->tickets.erase(aWaiting.ticket);
      this->Send(aFrom.from, Refused{ aWaiting.attempt, RefusalReason::Withdrawn });
    }
    return;
  }
  Attempt& attempt = found->second;
  if (!attempt.finished) {
    attempt.leaseUntil = this->now + this->config.leaseDuration;
  }
  while (!attempt.chunks.empty() &&
         attempt.chunks.front().offset + attempt.chunks.front().count <= aWaiting.nextOffset) {
    attempt.chunks.pop_front();
  }
  const bool stalled = attempt.pinged && attempt.lastPingOffset == aWaiting.nextOffset;
  attempt.pinged = true;
  attempt.lastPingOffset = aWaiting.nextOffset;
  if (stalled || aReplyOverdue) {
    this->ResendChunks(attempt, aWaiting.nextOffset);
  }
}

void
SidecarReducer::Impl::SendChunk(const Attempt& aAttempt, const BufferedChunk& aChunk)
{
  this->Send(aAttempt.entry, Chunk{ aAttempt.id, aChunk.offset, aChunk.count }, aChunk.text);
}

void
SidecarReducer::Impl::ResendChunks(const Attempt& aAttempt, std::uint64_t aFrom)
{
  for (const BufferedChunk& chunk : aAttempt.chunks) {
    if (chunk.offset >= aFrom) {
      this->Count("chunks_sent_again", "");
      this->SendChunk(aAttempt, chunk);
    }
  }
  if (aAttempt.finished) {
    this->Send(aAttempt.entry, *aAttempt.finished, aAttempt.finishedBody);
  }
}

void
SidecarReducer::Impl::OnMessage(const Envelope& /*aFrom*/, const CrashNotice& aNotice)
{
  this->crashTracker.RecordCrashes(aNotice.fingerprint,
                                   aNotice.crashes,
                                   this->now + std::chrono::milliseconds(aNotice.remainingMs));
}

void
SidecarReducer::Impl::OnMessage(const Envelope& /*aFrom*/, const CrashClearedNotice& aNotice)
{
  this->crashTracker.Clear(aNotice.fingerprint);
}

void
SidecarReducer::Impl::OnEvent(const RulesChanged& aChanged)
{
  this->rules = aChanged.rules;
  this->rulesVersion = aChanged.version;
  this->queue.SetOrderStrategy(this->rules->orderStrategy);
  const auto service = this->rules->services.find(this->config.pool);
  if (service != this->rules->services.end()) {
    this->atMostOnceCalls.SetKeyRetention(service->second.keyRetention);
  }
  this->NotifyDraining();
}

void
SidecarReducer::Impl::OnEvent(const FleetChanged& aChanged)
{
  for (const std::string& entry : this->fleet.entries) {
    const auto& liveEntries = aChanged.fleet.entries;
    if (std::find(liveEntries.begin(), liveEntries.end(), entry) == liveEntries.end()) {
      this->OnEvent(PeerUnreachable{ entry });
    }
  }
  this->fleet = aChanged.fleet;
  this->NotifyDraining();
}

void
SidecarReducer::Impl::OnEvent(const DrainRequested& /*aRequested*/)
{
  this->drainRequested = true;
  this->NotifyDraining();
}

// Makes the entries that used this target recently stop probing it at once; the DISABLE message of
// the mod_cluster paper.
void
SidecarReducer::Impl::NotifyDraining()
{
  const bool draining = this->IsDraining();
  if (draining && !this->drainingNotified) {
    this->Log("target is draining: it accepts no new requests");
    for (const auto& [entry, lastReceivedAt] : this->entryLastReceivedAt) {
      this->Send(entry, DrainingNotice{ this->config.name });
    }
  }
  this->drainingNotified = draining;
}

// Reports the engine's load to all entries, only under the "pushed" choice strategy; the STATUS
// message of the mod_cluster paper.
void
SidecarReducer::Impl::PublishLoad()
{
  if (this->now < this->nextLoadReportAt) {
    return;
  }
  this->nextLoadReportAt = this->now + kLoadReportInterval;
  if (this->rules->choiceStrategy != "pushed" || this->config.kind != TargetKind::Engine) {
    return;
  }
  const LoadNotice notice{ this->config.name, ToMillis(this->queue.PrefillBacklog(this->now)) };
  for (const std::string& entry : this->fleet.entries) {
    this->Send(entry, notice);
  }
}

void
SidecarReducer::Impl::OnEvent(const Wake& /*aWake*/)
{
  std::erase_if(this->tickets,
                [this](const auto& aItem) { return aItem.second.expiresAt <= this->now; });
  std::erase_if(this->startedAttemptIds, [this](const auto& aItem) {
    return aItem.second <= this->now && !this->attempts.contains(aItem.first);
  });
  std::erase_if(this->entryLastReceivedAt,
                [this](const auto& aItem) { return aItem.second + kEntryRecordTtl <= this->now; });
  std::erase_if(this->entryResetAt,
                [this](const auto& aItem) { return aItem.second + kEntryRecordTtl <= this->now; });
  std::vector<std::uint64_t> expired;
  for (const auto& [id, attempt] : this->attempts) {
    if (attempt.leaseUntil <= this->now) {
      expired.push_back(id);
    }
  }
  for (const std::uint64_t id : expired) {
    this->Count("leases_lapsed", "");
    this->AbandonAttempt(id);
  }
  if (this->nextDispatchAt && *this->nextDispatchAt <= this->now) {
    this->nextDispatchAt.reset();
    this->Dispatch();
  }
  if (this->config.kind == TargetKind::Engine && this->now >= this->nextCheckAt) {
    this->nextCheckAt = this->now + this->config.reportInterval;
    this->CheckEngine();
  }
  this->FreeExpiredReservations();
  this->ResendSegments();
  this->PublishLoad();
  this->atMostOnceCalls.OnWake(this->now);
  this->FinishKeyedAttempts();
}

} // namespace sycamorepost
