#include "Relay.h"

#include <array>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

namespace sycamorepost::harness {

namespace {

constexpr auto kTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t kBufferBytes = 64 * 1024;

} // namespace

Relay::Relay(const std::string& aListen, const std::string& aTarget)
  : acceptor(this->context, *ParseEndpoint(aListen))
  , target(*ParseEndpoint(aTarget))
{
  asio::co_spawn(this->context, this->AcceptConnections(), asio::detached);
  this->thread = std::thread([this] { this->context.run(); });
}

Relay::~Relay()
{
  this->context.stop();
  this->thread.join();
}

asio::awaitable<void>
Relay::AcceptConnections()
{
  while (true) {
    auto [error, socket] = co_await this->acceptor.async_accept(kTuple);
    if (error) {
      co_return;
    }
    ++this->connections;
    auto client = std::make_shared<tcp::socket>(std::move(socket));
    asio::co_spawn(this->context, this->RelayConnection(std::move(client)), asio::detached);
  }
}

asio::awaitable<void>
Relay::RelayConnection(std::shared_ptr<tcp::socket> aClient)
{
  auto upstream = std::make_shared<tcp::socket>(this->context);
  const auto [error] = co_await upstream->async_connect(this->target, kTuple);
  if (error) {
    co_return;
  }
  boost::system::error_code ignored;
  aClient->set_option(tcp::no_delay(true), ignored);
  upstream->set_option(tcp::no_delay(true), ignored);
  asio::co_spawn(this->context, this->Forward(aClient, upstream, this->epoch), asio::detached);
  co_await this->Forward(upstream, aClient, this->epoch);
}

asio::awaitable<void>
Relay::Forward(std::shared_ptr<tcp::socket> aFrom, std::shared_ptr<tcp::socket> aTo, int aEpoch)
{
  std::array<char, kBufferBytes> buffer{};
  while (true) {
    const auto [readError, size] = co_await aFrom->async_read_some(asio::buffer(buffer), kTuple);
    const bool discarded = this->isBlackholed || aEpoch != this->epoch;
    if (readError && !discarded) {
      boost::system::error_code ignored;
      aTo->shutdown(tcp::socket::shutdown_send, ignored);
    }
    if (readError) {
      co_return;
    }
    if (!discarded) {
      const auto [writeError, written] =
        co_await asio::async_write(*aTo, asio::buffer(buffer.data(), size), kTuple);
      if (writeError) {
        aFrom->close();
        co_return;
      }
    }
  }
}

} // namespace sycamorepost::harness
