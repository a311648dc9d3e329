// Tests on loopback how the HTTP client treats responses that are cut short, reset or endless.
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include "net/Http.h"

namespace sycamorepost {
namespace {

constexpr const char* kAddress = "127.0.0.1:17912";

// A whole response has 16 MiB at the most; as much again may be on its way in the sockets' buffers.
// The peer of an endless response sends more than this.
constexpr std::size_t kMaxBytes = 2 * 16 * 1024 * 1024;

// How a response ends.
enum class Ending
{
  Close,
  Reset,
  Endless, // The filler is repeated until the client has closed the connection.
};

// The bytes that the peer sends in place of a well-formed response.
struct RawResponse
{
  std::string start;
  std::string filler; // Of an endless response.
  Ending ending = Ending::Close;
};

// A peer that sends one raw response and counts its bytes.
class RawPeer
{
public:
  RawPeer(asio::io_context& aContext, RawResponse aResponse)
    : acceptor(aContext, *ParseEndpoint(kAddress))
    , response(std::move(aResponse))
  {
    asio::co_spawn(aContext, this->Serve(), asio::detached);
  }

  std::size_t SentBytes() const { return this->sentBytes; }

private:
  asio::awaitable<void> Serve()
  {
    tcp::socket socket = co_await this->acceptor.async_accept(asio::use_awaitable);
    std::string request(4096, '\0');
    co_await socket.async_read_some(asio::buffer(request), asio::use_awaitable);
    this->sentBytes =
      co_await asio::async_write(socket, asio::buffer(this->response.start), asio::use_awaitable);
    // The write fails when the client has closed the connection, which ends this coroutine.
    while (this->response.ending == Ending::Endless && this->sentBytes < 2 * kMaxBytes) {
      this->sentBytes += co_await asio::async_write(
        socket, asio::buffer(this->response.filler), asio::use_awaitable);
    }
    if (this->response.ending == Ending::Reset) {
      socket.set_option(asio::socket_base::linger(true, 0));
      socket.close(); // The destructor would ignore the option.
    }
  }

  tcp::acceptor acceptor;
  RawResponse response;
  std::size_t sentBytes = 0;
};

// What a client made of a response.
struct Outcome
{
  HttpReply reply;
  bool isComplete = false;
  std::size_t sentBytes = 0; // By the peer.
};

HttpCall
MakeCall()
{
  HttpCall call;
  call.address = kAddress;
  call.method = "POST";
  call.target = "/";
  call.timeout = std::chrono::seconds(20);
  return call;
}

asio::awaitable<void>
FetchInto(Outcome& aOutcome)
{
  aOutcome.reply = co_await Fetch(MakeCall());
  aOutcome.isComplete = aOutcome.reply.stage == HttpStage::Responded;
}

asio::awaitable<void>
StreamInto(Outcome& aOutcome)
{
  HttpStream stream(co_await asio::this_coro::executor);
  aOutcome.reply = co_await stream.Open(MakeCall());
  while (aOutcome.reply.stage == HttpStage::Responded) {
    const auto piece = co_await stream.Read(std::chrono::seconds(20));
    if (!piece) {
      break;
    }
    aOutcome.reply.body += *piece;
  }
  aOutcome.isComplete = stream.Complete();
  stream.Close();
}

Outcome
Receive(asio::awaitable<void> (*aClient)(Outcome&), const RawResponse& aResponse)
{
  asio::io_context context(1);
  RawPeer peer(context, aResponse);
  Outcome outcome;
  asio::co_spawn(context, aClient(outcome), asio::detached);
  context.run_for(std::chrono::seconds(30));
  outcome.sentBytes = peer.SentBytes();
  return outcome;
}

class HttpClientTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(HttpClientTest);
  CPPUNIT_TEST(HeadThatBreaksOffIsNoResponse);
  CPPUNIT_TEST(BodyWithoutLengthIsCompleteOnlyWhenClosed);
  CPPUNIT_TEST(EndlessHeadIsAbandoned);
  CPPUNIT_TEST(EndlessChunkHeaderIsAbandoned);
  CPPUNIT_TEST(EndlessBodyIsAbandoned);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against a success with an empty body for a head that ends in its middle.
  void HeadThatBreaksOffIsNoResponse()
  {
    const std::string head = "HTTP/1.1 200 OK\r\nX-Signature: 3e1b.07\r\nContent-Length: 5\r\n\r\n";
    for (std::size_t length = 0; length < head.size(); ++length) {
      for (const auto client : { &FetchInto, &StreamInto }) {
        const Outcome outcome = Receive(client, { head.substr(0, length), "", Ending::Close });
        CPPUNIT_ASSERT_MESSAGE(head.substr(0, length),
                               outcome.reply.stage == HttpStage::Lost && !outcome.isComplete);
      }
    }
  }

  void BodyWithoutLengthIsCompleteOnlyWhenClosed()
  {
    const std::string response = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nbody";
    CPPUNIT_ASSERT(Receive(&StreamInto, { response, "", Ending::Close }).isComplete);
    CPPUNIT_ASSERT(!Receive(&StreamInto, { response, "", Ending::Reset }).isComplete);
  }

  void EndlessHeadIsAbandoned()
  {
    const RawResponse response{ "HTTP/1.1 200 OK\r\n",
                                "X-More: " + std::string(4000, 'x') + "\r\n",
                                Ending::Endless };
    for (const auto client : { &FetchInto, &StreamInto }) {
      const Outcome outcome = Receive(client, response);
      CPPUNIT_ASSERT(outcome.reply.stage == HttpStage::Lost);
      CPPUNIT_ASSERT(outcome.sentBytes < kMaxBytes);
    }
  }

  // Guards against memory that grows with a chunk extension or a trailer without end.
  void EndlessChunkHeaderIsAbandoned()
  {
    for (const char* start : { "5;extension=", "0\r\nX-Trailer: " }) {
      const RawResponse response{
        std::string("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n") + start,
        std::string(64 * 1024, 'x'),
        Ending::Endless
      };
      for (const auto client : { &FetchInto, &StreamInto }) {
        const Outcome outcome = Receive(client, response);
        CPPUNIT_ASSERT(!outcome.isComplete);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(outcome.sentBytes), outcome.sentBytes < kMaxBytes);
      }
    }
  }

  // Guards against memory that grows with a body without end. A stream is not limited: its reader
  // decides.
  void EndlessBodyIsAbandoned()
  {
    const RawResponse response{ "HTTP/1.1 200 OK\r\n\r\n",
                                std::string(64 * 1024, 'x'),
                                Ending::Endless };
    const Outcome outcome = Receive(&FetchInto, response);
    CPPUNIT_ASSERT(outcome.reply.stage == HttpStage::Lost);
    CPPUNIT_ASSERT_MESSAGE(std::to_string(outcome.sentBytes), outcome.sentBytes < kMaxBytes);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpClientTest);

} // namespace
} // namespace sycamorepost
