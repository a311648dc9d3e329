// Offers the HTTP server and client on which callers, operators, targets and the platform are met.
// Every read and write has a deadline, and no connection is used for a second request by the
// client, so a connection that has gone silent cannot hold anything for longer than its deadline.
#ifndef SYCAMOREPOST_NET_HTTP_H_
#define SYCAMOREPOST_NET_HTTP_H_

#include <algorithm>
#include <array>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http.hpp>

#include "sycamorepost/Types.h"

namespace sycamorepost {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

// Parses "ip:port"; returns nothing when it is none.
std::optional<tcp::endpoint>
ParseEndpoint(const std::string& aText);

// Returns whether a header field's name is one of a list; case does not matter.
template<std::size_t Size>
bool
IsOneOf(beast::string_view aName, const std::array<const char*, Size>& aNames)
{
  return std::any_of(aNames.begin(), aNames.end(), [&](const char* aKnown) {
    return beast::iequals(aName, aKnown);
  });
}

// ---- Server ----

// A request as a handler sees it.
struct HttpRequest
{
  std::string method;
  std::string target; // Path and query.
  http::fields fields;
  SharedBody body;

  // Returns a header field, empty when it is absent.
  std::string Field(std::string_view aName) const;

  // Returns the path without the query.
  std::string Path() const;

  // Returns a query parameter, empty when it is absent.
  std::string Query(std::string_view aName) const;
};

// The answer to one request: either one whole response, or a stream of pieces.
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

  // Sends a whole response. Returns false when the caller is gone.
  asio::awaitable<bool> Respond(int aStatus, std::vector<Field> aFields, SharedBody aBody);

  // Starts a chunked response.
  asio::awaitable<bool> BeginStream(int aStatus, std::vector<Field> aFields);

  // Sends one piece of a chunked response.
  asio::awaitable<bool> Write(std::string aPiece);

  // Ends a chunked response, with trailer fields.
  asio::awaitable<bool> EndStream(std::vector<Field> aTrailer);

  // Calls back once when the caller closes its connection before the token is destroyed.
  void WatchClose(std::weak_ptr<void> aToken, std::function<void()> aOnClose);

  // Closes the connection after this request; with no answer sent, the caller sees it break off.
  void Drop() { this->keepAlive = false; }

  bool KeepAlive() const { return this->keepAlive; }

private:
  // Decides, as the head goes out, whether the connection is kept.
  bool DecideKeepAlive();

  beast::tcp_stream& stream;
  bool keepAlive;
  Duration writeTimeout;
  const bool* serverClosing; // The server is closing its connections; null when it never does.
};

// What the server allows.
struct HttpLimits
{
  std::uint32_t headerBytes = 16 * 1024;
  std::uint64_t bodyBytes = 16 * 1024 * 1024;
  std::size_t connections = 4096;
  Duration headerBound = std::chrono::seconds(30);  // For the header of a request to arrive.
  Duration readBound = std::chrono::seconds(30);    // For its body to arrive.
  Duration idleBound = std::chrono::seconds(60);    // Between requests.
  Duration writeTimeout = std::chrono::seconds(30); // For one piece to be taken by the caller.
};

using HttpHandler = std::function<asio::awaitable<void>(HttpRequest, HttpExchange&)>;

// Returns the body of a refusal that the server makes by itself.
using HttpErrorBodyFormatter = std::function<std::string(int aStatus, const std::string& aMessage)>;

// The server. It runs on one io_context thread.
class HttpServer
{
public:
  HttpServer(asio::io_context& aContext, HttpLimits aLimits, HttpHandler aHandler);

  // Changes what is allowed, from the next request on.
  void SetLimits(const HttpLimits& aLimits) { this->limits = aLimits; }

  // Has the answers to the requests in flight close their connections.
  void CloseAfterAnswers() { this->closing = true; }

  // Starts to listen; on failure returns false and sets the reason.
  bool Listen(const tcp::endpoint& aEndpoint, std::string& aReason);

  // Stops to accept. Idle connections are closed, the others after their current request.
  void StopAccepting();

  void SetErrorBody(HttpErrorBodyFormatter aFormatter)
  {
    this->errorBodyFormatter = std::move(aFormatter);
  }
  std::size_t Connections() const { return this->connections; }

  // Returns the number of requests whose first byte has come and whose answer has not ended.
  std::size_t Active() const { return this->activeRequests; }

private:
  asio::awaitable<void> Accept();
  asio::awaitable<void> ServeConnection(tcp::socket aSocket);
  asio::awaitable<bool> AwaitRequest(beast::tcp_stream& aStream, beast::flat_buffer& aBuffer);
  asio::awaitable<bool> ServeRequest(beast::tcp_stream& aStream, beast::flat_buffer& aBuffer);
  asio::awaitable<void> RefuseRequest(HttpExchange& aExchange, beast::error_code aError);

  asio::io_context& context;
  HttpLimits limits;
  HttpHandler handler;
  HttpErrorBodyFormatter errorBodyFormatter;
  tcp::acceptor acceptor;
  std::size_t connections = 0;
  std::size_t activeRequests = 0;
  std::set<beast::tcp_stream*> idleConnections; // Connections that wait for a request.
  bool stopping = false;
  bool closing = false;
};

// ---- Client ----

// A request of the client.
struct HttpCall
{
  std::string address; // "ip:port"
  std::string method;
  std::string target;
  std::vector<Field> fields;
  SharedBody body;
  Duration timeout = std::chrono::seconds(5);
  // A VM that is there answers in milliseconds; this bears one lost packet.
  Duration connectTimeout = std::chrono::seconds(2);
};

// A request as it is written to the connection.
using HttpWireRequest = http::request<http::span_body<const char>>;

// How far a request came.
enum class HttpStage
{
  NotReached, // No connection was made, so no byte was sent.
  Lost,       // It was sent in part or whole and no whole answer came.
  Answered,
};

// The result of a request.
struct HttpReply
{
  HttpStage stage = HttpStage::NotReached;
  int status = 0;
  std::vector<Field> fields;
  std::string body;
  std::string reason; // Why there is no answer.

  bool Ok() const { return this->stage == HttpStage::Answered && this->status / 100 == 2; }
};

// What the client has exchanged with one address, on the HTTP level.
struct HttpTraffic
{
  std::uint64_t calls = 0;
  std::uint64_t sentBytes = 0;
  std::uint64_t receivedBytes = 0;
};

// Returns what Fetch has exchanged in this process so far, by address.
std::map<std::string, HttpTraffic>&
FetchTraffic();

// Sends one request over a connection of its own and reads the whole answer.
asio::awaitable<HttpReply>
Fetch(HttpCall aCall);

// A response that arrives in pieces.
class HttpStream
{
public:
  explicit HttpStream(asio::any_io_executor aExecutor);

  // Sends a request and reads the head of the answer.
  asio::awaitable<HttpReply> Open(HttpCall aCall);

  // Returns the next bytes of the body; nothing at its end or when it broke off.
  asio::awaitable<std::optional<std::string>> Read(Duration aTimeout);

  // Returns whether the body arrived whole.
  bool Complete() const { return this->complete; }

  // Returns whether the last read failed because nothing came within its bound.
  bool TimedOut() const { return this->timedOut; }

  // Returns why the last read failed.
  const std::string& Error() const { return this->error; }

  // Closes the connection; a waiting read ends.
  void Close();

private:
  beast::tcp_stream stream;
  beast::flat_buffer buffer;
  http::response_parser<http::string_body> parser;
  bool complete = false;
  bool timedOut = false;
  std::string error;
};

} // namespace sycamorepost

#endif // SYCAMOREPOST_NET_HTTP_H_
