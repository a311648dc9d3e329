#include <tuple>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "net/Http.h"
#include "sycamorepost/internal/Text.h"

namespace sycamorepost {

namespace {

constexpr auto kAsTuple = asio::as_tuple(asio::use_awaitable);

http::response<http::empty_body>
MakeHead(int aStatus, const std::vector<Field>& aFields, bool aKeepAlive)
{
  http::response<http::empty_body> head;
  head.version(11);
  head.result(static_cast<unsigned>(aStatus));
  for (const auto& [name, value] : aFields) {
    head.insert(name, value);
  }
  head.keep_alive(aKeepAlive);
  return head;
}

// Returns the status and message for a request that could not be read.
std::pair<int, std::string>
ExplainReadError(beast::error_code aError)
{
  if (aError == http::error::header_limit) {
    return { 431, "The request's header is too large." };
  }
  if (aError == http::error::body_limit) {
    return { 413, "The request's body is too large." };
  }
  if (aError == beast::error::timeout) {
    return { 408, "The request did not arrive in time." };
  }
  return { 400, "The request is not valid HTTP: " + aError.message() + "." };
}

bool
IsConnectionClosed(beast::error_code aError)
{
  return aError == http::error::end_of_stream || aError == asio::error::connection_reset ||
         aError == asio::error::operation_aborted;
}

} // namespace

std::optional<tcp::endpoint>
ParseEndpoint(const std::string& aText)
{
  const std::size_t colon = aText.rfind(':');
  if (colon == std::string::npos) {
    return std::nullopt;
  }
  beast::error_code error;
  const auto address = asio::ip::make_address(aText.substr(0, colon), error);
  const auto port = internal::ParseNumber<std::uint16_t>(aText.substr(colon + 1));
  if (error || !port || *port == 0) {
    return std::nullopt;
  }
  return tcp::endpoint(address, *port);
}

std::string
HttpRequest::Field(std::string_view aName) const
{
  const auto found = this->fields.find({ aName.data(), aName.size() });
  return found == this->fields.end() ? std::string() : std::string(found->value());
}

std::string
HttpRequest::Path() const
{
  return this->target.substr(0, this->target.find('?'));
}

std::string
HttpRequest::Query(std::string_view aName) const
{
  const std::size_t question = this->target.find('?');
  if (question == std::string::npos) {
    return {};
  }
  std::string_view rest = std::string_view(this->target).substr(question + 1);
  while (!rest.empty()) {
    const std::string_view pair = rest.substr(0, rest.find('&'));
    rest.remove_prefix(std::min(pair.size() + 1, rest.size()));
    const std::size_t equals = pair.find('=');
    if (equals != std::string_view::npos && pair.substr(0, equals) == aName) {
      return std::string(pair.substr(equals + 1));
    }
  }
  return {};
}

bool
HttpExchange::DecideKeepAlive()
{
  this->keepAlive = this->keepAlive && !(this->serverClosing && *this->serverClosing);
  return this->keepAlive;
}

asio::awaitable<bool>
HttpExchange::Respond(int aStatus, std::vector<Field> aFields, SharedBody aBody)
{
  auto head = MakeHead(aStatus, aFields, this->DecideKeepAlive());
  http::response<http::span_body<const char>> response(std::move(head.base()));
  if (aBody) {
    response.body() = { aBody->data(), aBody->size() };
  }
  response.prepare_payload();
  this->stream.expires_after(this->writeTimeout);
  const auto [error, size] = co_await http::async_write(this->stream, response, kAsTuple);
  this->keepAlive = this->keepAlive && !error;
  co_return !error;
}

asio::awaitable<bool>
HttpExchange::BeginStream(int aStatus, std::vector<Field> aFields)
{
  auto head = MakeHead(aStatus, aFields, this->DecideKeepAlive());
  head.chunked(true);
  http::response_serializer<http::empty_body> serializer(head);
  this->stream.expires_after(this->writeTimeout);
  const auto [error, size] = co_await http::async_write_header(this->stream, serializer, kAsTuple);
  this->keepAlive = this->keepAlive && !error;
  co_return !error;
}

asio::awaitable<bool>
HttpExchange::Write(std::string aPiece)
{
  this->stream.expires_after(this->writeTimeout);
  const auto chunk = http::make_chunk(asio::buffer(aPiece));
  const auto [error, size] = co_await asio::async_write(this->stream, chunk, kAsTuple);
  this->keepAlive = this->keepAlive && !error;
  co_return !error;
}

asio::awaitable<bool>
HttpExchange::EndStream(std::vector<Field> aTrailer)
{
  this->stream.expires_after(this->writeTimeout);
  http::fields trailer;
  for (const auto& [name, value] : aTrailer) {
    trailer.set(name, value);
  }
  const auto last = http::make_chunk_last(trailer);
  const auto [error, size] = co_await asio::async_write(this->stream, last, kAsTuple);
  this->keepAlive = this->keepAlive && !error;
  co_return !error;
}

void
HttpExchange::WatchClose(std::weak_ptr<void> aToken, std::function<void()> aOnClose)
{
  tcp::socket& socket = this->stream.socket();
  socket.async_wait(
    tcp::socket::wait_read,
    [&socket, token = std::move(aToken), onClose = std::move(aOnClose)](beast::error_code aError) {
      if (aError || token.expired()) {
        return;
      }
      beast::error_code error;
      if (socket.available(error) == 0 || error) {
        onClose();
      }
    });
}

HttpServer::HttpServer(asio::io_context& aContext, HttpLimits aLimits, HttpHandler aHandler)
  : context(aContext)
  , limits(aLimits)
  , handler(std::move(aHandler))
  , errorBodyFormatter([](int, const std::string& aMessage) { return aMessage + "\n"; })
  , acceptor(aContext)
{
}

bool
HttpServer::Listen(const tcp::endpoint& aEndpoint, std::string& aReason)
{
  beast::error_code error;
  this->acceptor.open(aEndpoint.protocol(), error);
  if (!error) {
    this->acceptor.set_option(tcp::acceptor::reuse_address(true), error);
  }
  if (!error) {
    this->acceptor.bind(aEndpoint, error);
  }
  if (!error) {
    this->acceptor.listen(asio::socket_base::max_listen_connections, error);
  }
  if (error) {
    aReason = error.message();
    return false;
  }
  asio::co_spawn(this->context, this->Accept(), asio::detached);
  return true;
}

void
HttpServer::StopAccepting()
{
  this->stopping = true;
  this->closing = true;
  beast::error_code error;
  this->acceptor.close(error);
  for (beast::tcp_stream* stream : this->idleConnections) {
    stream->cancel();
  }
}

asio::awaitable<void>
HttpServer::Accept()
{
  static constexpr auto kAcceptRetryDelay = std::chrono::milliseconds(50);
  while (!this->stopping) {
    auto [error, socket] = co_await this->acceptor.async_accept(kAsTuple);
    if (error) {
      // The error may persist, for example when file descriptors run out, so wait before a retry.
      asio::steady_timer timer(this->context, kAcceptRetryDelay);
      co_await timer.async_wait(kAsTuple);
      continue;
    }
    socket.set_option(tcp::no_delay(true), error);
    asio::co_spawn(this->context, this->ServeConnection(std::move(socket)), asio::detached);
  }
}

asio::awaitable<void>
HttpServer::ServeConnection(tcp::socket aSocket)
{
  ++this->connections;
  beast::tcp_stream stream(std::move(aSocket));
  beast::flat_buffer buffer;
  if (this->connections > this->limits.connections) {
    HttpExchange exchange(stream, false, this->limits.writeTimeout);
    std::vector<Field> fields{ { "Retry-After", "1" } };
    co_await exchange.Respond(
      503, std::move(fields), MakeBody(this->errorBodyFormatter(503, "Too many connections.")));
  } else {
    bool keepServing = true;
    while (keepServing) {
      keepServing = co_await this->AwaitRequest(stream, buffer);
      if (keepServing) {
        ++this->activeRequests;
        keepServing = co_await this->ServeRequest(stream, buffer);
        --this->activeRequests;
      }
    }
  }
  beast::error_code ignored;
  stream.socket().shutdown(tcp::socket::shutdown_both, ignored);
  --this->connections;
}

// Waits for the first byte of a request, under the idle timeout. The timeouts for the header and
// body start with that byte.
asio::awaitable<bool>
HttpServer::AwaitRequest(beast::tcp_stream& aStream, beast::flat_buffer& aBuffer)
{
  static constexpr std::size_t kFirstReadBytes = 4096;
  if (aBuffer.size() > 0) {
    co_return true;
  }
  if (this->stopping) {
    co_return false;
  }
  aStream.expires_after(this->limits.idleTimeout);
  this->idleConnections.insert(&aStream);
  const auto [error, size] =
    co_await aStream.async_read_some(aBuffer.prepare(kFirstReadBytes), kAsTuple);
  this->idleConnections.erase(&aStream);
  aBuffer.commit(size);
  co_return !error;
}

asio::awaitable<bool>
HttpServer::ServeRequest(beast::tcp_stream& aStream, beast::flat_buffer& aBuffer)
{
  http::request_parser<http::string_body> parser;
  parser.header_limit(this->limits.headerBytes);
  parser.body_limit(this->limits.bodyBytes);
  aStream.expires_after(this->limits.headerTimeout);
  auto [error, size] = co_await http::async_read_header(aStream, aBuffer, parser, kAsTuple);
  if (!error && !parser.is_done()) {
    aStream.expires_after(this->limits.bodyTimeout);
    std::tie(error, size) = co_await http::async_read(aStream, aBuffer, parser, kAsTuple);
  }
  if (error) {
    HttpExchange exchange(aStream, false, this->limits.writeTimeout);
    if (!IsConnectionClosed(error)) {
      co_await this->RefuseRequest(exchange, error);
    }
    co_return false;
  }
  auto message = parser.release();
  const bool keepAlive = message.keep_alive() && !this->stopping;
  HttpExchange exchange(aStream, keepAlive, this->limits.writeTimeout, &this->closing);
  HttpRequest request;
  request.method = std::string(message.method_string());
  request.target = std::string(message.target());
  request.body = MakeBody(std::move(message.body()));
  request.fields = std::move(message.base());
  aStream.expires_never();
  co_await this->handler(std::move(request), exchange);
  co_return exchange.KeepAlive();
}

asio::awaitable<void>
HttpServer::RefuseRequest(HttpExchange& aExchange, beast::error_code aError)
{
  const auto [status, message] = ExplainReadError(aError);
  std::vector<Field> fields{ { "Content-Type", "application/json" },
                             { "Sycamorepost-Outcome", ToString(Outcome::NotRun) } };
  co_await aExchange.Respond(
    status, std::move(fields), MakeBody(this->errorBodyFormatter(status, message)));
}

} // namespace sycamorepost
