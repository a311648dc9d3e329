// Declares the HTTP server and client used for callers, operators, targets and the platform. Every
// read and write has a timeout, and the client uses a new connection for each request, so an
// unresponsive connection cannot block anything for longer than its timeout.
#ifndef SYCAMOREPOST_NET_HTTP_H_
#define SYCAMOREPOST_NET_HTTP_H_

#include <algorithm>
#include <array>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http.hpp>

#include "sycamorepost/MemoryLedger.h"
#include "sycamorepost/Types.h"

namespace sycamorepost {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

// Parses "ip:port"; returns nothing when the text has another format or the port is 0.
std::optional<tcp::endpoint>
ParseEndpoint(const std::string& aText);

// Returns whether a header field name is in a list, ignoring case.
template<std::size_t Size>
bool
IsOneOf(beast::string_view aName, const std::array<const char*, Size>& aNames)
{
  return std::any_of(aNames.begin(), aNames.end(), [&](const char* aKnown) {
    return beast::iequals(aName, aKnown);
  });
}

// ---- Server ----

// A request as passed to a handler.
struct HttpRequest
{
  std::string method;
  std::string target; // Path and query.
  http::fields fields;
  SharedBody body;

  // Returns the value of a header field; empty when the field is absent.
  std::string Field(std::string_view aName) const;

  // Returns the path without the query.
  std::string Path() const;

  // Returns a query parameter, not percent-decoded; empty when it is absent.
  std::string Query(std::string_view aName) const;
};

// Sends the response to one request, either whole or as a chunked stream.
class HttpExchange
{
public:
  HttpExchange(beast::tcp_stream& aStream,
               bool aKeepAlive,
               Duration aWriteTimeout,
               const bool* aServerClosing = nullptr)
    : stream(aStream)
    , keepAlive(aKeepAlive)
    , writeTimeout(aWriteTimeout)
    , serverClosing(aServerClosing)
  {
  }

  // Sends a whole response. Like the other calls that send, returns false when the write failed,
  // for example because the caller has disconnected.
  asio::awaitable<bool> Respond(int aStatus, std::vector<Field> aFields, SharedBody aBody);

  // Starts a chunked response.
  asio::awaitable<bool> BeginStream(int aStatus, std::vector<Field> aFields);

  // Sends one chunk of a chunked response.
  asio::awaitable<bool> Write(std::string aPiece);

  // Ends a chunked response, with trailer fields.
  asio::awaitable<bool> EndStream(std::vector<Field> aTrailer);

  // Calls aOnClose once if the caller closes its connection while aToken's object exists. Data that
  // arrives on the connection ends the watch.
  void WatchClose(std::weak_ptr<void> aToken, std::function<void()> aOnClose);

  // Has the connection closed after this request. If no whole response was sent, the caller sees an
  // aborted connection.
  void DisableKeepAlive() { this->keepAlive = false; }

  bool KeepAlive() const { return this->keepAlive; }

private:
  // Decides, when the response head is sent, whether the connection is kept open.
  bool DecideKeepAlive();

  beast::tcp_stream& stream;
  bool keepAlive;
  Duration writeTimeout;
  const bool* serverClosing; // Set while the server closes its connections; may be null.
};

// Limits of the server.
struct HttpLimits
{
  std::uint32_t headerBytes = 16 * 1024;
  std::uint64_t bodyBytes = 16 * 1024 * 1024;
  std::size_t connections = 4096; // Open at a time; the server refuses others with status 503.
  Duration headerTimeout = std::chrono::seconds(30); // For a request's header to arrive.
  Duration bodyTimeout = std::chrono::seconds(30);   // For a request's body to arrive.
  Duration idleTimeout = std::chrono::seconds(60);   // Between two requests on a connection.
  Duration writeTimeout = std::chrono::seconds(30);  // For one write to the caller.
};

// Handles a request and sends its response through the exchange.
using HttpHandler = std::function<asio::awaitable<void>(HttpRequest, HttpExchange&)>;

// Returns the body of an error response that the server generates without calling the handler.
using HttpErrorBodyFormatter = std::function<std::string(int aStatus, const std::string& aMessage)>;

// Why the server refused a request or closed its connection without calling the handler.
enum class HttpRefusal
{
  Malformed,   // It is not valid HTTP; status 400.
  Timeout,     // It did not arrive in time; status 408.
  Body,        // Its body exceeds the limit; status 413.
  Header,      // Its header exceeds the limit; status 431.
  Unparsed,    // A chunk header or a trailer does not end; status 431.
  Connections, // Too many connections are open; status 503.
  Memory,      // Callers hold too much memory; status 503.
  Evicted,     // It was incomplete, and its memory or its place was needed; status 503.
  Unused,      // The connection has sent nothing, and another one needed its place; no response.
  Idle,        // It waited for its next request, and another one needed its place; no response.
};

// Returns the name of a refusal in the metrics.
const char*
ToString(HttpRefusal aRefusal);

// Is told each refusal.
using HttpRefusalHandler = std::function<void(HttpRefusal)>;

// HTTP server that runs on the single thread of an io_context. Requests are read in steps, each
// within what a ledger grants.
class HttpServer
{
public:
  // aLedger must outlive aContext, since suspended connections and the bodies of requests have
  // accounts in it. Without one, only the limits apply.
  HttpServer(asio::io_context& aContext,
             HttpLimits aLimits,
             HttpHandler aHandler,
             MemoryLedger* aLedger = nullptr);

  // Sets the limits that apply from the next request on.
  void SetLimits(const HttpLimits& aLimits) { this->limits = aLimits; }

  // Has the responses sent from now on close their connections.
  void CloseAfterResponses() { this->closing = true; }

  // Starts to listen on an endpoint. On failure returns false and sets aReason.
  bool Listen(const tcp::endpoint& aEndpoint, std::string& aReason);

  // Stops accepting connections. Closes idle connections at once, the others after their current
  // request.
  void StopAccepting();

  // Sets the formatter of error bodies. By default the body is the message as a line of text.
  void SetErrorBodyFormatter(HttpErrorBodyFormatter aFormatter)
  {
    this->errorBodyFormatter = std::move(aFormatter);
  }

  // Sets what is called for each refusal.
  void SetRefusalHandler(HttpRefusalHandler aHandler)
  {
    this->refusalHandler = std::move(aHandler);
  }

  // Returns the number of open connections.
  std::size_t Connections() const { return this->connections; }

  // Returns the number of requests whose first byte has arrived and whose response has not ended.
  std::size_t ActiveRequests() const { return this->activeRequests; }

private:
  struct Connection;
  struct ReadResult;

  asio::awaitable<void> Accept();
  asio::awaitable<void> ServeConnection(tcp::socket aSocket);
  bool MakeRoomForConnection();
  Connection* FindDisplaceable(Instant aNow) const;
  asio::awaitable<bool> AwaitRequest(Connection& aConnection);
  asio::awaitable<bool> ServeRequest(Connection& aConnection);
  asio::awaitable<ReadResult> ReadRequest(Connection& aConnection);
  asio::awaitable<void> Refuse(Connection& aConnection, HttpRefusal aRefusal, std::string aDetail);
  std::uint64_t MaxBodyBytes() const;

  asio::io_context& context;
  HttpLimits limits;
  HttpHandler handler;
  MemoryLedger* ledger;
  HttpErrorBodyFormatter errorBodyFormatter;
  HttpRefusalHandler refusalHandler;
  tcp::acceptor acceptor;
  std::size_t connections = 0;
  std::size_t activeRequests = 0;
  std::uint64_t lastConnection = 0;
  std::map<std::uint64_t, Connection*> openConnections; // By their age.
  bool stopping = false;
  bool closing = false;
};

// ---- Client ----

// A request that the client sends.
struct HttpCall
{
  std::string address; // "ip:port"
  std::string method;
  std::string target; // Path and query.
  std::vector<Field> fields;
  SharedBody body;
  // From the connection's establishment to the end of the response, or of its head for a stream.
  Duration timeout = std::chrono::seconds(5);
  // A running VM accepts a connection within milliseconds; this tolerates one lost packet.
  Duration connectTimeout = std::chrono::seconds(2);
  // The largest body that Fetch accepts; streams have no limit.
  std::uint64_t maxBodyBytes = 16 * 1024 * 1024;
};

// A request in the form that Beast writes to the connection.
using HttpWireRequest = http::request<http::span_body<const char>>;

// The parser of a response.
using HttpResponseParser = http::response_parser<http::string_body>;

// How far a request got.
enum class HttpStage
{
  NotConnected, // No connection was established, so no byte was sent.
  Lost,         // The request may have been sent, but no complete, valid response arrived.
  Responded,    // A response arrived; for a stream, its head.
};

// How the write of a request has ended. It may last longer than the read of its response, since a
// target may respond before it has read the whole request.
struct HttpRequestWrite
{
  bool hasEnded = false;
  beast::error_code error;
};

// The result of a request.
struct HttpReply
{
  HttpStage stage = HttpStage::NotConnected;
  int status = 0;
  std::vector<Field> fields;
  std::string body;
  std::string reason; // Why there is no response.

  // Returns whether a response with a 2xx status arrived.
  bool Ok() const { return this->stage == HttpStage::Responded && this->status / 100 == 2; }
};

// HTTP requests sent to one address, and the bytes exchanged with it.
struct HttpTraffic
{
  std::uint64_t calls = 0;
  std::uint64_t sentBytes = 0;
  std::uint64_t receivedBytes = 0;
};

// Returns the traffic of Fetch and HttpStream in this process, by address. Streams count no
// received bytes.
std::map<std::string, HttpTraffic>&
FetchTraffic();

// What the client buffers of a response before it is parsed, such as a chunk header or a trailer,
// and what it reads of interim responses. A head is limited to 8 KiB.
inline constexpr std::size_t kMaxUnparsedBytes = 256 * 1024;

// Sends one request over a new connection and reads the whole response. Interim responses before it
// are skipped, and its trailer is dropped.
asio::awaitable<HttpReply>
Fetch(HttpCall aCall);

// Opens a connection to "ip:port" and closes it again.
asio::awaitable<Reachability>
CheckReachability(std::string aAddress);

// A request whose response body is read as it arrives.
class HttpStream
{
public:
  explicit HttpStream(asio::any_io_executor aExecutor);

  // Sends a request over a new connection and reads the status and header fields of the response,
  // without interim responses before it.
  asio::awaitable<HttpReply> Open(HttpCall aCall);

  // Returns the next bytes of the body; nothing at its end, on an error, or when nothing arrives
  // within the timeout. Where the end of the connection is the end of the body, waits within the
  // timeout until the target has received the whole request, as it resets the connection otherwise.
  asio::awaitable<std::optional<std::string>> Read(Duration aTimeout);

  // Returns whether the whole body has arrived. A body that a reset has cut short is not complete.
  bool Complete() const { return this->complete; }

  // Returns whether the response states neither a length nor chunks, so that the end of the
  // connection is the end of its body. Valid once the head has arrived.
  bool EndsWithConnection() const { return this->parser && this->parser->need_eof(); }

  // Returns whether the last read failed because nothing arrived within its timeout.
  bool TimedOut() const { return this->timedOut; }

  // Returns why the last read failed; empty when no read has failed.
  const std::string& Error() const { return this->error; }

  // Closes the connection; a pending read fails.
  void Close();

private:
  void Fail(beast::error_code aError, const char* aCircumstance);

  beast::tcp_stream stream;
  beast::flat_buffer buffer{ kMaxUnparsedBytes };
  std::optional<HttpResponseParser> parser; // Set once a head is read.
  std::shared_ptr<HttpRequestWrite> requestWrite = std::make_shared<HttpRequestWrite>();
  bool complete = false;
  bool timedOut = false;
  std::string error;
};

} // namespace sycamorepost

#endif // SYCAMOREPOST_NET_HTTP_H_
