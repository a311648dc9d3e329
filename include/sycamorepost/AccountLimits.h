// Per-account limits of one entry: request rate, concurrency and tokens per minute. Each entry
// enforces an equal share of the limit that the rules set for the whole deployment.
#ifndef SYCAMOREPOST_ACCOUNT_LIMITS_H_
#define SYCAMOREPOST_ACCOUNT_LIMITS_H_

#include <cstdint>
#include <map>
#include <string>

#include "sycamorepost/Rules.h"
#include "sycamorepost/TokenBucket.h"
#include "sycamorepost/Types.h"

namespace sycamorepost {

// The result of checking a request against its account's limits.
enum class LimitVerdict
{
  Allowed,
  RateExceeded,
  ConcurrencyExceeded,
  TokensExceeded,
};

// Enforces the limits of all accounts. Idle accounts are pruned and then use no memory.
class AccountLimits
{
public:
  // Sets the fraction of every limit that this entry enforces: 1 / (number of live entries).
  void SetShare(double aShare) { this->share = aShare; }

  // Checks one request against the limits and counts it if it is allowed. aTokens is the number of
  // prompt tokens. Every allowed request needs one call of Release().
  LimitVerdict Admit(const AccountRule& aRule, std::uint32_t aTokens, Instant aNow);

  // Records the end of an allowed request. aTokens is the number of output tokens it produced.
  void Release(const AccountRule& aRule, std::uint32_t aTokens, Instant aNow);

  // Returns how long the account should wait before a retry; zero if it has no state.
  Duration RetryAfter(const AccountRule& aRule) const;

  // Removes accounts that have no request in flight and were last used over five minutes ago.
  void Prune(Instant aNow);

  // Returns the number of accounts whose usage is tracked now.
  std::size_t Size() const { return this->usages.size(); }

  // Returns the number of requests that an account has in flight at this entry.
  std::uint32_t InFlight(const std::string& aAccount) const;

private:
  struct Usage
  {
    std::uint32_t inFlight = 0;
    TokenBucket requests{ 0, 0 };
    TokenBucket tokens{ 0, 0 };
    Instant lastUsedAt;
  };

  Usage& Find(const AccountRule& aRule, Instant aNow);

  double share = 1;
  std::map<std::string, Usage> usages;
};

} // namespace sycamorepost

#endif // SYCAMOREPOST_ACCOUNT_LIMITS_H_
