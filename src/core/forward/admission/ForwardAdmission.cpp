#include "ForwardImpl.h"

#include <algorithm>

#include "sycamorepost/forward/load/EngineEstimate.h"

namespace sycamorepost {

using internal::kLongPrefill;
using internal::RequestState;

namespace {

// Aborted attempts of one request, at any entry, after which it is assumed to crash its targets. A
// harmless request may see two by chance.
constexpr std::uint32_t kAbortsToBlock = 3;

// At least two passes of an engine, so that a refused caller does not find the same queue again.
constexpr Duration kMinRetryAfter = std::chrono::milliseconds(100);

// Used when the time until there is capacity is unknown: about the time until a lost target is
// replaced in the directory.
constexpr Duration kDefaultRetryAfter = std::chrono::milliseconds(500);
constexpr Duration kMaxRetryAfter = std::chrono::seconds(3);

// A process that has just started reads the configuration and the registrations within this time
// unless the store is down: measured 110 to 300 ms with 26 entries that start together.
constexpr Duration kStartPeriod = std::chrono::milliseconds(500);

// Entries that start together have heard each other's first load reports within this time.
constexpr Duration kSettlingPeriod = std::chrono::seconds(1);

// The longest wait for them: two reports of other failure domains.
constexpr Duration kMaxReportWait = std::chrono::milliseconds(500);

constexpr const char* kNoConfiguration = "no configuration is known yet";

} // namespace

void
ForwardReducer::Impl::OnEvent(const ForwardRequest& aRequest)
{
  RequestState& state = this->requests[aRequest.handle];
  state.request = aRequest;
  state.arrivedAt = this->now;
  state.lastEventId = aRequest.resumeAfter;
  if (this->IsStarting(this->now)) {
    state.deadline = this->StartDeadline(this->now);
    state.lastFailure = kNoConfiguration;
    this->heldWhileStarting.push_back(aRequest.handle);
    this->SetWake(state);
    return;
  }
  this->Begin(state);
}

void
ForwardReducer::Impl::Begin(RequestState& aState)
{
  if (const auto refusal = this->Admit(aState, this->now)) {
    this->Refuse(aState, *refusal);
    return;
  }
  aState.service = PickService(*aState.route, this->random);
  this->BudgetOf(aState.service).RecordRequest();
  if (const auto maxWait = this->MaxReportWait(aState, this->now)) {
    const auto wait =
      std::uniform_int_distribution<std::int64_t>(0, maxWait->count())(this->random);
    aState.startAt = this->now + Duration(wait);
    this->SetWake(aState);
    return;
  }
  this->Launch(aState);
}

// Returns until when requests are held at the start.
Instant
ForwardReducer::Impl::StartDeadline(Instant aNow) const
{
  return this->startedAt.value_or(aNow) + kStartPeriod;
}

// Returns the longest time for which a prompt waits because this entry has just started and has not
// heard most of its neighbours; nothing when it does not wait. When all entries restart together,
// they get their callers back at the same moment, and long prompts that they place without knowing
// of each other stop the streams of the engines that several of them have chosen. The objective of
// a long prompt has room for the wait.
std::optional<Duration>
ForwardReducer::Impl::MaxReportWait(const RequestState& aState, Instant aNow) const
{
  const std::size_t neighbours = this->group.Neighbours().size();
  const bool hearsMost = this->peers.size() * 2 >= neighbours;
  if (hearsMost || aNow >= this->startedAt.value_or(aNow) + kSettlingPeriod) {
    return std::nullopt;
  }
  const ServiceTraits* service = aState.table->FindService(aState.service);
  const bool isLong =
    service && service->engine &&
    FromMs(EstimatePrefillMs(*service->engine, aState.request.promptTokens)) > kLongPrefill;
  return isLong ? std::optional(kMaxReportWait) : std::nullopt;
}

// Returns whether the first configuration and registrations are about to arrive. When all entries
// restart together, callers are back before these are read: refused, they would return only after
// the Retry-After.
bool
ForwardReducer::Impl::IsStarting(Instant aNow) const
{
  return !this->Ready() && aNow < this->StartDeadline(aNow);
}

void
ForwardReducer::Impl::BeginHeldRequests()
{
  if (!this->Ready()) {
    return;
  }
  for (const std::uint64_t handle : std::exchange(this->heldWhileStarting, {})) {
    const auto held = this->requests.find(handle);
    if (held != this->requests.end()) {
      held->second.lastFailure.clear();
      this->Begin(held->second);
    }
  }
}

// Decides whether a request is served at all, and sets what its route and account determine.
std::optional<ForwardReducer::Impl::Refusal>
ForwardReducer::Impl::Admit(RequestState& aState, Instant aNow) const
{
  if (!this->table) {
    return Refusal{ 503, kNoConfiguration };
  }
  aState.table = this->table;
  const ForwardRequest& request = aState.request;
  aState.route = aState.table->FindRoute(request.host, request.path);
  if (!aState.route) {
    return Refusal{ 404, "no route for " + request.host + request.path };
  }
  const RouteAccount* account =
    request.key ? aState.table->FindAccountByKey(*request.key) : nullptr;
  if (!account && !aState.route->allowsAnonymous && aState.table->HasAccounts()) {
    return Refusal{ 401, request.key ? "the key is unknown" : "the request has no key" };
  }
  aState.account = account ? account->name : "";
  aState.priority = account && account->priority ? *account->priority : aState.route->priority;
  aState.deadline = aState.arrivedAt + aState.route->timeout;
  if (request.deadline) {
    aState.deadline = std::min(aState.deadline, aState.arrivedAt + *request.deadline);
  }
  if (this->stopsAt - aNow < aState.route->objective) {
    return Refusal{ 503, "the entry is about to stop" };
  }
  aState.deadline = std::min(aState.deadline, this->stopsAt);
  if (this->AbortCount(request.fingerprint, aNow) >= kAbortsToBlock) {
    return Refusal{ 503, "the request broke off wherever it ran" };
  }
  return std::nullopt;
}

std::string
ForwardReducer::Impl::PickService(const RouteRule& aRoute, std::mt19937_64& aRandom)
{
  double total = 0;
  for (const WeightedService& share : aRoute.services) {
    total += share.weight;
  }
  double pick = std::uniform_real_distribution<double>(0, std::max(total, 1e-9))(aRandom);
  for (const WeightedService& share : aRoute.services) {
    pick -= share.weight;
    if (pick < 0 && share.weight > 0) {
      return share.service;
    }
  }
  return aRoute.services.empty() ? "" : aRoute.services.back().service;
}

// Returns the range of the Retry-After of a refusal; nothing when its status has none.
std::optional<ForwardReducer::Impl::RetryAfterRange>
ForwardReducer::Impl::RetryAfterOf(const RequestState& aState, int aStatus)
{
  if (aStatus != 503) {
    return std::nullopt;
  }
  const Duration suggested =
    aState.retryAfterHint > Duration::zero() ? aState.retryAfterHint : kDefaultRetryAfter;
  const Duration maximum = aState.isRetryAfterRequested ? Duration::max() : kMaxRetryAfter;
  const Duration base = std::clamp(suggested, kMinRetryAfter, maximum);
  // Random jitter of up to one half, so that refused callers do not retry at the same time.
  const Duration maxJitter = std::min(base, kMaxRetryAfter) / 2;
  return RetryAfterRange{ base, base + maxJitter };
}

void
ForwardReducer::Impl::Refuse(RequestState& aState, const Refusal& aRefusal)
{
  SendResponse response;
  response.handle = aState.request.handle;
  response.status = aRefusal.status;
  response.body = aRefusal.reason + "\n";
  if (const auto range = RetryAfterOf(aState, aRefusal.status)) {
    std::uniform_int_distribution<std::int64_t> draw(0, (range->max - range->min).count());
    response.retryAfter = range->min + Duration(draw(this->random));
  }
  this->Count("forward_refusals", std::to_string(aRefusal.status));
  this->Log(aState,
            "refused",
            { { "status", std::to_string(aRefusal.status) },
              { "reason", aRefusal.reason },
              { "configuration", std::to_string(aState.table ? aState.table->version : 0) },
              { "targets", std::to_string(this->targets.size()) } },
            true);
  this->effects.emplace_back(std::move(response));
  this->EndRequest(aState);
}

} // namespace sycamorepost
