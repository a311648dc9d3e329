#include "EntryImpl.h"

#include <algorithm>

namespace sycamorepost {

namespace {

using internal::Call;
using internal::CallPhase;
using internal::EngineGroup;
using internal::GroupMember;

// Maximum share of an engine's memory that one prompt segment may use.
constexpr double kMaxSegmentShare = 0.7;
constexpr Duration kReservationRetryInterval = std::chrono::milliseconds(200);
constexpr Duration kReservationTimeout = std::chrono::seconds(2);

std::uint32_t
TotalTokens(const Call& aCall)
{
  const CompletionParams& shape = *aCall.request.completion;
  return shape.promptTokens + shape.maxTokens;
}

std::uint32_t
SegmentCount(const Call& aCall)
{
  const double segment = kMaxSegmentShare * static_cast<double>(aCall.capacityTokens);
  return static_cast<std::uint32_t>(TotalTokens(aCall) / segment) + 1;
}

} // namespace

// Returns whether there are enough usable engines to store the prompt in segments.
bool
EntryReducer::Impl::CanFormGroup(const Call& aCall) const
{
  if (aCall.kind != TargetKind::Engine || aCall.capacityTokens == 0) {
    return false;
  }
  Call untried;
  untried.request = aCall.request;
  untried.kind = aCall.kind;
  untried.pool = aCall.pool;
  return this->UsableTargets(untried).size() >= SegmentCount(aCall);
}

// Splits the prompt into equal segments. Reservations, including the runner's, are requested one at
// a time in ascending order of target name, so that prompts competing for the same engines cannot
// deadlock.
void
EntryReducer::Impl::FormGroup(Call& aCall)
{
  aCall.tried.clear();
  TargetList usable = this->UsableTargets(aCall);
  const std::uint32_t segments = SegmentCount(aCall);
  if (usable.size() < segments) {
    this->FailWithoutTarget(aCall);
    return;
  }
  std::shuffle(usable.begin(), usable.end(), this->choice.random);
  usable.resize(segments);
  std::sort(usable.begin(), usable.end(), [](const TargetInfo* aLeft, const TargetInfo* aRight) {
    return aLeft->name < aRight->name;
  });
  const std::uint32_t segment = TotalTokens(aCall) / segments;
  EngineGroup group;
  for (const TargetInfo* target : usable) {
    GroupMember member;
    member.target = target->name;
    member.segment.address = target->address;
    member.segment.from = static_cast<std::uint32_t>(group.members.size()) * segment;
    member.segment.to = member.segment.from + segment;
    group.members.push_back(std::move(member));
  }
  group.Runner().segment.to = TotalTokens(aCall);
  aCall.group = std::move(group);
  this->Count("groups", std::to_string(segments));
  this->Log(aCall,
            "splitting its prompt into segments on " + std::to_string(segments) + " engines");
  this->ReserveNextMember(aCall);
}

void
EntryReducer::Impl::RequestReservation(Call& aCall, GroupMember& aMember)
{
  if (aMember.segment.reservation == 0) {
    aMember.segment.reservation = this->choice.random();
    aMember.requestedAt = this->now;
    this->reservationOwner[aMember.segment.reservation] = aCall.request.handle;
  }
  ReserveRequest request;
  request.reservation = aMember.segment.reservation;
  request.tokens = aMember.segment.to - aMember.segment.from;
  this->Send(aMember.segment.address, request);
}

// Requests a reservation from the first member that has not granted one, or proceeds to probing if
// all have.
void
EntryReducer::Impl::ReserveNextMember(Call& aCall)
{
  for (GroupMember& member : aCall.group->members) {
    const bool running = aCall.attempt && &member == &aCall.group->Runner();
    if (!member.granted && !running) {
      aCall.wakeAt = this->now + kReservationRetryInterval;
      if (!aCall.attempt) {
        aCall.phase = CallPhase::Reserving;
      }
      this->RequestReservation(aCall, member);
      return;
    }
  }
  if (aCall.attempt) {
    aCall.wakeAt = aCall.deadline;
    return;
  }
  aCall.tried.clear();
  this->StartProbeRound(aCall);
}

// Retries the outstanding reservation, or replaces a member that has been silent for too long.
void
EntryReducer::Impl::OnReservationWake(Call& aCall)
{
  if (!aCall.group) {
    return;
  }
  for (GroupMember& member : aCall.group->members) {
    if (!member.granted && member.segment.reservation != 0 &&
        this->peers.FindOrAdd(member.segment.address).lastReceivedAt + kReservationTimeout <
          this->now &&
        member.requestedAt + kReservationTimeout < this->now) {
      this->peers.MarkSuspect(member.segment.address, this->now);
      this->ReplaceMember(aCall, member);
      return;
    }
  }
  this->ReserveNextMember(aCall);
}

void
EntryReducer::Impl::OnMessage(const Envelope& aFrom, const ReserveReply& aReply)
{
  Call* call = nullptr;
  GroupMember* member = this->FindReservation(aReply.reservation, &call);
  if (!member) {
    // No request needs this reservation any more.
    this->Send(aFrom.from, ReserveRelease{ aReply.reservation });
    return;
  }
  if (!aReply.granted || member->granted) {
    return;
  }
  member->granted = true;
  this->peers.BeginAttempt(member->segment.address, this->now);
  if (this->nextPeerCheckAt == Instant()) {
    this->nextPeerCheckAt = this->now + this->config.peerCheckInterval;
  }
  if (call->attempt) {
    const auto index = static_cast<std::uint32_t>(member - call->group->members.data());
    this->Send(call->attempt->address, SegmentMoved{ call->attempt->id, index, member->segment });
  }
  this->ReserveNextMember(*call);
}

void
EntryReducer::Impl::OnMessage(const Envelope& /*aFrom*/, const SegmentStored& aDone)
{
  Call* call = this->FindAttempt(aDone.attempt);
  if (call && call->group && aDone.index < call->group->members.size()) {
    call->group->members[aDone.index].segment.stored = true;
    call->attempt->lastReceivedAt = this->now;
  }
}

GroupMember*
EntryReducer::Impl::FindReservation(std::uint64_t aReservation, Call** aCall)
{
  const auto owner = this->reservationOwner.find(aReservation);
  if (owner == this->reservationOwner.end()) {
    return nullptr;
  }
  *aCall = &this->calls.at(owner->second);
  for (GroupMember& member : (*aCall)->group->members) {
    if (member.segment.reservation == aReservation) {
      return &member;
    }
  }
  return nullptr;
}

bool
EntryReducer::Impl::AllGranted(const Call& aCall) const
{
  return std::all_of(aCall.group->members.begin(),
                     aCall.group->members.end(),
                     [](const GroupMember& aMember) { return aMember.granted; });
}

void
EntryReducer::Impl::ReleaseReservation(GroupMember& aMember)
{
  if (aMember.segment.reservation == 0) {
    return;
  }
  this->Send(aMember.segment.address, ReserveRelease{ aMember.segment.reservation });
  this->ForgetReservation(aMember);
}

// Removes a reservation from this entry's records only: it has been released, or its sidecar has
// turned it into the attempt's own memory.
void
EntryReducer::Impl::ForgetReservation(GroupMember& aMember)
{
  this->reservationOwner.erase(aMember.segment.reservation);
  if (aMember.granted) {
    this->peers.EndAttempt(aMember.segment.address);
  }
  aMember.segment.reservation = 0;
  aMember.segment.stored = false;
  aMember.granted = false;
}

void
EntryReducer::Impl::ReleaseGroup(Call& aCall)
{
  if (!aCall.group) {
    return;
  }
  for (GroupMember& member : aCall.group->members) {
    this->ReleaseReservation(member);
  }
  aCall.group.reset();
}

// Replaces a lost member by another usable engine, if there is one. Only the lost member's segment
// is computed again.
void
EntryReducer::Impl::ReplaceMember(Call& aCall, GroupMember& aMember)
{
  this->Count("group_members_lost", "");
  this->Log(aCall, aMember.target + " lost its prompt segment");
  this->ReleaseReservation(aMember);
  std::set<std::string> tried;
  tried.swap(aCall.tried);
  tried.insert(aMember.target);
  if (aCall.attempt) {
    aCall.tried.insert(aCall.attempt->target);
  }
  const TargetList usable = this->UsableTargets(aCall);
  aCall.tried = std::move(tried);
  if (!usable.empty()) {
    const TargetInfo& other = *usable[this->choice.random() % usable.size()];
    aMember.target = other.name;
    aMember.segment.address = other.address;
  }
  this->ReserveNextMember(aCall);
}

void
EntryReducer::Impl::ReplaceMembersAt(const std::string& aAddress)
{
  std::vector<std::uint64_t> holds;
  for (const auto& [hold, handle] : this->reservationOwner) {
    Call* call = nullptr;
    const GroupMember* member = this->FindReservation(hold, &call);
    if (member && member->granted && member->segment.address == aAddress) {
      holds.push_back(hold);
    }
  }
  for (const std::uint64_t hold : holds) {
    Call* call = nullptr;
    if (GroupMember* member = this->FindReservation(hold, &call)) {
      this->ReplaceMember(*call, *member);
    }
  }
}

} // namespace sycamorepost
