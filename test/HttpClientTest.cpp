// Tests on loopback how the HTTP client treats responses that are malformed, cut short, reset or
// endless.
#include <array>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
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
  Endless,            // The filler is repeated until the client has closed the connection.
  HalfCloseThenReset, // The peer ends its side, and resets the connection a little later.
  HalfCloseThenRead,  // The peer ends its side, and reads the rest of the request.
};

// Requests longer than the sockets' buffers, so that their write is pending when the peer ends the
// connection, and within them, so that it has ended. The peer's buffer is small.
constexpr std::size_t kPendingRequestBytes = 16 * 1024 * 1024;
constexpr std::size_t kBufferedRequestBytes = 512 * 1024;
constexpr int kPeerBufferBytes = 64 * 1024;

// The bytes that the peer sends in place of a well-formed response.
struct RawResponse
{
  std::string start;
  std::string filler; // Of an endless response.
  Ending ending = Ending::Close;
  std::size_t requestBytes = 0; // Of the body of the client's request.
  bool isSplit = false;         // The start is sent byte by byte.
};

// A peer that sends one raw response and counts its bytes.
class RawPeer
{
public:
  RawPeer(asio::io_context& aContext, RawResponse aResponse)
    : acceptor(aContext, *ParseEndpoint(kAddress))
    , response(std::move(aResponse))
  {
    this->acceptor.set_option(asio::socket_base::receive_buffer_size(kPeerBufferBytes));
    asio::co_spawn(aContext, this->Serve(), asio::detached);
  }

  std::size_t SentBytes() const { return this->sentBytes; }

private:
  asio::awaitable<void> Serve()
  {
    tcp::socket socket = co_await this->acceptor.async_accept(asio::use_awaitable);
    std::string request(4096, '\0');
    this->receivedBytes =
      co_await socket.async_read_some(asio::buffer(request), asio::use_awaitable);
    socket.set_option(tcp::no_delay(true));
    const std::string& start = this->response.start;
    const std::size_t pieceBytes = this->response.isSplit ? 1 : start.size();
    while (this->sentBytes < start.size()) {
      this->sentBytes += co_await asio::async_write(
        socket, asio::buffer(start.data() + this->sentBytes, pieceBytes), asio::use_awaitable);
    }
    // The write fails when the client has closed the connection, which ends this coroutine.
    while (this->response.ending == Ending::Endless && this->sentBytes < 2 * kMaxBytes) {
      this->sentBytes += co_await asio::async_write(
        socket, asio::buffer(this->response.filler), asio::use_awaitable);
    }
    const Ending ending = this->response.ending;
    if (ending == Ending::HalfCloseThenReset || ending == Ending::HalfCloseThenRead) {
      socket.shutdown(tcp::socket::shutdown_send);
    }
    if (ending != Ending::Close) {
      // By then the client has read the response, and its request fills the sockets' buffers.
      asio::steady_timer timer(socket.get_executor(), std::chrono::milliseconds(100));
      co_await timer.async_wait(asio::use_awaitable);
    }
    while (ending == Ending::HalfCloseThenRead &&
           this->receivedBytes < this->response.requestBytes) {
      this->receivedBytes +=
        co_await socket.async_read_some(asio::buffer(request), asio::use_awaitable);
    }
    if (ending == Ending::Reset || ending == Ending::HalfCloseThenReset) {
      socket.set_option(asio::socket_base::linger(true, 0));
      socket.close(); // The destructor would ignore the option.
    }
  }

  tcp::acceptor acceptor;
  RawResponse response;
  std::size_t sentBytes = 0;
  std::size_t receivedBytes = 0;
};

// What a client made of a response.
struct Outcome
{
  HttpReply reply;
  bool isComplete = false;
  std::size_t sentBytes = 0; // By the peer.
};

HttpCall
MakeCall(std::size_t aBodyBytes)
{
  HttpCall call;
  call.body = MakeBody(std::string(aBodyBytes, 'b'));
  call.address = kAddress;
  call.method = "POST";
  call.target = "/";
  call.timeout = std::chrono::seconds(20);
  return call;
}

asio::awaitable<void>
FetchInto(Outcome& aOutcome, std::size_t aBodyBytes)
{
  aOutcome.reply = co_await Fetch(MakeCall(aBodyBytes));
  aOutcome.isComplete = aOutcome.reply.stage == HttpStage::Responded;
}

asio::awaitable<void>
StreamInto(Outcome& aOutcome, std::size_t aBodyBytes)
{
  HttpStream stream(co_await asio::this_coro::executor);
  aOutcome.reply = co_await stream.Open(MakeCall(aBodyBytes));
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
Receive(asio::awaitable<void> (*aClient)(Outcome&, std::size_t), const RawResponse& aResponse)
{
  asio::io_context context(1);
  RawPeer peer(context, aResponse);
  Outcome outcome;
  asio::co_spawn(context, aClient(outcome, aResponse.requestBytes), asio::detached);
  context.run_for(std::chrono::seconds(30));
  outcome.sentBytes = peer.SentBytes();
  return outcome;
}

constexpr std::array kClients{ &FetchInto, &StreamInto };

// Passes the outcome of each client to aCheck, with the response whole and byte by byte.
template<typename Check>
void
CheckClients(const std::string& aBytes, const Check& aCheck)
{
  for (const auto client : kClients) {
    for (const bool isSplit : { false, true }) {
      RawResponse response{ aBytes };
      response.isSplit = isSplit;
      aCheck(Receive(client, response));
    }
  }
}

// Asserts that no client takes the bytes of a peer for a response.
void
AssertNoResponse(const std::string& aBytes)
{
  CheckClients(aBytes, [&](const Outcome& aOutcome) {
    CPPUNIT_ASSERT_MESSAGE(aBytes, aOutcome.reply.stage == HttpStage::Lost);
    CPPUNIT_ASSERT_MESSAGE(aBytes, !aOutcome.isComplete);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(aBytes, 0, aOutcome.reply.status);
    CPPUNIT_ASSERT_MESSAGE(aBytes, aOutcome.reply.fields.empty());
    CPPUNIT_ASSERT_MESSAGE(aBytes, !aOutcome.reply.reason.empty());
  });
}

// Asserts that each client takes the bytes of a peer for a complete response.
void
AssertResponse(const std::string& aBytes, int aStatus, const std::string& aBody)
{
  CheckClients(aBytes, [&](const Outcome& aOutcome) {
    CPPUNIT_ASSERT_MESSAGE(aBytes + aOutcome.reply.reason, aOutcome.isComplete);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(aBytes, aStatus, aOutcome.reply.status);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(aBytes, aBody, aOutcome.reply.body);
  });
}

class HttpClientTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(HttpClientTest);
  CPPUNIT_TEST(HeadThatBreaksOffIsNoResponse);
  CPPUNIT_TEST(StatusOutsideOfHttpIsNoResponse);
  CPPUNIT_TEST(InterimResponsesPrecedeTheResponse);
  CPPUNIT_TEST(EndlessInterimResponsesAreAbandoned);
  CPPUNIT_TEST(FieldNameWithBlankOrControlByteIsNoResponse);
  CPPUNIT_TEST(FoldedFieldLineIsNoResponse);
  CPPUNIT_TEST(UnknownTransferCodingIsNoResponse);
  CPPUNIT_TEST(BodyOfResponseWithoutContentIsNoResponse);
  CPPUNIT_TEST(TrailerFieldsAreNoHeadFields);
  CPPUNIT_TEST(MalformedChunkBreaksTheBodyOff);
  CPPUNIT_TEST(BodyWithoutLengthIsCompleteOnlyWhenClosed);
  CPPUNIT_TEST(ResetWhileTheRequestIsSentIsNoEndOfTheBody);
  CPPUNIT_TEST(ResetBehindTheEndOfTheResponseIsNoEndOfTheBody);
  CPPUNIT_TEST(WholeResponseWithResetBehindItsEndIsLost);
  CPPUNIT_TEST(ResponseBeforeTheRequestIsReadIsComplete);
  CPPUNIT_TEST(EndlessHeadIsAbandoned);
  CPPUNIT_TEST(LongHeadIsNoResponse);
  CPPUNIT_TEST(EndlessChunkHeaderIsAbandoned);
  CPPUNIT_TEST(EndlessBodyIsAbandoned);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against a success with an empty body for a head that ends in its middle.
  void HeadThatBreaksOffIsNoResponse()
  {
    const std::string head = "HTTP/1.1 200 OK\r\nX-Signature: 3e1b.07\r\nContent-Length: 5\r\n\r\n";
    for (std::size_t length = 0; length < head.size(); ++length) {
      for (const auto client : kClients) {
        const Outcome outcome = Receive(client, { head.substr(0, length), "", Ending::Close });
        CPPUNIT_ASSERT_MESSAGE(head.substr(0, length),
                               outcome.reply.stage == HttpStage::Lost && !outcome.isComplete);
      }
    }
  }

  // Guards against a status that a caller cannot interpret: those of HTTP are 100 to 599.
  void StatusOutsideOfHttpIsNoResponse()
  {
    const std::string rest = "\r\nX-Signature: 3e1b.07\r\nContent-Length: 4\r\n\r\nbody";
    for (const char* status :
         { "000", "001", "099", "600", "999", "20", "2000", "-20", "+20", "2 0", "0x2", "" }) {
      AssertNoResponse(std::string("HTTP/1.1 ") + status + " OK" + rest);
    }
    for (const int status : { 200, 299, 404, 500, 599 }) {
      AssertResponse("HTTP/1.1 " + std::to_string(status) + " OK" + rest, status, "body");
    }
  }

  // Guards against an interim response that is taken for the response.
  void InterimResponsesPrecedeTheResponse()
  {
    const std::string response =
      "HTTP/1.1 200 OK\r\nX-Signature: 3e1b.07\r\nContent-Length: 4\r\n\r\nbody";
    const std::string processing = "HTTP/1.1 102 Processing\r\n\r\n";
    const std::string repeated = processing + processing + processing;
    for (const std::string& interim :
         { std::string("HTTP/1.1 100 Continue\r\n\r\n"),
           std::string("HTTP/1.1 103 Early Hints\r\nLink: </style.css>\r\n\r\n"),
           repeated }) {
      AssertResponse(interim + response, 200, "body");
      // An interim response alone, with a part of a response or before another protocol.
      AssertNoResponse(interim);
      AssertNoResponse(interim + response.substr(0, response.find("\r\n\r\n")));
      AssertNoResponse(interim + "HTTP/1.1 000 OK\r\n\r\n");
    }
    AssertNoResponse("HTTP/1.1 101 Switching Protocols\r\nUpgrade: h2c\r\n"
                     "Connection: upgrade\r\n\r\n" +
                     response);

    const Outcome outcome =
      Receive(&StreamInto, { "HTTP/1.1 103 Early Hints\r\nLink: </style.css>\r\n\r\n" + response });
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), outcome.reply.fields.size());
  }

  void EndlessInterimResponsesAreAbandoned()
  {
    const std::string interim = "HTTP/1.1 102 Processing\r\n\r\n";
    for (const auto client : kClients) {
      const Outcome outcome = Receive(client, { interim, interim, Ending::Endless });
      CPPUNIT_ASSERT(outcome.reply.stage == HttpStage::Lost);
      CPPUNIT_ASSERT_MESSAGE(std::to_string(outcome.sentBytes), outcome.sentBytes < kMaxBytes);
    }
  }

  // Guards against a field that is passed on under a name that is none, and against a body that is
  // framed by another field than the peer's.
  void FieldNameWithBlankOrControlByteIsNoResponse()
  {
    const auto makeResponse = [](const std::string& aLine) {
      return "HTTP/1.1 200 OK\r\nX-Signature: 3e1b.07\r\n" + aLine +
             "\r\nContent-Length: 4\r\n\r\nbody";
    };
    std::string unusable = " \t\r\n\"(),/;<=>?@[\\]{}\x7f\x80\xff";
    for (char byte = '\0'; byte < ' '; ++byte) {
      unusable += byte;
    }
    for (const char byte : unusable) {
      for (const std::string& name : { "X" + std::string(1, byte) + "Count",
                                       "X-Count" + std::string(1, byte),
                                       "Content-Length" + std::string(1, byte) }) {
        AssertNoResponse(makeResponse(name + ": 2"));
        AssertNoResponse("HTTP/1.1 200 OK\r\n" + name + ": 2\r\n\r\nbody");
      }
      // The first line of the head, where it continues no other.
      AssertNoResponse("HTTP/1.1 200 OK\r\n" + std::string(1, byte) + "X-Count: 2\r\n\r\nbody");
    }
    for (const char* line : { ": 2", "X-Count", "Transfer-Encoding : chunked" }) {
      AssertNoResponse(makeResponse(line));
    }
    for (const char* line :
         { "X-Count: a\tb", "X-Count:", "X-Count: \xe4", "!#$%&'*+-.^_`|~9: 2" }) {
      AssertResponse(makeResponse(line), 200, "body");
    }
  }

  // Guards against a field whose name begins with a blank and that the parser takes for the
  // continuation of the field before, so that a length or a transfer coding is overlooked.
  void FoldedFieldLineIsNoResponse()
  {
    for (const char* blank : { " ", "\t", "  " }) {
      for (const char* before : { "X-Signature: 3e1b.07\r\n", "X-Empty:\r\n" }) {
        for (const char* line :
             { "X-Count: 2", "Content-Length: 4", "Transfer-Encoding: chunked", "" }) {
          const std::string head = std::string("HTTP/1.1 200 OK\r\n") + before + blank + line;
          AssertNoResponse(head + "\r\n\r\n4\r\nbody\r\n0\r\n\r\n");
          AssertNoResponse(head + "\r\nContent-Length: 4\r\n\r\nbody");
        }
      }
    }
  }

  // Guards against a body that is passed on in a coding which its reader does not learn of.
  void UnknownTransferCodingIsNoResponse()
  {
    const std::string chunks = "\r\n\r\n4\r\nbody\r\n0\r\n\r\n";
    const auto makeResponse = [&](const std::string& aVersion, const std::string& aFields) {
      return aVersion + " 200 OK\r\n" + aFields + chunks;
    };
    const auto joinLines = [](const std::string& aFirst, const std::string& aSecond) {
      return aFirst + "\r\n" + aSecond;
    };
    for (const char* coding : { "gzip",
                                "gzip, chunked",
                                "chunked, gzip",
                                "chunked, chunked",
                                "chunked;level=1",
                                "chunked gzip",
                                "\"chunked\"",
                                "xchunked",
                                "identity",
                                "" }) {
      const std::string field = std::string("Transfer-Encoding: ") + coding;
      for (const char* version : { "HTTP/1.0", "HTTP/1.1" }) {
        AssertNoResponse(makeResponse(version, field));
      }
      for (const std::string other : { "Transfer-Encoding: chunked", "Content-Length: 4" }) {
        AssertNoResponse(makeResponse("HTTP/1.1", joinLines(field, other)));
        AssertNoResponse(makeResponse("HTTP/1.1", joinLines(other, field)));
      }
    }
    // Chunks are defined from version 1.1 on, and without a length beside them.
    AssertNoResponse(makeResponse("HTTP/1.0", "Transfer-Encoding: chunked"));
    AssertNoResponse(makeResponse("HTTP/1.1", "Transfer-Encoding: chunked\r\nContent-Length: 4"));
    AssertResponse(makeResponse("HTTP/1.1", "Transfer-Encoding: Chunked"), 200, "body");
  }

  // Guards against a success without its body: a response with status 204 has none by definition.
  void BodyOfResponseWithoutContentIsNoResponse()
  {
    AssertNoResponse("HTTP/1.1 204 No Content\r\nContent-Length: 4\r\n\r\nbody");
    AssertNoResponse(
      "HTTP/1.1 204 No Content\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n");
    AssertResponse("HTTP/1.1 204 No Content\r\n\r\n", 204, "");
    AssertResponse("HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n", 204, "");
    // The length of a body that the receiver has already.
    AssertResponse("HTTP/1.1 304 Not Modified\r\nContent-Length: 4\r\n\r\n", 304, "");
  }

  // Guards against a field that takes effect although it came after the body.
  void TrailerFieldsAreNoHeadFields()
  {
    for (const auto client : kClients) {
      const Outcome outcome = Receive(client,
                                      { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                                        "4\r\nbody\r\n0\r\nX-Signature: 3e1b.07\r\n\r\n" });
      CPPUNIT_ASSERT(outcome.isComplete);
      CPPUNIT_ASSERT_EQUAL(std::string("body"), outcome.reply.body);
      CPPUNIT_ASSERT_EQUAL(std::size_t(1), outcome.reply.fields.size());
    }
  }

  void MalformedChunkBreaksTheBodyOff()
  {
    const std::string head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (const char* chunks : { "4\r\nbody\r\n",
                                "4\r\nbody\r\n0\r\n",
                                "4\r\nbody0\r\n\r\n",
                                "4\r\nbodies\r\n0\r\n\r\n",
                                "4\r\nbody\n0\r\n\r\n",
                                "4\nbody\r\n0\r\n\r\n",
                                "4 \r\nbody\r\n0\r\n\r\n",
                                "0x4\r\nbody\r\n0\r\n\r\n",
                                "-4\r\nbody\r\n0\r\n\r\n",
                                "+4\r\nbody\r\n0\r\n\r\n",
                                "\r\nbody\r\n0\r\n\r\n",
                                "10000000000000004\r\nbody\r\n0\r\n\r\n",
                                "4\r\nbody\r\n-0\r\n\r\n",
                                "4\r\nbody\r\n0\r\nX Count: 1\r\n\r\n",
                                "4\r\nbody\r\n0\r\nX-Count : 1\r\n\r\n",
                                "4\r\nbody\r\n0\r\nX-\x01: 1\r\n\r\n",
                                "4\r\nbody\r\n0\r\n X-Count: 1\r\n\r\n",
                                "4\r\nbody\r\n0\r\nContent-Length: 4\r\n\r\n" }) {
      for (const auto client : kClients) {
        const Outcome outcome = Receive(client, { head + chunks, "", Ending::Close });
        CPPUNIT_ASSERT_MESSAGE(chunks, !outcome.isComplete);
      }
    }
  }

  void BodyWithoutLengthIsCompleteOnlyWhenClosed()
  {
    const std::string response = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nbody";
    CPPUNIT_ASSERT(Receive(&StreamInto, { response, "", Ending::Close }).isComplete);
    CPPUNIT_ASSERT(!Receive(&StreamInto, { response, "", Ending::Reset }).isComplete);
  }

  // Guards against a cut body that counts as whole because the pending write of the request took
  // the error of the reset, so that the read saw the plain end of the connection.
  void ResetWhileTheRequestIsSentIsNoEndOfTheBody()
  {
    const std::string response = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nbody";
    const Outcome outcome =
      Receive(&StreamInto, { response, "", Ending::Reset, kPendingRequestBytes });
    CPPUNIT_ASSERT_EQUAL(std::string("body"), outcome.reply.body);
    CPPUNIT_ASSERT(!outcome.isComplete);
  }

  // Guards against a cut body that counts as whole because the end of the connection arrived before
  // the reset: a peer that crashes sends both when the rest of the request is still on its way.
  void ResetBehindTheEndOfTheResponseIsNoEndOfTheBody()
  {
    const std::string response = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nbody";
    for (const std::size_t requestBytes : { kBufferedRequestBytes, kPendingRequestBytes }) {
      const RawResponse cut{ response, "", Ending::HalfCloseThenReset, requestBytes };
      CPPUNIT_ASSERT(!Receive(&StreamInto, cut).isComplete);
    }
  }

  // The same guard for whole responses, such as those of services behind a sidecar.
  void WholeResponseWithResetBehindItsEndIsLost()
  {
    const std::string response = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nbody";
    const RawResponse cut{ response, "", Ending::HalfCloseThenReset, kBufferedRequestBytes };
    CPPUNIT_ASSERT(Receive(&FetchInto, cut).reply.stage == HttpStage::Lost);
    const RawResponse whole{ response, "", Ending::HalfCloseThenRead, kBufferedRequestBytes };
    CPPUNIT_ASSERT(Receive(&FetchInto, whole).reply.stage == HttpStage::Responded);
  }

  // The other side: peers that respond early and are sound. A body with a length or in chunks is
  // complete by itself, whatever happens to the request.
  void ResponseBeforeTheRequestIsReadIsComplete()
  {
    const std::string withoutLength = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nbody";
    for (const std::size_t requestBytes : { kBufferedRequestBytes, kPendingRequestBytes }) {
      const RawResponse whole{ withoutLength, "", Ending::HalfCloseThenRead, requestBytes };
      CPPUNIT_ASSERT(Receive(&StreamInto, whole).isComplete);
    }
    for (const char* framed :
         { "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody",
           "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n" }) {
      const RawResponse whole{ framed, "", Ending::Reset, kPendingRequestBytes };
      const Outcome outcome = Receive(&StreamInto, whole);
      CPPUNIT_ASSERT_EQUAL(std::string("body"), outcome.reply.body);
      CPPUNIT_ASSERT(outcome.isComplete);
    }
  }

  void EndlessHeadIsAbandoned()
  {
    for (const std::size_t valueBytes : { 1, 100, 4000 }) {
      const RawResponse response{ "HTTP/1.1 200 OK\r\n",
                                  "X-More: " + std::string(valueBytes, 'x') + "\r\n",
                                  Ending::Endless };
      for (const auto client : kClients) {
        const Outcome outcome = Receive(client, response);
        CPPUNIT_ASSERT(outcome.reply.stage == HttpStage::Lost);
        CPPUNIT_ASSERT(outcome.sentBytes < kMaxBytes);
      }
    }
  }

  void LongHeadIsNoResponse()
  {
    const std::string field = "X-More: " + std::string(90, 'x') + "\r\n";
    std::string head = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n";
    while (head.size() < 8000) {
      head += field;
    }
    AssertResponse(head + "\r\nbody", 200, "body");
    while (head.size() < 8300) {
      head += field;
    }
    AssertNoResponse(head + "\r\nbody");
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
      for (const auto client : kClients) {
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
