// Offers the process's clock in the core's unit, and a pause of a coroutine.
#ifndef SYCAMOREPOST_NET_CLOCK_H_
#define SYCAMOREPOST_NET_CLOCK_H_

#include <algorithm>
#include <ctime>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "sycamorepost/Types.h"

namespace sycamorepost {

// Returns the monotonic time. Unlike the steady clock it also counts while the VM is suspended, so
// that deadlines and leases are judged by the time that the other side has seen pass. Timers run on
// the steady clock: they are armed with a span, not with an instant of this clock.
inline Instant
Now()
{
  timespec time{};
  clock_gettime(CLOCK_BOOTTIME, &time); // Fails only for an unknown clock.
  return Instant(std::chrono::duration_cast<Duration>(std::chrono::seconds(time.tv_sec) +
                                                      std::chrono::nanoseconds(time.tv_nsec)));
}

// Arms a timer for an instant, or for an earlier one: a timer sleeps on while the VM is suspended,
// so it never sleeps for longer than it may be late.
inline void
ArmTimer(boost::asio::steady_timer& aTimer, Instant aAt)
{
  // A quarter of the second within which a process that was suspended has to be in step again.
  static constexpr Duration kMaxSleep = std::chrono::milliseconds(250);
  aTimer.expires_after(std::min<Duration>(aAt - Now(), kMaxSleep));
}

// Waits without blocking the thread.
inline boost::asio::awaitable<void>
Sleep(boost::asio::io_context& aContext, Duration aDuration)
{
  boost::asio::steady_timer timer(aContext, aDuration);
  co_await timer.async_wait(boost::asio::use_awaitable);
}

} // namespace sycamorepost

#endif // SYCAMOREPOST_NET_CLOCK_H_
