#include "EntryImpl.h"

#include <algorithm>
#include <array>

#include "sycamorepost/IdempotencyKey.h"

namespace sycamorepost {

namespace {

bool
IsIdempotentMethod(const std::string& aMethod, const ServiceRule& aService)
{
  return !aService.atMostOnceMethods.contains(aMethod);
}

} // namespace

using internal::Call;

void
EntryReducer::Impl::OnEvent(const CallerRequest& aRequest)
{
  Call call;
  call.request = aRequest;
  call.arrivedAt = this->now;
  const AccountRule* account = this->rules->accounts.FindByKey(aRequest.keyDigest);
  if (!account) {
    this->Refuse(
      aRequest.handle, { 401, "invalid_api_key", "The API key is missing or unknown." }, {});
    return;
  }
  call.account = account->name;
  if (account->cutoff) {
    this->Refuse(aRequest.handle, { 403, "account_cut_off", "The account has been cut off." }, {});
    return;
  }
  if (const auto refusal = this->Route(call)) {
    this->Refuse(aRequest.handle, *refusal, {});
    return;
  }
  call.fingerprint = HashText(*aRequest.body, HashText(call.account));
  const CrashStatus suspicion = this->crashTracker.Check(call.fingerprint, this->now);
  if (suspicion == CrashStatus::Blocked) {
    this->Refuse(aRequest.handle, kBlockedRefusal, {});
    return;
  }
  call.alone = suspicion == CrashStatus::Suspect && call.kind == TargetKind::Engine;
  if (!this->AdmitAccount(call)) {
    return;
  }
  this->retryBudget.Add(this->rules->retryRatio);
  Call& kept = this->calls.insert_or_assign(aRequest.handle, std::move(call)).first->second;
  this->StartProbeRound(kept);
}

std::optional<Refusal>
EntryReducer::Impl::Route(Call& aCall) const
{
  auto refusal =
    aCall.request.completion ? this->RouteCompletion(aCall) : this->RouteService(aCall);
  if (!refusal && aCall.request.timeout) {
    aCall.deadline = std::min(aCall.deadline, this->now + *aCall.request.timeout);
  }
  return refusal;
}

std::optional<Refusal>
EntryReducer::Impl::RouteCompletion(Call& aCall) const
{
  const CompletionParams& shape = *aCall.request.completion;
  const auto model = this->rules->models.find(shape.model);
  if (model == this->rules->models.end()) {
    return Refusal{ 404, "model_not_found", "The model '" + shape.model + "' is not served." };
  }
  if (std::uint64_t{ shape.promptTokens } + shape.maxTokens > model->second.maxContextTokens) {
    return Refusal{ 400,
                    "context_length_exceeded",
                    "Prompt and answer exceed " + std::to_string(model->second.maxContextTokens) +
                      " tokens." };
  }
  aCall.kind = TargetKind::Engine;
  aCall.pool = shape.model;
  aCall.deadline = this->now + model->second.timeout;
  return std::nullopt;
}

std::optional<Refusal>
EntryReducer::Impl::RouteService(Call& aCall) const
{
  const ServiceRule* service = this->rules->ServiceForPath(aCall.request.path);
  if (!service) {
    return Refusal{ 404, "unknown_path", "No service has the path '" + aCall.request.path + "'." };
  }
  aCall.kind = TargetKind::Service;
  aCall.pool = service->name;
  aCall.deadline = this->now + service->timeout;
  if (IsIdempotentMethod(aCall.request.method, *service)) {
    return std::nullopt;
  }
  if (auto refusal = this->CheckKey(aCall, *service)) {
    return refusal;
  }
  aCall.ledgerKey = LedgerKey(aCall.account, aCall.request.idempotencyKey);
  aCall.shards = service->shards;
  return std::nullopt;
}

std::optional<Refusal>
EntryReducer::Impl::CheckKey(const Call& aCall, const ServiceRule& aService) const
{
  const std::string& key = aCall.request.idempotencyKey;
  if (key.empty()) {
    return Refusal{ 400,
                    "missing_idempotency_key",
                    "A " + aCall.request.method + " to '" + aService.path +
                      "' needs an Idempotency-Key header." };
  }
  if (key.size() > kMaxKeyLength) {
    return Refusal{ 400,
                    "invalid_idempotency_key",
                    "The Idempotency-Key is longer than " + std::to_string(kMaxKeyLength) +
                      " bytes." };
  }
  const auto madeAt = UuidV7Time(key);
  if (madeAt && aCall.request.wallClockMs - *madeAt > ToMillis(aService.keyRetention)) {
    return Refusal{ 409,
                    "idempotency_key_expired",
                    "The Idempotency-Key is older than the time that keys are remembered." };
  }
  return std::nullopt;
}

bool
EntryReducer::Impl::AdmitAccount(const Call& aCall)
{
  struct Limit
  {
    const char* code;
    const char* message;
  };
  static constexpr std::array<Limit, 4> kLimits{ {
    { "", "" },
    { "rate_limit_exceeded", "The account's request rate is used up." },
    { "concurrency_limit_exceeded", "The account's concurrent requests are used up." },
    { "token_limit_exceeded", "The account's tokens a minute are used up." },
  } };
  const AccountRule& account = this->AccountOf(aCall);
  const std::uint32_t tokens =
    aCall.request.completion ? aCall.request.completion->promptTokens : 0;
  const LimitVerdict verdict = this->limits.Admit(account, tokens, this->now);
  if (verdict == LimitVerdict::Allowed) {
    return true;
  }
  const Limit& limit = kLimits.at(static_cast<std::size_t>(verdict));
  this->Refuse(
    aCall.request.handle, { 429, limit.code, limit.message }, this->limits.RetryAfter(account));
  return false;
}

void
EntryReducer::Impl::Refuse(std::uint64_t aHandle,
                           const Refusal& aRefusal,
                           std::optional<Duration> aRetryAfter)
{
  ResponseEnd end;
  end.handle = aHandle;
  end.outcome = aRefusal.status == 422 ? Outcome::Failed : Outcome::NotRun;
  end.status = aRefusal.status;
  end.code = aRefusal.code;
  end.message = aRefusal.message;
  if (aRetryAfter) {
    end.retryAfterSeconds =
      std::max<std::int64_t>(1, std::chrono::ceil<std::chrono::seconds>(*aRetryAfter).count());
  }
  this->Count("refusals", end.code);
  this->effects.emplace_back(std::move(end));
}

} // namespace sycamorepost
