// Virtual time for tests of reducers.
#ifndef SYCAMOREPOST_TEST_HARNESS_VIRTUAL_TIME_H_
#define SYCAMOREPOST_TEST_HARNESS_VIRTUAL_TIME_H_

#include <algorithm>

#include "sycamorepost/Effects.h"

namespace sycamorepost::harness {

// Advances a driver's time, and wakes its reducer whenever that is due. The driver has the members
// reducer and now, and the function Step(event).
template<typename Driver>
void
AdvanceTime(Driver& aDriver, Duration aDuration)
{
  const Instant until = aDriver.now + aDuration;
  for (auto next = aDriver.reducer.NextWake(); next && *next <= until;
       next = aDriver.reducer.NextWake()) {
    aDriver.now = std::max(aDriver.now, *next);
    aDriver.Step(Wake{});
  }
  aDriver.now = until;
}

} // namespace sycamorepost::harness

#endif // SYCAMOREPOST_TEST_HARNESS_VIRTUAL_TIME_H_
