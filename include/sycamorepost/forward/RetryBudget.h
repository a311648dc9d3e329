// Offers one entry's share of the retries that all entries together may make for a service.
#ifndef SYCAMOREPOST_FORWARD_RETRY_BUDGET_H_
#define SYCAMOREPOST_FORWARD_RETRY_BUDGET_H_

#include <algorithm>
#include <cstddef>

namespace sycamorepost {

// The budget of one service. It is earned by requests and begins with a share of the slack.
class RetryBudget
{
public:
  // Sets the ratio, the slack of all entries and the number of entries that may share it.
  void Configure(double aRatio, double aSlack, std::size_t aEntries)
  {
    // Half of either is kept back: for entries that restart with a full share, and for targets'
    // own repeats.
    static constexpr double kUsedShare = 0.5;
    this->ratio = aRatio * kUsedShare;
    const double maxLevel =
      aSlack * kUsedShare / static_cast<double>(std::max<std::size_t>(1, aEntries));
    this->level = this->most < 0 ? maxLevel : std::min(this->level, maxLevel);
    this->most = maxLevel;
  }

  // Notes a request of a caller.
  void Earn() { this->level = std::min(this->most, this->level + this->ratio); }

  // Takes one retry when there is one.
  bool Take()
  {
    if (this->level < 1) {
      return false;
    }
    this->level -= 1;
    return true;
  }

  double Level() const { return this->level; }

private:
  double ratio = 0;
  double most = -1; // Below 0 until it is configured.
  double level = 0;
};

} // namespace sycamorepost

#endif // SYCAMOREPOST_FORWARD_RETRY_BUDGET_H_
