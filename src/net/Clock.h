// Offers the process's clock in the core's unit, and a pause of a coroutine.
#ifndef SYCAMOREPOST_NET_CLOCK_H_
#define SYCAMOREPOST_NET_CLOCK_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "sycamorepost/Types.h"

namespace sycamorepost {

// Returns the monotonic time.
inline Instant
Now()
{
  return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
}

// Waits without blocking the thread.
inline boost::asio::awaitable<void>
Sleep(boost::asio::io_context& aContext, Duration aTime)
{
  boost::asio::steady_timer timer(aContext, aTime);
  co_await timer.async_wait(boost::asio::use_awaitable);
}

} // namespace sycamorepost

#endif // SYCAMOREPOST_NET_CLOCK_H_
