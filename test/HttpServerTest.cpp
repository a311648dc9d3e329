// Tests on loopback how HttpServer closes open connections when it stops accepting.
#include <boost/asio/write.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include "net/Http.h"

namespace sycamorepost {
namespace {

constexpr const char* kAddress = "127.0.0.1:17911";

asio::awaitable<void>
RespondOk(HttpRequest /*aRequest*/, HttpExchange& aExchange)
{
  co_await aExchange.Respond(200, {}, MakeBody("ok"));
}

class HttpServerTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(HttpServerTest);
  CPPUNIT_TEST(IdleConnectionIsClosedOnStopAccepting);
  CPPUNIT_TEST_SUITE_END();

public:
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
