#include "ForwardImpl.h"

#include <algorithm>

namespace sycamorepost {

using internal::Flow;

namespace {

// Breaks of one request, at any entry, after which it is taken for one that crashes its targets.
// Two can happen to an innocent one by chance.
constexpr std::uint32_t kBreaksToBlock = 3;

// A refused caller should not find the same queue again: at least two passes of an engine.
constexpr Duration kShortestRetryAfter = std::chrono::milliseconds(100);

// Where nothing is known of when a place comes free: about the time until a lost target is replaced
// in the directory.
constexpr Duration kUsualRetryAfter = std::chrono::milliseconds(500);
constexpr Duration kLongestRetryAfter = std::chrono::seconds(3);

} // namespace

void
ForwardReducer::Impl::OnEvent(const ForwardRequest& aRequest)
{
  Flow& flow = this->flows[aRequest.handle];
  flow.request = aRequest;
  flow.arrivedAt = this->now;
  flow.lastEvent = aRequest.resumeAfter;
  if (const auto refusal = this->Admit(flow)) {
    this->Refuse(flow, *refusal);
    return;
  }
  flow.service = this->PickService(*flow.route);
  this->BudgetOf(flow.service).Earn();
  this->Launch(flow);
}

std::optional<ForwardReducer::Impl::Refusal>
ForwardReducer::Impl::Admit(Flow& aFlow)
{
  if (!this->table) {
    return Refusal{ 503, "no configuration is known yet" };
  }
  aFlow.table = this->table;
  const ForwardRequest& request = aFlow.request;
  aFlow.route = aFlow.table->FindRoute(request.host, request.path);
  if (!aFlow.route) {
    return Refusal{ 404, "no route for " + request.host + request.path };
  }
  const RouteAccount* account = request.key ? aFlow.table->FindKey(*request.key) : nullptr;
  if (!account && !aFlow.route->open && aFlow.table->HasAccounts()) {
    return Refusal{ 401, request.key ? "the key is unknown" : "the request has no key" };
  }
  aFlow.account = account ? account->name : "";
  aFlow.priority = account && account->priority ? *account->priority : aFlow.route->priority;
  aFlow.deadline = aFlow.arrivedAt + aFlow.route->timeout;
  if (request.deadline) {
    aFlow.deadline = std::min(aFlow.deadline, aFlow.arrivedAt + *request.deadline);
  }
  if (this->BreaksOf(request.fingerprint) >= kBreaksToBlock) {
    return Refusal{ 503, "the request broke off wherever it ran" };
  }
  return std::nullopt;
}

std::string
ForwardReducer::Impl::PickService(const RouteRule& aRoute)
{
  double total = 0;
  for (const ServiceShare& share : aRoute.services) {
    total += share.weight;
  }
  double pick = std::uniform_real_distribution<double>(0, std::max(total, 1e-9))(this->random);
  for (const ServiceShare& share : aRoute.services) {
    pick -= share.weight;
    if (pick < 0 && share.weight > 0) {
      return share.service;
    }
  }
  return aRoute.services.empty() ? "" : aRoute.services.back().service;
}

Duration
ForwardReducer::Impl::RetryAfterOf(const Flow& aFlow)
{
  const Duration known = aFlow.busyFor > Duration::zero() ? aFlow.busyFor : kUsualRetryAfter;
  const Duration base = std::clamp(known, kShortestRetryAfter, kLongestRetryAfter);
  // Half as much again at random, so that refused callers do not come back together.
  return base +
         Duration(std::uniform_int_distribution<std::int64_t>(0, base.count() / 2)(this->random));
}

void
ForwardReducer::Impl::Refuse(Flow& aFlow, const Refusal& aRefusal)
{
  WholeAnswer answer;
  answer.handle = aFlow.request.handle;
  answer.status = aRefusal.status;
  answer.body = aRefusal.reason + "\n";
  if (aRefusal.status == 503) {
    answer.retryAfter = this->RetryAfterOf(aFlow);
  }
  this->Count("forward_refusals", std::to_string(aRefusal.status));
  this->Log(aFlow,
            "refused",
            { { "status", std::to_string(aRefusal.status) },
              { "reason", aRefusal.reason },
              { "configuration", std::to_string(aFlow.table ? aFlow.table->version : 0) },
              { "targets", std::to_string(this->targets.size()) } },
            true);
  this->effects.emplace_back(std::move(answer));
  this->End(aFlow);
}

} // namespace sycamorepost
