#include <boost/asio/as_tuple.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <array>

#include <netinet/tcp.h>
#include <sys/socket.h>

#include "net/Http.h"

namespace sycamorepost {

namespace {

constexpr auto kAsTuple = asio::as_tuple(asio::use_awaitable);

HttpWireRequest
MakeRequest(const HttpCall& aCall)
{
  HttpWireRequest request;
  request.version(11);
  request.method_string(aCall.method);
  request.target(aCall.target);
  request.set(http::field::connection, "close");
  for (const auto& [name, value] : aCall.fields) {
    request.insert(name, value);
  }
  if (request.count(http::field::host) == 0) {
    request.set(http::field::host, aCall.address);
  }
  if (aCall.body) {
    request.body() = { aCall.body->data(), aCall.body->size() };
  }
  request.prepare_payload();
  return request;
}

void
CopyHead(const http::response<http::string_body>& aMessage, HttpReply& aReply)
{
  aReply.stage = HttpStage::Responded;
  aReply.status = static_cast<int>(aMessage.result_int());
  for (const auto& field : aMessage.base()) {
    aReply.fields.emplace_back(std::string(field.name_string()), std::string(field.value()));
  }
}

// Sends small requests without delay, and has the kernel abort a connection whose peer is down: a
// VM that does not respond for two seconds is considered down.
void
SetConnectionOptions(tcp::socket& aSocket)
{
  struct Option
  {
    int level;
    int name;
    int value;
  };
  static constexpr std::array<Option, 6> kOptions{ {
    { IPPROTO_TCP, TCP_NODELAY, 1 },
    { SOL_SOCKET, SO_KEEPALIVE, 1 },
    { IPPROTO_TCP, TCP_KEEPIDLE, 1 },        // Idle seconds before the first probe.
    { IPPROTO_TCP, TCP_KEEPINTVL, 1 },       // Seconds between two probes.
    { IPPROTO_TCP, TCP_KEEPCNT, 2 },         // Unanswered probes before the connection is aborted.
    { IPPROTO_TCP, TCP_USER_TIMEOUT, 2000 }, // Max. milliseconds until sent bytes are acknowledged.
  } };
  for (const Option& option : kOptions) {
    // Errors are ignored: the connection works without the option.
    setsockopt(
      aSocket.native_handle(), option.level, option.name, &option.value, sizeof(option.value));
  }
}

// Connects to the address of a call. On failure returns false and sets the reply's reason.
asio::awaitable<bool>
Connect(beast::tcp_stream& aStream, const HttpCall& aCall, HttpReply& aReply)
{
  const auto endpoint = ParseEndpoint(aCall.address);
  if (!endpoint) {
    aReply.reason = "'" + aCall.address + "' is no ip:port";
    co_return false;
  }
  aStream.expires_after(std::min(aCall.timeout, aCall.connectTimeout));
  const auto [error] = co_await aStream.async_connect(*endpoint, kAsTuple);
  if (error) {
    aReply.reason = error.message();
    co_return false;
  }
  SetConnectionOptions(aStream.socket());
  aStream.expires_after(aCall.timeout);
  co_return true;
}

// Connects and sends the request. On failure returns false and sets the reply's stage and reason.
asio::awaitable<bool>
SendRequest(beast::tcp_stream& aStream, const HttpCall& aCall, HttpReply& aReply)
{
  const bool connected = co_await Connect(aStream, aCall, aReply);
  if (!connected) {
    co_return false;
  }
  aReply.stage = HttpStage::Lost;
  const auto request = MakeRequest(aCall);
  const auto [writeError, size] = co_await http::async_write(aStream, request, kAsTuple);
  HttpTraffic& traffic = FetchTraffic()[aCall.address];
  ++traffic.calls;
  traffic.sentBytes += size;
  if (writeError) {
    aReply.reason = writeError.message();
    co_return false;
  }
  co_return true;
}

} // namespace

std::map<std::string, HttpTraffic>&
FetchTraffic()
{
  static std::map<std::string, HttpTraffic> sTraffic;
  return sTraffic;
}

asio::awaitable<HttpReply>
Fetch(HttpCall aCall)
{
  HttpReply reply;
  beast::tcp_stream stream(co_await asio::this_coro::executor);
  const bool sent = co_await SendRequest(stream, aCall, reply);
  if (!sent) {
    co_return reply;
  }
  beast::flat_buffer buffer(kMaxUnparsedBytes);
  http::response_parser<http::string_body> parser;
  parser.body_limit(aCall.maxBodyBytes);
  const auto [error, size] = co_await http::async_read(stream, buffer, parser, kAsTuple);
  FetchTraffic()[aCall.address].receivedBytes += size;
  if (error) {
    reply.reason = error.message();
    co_return reply;
  }
  CopyHead(parser.get(), reply);
  reply.body = std::move(parser.get().body());
  co_return reply;
}

asio::awaitable<bool>
RefusesConnections(std::string aAddress)
{
  // A live VM replies within a round trip; this includes one retransmission.
  static constexpr Duration kReplyTimeout = std::chrono::milliseconds(300);
  const auto endpoint = ParseEndpoint(aAddress);
  if (!endpoint) {
    co_return false;
  }
  beast::tcp_stream stream(co_await asio::this_coro::executor);
  stream.expires_after(kReplyTimeout);
  const auto [error] = co_await stream.async_connect(*endpoint, kAsTuple);
  co_return error == asio::error::connection_refused;
}

HttpStream::HttpStream(asio::any_io_executor aExecutor)
  : stream(std::move(aExecutor))
{
  this->parser.body_limit(boost::none);
}

asio::awaitable<HttpReply>
HttpStream::Open(HttpCall aCall)
{
  HttpReply reply;
  const bool connected = co_await Connect(this->stream, aCall, reply);
  if (!connected) {
    co_return reply;
  }
  reply.stage = HttpStage::Lost;
  // The response may arrive before the whole request is sent, so the write and the read run
  // concurrently. The handler keeps the request and its body alive until the write has ended; after
  // a failed write the read fails too.
  const auto request = std::make_shared<HttpWireRequest>(MakeRequest(aCall));
  http::async_write(
    this->stream,
    *request,
    [request, body = aCall.body, address = aCall.address](beast::error_code, std::size_t aSize) {
      FetchTraffic()[address].sentBytes += aSize;
    });
  ++FetchTraffic()[aCall.address].calls;
  const auto [error, size] =
    co_await http::async_read_header(this->stream, this->buffer, this->parser, kAsTuple);
  if (error) {
    reply.reason = error.message();
    co_return reply;
  }
  CopyHead(this->parser.get(), reply);
  co_return reply;
}

asio::awaitable<std::optional<std::string>>
HttpStream::Read(Duration aTimeout)
{
  this->stream.expires_after(aTimeout);
  while (!this->parser.is_done()) {
    const auto [error, size] =
      co_await http::async_read_some(this->stream, this->buffer, this->parser, kAsTuple);
    std::string piece = std::move(this->parser.get().body());
    this->parser.get().body().clear();
    if (!piece.empty()) {
      co_return piece;
    }
    if (error) {
      this->timedOut = error == beast::error::timeout;
      this->error = error.message();
      co_return std::nullopt;
    }
  }
  this->complete = true;
  co_return std::nullopt;
}

void
HttpStream::Close()
{
  this->stream.cancel();
  beast::error_code ignored;
  this->stream.socket().close(ignored);
}

} // namespace sycamorepost
