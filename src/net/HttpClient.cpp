#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <array>
#include <iterator>

#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include "net/Clock.h"
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

// A requirement for the head of a response that the parser does not check.
struct HeadRule
{
  bool (*isBroken)(const http::response_header<>&);
  const char* fault;
};

bool
HasInvalidStatus(const http::response_header<>& aHead)
{
  return aHead.result_int() < 100 || aHead.result_int() > 599;
}

bool
SwitchesProtocol(const http::response_header<>& aHead)
{
  return aHead.result() == http::status::switching_protocols;
}

// Returns whether the head states another transfer coding than chunks, which HTTP defines from
// version 1.1 on. No request asks for others, and its reader would not learn of them.
bool
HasUnknownTransferCoding(const http::response_header<>& aHead)
{
  const auto [first, last] = aHead.equal_range(http::field::transfer_encoding);
  if (first == last) {
    return false;
  }
  return aHead.version() < 11 || std::next(first) != last ||
         !beast::iequals(first->value(), "chunked");
}

// Returns whether the head announces a body although its status defines that there is none, so that
// its reader would not get it.
bool
HasBodyWithoutContent(const http::response_header<>& aHead)
{
  const auto length = aHead.find(http::field::content_length);
  const bool hasLength = length != aHead.end() && length->value() != "0";
  return aHead.result() == http::status::no_content &&
         (hasLength || aHead.count(http::field::transfer_encoding) > 0);
}

constexpr std::array<HeadRule, 4> kHeadRules{ {
  { &HasInvalidStatus, "the status is not between 100 and 599" },
  { &SwitchesProtocol, "the response switches to a protocol that was not requested" },
  { &HasUnknownTransferCoding, "the transfer coding is not chunked" },
  { &HasBodyWithoutContent, "a response with status 204 announces a body" },
} };

// Returns why the head of a response is invalid; empty if it is valid.
std::string
FindHeadFault(const http::response_header<>& aHead)
{
  const auto broken = std::find_if(kHeadRules.begin(),
                                   kHeadRules.end(),
                                   [&](const HeadRule& aRule) { return aRule.isBroken(aHead); });
  return broken == kHeadRules.end() ? "" : broken->fault;
}

bool
IsInterim(const http::response_header<>& aHead)
{
  return aHead.result_int() / 100 == 1; // The library does not know all of them by name.
}

// How the read of a head has ended.
struct HeadRead
{
  std::string fault; // Why there is no valid head; empty if there is one.
  std::size_t bytes = 0;
};

// Returns whether a part of a head holds a line that begins with a blank. The parser takes it for
// the continuation of the line before, but peers may mean it as a field of its own.
bool
HasFoldedLine(std::string_view aText)
{
  return aText.find("\r\n ") != std::string_view::npos ||
         aText.find("\r\n\t") != std::string_view::npos;
}

// Reads one head, each part of which is parsed as it arrives.
asio::awaitable<HeadRead>
ReadOneHead(beast::tcp_stream& aStream, beast::flat_buffer& aBuffer, HttpResponseParser& aParser)
{
  static constexpr std::size_t kReadBytes = 4096;
  // The parser limits each of its steps only.
  static constexpr std::size_t kMaxHeadBytes = 8 * 1024;
  HeadRead read;
  while (true) {
    beast::error_code error;
    const std::size_t size = aParser.put(aBuffer.data(), error);
    // A line is parsed together with its continuation.
    const std::string_view parsed(static_cast<const char*>(aBuffer.data().data()), size);
    const bool isFolded = HasFoldedLine(parsed);
    aBuffer.consume(size);
    read.bytes += size;
    if (isFolded) {
      read.fault = "a field of the head is folded over several lines";
      co_return read;
    }
    if (read.bytes > kMaxHeadBytes) {
      error = http::error::header_limit;
    }
    if (error && error != http::error::need_more) {
      read.fault = error.message();
      co_return read;
    }
    if (aParser.is_header_done()) {
      read.fault = FindHeadFault(aParser.get());
      co_return read;
    }
    const auto [readError, received] =
      co_await aStream.async_read_some(aBuffer.prepare(kReadBytes), kAsTuple);
    if (readError == asio::error::eof) {
      read.fault = beast::error_code(aParser.got_some() ? http::error::partial_message
                                                        : http::error::end_of_stream)
                     .message();
      co_return read;
    }
    if (readError) {
      read.fault = readError.message();
      co_return read;
    }
    aBuffer.commit(received);
  }
}

// Reads the head of a response, and skips interim responses before it. The parser then continues
// with the body, whose size it limits.
asio::awaitable<HeadRead>
ReadHead(beast::tcp_stream& aStream,
         beast::flat_buffer& aBuffer,
         boost::optional<std::uint64_t> aMaxBodyBytes,
         std::optional<HttpResponseParser>& aParser)
{
  HeadRead read;
  do {
    if (read.bytes > kMaxUnparsedBytes) {
      read.fault = "the interim responses do not end";
      co_return read;
    }
    aParser.emplace();
    aParser->body_limit(aMaxBodyBytes);
    const HeadRead one = co_await ReadOneHead(aStream, aBuffer, *aParser);
    read.bytes += one.bytes;
    read.fault = one.fault;
  } while (read.fault.empty() && IsInterim(aParser->get()));
  co_return read;
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

// Returns the pending error of a socket, which the kernel reports only once.
beast::error_code
TakeSocketError(tcp::socket& aSocket)
{
  int value = 0;
  socklen_t size = sizeof(value);
  getsockopt(aSocket.native_handle(), SOL_SOCKET, SO_ERROR, &value, &size);
  return { value, boost::system::system_category() };
}

// Returns whether the peer has acknowledged all bytes that were written. Where the kernel cannot
// tell, it counts as acknowledged.
bool
IsAcknowledged(tcp::socket& aSocket)
{
  int unacknowledged = 0;
  const int result = ioctl(aSocket.native_handle(), SIOCOUTQ, &unacknowledged);
  return result != 0 || unacknowledged == 0;
}

// Waits until the target has received the whole request. Called when the end of the connection is
// the end of the response: a target that closes a connection without having received the whole
// request resets it, and the read may have seen only the end. Returns an error when the request
// cannot arrive any more, or has not by the deadline.
asio::awaitable<beast::error_code>
AwaitRequestReceived(beast::tcp_stream& aStream, const HttpRequestWrite& aWrite, Instant aDeadline)
{
  static constexpr Duration kPollInterval = std::chrono::milliseconds(5);
  asio::steady_timer timer(aStream.get_executor());
  while (aStream.socket().is_open()) {
    if (aWrite.error) {
      co_return aWrite.error;
    }
    const beast::error_code error = TakeSocketError(aStream.socket());
    if (error) {
      co_return error;
    }
    if (aWrite.hasEnded && IsAcknowledged(aStream.socket())) {
      co_return beast::error_code();
    }
    if (Now() >= aDeadline) {
      co_return beast::error_code(beast::error::timeout);
    }
    timer.expires_after(kPollInterval);
    co_await timer.async_wait(kAsTuple);
  }
  co_return beast::error_code(asio::error::operation_aborted);
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
  const Instant deadline = Now() + aCall.connectTimeout + aCall.timeout;
  beast::tcp_stream stream(co_await asio::this_coro::executor);
  const bool sent = co_await SendRequest(stream, aCall, reply);
  if (!sent) {
    co_return reply;
  }
  beast::flat_buffer buffer(kMaxUnparsedBytes);
  std::optional<HttpResponseParser> parser;
  const HeadRead head = co_await ReadHead(stream, buffer, aCall.maxBodyBytes, parser);
  FetchTraffic()[aCall.address].receivedBytes += head.bytes;
  if (!head.fault.empty()) {
    reply.reason = head.fault;
    co_return reply;
  }
  // The parser adds the fields of a trailer to those of the head.
  HttpReply response;
  CopyHead(parser->get(), response);
  auto [error, size] = co_await http::async_read(stream, buffer, *parser, kAsTuple);
  FetchTraffic()[aCall.address].receivedBytes += size;
  if (!error && parser->need_eof()) {
    const HttpRequestWrite write{ .hasEnded = true };
    error = co_await AwaitRequestReceived(stream, write, deadline);
  }
  if (error) {
    reply.reason = error.message();
    co_return reply;
  }
  response.body = std::move(parser->get().body());
  co_return response;
}

asio::awaitable<Reachability>
CheckReachability(std::string aAddress)
{
  // A live VM replies within a round trip; this includes one retransmission.
  static constexpr Duration kReplyTimeout = std::chrono::milliseconds(300);
  const auto endpoint = ParseEndpoint(aAddress);
  if (!endpoint) {
    co_return Reachability::NoReply;
  }
  beast::tcp_stream stream(co_await asio::this_coro::executor);
  stream.expires_after(kReplyTimeout);
  const auto [error] = co_await stream.async_connect(*endpoint, kAsTuple);
  if (!error) {
    co_return Reachability::Accepted;
  }
  co_return error == asio::error::connection_refused ? Reachability::Refused
                                                     : Reachability::NoReply;
}

HttpStream::HttpStream(asio::any_io_executor aExecutor)
  : stream(std::move(aExecutor))
{
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
  // concurrently. The handler keeps the request and its body alive until the write has ended. The
  // kernel reports a reset to only one of the two.
  const auto request = std::make_shared<HttpWireRequest>(MakeRequest(aCall));
  http::async_write(
    this->stream,
    *request,
    [request, body = aCall.body, address = aCall.address, write = this->requestWrite](
      beast::error_code aError, std::size_t aSize) {
      FetchTraffic()[address].sentBytes += aSize;
      *write = { true, aError };
    });
  ++FetchTraffic()[aCall.address].calls;
  const HeadRead head = co_await ReadHead(this->stream, this->buffer, boost::none, this->parser);
  if (!head.fault.empty()) {
    reply.reason = head.fault;
    co_return reply;
  }
  CopyHead(this->parser->get(), reply);
  co_return reply;
}

asio::awaitable<std::optional<std::string>>
HttpStream::Read(Duration aTimeout)
{
  const Instant deadline = Now() + aTimeout;
  this->stream.expires_after(aTimeout);
  while (!this->parser->is_done()) {
    const auto [error, size] =
      co_await http::async_read_some(this->stream, this->buffer, *this->parser, kAsTuple);
    std::string piece = std::move(this->parser->get().body());
    this->parser->get().body().clear();
    if (!piece.empty()) {
      co_return piece;
    }
    if (error) {
      this->Fail(error, "");
      co_return std::nullopt;
    }
  }
  if (this->parser->need_eof()) {
    const beast::error_code error =
      co_await AwaitRequestReceived(this->stream, *this->requestWrite, deadline);
    if (error) {
      this->Fail(error, " before the target had received the whole request");
      co_return std::nullopt;
    }
  }
  this->complete = true;
  co_return std::nullopt;
}

void
HttpStream::Fail(beast::error_code aError, const char* aCircumstance)
{
  this->timedOut = aError == beast::error::timeout;
  this->error = aError.message() + aCircumstance;
}

void
HttpStream::Close()
{
  this->stream.cancel();
  beast::error_code ignored;
  this->stream.socket().close(ignored);
}

} // namespace sycamorepost
