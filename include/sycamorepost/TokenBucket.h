// A token bucket, used for retry budgets and account rate limits.
#ifndef SYCAMOREPOST_TOKEN_BUCKET_H_
#define SYCAMOREPOST_TOKEN_BUCKET_H_

#include <algorithm>

#include "sycamorepost/Types.h"

namespace sycamorepost {

// Starts full and refills at a constant rate up to its capacity. Refills ignore timestamps that are
// older than the latest one seen.
class TokenBucket
{
public:
  TokenBucket(double aCapacity, double aRefillPerSecond)
    : capacity(aCapacity)
    , refillPerSecond(aRefillPerSecond)
    , level(aCapacity)
  {
  }

  // Changes capacity and refill rate. The level is kept, limited to the new capacity.
  void Configure(double aCapacity, double aRefillPerSecond)
  {
    this->capacity = aCapacity;
    this->refillPerSecond = aRefillPerSecond;
    this->level = std::min(this->level, aCapacity);
  }

  // Adds tokens, up to the capacity.
  void Add(double aTokens) { this->level = std::min(this->capacity, this->level + aTokens); }

  // Takes the tokens if that many are available; otherwise takes none and returns false.
  bool TryTake(double aTokens, Instant aNow)
  {
    this->Refill(aNow);
    if (this->level < aTokens) {
      return false;
    }
    this->level -= aTokens;
    return true;
  }

  // Takes the tokens unconditionally. The level may become negative; later refills pay that debt.
  void TakeWithDebt(double aTokens, Instant aNow)
  {
    this->Refill(aNow);
    this->level -= aTokens;
  }

  // Returns the time until that many tokens are available, as of the last refill. Zero if they are
  // available now or the bucket never refills.
  Duration TimeUntil(double aTokens) const
  {
    if (this->level >= aTokens || this->refillPerSecond <= 0) {
      return Duration::zero();
    }
    const double seconds = (aTokens - this->level) / this->refillPerSecond;
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
  }

  // Returns the tokens available as of the last refill; negative while in debt.
  double AvailableTokens() const { return this->level; }

private:
  void Refill(Instant aNow)
  {
    if (aNow > this->refilledAt && this->refilledAt != Instant()) {
      const std::chrono::duration<double> passed = aNow - this->refilledAt;
      this->Add(passed.count() * this->refillPerSecond);
    }
    this->refilledAt = std::max(this->refilledAt, aNow);
  }

  double capacity;
  double refillPerSecond;
  double level;
  Instant refilledAt;
};

} // namespace sycamorepost

#endif // SYCAMOREPOST_TOKEN_BUCKET_H_
