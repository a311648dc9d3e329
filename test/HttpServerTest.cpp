// Tests on loopback how HttpServer reads requests, what it refuses, and how it closes open
// connections when it stops accepting.
#include <boost/asio/write.hpp>
#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include "net/Clock.h"
#include "net/Http.h"

namespace sycamorepost {
namespace {

constexpr const char* kAddress = "127.0.0.1:17911";

asio::awaitable<void>
RespondOk(HttpRequest /*aRequest*/, HttpExchange& aExchange)
{
  co_await aExchange.Respond(200, {}, MakeBody("ok"));
}

// A server with a small ledger, and what its handler was called with.
struct Fixture
{
  Fixture()
    : server(
        this->context,
        HttpLimits{ .bodyBytes = 1'000'000 },
        [this](HttpRequest aRequest, HttpExchange& aExchange) {
          this->bodies.push_back(*aRequest.body);
          return RespondOk(std::move(aRequest), aExchange);
        },
        &this->ledger)
  {
    std::string reason;
    CPPUNIT_ASSERT_MESSAGE(reason, this->server.Listen(*ParseEndpoint(kAddress), reason));
    this->server.SetRefusalHandler(
      [this](HttpRefusal aRefusal) { this->refusals += ToString(aRefusal); });
  }

  tcp::socket Connect()
  {
    tcp::socket caller(this->context);
    caller.connect(*ParseEndpoint(kAddress));
    return caller;
  }

  void RunUntil(const std::function<bool()>& aCondition)
  {
    const Instant until = Now() + std::chrono::seconds(10);
    while (!aCondition() && Now() < until) {
      this->context.run_for(std::chrono::milliseconds(1));
    }
  }

  // Sends a text as far as the server reads it, on a connection that stays open.
  void Send(std::string aText)
  {
    this->callers.push_back(this->Connect());
    const auto text = std::make_shared<std::string>(std::move(aText));
    asio::async_write(
      this->callers.back(), asio::buffer(*text), [text](beast::error_code, std::size_t) {});
  }

  // Sends a text and the end of the connection. Returns the start of the status line.
  std::string SendAndEnd(const std::string& aText)
  {
    tcp::socket caller = this->Connect();
    asio::write(caller, asio::buffer(aText));
    caller.shutdown(tcp::socket::shutdown_send);
    this->RunUntil([&] { return !this->refusals.empty() && this->server.Connections() == 0; });
    std::string response(12, '\0');
    response.resize(caller.read_some(asio::buffer(response)));
    return response;
  }

  MemoryLedger ledger{ 1'500'000 };
  asio::io_context context{ 1 };
  std::vector<std::string> bodies;
  std::string refusals;
  std::vector<tcp::socket> callers;
  HttpServer server;
};

class HttpServerTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(HttpServerTest);
  CPPUNIT_TEST(RequestsArriveWholeHoweverTheyAreSplit);
  CPPUNIT_TEST(TruncatedRequestsNeverReachTheHandler);
  CPPUNIT_TEST(RequestsOverALimitAreRefusedWithItsStatus);
  CPPUNIT_TEST(ALoneRequestOfTheLargestSizeIsServed);
  CPPUNIT_TEST(AnEvictedRequestIsRefusedAsNotRun);
  CPPUNIT_TEST(IdleConnectionIsClosedOnStopAccepting);
  CPPUNIT_TEST_SUITE_END();

public:
  // Two requests on one connection, in pieces of any size; the second one may arrive with the
  // first.
  void RequestsArriveWholeHoweverTheyAreSplit()
  {
    const std::string text = "POST /1 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
                             "5;name=value\r\nhello\r\n1\r\n!\r\n0\r\nField: value\r\n\r\n"
                             "POST /2 HTTP/1.1\r\nHost: a\r\nContent-Length: 6\r\n\r\nsecond";
    const bool holds = rc::check([&] {
      Fixture fixture;
      tcp::socket caller = fixture.Connect();
      const auto pieceBytes = *rc::gen::inRange<std::size_t>(1, text.size() + 1);
      for (std::size_t at = 0; at < text.size(); at += pieceBytes) {
        asio::write(caller, asio::buffer(text.substr(at, pieceBytes)));
        fixture.context.poll();
      }
      fixture.RunUntil([&] { return fixture.bodies.size() == 2; });
      const std::vector<std::string> expected{ "hello!", "second" };
      RC_ASSERT(fixture.bodies == expected);
    });
    CPPUNIT_ASSERT(holds);
  }

  void TruncatedRequestsNeverReachTheHandler()
  {
    for (const char* text : { "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 6\r\n\r\nhello",
                              "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
                              "5\r\nhello\r\n",
                              "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
                              "5\r\nhello\r\n0\r\n" }) {
      Fixture fixture;
      CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 400"), fixture.SendAndEnd(text));
      CPPUNIT_ASSERT(fixture.bodies.empty());
      CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), fixture.ledger.Used());
    }
  }

  void RequestsOverALimitAreRefusedWithItsStatus()
  {
    const std::string chunked = "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::string long20k(20'000, 'x');
    const std::string long40k(40'000, 'x');
    const std::vector<std::pair<const char*, std::string>> cases{
      { "body", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1000001\r\n\r\n" },
      { "body", chunked + "f4241\r\n" + std::string(1'000'001, 'x') },
      { "header", "GET / HTTP/1.1\r\nHost: a\r\nField: " + long20k },
      { "unparsed", chunked + "1;" + long40k },
      { "unparsed", chunked + "1\r\nx\r\n0\r\nField: " + long40k },
    };
    for (const auto& [refusal, text] : cases) {
      Fixture fixture;
      fixture.Send(text);
      fixture.RunUntil([&] { return !fixture.refusals.empty(); });
      CPPUNIT_ASSERT_EQUAL(std::string(refusal), fixture.refusals);
      CPPUNIT_ASSERT(fixture.bodies.empty());
    }
  }

  // Guards against a ledger that refuses, when nothing else is held, what the limits allow.
  void ALoneRequestOfTheLargestSizeIsServed()
  {
    const std::string body(1'000'000, 'x');
    for (const std::string& text :
         { "Content-Length: 1000000\r\n\r\n" + body,
           "Transfer-Encoding: chunked\r\n\r\nf4240\r\n" + body + "\r\n0\r\n\r\n" }) {
      Fixture fixture;
      fixture.Send("POST / HTTP/1.1\r\nHost: a\r\n" + text);
      fixture.RunUntil([&] { return !fixture.bodies.empty(); });
      CPPUNIT_ASSERT(fixture.bodies == std::vector<std::string>{ body });
    }
  }

  void AnEvictedRequestIsRefusedAsNotRun()
  {
    Fixture fixture;
    tcp::socket caller = fixture.Connect();
    const std::string head = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1000000\r\n\r\n";
    asio::write(caller, asio::buffer(head + std::string(100'000, 'x')));
    fixture.RunUntil([&] { return fixture.ledger.Used() > 100'000; });
    MemoryLedger::Account other(&fixture.ledger);
    CPPUNIT_ASSERT(other.Reserve(fixture.ledger.LargestAccount(), Now()));
    fixture.RunUntil([&] { return fixture.server.Connections() == 0; });
    CPPUNIT_ASSERT_EQUAL(std::string("evicted"), fixture.refusals);
    std::string response(4096, '\0');
    response.resize(caller.read_some(asio::buffer(response)));
    CPPUNIT_ASSERT(response.starts_with("HTTP/1.1 503"));
    CPPUNIT_ASSERT(response.find("Retry-After: 1\r\n") != std::string::npos);
    CPPUNIT_ASSERT(response.find("Sycamorepost-Outcome: not-run\r\n") != std::string::npos);
  }

  void IdleConnectionIsClosedOnStopAccepting()
  {
    asio::io_context context(1);
    HttpServer server(context, HttpLimits{}, RespondOk);
    std::string reason;
    CPPUNIT_ASSERT_MESSAGE(reason, server.Listen(*ParseEndpoint(kAddress), reason));
    tcp::socket caller(context);
    caller.connect(*ParseEndpoint(kAddress));

    // A keep-alive connection is idle after its first request.
    asio::write(caller, asio::buffer(std::string("GET / HTTP/1.1\r\nHost: a\r\n\r\n")));
    context.run_for(std::chrono::milliseconds(100));
    std::string response(4096, '\0');
    response.resize(caller.read_some(asio::buffer(response)));
    CPPUNIT_ASSERT(response.starts_with("HTTP/1.1 200"));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), server.Connections());

    // The process is about to exit, so the server must not accept another request on the
    // connection.
    server.StopAccepting();
    context.run_for(std::chrono::milliseconds(100));
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), server.Connections());
    beast::error_code error;
    caller.read_some(asio::buffer(response), error);
    CPPUNIT_ASSERT_MESSAGE(error.message(), error == asio::error::eof);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpServerTest);

} // namespace
} // namespace sycamorepost
