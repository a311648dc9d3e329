// Declares the process's clock, timers on it, and a delay for coroutines.
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

// Returns the monotonic time. Unlike the steady clock, it advances while the VM is suspended, so
// that deadlines and leases expire here when they expire for the remote side. Timers use the steady
// clock: set them to a duration, not to an instant of this clock.
inline Instant
Now()
{
  timespec time{};
  clock_gettime(CLOCK_BOOTTIME, &time); // Fails only for an unsupported clock.
  return Instant(std::chrono::duration_cast<Duration>(std::chrono::seconds(time.tv_sec) +
                                                      std::chrono::nanoseconds(time.tv_nsec)));
}

// Sets a timer to expire at an instant, or earlier: its handler has to check the time. Timers do
// not advance while the VM is suspended, so each wait is limited to the acceptable delay after a
// resume.
inline void
ArmTimer(boost::asio::steady_timer& aTimer, Instant aAt)
{
  // A resumed process has to catch up within one second; this is a quarter of it.
  static constexpr Duration kMaxSleep = std::chrono::milliseconds(250);
  aTimer.expires_after(std::min<Duration>(aAt - Now(), kMaxSleep));
}

// Suspends the coroutine for a duration without blocking the thread.
inline boost::asio::awaitable<void>
Sleep(boost::asio::io_context& aContext, Duration aDuration)
{
  boost::asio::steady_timer timer(aContext, aDuration);
  co_await timer.async_wait(boost::asio::use_awaitable);
}

} // namespace sycamorepost

#endif // SYCAMOREPOST_NET_CLOCK_H_
