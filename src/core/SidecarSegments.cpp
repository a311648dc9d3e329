#include "SidecarImpl.h"

#include <algorithm>

namespace sycamorepost {

namespace {

using internal::Attempt;

constexpr Duration kSegmentRetryInterval = std::chrono::seconds(1);

} // namespace

// ---- On the sidecar that runs the prompt ----

// Starts the next run of an attempt: the prefill of the first segment that is not stored yet or,
// once all are stored, the prefill of the remaining prompt and the decoding.
void
SidecarReducer::Impl::StartNextRun(Attempt& aAttempt)
{
  EngineRun run;
  run.run = aAttempt.id + ++this->runSequence;
  run.requestId = aAttempt.start.requestId;
  run.path = aAttempt.start.path;
  run.resumeOffset = aAttempt.endOffset;
  run.priority = this->queue.Find(aAttempt.id)->sortKey;
  run.body = aAttempt.body;
  aAttempt.segment.reset();
  std::vector<SegmentLocation>& segments = aAttempt.start.segments;
  for (std::uint32_t i = 0; i < segments.size() && !aAttempt.segment; ++i) {
    if (!segments[i].stored) {
      aAttempt.segment = i;
      run.segmentFrom = segments[i].from;
      run.segmentTo = segments[i].to;
    }
  }
  if (!aAttempt.segment && !segments.empty()) {
    run.remoteTokens = segments.back().to;
  }
  aAttempt.run = run.run;
  aAttempt.engineIncarnation = this->engineIncarnation;
  this->runs[run.run] = aAttempt.id;
  this->effects.emplace_back(std::move(run));
}

void
SidecarReducer::Impl::StopRun(Attempt& aAttempt)
{
  if (aAttempt.run != 0) {
    this->runs.erase(aAttempt.run);
    this->effects.emplace_back(EngineCancel{ aAttempt.run });
    aAttempt.run = 0;
  }
}

Attempt*
SidecarReducer::Impl::FindRun(std::uint64_t aRun)
{
  const auto run = this->runs.find(aRun);
  return run == this->runs.end() ? nullptr : &this->attempts.at(run->second);
}

// Sends the KV cache of a prefilled segment to the engine that is to store it.
void
SidecarReducer::Impl::BeginSegmentTransfer(Attempt& aAttempt, const std::string& aKvCache)
{
  aAttempt.sendingSegment = std::exchange(aAttempt.segment, std::nullopt);
  aAttempt.segmentKvCache = MakeBody(aKvCache);
  this->SendSegment(aAttempt);
}

void
SidecarReducer::Impl::SendSegment(Attempt& aAttempt)
{
  const SegmentLocation& location = aAttempt.start.segments[*aAttempt.sendingSegment];
  aAttempt.segmentSentAt = this->now;
  this->nextDispatchAt = this->now + kSegmentRetryInterval;
  this->Send(
    location.address,
    SegmentTransfer{
      aAttempt.id, *aAttempt.sendingSegment, location.reservation, location.from, location.to },
    aAttempt.segmentKvCache);
}

void
SidecarReducer::Impl::ResendSegments()
{
  for (auto& [id, attempt] : this->attempts) {
    if (attempt.sendingSegment && this->now - attempt.segmentSentAt >= kSegmentRetryInterval) {
      this->SendSegment(attempt);
    }
  }
}

void
SidecarReducer::Impl::OnMessage(const Envelope& /*aFrom*/, const SegmentTransferReply& aReply)
{
  const auto found = this->attempts.find(aReply.attempt);
  if (found == this->attempts.end() || found->second.sendingSegment != aReply.index ||
      !aReply.stored) {
    return;
  }
  Attempt& attempt = found->second;
  attempt.start.segments[aReply.index].stored = true;
  attempt.sendingSegment.reset();
  attempt.segmentKvCache.reset();
  this->Send(attempt.entry, SegmentStored{ attempt.id, aReply.index });
  this->StartNextRun(attempt);
}

void
SidecarReducer::Impl::OnMessage(const Envelope& /*aFrom*/, const SegmentMoved& aMoved)
{
  const auto found = this->attempts.find(aMoved.attempt);
  if (found == this->attempts.end() || found->second.finished ||
      aMoved.index >= found->second.start.segments.size()) {
    return;
  }
  Attempt& attempt = found->second;
  attempt.start.segments[aMoved.index] = aMoved.location;
  if (attempt.sendingSegment == aMoved.index) {
    this->SendSegment(attempt);
  } else if (attempt.run != 0 && !attempt.segment) {
    // The run uses the stored segments, one of which is lost: prefill that one again, then go on.
    this->StopRun(attempt);
    this->StartNextRun(attempt);
  }
}

// ---- On the sidecar of an engine that stores a segment ----

void
SidecarReducer::Impl::OnMessage(const Envelope& aFrom, const ReserveRequest& aRequest)
{
  const auto found = this->reservations.find(aRequest.reservation);
  bool granted = found != this->reservations.end();
  if (granted) {
    found->second.leaseUntil = this->now + this->config.leaseDuration;
  } else if (this->engineState == EngineState::Up && !this->IsDraining() &&
             this->queue.FreeTokens() >= aRequest.tokens) {
    granted = true;
    this->reservations[aRequest.reservation] = {
      aFrom.from, aRequest.tokens, this->now + this->config.leaseDuration, false
    };
    this->UpdateReservedTokens(0);
  }
  this->entryLastReceivedAt[aFrom.from] = this->now;
  this->Send(aFrom.from, ReserveReply{ aRequest.reservation, granted });
}

void
SidecarReducer::Impl::OnMessage(const Envelope& /*aFrom*/, const ReserveRelease& aRelease)
{
  this->FreeReservation(aRelease.reservation);
  this->Dispatch();
}

void
SidecarReducer::Impl::OnMessage(const Envelope& aFrom, const SegmentTransfer& aTransfer)
{
  const auto reservation = this->reservations.find(aTransfer.reservation);
  if (reservation == this->reservations.end() ||
      aTransfer.to - aTransfer.from > reservation->second.tokens) {
    this->Send(aFrom.from, SegmentTransferReply{ aTransfer.attempt, aTransfer.index, false });
    return;
  }
  if (reservation->second.imported) {
    this->Send(aFrom.from, SegmentTransferReply{ aTransfer.attempt, aTransfer.index, true });
    return;
  }
  EngineImport import;
  import.reservation = aTransfer.reservation;
  import.tokens = aTransfer.to - aTransfer.from;
  import.kvCache = aFrom.body;
  import.replyTo = aFrom.from;
  import.attempt = aTransfer.attempt;
  import.index = aTransfer.index;
  this->effects.emplace_back(std::move(import));
}

void
SidecarReducer::Impl::OnEvent(const EngineImported& aImported)
{
  const auto reservation = this->reservations.find(aImported.reservation);
  if (reservation == this->reservations.end()) {
    // The reservation was released during the import.
    this->effects.emplace_back(EngineFree{ aImported.reservation });
    return;
  }
  reservation->second.imported = aImported.stored;
  this->Send(aImported.replyTo,
             SegmentTransferReply{ aImported.attempt, aImported.index, aImported.stored });
}

void
SidecarReducer::Impl::UpdateReservedTokens(std::uint64_t aExcludedReservation)
{
  std::uint64_t tokens = 0;
  for (const auto& [id, reservation] : this->reservations) {
    tokens += id == aExcludedReservation ? 0 : reservation.tokens;
  }
  this->queue.SetReservedTokens(tokens);
}

void
SidecarReducer::Impl::FreeReservation(std::uint64_t aReservation)
{
  const auto reservation = this->reservations.find(aReservation);
  if (reservation == this->reservations.end()) {
    return;
  }
  if (reservation->second.imported) {
    this->effects.emplace_back(EngineFree{ aReservation });
  }
  this->reservations.erase(reservation);
  this->UpdateReservedTokens(0);
}

// The engine has lost its memory. The entries are notified, so that they reserve memory elsewhere.
void
SidecarReducer::Impl::DropAllReservations()
{
  for (const auto& [id, reservation] : this->reservations) {
    Pong pong;
    pong.lostReservations.push_back(id);
    this->Send(reservation.entry, std::move(pong));
  }
  this->reservations.clear();
  this->UpdateReservedTokens(0);
}

void
SidecarReducer::Impl::FreeExpiredReservations()
{
  std::vector<std::uint64_t> expired;
  for (const auto& [id, reservation] : this->reservations) {
    if (reservation.leaseUntil <= this->now) {
      expired.push_back(id);
    }
  }
  for (const std::uint64_t id : expired) {
    this->Count("leases_lapsed", "");
    this->FreeReservation(id);
  }
}

} // namespace sycamorepost
