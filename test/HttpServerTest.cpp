// The HTTP server on loopback: what becomes of open connections when it stops to accept.
#include <boost/asio/write.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include "net/Http.h"

namespace sycamorepost {
namespace {

constexpr const char* kAddress = "127.0.0.1:17911";

asio::awaitable<void>
Answer(HttpRequest /*aRequest*/, HttpExchange& aExchange)
{
  co_await aExchange.Respond(200, {}, MakeBody("ok"));
}

class HttpServerTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(HttpServerTest);
  CPPUNIT_TEST(AnIdleConnectionIsClosedWhenTheServerStops);
  CPPUNIT_TEST_SUITE_END();

public:
  void AnIdleConnectionIsClosedWhenTheServerStops()
  {
    asio::io_context context(1);
    HttpServer server(context, HttpLimits{}, Answer);
    std::string reason;
    CPPUNIT_ASSERT_MESSAGE(reason, server.Listen(*ParseEndpoint(kAddress), reason));
    tcp::socket caller(context);
    caller.connect(*ParseEndpoint(kAddress));

    // A kept connection carries a request and is idle after it.
    asio::write(caller, asio::buffer(std::string("GET / HTTP/1.1\r\nHost: a\r\n\r\n")));
    context.run_for(std::chrono::milliseconds(100));
    std::string answer(4096, '\0');
    answer.resize(caller.read_some(asio::buffer(answer)));
    CPPUNIT_ASSERT(answer.starts_with("HTTP/1.1 200"));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), server.Connections());

    // A request on it, sent after the server stops, must not be taken: the process is about to end.
    server.StopAccepting();
    context.run_for(std::chrono::milliseconds(100));
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), server.Connections());
    beast::error_code error;
    caller.read_some(asio::buffer(answer), error);
    CPPUNIT_ASSERT_MESSAGE(error.message(), error == asio::error::eof);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpServerTest);

} // namespace
} // namespace sycamorepost
