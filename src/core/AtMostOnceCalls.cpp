#include "AtMostOnceCalls.h"

#include <algorithm>
#include <array>

#include <nlohmann/json.hpp>

#include "sycamorepost/Hash.h"
#include "sycamorepost/IdempotencyKey.h"

namespace sycamorepost::internal {

namespace {

// Larger response bodies are not stored in the log.
constexpr std::size_t kMaxStoredBodyBytes = 16 * 1024;
// The long-poll wait of reads for another intent's result.
constexpr Duration kForeignPollWait = std::chrono::milliseconds(200);
constexpr Duration kPruneInterval = std::chrono::minutes(1);
// After the log has failed for this long, waiting attempts end with an unknown outcome.
constexpr Duration kLogDownTimeout = std::chrono::milliseconds(1500);

std::string
CallDigest(const Start& aStart, const SharedBody& aBody)
{
  std::string text = aStart.method;
  text.push_back('\0');
  text.append(aStart.path);
  text.push_back('\0');
  text.append(*aBody);
  return HashHex(text);
}

} // namespace

AtMostOnceCalls::Shard&
AtMostOnceCalls::FindShard(const Start& aStart)
{
  const std::uint32_t index = ShardOf(aStart.key, std::max<std::uint32_t>(1, aStart.shards));
  std::string stream = LedgerStream(this->config.pool, index);
  Shard& shard = this->shards[stream];
  shard.stream = std::move(stream);
  return shard;
}

std::string
AtMostOnceCalls::MakeRecordId()
{
  return std::to_string(this->config.incarnation) + ":" + std::to_string(++this->sequence);
}

void
AtMostOnceCalls::Begin(const Start& aStart, SharedBody aBody, Instant aDeadline, Instant aNow)
{
  Shard& shard = this->FindShard(aStart);
  KeyWaiter waiter{ aStart.attempt, CallDigest(aStart, aBody), aDeadline };
  const auto active = shard.activeKeys.find(aStart.key);
  if (active != shard.activeKeys.end()) {
    this->AddWaiter(active->second, std::move(waiter));
    return;
  }
  const KeyEntry* entry = shard.ledger.Find(aStart.key);
  const KeyResult* result = entry ? this->FindResult(*entry) : nullptr;
  if (result) {
    this->FinishWithResult(waiter, entry->intent, *result);
    return;
  }
  ActiveKey added;
  added.intent = { "", aStart.key, waiter.digest };
  added.call = aStart;
  added.body = std::move(aBody);
  added.waiters.push_back(std::move(waiter));
  ActiveKey& stored = shard.activeKeys.emplace(aStart.key, std::move(added)).first->second;
  if (entry) {
    stored.phase = KeyPhase::Foreign;
    stored.foreignDeadline = aNow + this->config.foreignResultTimeout;
  } else {
    this->BeginIntent(shard, stored);
  }
  this->StartLogRequests(shard, aNow);
}

void
AtMostOnceCalls::AddWaiter(ActiveKey& aKey, KeyWaiter aWaiter)
{
  if (aWaiter.digest != aKey.intent.digest) {
    this->FinishRefused(aWaiter, RefusalReason::KeyMismatch);
    return;
  }
  aKey.waiters.push_back(std::move(aWaiter));
}

const KeyResult*
AtMostOnceCalls::FindResult(const KeyEntry& aEntry) const
{
  if (aEntry.result) {
    return &*aEntry.result;
  }
  const auto unconfirmed = this->unconfirmedResults.find(aEntry.intent.id);
  return unconfirmed == this->unconfirmedResults.end() ? nullptr : &unconfirmed->second;
}

void
AtMostOnceCalls::FinishWithResult(const KeyWaiter& aWaiter,
                                  const KeyIntent& aIntent,
                                  const KeyResult& aResult)
{
  if (aWaiter.digest != aIntent.digest) {
    this->FinishRefused(aWaiter, RefusalReason::KeyMismatch);
  } else if (!aResult.bodyKept) {
    this->FinishUnknown(aWaiter, "the call has run but its answer was too large to keep");
  } else {
    this->ends.push_back({ aWaiter.attempt, aResult, std::nullopt, "" });
  }
}

void
AtMostOnceCalls::FinishRefused(const KeyWaiter& aWaiter, RefusalReason aReason)
{
  this->ends.push_back({ aWaiter.attempt, std::nullopt, aReason, "" });
}

void
AtMostOnceCalls::FinishUnknown(const KeyWaiter& aWaiter, const std::string& aReason)
{
  this->ends.push_back({ aWaiter.attempt, std::nullopt, std::nullopt, aReason });
}

void
AtMostOnceCalls::BeginIntent(Shard& aShard, ActiveKey& aKey)
{
  aKey.phase = KeyPhase::Pending;
  aKey.intent.id = this->MakeRecordId();
  aKey.intentSeen = false;
  aShard.pendingRecords.emplace_back(aKey.intent);
}

// ---- Log appends and reads ----

void
AtMostOnceCalls::StartLogRequests(Shard& aShard, Instant aNow)
{
  if (!aShard.appending && !aShard.pendingRecords.empty() && aNow >= aShard.nextAppendAt) {
    aShard.appending = true;
    aShard.inFlightRecords.swap(aShard.pendingRecords);
    aShard.batchId = this->MakeRecordId();
    this->effects.emplace_back(
      LogAppend{ aShard.stream, aShard.batchId, EncodeKeyRecords(aShard.inFlightRecords) });
  }
  if (!aShard.reading && this->NeedsRead(aShard) && aNow >= aShard.nextReadAt) {
    const bool urgent = aShard.nextOffset < aShard.requiredOffset || aShard.mustReadToEnd;
    aShard.reading = true;
    this->effects.emplace_back(
      LogRead{ aShard.stream, aShard.nextOffset, urgent ? Duration::zero() : kForeignPollWait });
  }
}

bool
AtMostOnceCalls::AwaitsForeign(const Shard& aShard) const
{
  return std::any_of(aShard.activeKeys.begin(), aShard.activeKeys.end(), [](const auto& aItem) {
    return aItem.second.phase == KeyPhase::Foreign;
  });
}

bool
AtMostOnceCalls::NeedsRead(const Shard& aShard) const
{
  return aShard.nextOffset < aShard.requiredOffset || aShard.mustReadToEnd ||
         this->AwaitsForeign(aShard);
}

void
AtMostOnceCalls::RecordLogFailure(Shard& aShard, Instant aNow)
{
  if (!aShard.failingSince) {
    aShard.failingSince = aNow;
  }
}

void
AtMostOnceCalls::OnAppendEnded(const LogAppendEnded& aEnded, Instant aNow)
{
  const auto found = this->shards.find(aEnded.stream);
  if (found == this->shards.end() || found->second.batchId != aEnded.recordId) {
    return;
  }
  Shard& shard = found->second;
  shard.appending = false;
  if (aEnded.kind == AppendEndKind::Appended) {
    shard.inFlightRecords.clear();
    shard.failingSince.reset();
    shard.requiredOffset = std::max(shard.requiredOffset, aEnded.offset + 1);
    shard.nextAppendAt = aNow + this->config.appendInterval;
  } else {
    // The records keep their intent ids, so a duplicate append has no effect on the ledger.
    shard.pendingRecords.insert(
      shard.pendingRecords.begin(), shard.inFlightRecords.begin(), shard.inFlightRecords.end());
    shard.inFlightRecords.clear();
    shard.nextAppendAt = aNow + this->config.appendRetryDelay;
    shard.mustReadToEnd = shard.mustReadToEnd || aEnded.kind == AppendEndKind::Lost;
    this->RecordLogFailure(shard, aNow);
    this->effects.emplace_back(CountEvent{ "log_append_failures", "" });
  }
  this->AdvanceKeys(shard, aNow);
}

void
AtMostOnceCalls::OnReadEnded(const LogReadEnded& aEnded, Instant aNow)
{
  const auto found = this->shards.find(aEnded.stream);
  if (found == this->shards.end()) {
    return;
  }
  Shard& shard = found->second;
  shard.reading = false;
  if (aEnded.ok) {
    for (const std::string& data : aEnded.records) {
      const auto records = DecodeKeyRecords(data);
      if (!records) {
        this->effects.emplace_back(
          LogLine{ "stream " + shard.stream + ": skipping a record that cannot be decoded" });
        continue;
      }
      for (const KeyRecord& record : *records) {
        this->ApplyRecord(shard, record, aNow);
      }
    }
    shard.nextOffset = std::max(shard.nextOffset, aEnded.next);
    shard.mustReadToEnd = shard.mustReadToEnd && !aEnded.atEnd;
    if (!shard.appending) {
      shard.failingSince.reset();
    }
  } else {
    shard.nextReadAt = aNow + this->config.appendRetryDelay;
    this->RecordLogFailure(shard, aNow);
    this->effects.emplace_back(CountEvent{ "log_read_failures", "" });
  }
  this->AdvanceKeys(shard, aNow);
}

void
AtMostOnceCalls::ApplyRecord(Shard& aShard, const KeyRecord& aRecord, Instant aNow)
{
  if (const auto* result = std::get_if<KeyResult>(&aRecord)) {
    this->unconfirmedResults.erase(result->id);
  }
  const auto* intent = std::get_if<KeyIntent>(&aRecord);
  const bool unowned = intent && !aShard.ledger.Find(intent->key);
  aShard.ledger.Apply(aRecord, aNow);
  const std::string prefix = std::to_string(this->config.incarnation) + ":";
  if (!intent || !intent->id.starts_with(prefix)) {
    return;
  }
  const auto active = aShard.activeKeys.find(intent->key);
  if (active != aShard.activeKeys.end() && active->second.intent.id == intent->id) {
    active->second.intentSeen = true;
    return;
  }
  // The intent has just become the owner of its key, but no attempt waits for it any more: void it.
  if (unowned && aShard.ledger.Find(intent->key)) {
    aShard.pendingRecords.emplace_back(KeyVoid{ intent->id, intent->key });
  }
}

// ---- State of the keys ----

void
AtMostOnceCalls::AdvanceKeys(Shard& aShard, Instant aNow)
{
  this->DropExpired(aShard, aNow);
  for (auto active = aShard.activeKeys.begin(); active != aShard.activeKeys.end();) {
    if (this->AdvanceKey(aShard, active->second, aNow)) {
      active = aShard.activeKeys.erase(active);
    } else {
      ++active;
    }
  }
  this->FinishIfLogDown(aShard, aNow);
  this->StartLogRequests(aShard, aNow);
}

// Advances one key to its next phase. Returns true if it is finished and can be erased.
bool
AtMostOnceCalls::AdvanceKey(Shard& aShard, ActiveKey& aKey, Instant aNow)
{
  if (aKey.phase == KeyPhase::Running) {
    return false;
  }
  const KeyEntry* entry = aShard.ledger.Find(aKey.intent.key);
  if (!entry) {
    if (aKey.phase == KeyPhase::Foreign || aKey.intentSeen) {
      this->BeginIntent(aShard, aKey);
    }
    return false;
  }
  if (entry->intent.id == aKey.intent.id) {
    this->RunCall(aShard, aKey, aNow);
    return false;
  }
  if (const KeyResult* result = this->FindResult(*entry)) {
    for (const KeyWaiter& waiter : aKey.waiters) {
      this->FinishWithResult(waiter, entry->intent, *result);
    }
    return true;
  }
  if (aKey.phase == KeyPhase::Pending) {
    aKey.phase = KeyPhase::Foreign;
    aKey.foreignDeadline = aNow + this->config.foreignResultTimeout;
    return false;
  }
  if (aNow < aKey.foreignDeadline) {
    return false;
  }
  for (const KeyWaiter& waiter : aKey.waiters) {
    this->FinishUnknown(waiter, "another target may have run the call");
  }
  return true;
}

void
AtMostOnceCalls::RunCall(Shard& aShard, ActiveKey& aKey, Instant aNow)
{
  Instant deadline = aNow;
  for (const KeyWaiter& waiter : aKey.waiters) {
    deadline = std::max(deadline, waiter.deadline);
  }
  aKey.phase = KeyPhase::Running;
  ServiceCall call;
  call.call = ++this->sequence;
  call.requestId = aKey.call.requestId;
  call.method = aKey.call.method;
  call.path = aKey.call.path;
  call.headers = aKey.call.headers;
  call.body = aKey.body;
  call.timeout = deadline - aNow;
  this->runningCalls[call.call] = { aShard.stream, aKey.intent.key };
  this->effects.emplace_back(std::move(call));
}

bool
AtMostOnceCalls::OnServiceEnded(const ServiceEnded& aEnded, Instant aNow)
{
  const auto call = this->runningCalls.find(aEnded.call);
  if (call == this->runningCalls.end()) {
    return false;
  }
  Shard& shard = this->shards.at(call->second.first);
  const auto found = shard.activeKeys.find(call->second.second);
  const ActiveKey active = std::move(found->second);
  shard.activeKeys.erase(found);
  this->runningCalls.erase(call);
  if (aEnded.kind == ServiceEndKind::Responded) {
    KeyResult result{ active.intent.id, active.intent.key, aEnded.status,
                      aEnded.headers,   aEnded.body,       true };
    for (const KeyWaiter& waiter : active.waiters) {
      this->FinishWithResult(waiter, active.intent, result);
    }
    result.bodyKept = result.body.size() <= kMaxStoredBodyBytes;
    if (!result.bodyKept) {
      result.body.clear();
    }
    this->unconfirmedResults[result.id] = result;
    shard.pendingRecords.emplace_back(std::move(result));
  } else if (aEnded.kind == ServiceEndKind::NotConnected) {
    for (const KeyWaiter& waiter : active.waiters) {
      this->FinishRefused(waiter, RefusalReason::NotConnected);
    }
    shard.pendingRecords.emplace_back(KeyVoid{ active.intent.id, active.intent.key });
  } else {
    for (const KeyWaiter& waiter : active.waiters) {
      this->FinishUnknown(waiter, "the target's answer was lost");
    }
  }
  this->StartLogRequests(shard, aNow);
  return true;
}

// Withdraws the intent of a key without waiting attempts, as its call must not run. An intent that
// is already in the log is voided when it is read back.
void
AtMostOnceCalls::WithdrawIntent(Shard& aShard, const ActiveKey& aKey)
{
  std::erase_if(aShard.pendingRecords, [&](const KeyRecord& aRecord) {
    const auto* intent = std::get_if<KeyIntent>(&aRecord);
    return intent && intent->id == aKey.intent.id;
  });
}

void
AtMostOnceCalls::DropExpired(Shard& aShard, Instant aNow)
{
  for (auto item = aShard.activeKeys.begin(); item != aShard.activeKeys.end();) {
    ActiveKey& active = item->second;
    std::erase_if(active.waiters,
                  [aNow](const KeyWaiter& aWaiter) { return aWaiter.deadline <= aNow; });
    if (!active.waiters.empty() || active.phase == KeyPhase::Running) {
      ++item;
      continue;
    }
    this->WithdrawIntent(aShard, active);
    item = aShard.activeKeys.erase(item);
  }
}

void
AtMostOnceCalls::DropWaiter(std::uint64_t aAttempt)
{
  for (auto& [stream, shard] : this->shards) {
    for (auto item = shard.activeKeys.begin(); item != shard.activeKeys.end();) {
      ActiveKey& active = item->second;
      const auto erased = std::erase_if(active.waiters, [aAttempt](const KeyWaiter& aWaiter) {
        return aWaiter.attempt == aAttempt;
      });
      if (erased > 0 && active.waiters.empty() && active.phase != KeyPhase::Running) {
        this->WithdrawIntent(shard, active);
        item = shard.activeKeys.erase(item);
      } else {
        ++item;
      }
    }
  }
}

// While the log is unavailable, the state of a key cannot be determined, so waiting attempts end
// with an unknown outcome instead of waiting for their deadlines.
void
AtMostOnceCalls::FinishIfLogDown(Shard& aShard, Instant aNow)
{
  if (!aShard.failingSince || aNow - *aShard.failingSince < kLogDownTimeout) {
    return;
  }
  for (auto item = aShard.activeKeys.begin(); item != aShard.activeKeys.end();) {
    const ActiveKey& active = item->second;
    if (active.phase == KeyPhase::Running) {
      ++item;
      continue;
    }
    for (const KeyWaiter& waiter : active.waiters) {
      this->FinishUnknown(waiter, "the log is down");
    }
    this->WithdrawIntent(aShard, active);
    item = aShard.activeKeys.erase(item);
  }
}

void
AtMostOnceCalls::OnWake(Instant aNow)
{
  const bool prune = aNow - this->lastPrunedAt >= kPruneInterval;
  for (auto& [stream, shard] : this->shards) {
    if (prune) {
      shard.ledger.Prune(aNow - this->keyRetention);
    }
    this->AdvanceKeys(shard, aNow);
  }
  if (prune) {
    this->lastPrunedAt = aNow;
  }
}

std::vector<KeyEnd>
AtMostOnceCalls::TakeEnds()
{
  return std::exchange(this->ends, {});
}

std::optional<Instant>
AtMostOnceCalls::NextWake() const
{
  std::optional<Instant> next;
  const auto consider = [&next](Instant aInstant) {
    next = next ? std::min(*next, aInstant) : aInstant;
  };
  for (const auto& [stream, shard] : this->shards) {
    if (!shard.appending && !shard.pendingRecords.empty()) {
      consider(shard.nextAppendAt);
    }
    if (!shard.reading && this->NeedsRead(shard)) {
      consider(shard.nextReadAt);
    }
    for (const auto& [key, active] : shard.activeKeys) {
      if (active.phase == KeyPhase::Foreign) {
        consider(active.foreignDeadline);
      }
      for (const KeyWaiter& waiter : active.waiters) {
        if (active.phase != KeyPhase::Running) {
          consider(waiter.deadline);
        }
      }
    }
  }
  return next;
}

bool
AtMostOnceCalls::Idle() const
{
  return std::all_of(this->shards.begin(), this->shards.end(), [](const auto& aItem) {
    const Shard& shard = aItem.second;
    return shard.activeKeys.empty() && shard.pendingRecords.empty() &&
           shard.inFlightRecords.empty();
  });
}

nlohmann::json
AtMostOnceCalls::Dump() const
{
  static constexpr std::array<const char*, 3> kPhaseNames{ "pending", "running", "foreign" };
  nlohmann::json json = nlohmann::json::object();
  for (const auto& [stream, shard] : this->shards) {
    nlohmann::json active = nlohmann::json::object();
    for (const auto& [key, item] : shard.activeKeys) {
      active[key] = kPhaseNames.at(static_cast<std::size_t>(item.phase));
    }
    json[stream] = { { "next", shard.nextOffset },
                     { "keys", shard.ledger.Size() },
                     { "pending", shard.pendingRecords.size() + shard.inFlightRecords.size() },
                     { "log_failing", shard.failingSince.has_value() },
                     { "live", std::move(active) } };
  }
  return json;
}

} // namespace sycamorepost::internal
