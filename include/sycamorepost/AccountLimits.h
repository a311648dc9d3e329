// Offers the account limits of one entry: rate, concurrency and tokens, each a share of the limit
// that the rules set for the whole deployment.
#ifndef SYCAMOREPOST_ACCOUNT_LIMITS_H_
#define SYCAMOREPOST_ACCOUNT_LIMITS_H_

#include <cstdint>
#include <map>
#include <string>

#include "sycamorepost/Rules.h"
#include "sycamorepost/TokenBucket.h"
#include "sycamorepost/Types.h"

namespace sycamorepost {

// Whether an account may send a request now.
enum class LimitVerdict
{
  Allowed,
  RateExceeded,
  ConcurrencyExceeded,
  TokensExceeded,
};

// The limits. Accounts that send nothing hold no state.
class AccountLimits
{
public:
  // Sets this entry's share of every limit: one over the number of live entries.
  void SetShare(double aShare) { this->share = aShare; }

  // Asks for one request and counts it when it is allowed. The tokens are the prompt's.
  LimitVerdict Admit(const AccountRule& aRule, std::uint32_t aTokens, Instant aNow);

  // Reports that an allowed request has ended and how many answer tokens it used.
  void Release(const AccountRule& aRule, std::uint32_t aTokens, Instant aNow);

  // Returns how long the account should wait after a refusal.
  Duration RetryAfter(const AccountRule& aRule) const;

  // Drops the state of accounts with nothing in flight that have been quiet for a while.
  void Prune(Instant aNow);

  // Returns the number of accounts with state.
  std::size_t Size() const { return this->usages.size(); }

  // Returns the requests in flight of an account at this entry.
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
