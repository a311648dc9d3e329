#include <algorithm>
#include <array>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "net/Clock.h"
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

// What a connection without a request costs, with the buffer of its first read.
constexpr std::uint64_t kConnectionBytes = 8 * 1024;

constexpr std::size_t kFirstReadBytes = 4096;

// Bodies are read in larger steps once they are large: system calls would cost more than the bytes.
constexpr std::size_t kBodyReadBytes = 16 * 1024;
constexpr std::size_t kLargeReadBytes = 64 * 1024;

// Memory is reserved in such steps, so that not every read needs a reservation.
constexpr std::uint64_t kReservationBytes = 16 * 1024;

// What may be buffered of a request beside its header: the limit on a chunk header.
constexpr std::size_t kMaxChunkHeaderBytes = 8 * 1024;

// A request that has not grown for this long may lose its place to a new connection. Callers that
// are at work send their next bytes within a round trip and a retransmission.
constexpr Duration kMinStalledTime = std::chrono::seconds(1);

// A refusal for lack of memory must not hold memory itself for long.
constexpr Duration kRefusalWriteTimeout = std::chrono::milliseconds(500);

struct RefusalTraits
{
  const char* name;
  int status;
  const char* message;
};

const RefusalTraits&
TraitsOf(HttpRefusal aRefusal)
{
  // In the order of HttpRefusal.
  static constexpr std::array<RefusalTraits, 10> kTraits{ {
    { "malformed", 400, "The request is not valid HTTP" },
    { "timeout", 408, "The request did not arrive in time." },
    { "body", 413, "The request's body is too large." },
    { "header", 431, "The request's header is too large." },
    { "unparsed", 431, "A chunk header or a trailer of the request is too large." },
    { "connections", 503, "Too many connections." },
    { "memory", 503, "Too many requests are in progress." },
    { "evicted", 503, "The request was incomplete while too many are in progress." },
    { "unused", 0, "" },
    { "idle", 0, "" },
  } };
  return kTraits.at(static_cast<std::size_t>(aRefusal));
}

HttpRefusal
ClassifyReadError(beast::error_code aError)
{
  if (aError == http::error::header_limit) {
    return HttpRefusal::Header;
  }
  if (aError == http::error::buffer_overflow) {
    return HttpRefusal::Unparsed;
  }
  if (aError == http::error::body_limit) {
    return HttpRefusal::Body;
  }
  return aError == beast::error::timeout ? HttpRefusal::Timeout : HttpRefusal::Malformed;
}

bool
IsConnectionClosed(beast::error_code aError)
{
  return aError == http::error::end_of_stream || aError == asio::error::connection_reset ||
         aError == asio::error::operation_aborted;
}

// A body and the account that holds its memory.
struct AccountedBody
{
  explicit AccountedBody(MemoryLedger* aLedger)
    : account(aLedger)
  {
  }

  std::string text;
  MemoryLedger::Account account;
};

} // namespace

// What a connection does.
enum class ConnectionPhase
{
  Unused,  // It has not sent anything.
  Reading, // A request arrives.
  Serving, // A request runs, or its response is sent.
  Idle,    // It waits for the next request.
  Closing, // It has lost its place, or was refused one.
};

// An open connection. Its account holds what the connection itself costs, and what has arrived of
// an incomplete request.
struct HttpServer::Connection
{
  Connection(tcp::socket aSocket, MemoryLedger* aLedger, std::uint64_t aNumber)
    : number(aNumber)
    , activeAt(Now())
    , stream(std::move(aSocket))
    , account(aLedger, [this] { this->stream.cancel(); })
  {
  }

  // Reserves memory so that the account holds at least aBytes.
  bool Hold(std::uint64_t aBytes)
  {
    const std::uint64_t held = this->account.Bytes();
    return aBytes <= held ||
           this->account.Reserve(std::max(aBytes - held, kReservationBytes), Now());
  }

  // Marks the request as complete, and moves what its body holds to aBody. Returns false if a body
  // from the first read, which was not reserved for so far, does not fit.
  bool HandOver(MemoryLedger::Account& aBody, std::uint64_t aBytes)
  {
    this->account.EndRequest();
    const std::uint64_t held = this->account.Bytes();
    this->account.Transfer(aBody, std::min(aBytes, held - std::min(held, kConnectionBytes)));
    return aBody.Bytes() >= aBytes || aBody.Reserve(aBytes - aBody.Bytes(), Now());
  }

  // Releases what was held of a request, with the memory of a buffer that it has enlarged.
  void ReleaseRequest()
  {
    if (this->buffer.capacity() > std::max(kFirstReadBytes, 2 * this->buffer.size())) {
      this->buffer.shrink_to_fit();
    }
    this->account.EndRequest();
    const std::uint64_t held = this->account.Bytes();
    this->account.Release(held - std::min(held, kConnectionBytes));
  }

  // Records that the connection does something else, or that bytes of its request have arrived.
  void Enter(ConnectionPhase aPhase)
  {
    this->phase = aPhase;
    this->activeAt = Now();
  }

  std::uint64_t number; // Rises with each connection.
  ConnectionPhase phase = ConnectionPhase::Unused;
  Instant activeAt; // When it entered its phase, or a byte last arrived.
  beast::tcp_stream stream;
  beast::flat_buffer buffer;
  MemoryLedger::Account account;
};

// A request that was read, or why it was not. Neither is set if the caller has closed the
// connection.
struct HttpServer::ReadResult
{
  std::optional<HttpRequest> request;
  bool keepAlive = false;
  std::optional<HttpRefusal> refusal;
  std::string detail; // Appended to the message of the refusal.
};

const char*
ToString(HttpRefusal aRefusal)
{
  return TraitsOf(aRefusal).name;
}

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

HttpServer::HttpServer(asio::io_context& aContext,
                       HttpLimits aLimits,
                       HttpHandler aHandler,
                       MemoryLedger* aLedger)
  : context(aContext)
  , limits(aLimits)
  , handler(std::move(aHandler))
  , ledger(aLedger)
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
  for (const auto& [number, connection] : this->openConnections) {
    if (connection->phase == ConnectionPhase::Unused ||
        connection->phase == ConnectionPhase::Idle) {
      connection->stream.cancel();
    }
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
  Connection connection(std::move(aSocket), this->ledger, ++this->lastConnection);
  const bool hasPlace =
    this->connections <= this->limits.connections || this->MakeRoomForConnection();
  if (!hasPlace) {
    co_await this->Refuse(connection, HttpRefusal::Connections, "");
  } else if (!connection.account.Reserve(kConnectionBytes, Now())) {
    co_await this->Refuse(connection, HttpRefusal::Memory, "");
  } else {
    this->openConnections[connection.number] = &connection;
    bool keepServing = true;
    while (keepServing) {
      keepServing = co_await this->AwaitRequest(connection);
      if (keepServing) {
        ++this->activeRequests;
        keepServing = co_await this->ServeRequest(connection);
        --this->activeRequests;
        connection.Enter(ConnectionPhase::Idle);
      }
    }
    this->openConnections.erase(connection.number);
  }
  beast::error_code ignored;
  connection.stream.socket().shutdown(tcp::socket::shutdown_both, ignored);
  --this->connections;
}

// Takes the place of a connection that no request in progress needs. Returns whether there is one.
bool
HttpServer::MakeRoomForConnection()
{
  Connection* connection = this->FindDisplaceable(Now());
  if (!connection) {
    return false;
  }
  // An incomplete request is refused, and counted, once its read has been cancelled.
  if (connection->phase != ConnectionPhase::Reading && this->refusalHandler) {
    this->refusalHandler(connection->phase == ConnectionPhase::Unused ? HttpRefusal::Unused
                                                                      : HttpRefusal::Idle);
  }
  connection->Enter(ConnectionPhase::Closing);
  connection->stream.cancel();
  return true;
}

// Returns the connection that is to give up its place: the oldest one that has not sent anything,
// else the incomplete request that has not grown for the longest time, else the connection that has
// been idle for the longest time. Idle connections come last, as callers reuse them.
HttpServer::Connection*
HttpServer::FindDisplaceable(Instant aNow) const
{
  Connection* stalled = nullptr;
  Connection* idle = nullptr;
  for (const auto& [number, connection] : this->openConnections) {
    if (connection->phase == ConnectionPhase::Unused) {
      return connection;
    }
    if (connection->phase == ConnectionPhase::Reading) {
      const bool isStalled = connection->activeAt + kMinStalledTime <= aNow;
      if (isStalled && (!stalled || connection->activeAt < stalled->activeAt)) {
        stalled = connection;
      }
    } else if (connection->phase == ConnectionPhase::Idle) {
      idle = !idle || connection->activeAt < idle->activeAt ? connection : idle;
    }
  }
  return stalled ? stalled : idle;
}

// Waits for the first byte of a request, under the idle timeout. The timeouts for the header and
// body start with that byte.
asio::awaitable<bool>
HttpServer::AwaitRequest(Connection& aConnection)
{
  beast::flat_buffer& buffer = aConnection.buffer;
  if (buffer.size() > 0) {
    co_return true;
  }
  if (this->stopping) {
    co_return false;
  }
  aConnection.stream.expires_after(this->limits.idleTimeout);
  const auto [error, size] =
    co_await aConnection.stream.async_read_some(buffer.prepare(kFirstReadBytes), kAsTuple);
  buffer.commit(size);
  co_return !error;
}

asio::awaitable<bool>
HttpServer::ServeRequest(Connection& aConnection)
{
  aConnection.account.BeginRequest(Now());
  aConnection.Enter(ConnectionPhase::Reading);
  ReadResult result = co_await this->ReadRequest(aConnection);
  aConnection.ReleaseRequest();
  if (!result.request) {
    if (result.refusal) {
      co_await this->Refuse(aConnection, *result.refusal, std::move(result.detail));
    }
    co_return false;
  }
  HttpExchange exchange(
    aConnection.stream, result.keepAlive, this->limits.writeTimeout, &this->closing);
  aConnection.stream.expires_never();
  aConnection.Enter(ConnectionPhase::Serving);
  co_await this->handler(std::move(*result.request), exchange);
  co_return exchange.KeepAlive();
}

// Reads a request in steps and reserves the memory of each step before it reads. Neither timeout
// restarts with the bytes that arrive.
asio::awaitable<HttpServer::ReadResult>
HttpServer::ReadRequest(Connection& aConnection)
{
  ReadResult result;
  beast::flat_buffer& buffer = aConnection.buffer;
  http::request_parser<http::string_body> parser;
  parser.header_limit(this->limits.headerBytes);
  parser.body_limit(this->MaxBodyBytes());
  parser.eager(true);
  const std::size_t maxUnparsed = this->limits.headerBytes + kMaxChunkHeaderBytes;
  const std::string& body = parser.get().body();
  beast::error_code error;
  bool isInBody = false;
  aConnection.stream.expires_after(this->limits.headerTimeout);
  while (true) {
    if (buffer.size() > 0) {
      buffer.consume(parser.put(buffer.data(), error));
    }
    if (error == http::error::need_more) {
      error = {};
    }
    if (error || parser.is_done()) {
      break;
    }
    if (!isInBody && parser.is_header_done()) {
      isInBody = true;
      aConnection.stream.expires_after(this->limits.bodyTimeout);
    }
    if (buffer.size() >= maxUnparsed) {
      error = isInBody ? http::error::buffer_overflow : http::error::header_limit;
      break;
    }
    const std::size_t bodyRead = body.size() < kLargeReadBytes ? kBodyReadBytes : kLargeReadBytes;
    const std::size_t wanted =
      isInBody ? bodyRead : std::min(kFirstReadBytes, maxUnparsed - buffer.size());
    const bool isWithinFirstRead = body.size() + buffer.size() + wanted <= kFirstReadBytes;
    const bool isGranted = isWithinFirstRead || aConnection.Hold(kConnectionBytes + body.size() +
                                                                 buffer.size() + wanted);
    if (!isGranted) {
      result.refusal = HttpRefusal::Memory;
      co_return result;
    }
    const auto [readError, size] =
      co_await aConnection.stream.async_read_some(buffer.prepare(wanted), kAsTuple);
    buffer.commit(size);
    if (aConnection.account.IsEvicted() || aConnection.phase == ConnectionPhase::Closing) {
      result.refusal = HttpRefusal::Evicted;
      co_return result;
    }
    if (readError) {
      error = readError == asio::error::eof ? http::error::partial_message : readError;
      break;
    }
    aConnection.activeAt = Now();
  }
  if (error) {
    if (!IsConnectionClosed(error)) {
      result.refusal = ClassifyReadError(error);
      result.detail = *result.refusal == HttpRefusal::Malformed ? ": " + error.message() + "." : "";
    }
    co_return result;
  }
  auto message = parser.release();
  const auto accounted = std::make_shared<AccountedBody>(this->ledger);
  accounted->text = std::move(message.body());
  const bool isHeld = aConnection.HandOver(accounted->account, accounted->text.size());
  if (!isHeld) {
    result.refusal = HttpRefusal::Memory;
    co_return result;
  }
  result.keepAlive = message.keep_alive() && !this->stopping;
  HttpRequest& request = result.request.emplace();
  request.method = std::string(message.method_string());
  request.target = std::string(message.target());
  request.body = SharedBody(accounted, &accounted->text);
  request.fields = std::move(message.base());
  co_return result;
}

// Refuses a request that has not run. Its connection is closed afterwards.
asio::awaitable<void>
HttpServer::Refuse(Connection& aConnection, HttpRefusal aRefusal, std::string aDetail)
{
  if (this->refusalHandler) {
    this->refusalHandler(aRefusal);
  }
  const RefusalTraits& traits = TraitsOf(aRefusal);
  std::vector<Field> fields{ { "Content-Type", "application/json" },
                             { "Sycamorepost-Outcome", ToString(Outcome::NotRun) } };
  if (traits.status == 503) {
    fields.emplace_back("Retry-After", "1");
  }
  HttpExchange exchange(
    aConnection.stream, false, std::min(this->limits.writeTimeout, kRefusalWriteTimeout));
  co_await exchange.Respond(
    traits.status,
    std::move(fields),
    MakeBody(this->errorBodyFormatter(traits.status, traits.message + aDetail)));
}

// Returns the limit on a body, which the ledger must be able to grant beside the other memory of
// its connection.
std::uint64_t
HttpServer::MaxBodyBytes() const
{
  const std::uint64_t reserve = kConnectionBytes + this->limits.headerBytes + kMaxChunkHeaderBytes +
                                kLargeReadBytes + kReservationBytes;
  return this->ledger ? std::min(this->limits.bodyBytes, this->ledger->LargestAccount() - reserve)
                      : this->limits.bodyBytes;
}

} // namespace sycamorepost
