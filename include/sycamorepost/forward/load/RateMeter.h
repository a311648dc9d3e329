// The rate of events over about the last second.
#ifndef SYCAMOREPOST_FORWARD_LOAD_RATE_METER_H_
#define SYCAMOREPOST_FORWARD_LOAD_RATE_METER_H_

#include <algorithm>
#include <chrono>
#include <cmath>

#include "sycamorepost/Types.h"

namespace sycamorepost {

// An exponentially weighted rate with a time constant of one second.
class RateMeter
{
public:
  // Records one event.
  void Record(Instant aNow)
  {
    this->rate = this->PerSecond(aNow) + 1;
    this->recordedAt = aNow;
  }

  // Returns the rate in events per second.
  double PerSecond(Instant aNow) const
  {
    const std::chrono::duration<double> passed = aNow - this->recordedAt;
    return this->rate * std::exp(-std::max(0.0, passed.count()));
  }

private:
  double rate = 0;
  Instant recordedAt;
};

} // namespace sycamorepost

#endif // SYCAMOREPOST_FORWARD_LOAD_RATE_METER_H_
