#include "sycamorepost/AccountLimits.h"

#include <algorithm>
#include <cmath>

namespace sycamorepost {

namespace {

constexpr Duration kIdleAccountTtl = std::chrono::minutes(5);
constexpr double kSecondsPerMinute = 60;

} // namespace

AccountLimits::Usage&
AccountLimits::Find(const AccountRule& aRule, Instant aNow)
{
  const auto [found, added] = this->usages.try_emplace(aRule.name);
  Usage& usage = found->second;
  const double rate = aRule.requestsPerSecond * this->share;
  const double burst = std::max(1.0, rate);
  const double tokens = static_cast<double>(aRule.tokensPerMinute) * this->share;
  usage.requests.Configure(burst, rate);
  usage.tokens.Configure(tokens, tokens / kSecondsPerMinute);
  if (added) {
    usage.requests.Add(burst);
    usage.tokens.Add(tokens);
  }
  usage.lastUsedAt = aNow;
  return usage;
}

LimitVerdict
AccountLimits::Admit(const AccountRule& aRule, std::uint32_t aTokens, Instant aNow)
{
  Usage& usage = this->Find(aRule, aNow);
  const double concurrency = std::max(1.0, std::floor(aRule.maxConcurrency * this->share));
  if (aRule.maxConcurrency > 0 && usage.inFlight >= concurrency) {
    return LimitVerdict::ConcurrencyExceeded;
  }
  // Admits while the bucket is not in debt and charges the prompt afterwards, so that a prompt
  // larger than the whole limit can still be admitted.
  if (aRule.tokensPerMinute > 0 && !usage.tokens.TryTake(0, aNow)) {
    return LimitVerdict::TokensExceeded;
  }
  if (aRule.requestsPerSecond > 0 && !usage.requests.TryTake(1, aNow)) {
    return LimitVerdict::RateExceeded;
  }
  usage.tokens.TakeWithDebt(aRule.tokensPerMinute > 0 ? aTokens : 0, aNow);
  ++usage.inFlight;
  return LimitVerdict::Allowed;
}

void
AccountLimits::Release(const AccountRule& aRule, std::uint32_t aTokens, Instant aNow)
{
  Usage& usage = this->Find(aRule, aNow);
  usage.tokens.TakeWithDebt(aRule.tokensPerMinute > 0 ? aTokens : 0, aNow);
  if (usage.inFlight > 0) {
    --usage.inFlight;
  }
}

Duration
AccountLimits::RetryAfter(const AccountRule& aRule) const
{
  const auto usage = this->usages.find(aRule.name);
  if (usage == this->usages.end()) {
    return Duration::zero();
  }
  return std::max(usage->second.requests.TimeUntil(1), usage->second.tokens.TimeUntil(0));
}

void
AccountLimits::Prune(Instant aNow)
{
  std::erase_if(this->usages, [aNow](const auto& aItem) {
    return aItem.second.inFlight == 0 && aNow - aItem.second.lastUsedAt > kIdleAccountTtl;
  });
}

std::uint32_t
AccountLimits::InFlight(const std::string& aAccount) const
{
  const auto usage = this->usages.find(aAccount);
  return usage == this->usages.end() ? 0 : usage->second.inFlight;
}

} // namespace sycamorepost
