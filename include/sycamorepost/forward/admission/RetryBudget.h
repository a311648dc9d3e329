// One entry's share of the retries that all entries together may make for a service.
#ifndef SYCAMOREPOST_FORWARD_ADMISSION_RETRY_BUDGET_H_
#define SYCAMOREPOST_FORWARD_ADMISSION_RETRY_BUDGET_H_

#include <algorithm>
#include <cstddef>

namespace sycamorepost {

// The retry budget of one service. It starts with a share of the slack and grows with each request.
class RetryBudget
{
public:
  // Sets the retries per request, the slack of all entries together, and the number of entries that
  // share it.
  void Configure(double aRatio, double aSlack, std::size_t aEntries)
  {
    // Half of both is held back: for entries that restart with a full share, and for retries that
    // targets make themselves.
    static constexpr double kUsedShare = 0.5;
    this->ratio = aRatio * kUsedShare;
    const double maxLevel =
      aSlack * kUsedShare / static_cast<double>(std::max<std::size_t>(1, aEntries));
    this->level = this->maxLevel < 0 ? maxLevel : std::min(this->level, maxLevel);
    this->maxLevel = maxLevel;
  }

  // Adds the share of one request of a caller.
  void RecordRequest() { this->level = std::min(this->maxLevel, this->level + this->ratio); }

  // Spends one retry; returns false when that is not allowed. A share below one retry is spent by
  // chance: aDraw is a random number from 0 to 1, and the retry is allowed when it is below the
  // level. So many entries make as many retries together as if they shared one budget.
  bool TrySpend(double aDraw)
  {
    if (this->level < 1 && this->maxLevel >= 1) {
      return false;
    }
    const bool allowed = aDraw < this->level;
    this->level = std::max(0.0, this->level - 1);
    return allowed;
  }

  double Level() const { return this->level; }

private:
  double ratio = 0;
  double maxLevel = -1; // Below 0 until configured.
  double level = 0;
};

} // namespace sycamorepost

#endif // SYCAMOREPOST_FORWARD_ADMISSION_RETRY_BUDGET_H_
