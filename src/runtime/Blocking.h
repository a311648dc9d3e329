// Declares RunBlocking(), which lets a command line program or a test call a coroutine like a
// blocking function.
#ifndef SYCAMOREPOST_RUNTIME_BLOCKING_H_
#define SYCAMOREPOST_RUNTIME_BLOCKING_H_

#include <exception>
#include <optional>
#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>

namespace sycamorepost {

// Runs a coroutine to completion on its own io_context and returns its result. Rethrows what the
// coroutine throws.
template<typename Value>
Value
RunBlocking(boost::asio::awaitable<Value> aTask)
{
  boost::asio::io_context context(1);
  std::optional<Value> result;
  boost::asio::co_spawn(
    context, std::move(aTask), [&result](const std::exception_ptr& aError, Value aValue) {
      if (aError) {
        std::rethrow_exception(aError);
      }
      result = std::move(aValue);
    });
  context.run();
  return *std::move(result);
}

} // namespace sycamorepost

#endif // SYCAMOREPOST_RUNTIME_BLOCKING_H_
