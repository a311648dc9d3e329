#include "RawTarget.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <nlohmann/json.hpp>

#include "net/Clock.h"
#include "platform/StoreClient.h"

namespace sycamorepost::harness {

namespace {

constexpr auto kTuple = asio::as_tuple(asio::use_awaitable);
constexpr auto kHeartbeatInterval = std::chrono::milliseconds(400);

// Small, so that a long request is still on its way when the target responds early.
constexpr int kReceiveBufferBytes = 64 * 1024;

// How long a response has to reach its reader before the connection is reset.
constexpr auto kResetDelay = std::chrono::milliseconds(100);

} // namespace

RawTarget::RawTarget(RawTargetSettings aSettings)
  : settings(std::move(aSettings))
  , acceptor(this->context, *ParseEndpoint(this->settings.address))
{
  this->acceptor.set_option(asio::socket_base::receive_buffer_size(kReceiveBufferBytes));
  asio::co_spawn(this->context, this->RenewRegistration(), asio::detached);
  asio::co_spawn(this->context, this->AcceptConnections(), asio::detached);
  this->thread = std::thread([this] { this->context.run(); });
}

RawTarget::~RawTarget()
{
  this->context.stop();
  this->thread.join();
}

std::vector<std::string>
RawTarget::RequestIds() const
{
  const std::lock_guard<std::mutex> lock(this->mutex);
  return this->requestIds;
}

asio::awaitable<void>
RawTarget::RenewRegistration()
{
  platform::StoreClient store(this->settings.storeAddress);
  for (std::uint64_t sequence = 1;; ++sequence) {
    const nlohmann::json registration{ { "Service", this->settings.service },
                                       { "Address", this->settings.address },
                                       { "Zone", "hobart" },
                                       { "Slots", 16 },
                                       { "State", "ready" },
                                       { "Seq", sequence } };
    std::vector<platform::StoreRecord> records{ { this->settings.instance, registration.dump() } };
    // A failed append is retried at the next heartbeat.
    co_await store.Append("keyed.servers", std::move(records));
    co_await Sleep(this->context, kHeartbeatInterval);
  }
}

asio::awaitable<void>
RawTarget::AcceptConnections()
{
  while (true) {
    auto [error, socket] = co_await this->acceptor.async_accept(kTuple);
    if (error) {
      co_return;
    }
    asio::co_spawn(this->context, this->Serve(std::move(socket)), asio::detached);
  }
}

asio::awaitable<void>
RawTarget::Serve(tcp::socket aSocket)
{
  beast::flat_buffer buffer;
  http::request_parser<http::string_body> parser;
  parser.body_limit(boost::none);
  const auto [headError, headSize] =
    co_await http::async_read_header(aSocket, buffer, parser, kTuple);
  if (headError) {
    co_return;
  }
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->requestIds.emplace_back(parser.get()["X-Sycamorepost-Request-Id"]);
  }
  const RawAnswer answer = this->settings.respond(parser.get());
  if (!answer.isEarly) {
    const auto [error, size] = co_await http::async_read(aSocket, buffer, parser, kTuple);
    if (error) {
      co_return;
    }
  }
  const auto [error, size] =
    co_await asio::async_write(aSocket, asio::buffer(answer.bytes), kTuple);
  if (!error && answer.isReset) {
    co_await Sleep(this->context, kResetDelay);
    aSocket.set_option(asio::socket_base::linger(true, 0));
    aSocket.close(); // The destructor would ignore the option.
  }
}

} // namespace sycamorepost::harness
