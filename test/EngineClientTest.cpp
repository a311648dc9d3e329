// Tests on loopback how the client of a model engine treats malformed lines of its response.
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include "adapters/EngineClient.h"

namespace sycamorepost {
namespace {

constexpr const char* kAddress = "127.0.0.1:17913";
constexpr std::uint64_t kRun = 7;
constexpr std::uint64_t kResumeOffset = 3;

const std::string kFirst = R"({"o":3,"n":1,"t":"a"})"
                           "\n";
const std::string kSecond = R"({"o":4,"n":2,"t":"bc"})"
                            "\n";
const std::string kEnd = R"({"end":6,"cached":2,"prefill_ms":10,"decode_ms":5})"
                         "\n";

// What the client has reported of a run.
struct RunReport
{
  std::string text;
  std::vector<EngineEnded> ends;
};

// Sends one response and closes the connection.
asio::awaitable<void>
ServeOnce(tcp::acceptor& aAcceptor, std::string aLines)
{
  tcp::socket socket = co_await aAcceptor.async_accept(asio::use_awaitable);
  std::string request(4096, '\0');
  co_await socket.async_read_some(asio::buffer(request), asio::use_awaitable);
  const std::string response =
    "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(aLines.size()) + "\r\n\r\n" + aLines;
  co_await asio::async_write(socket, asio::buffer(response), asio::use_awaitable);
}

// Returns the report of a run whose response has these lines.
RunReport
RunWith(const std::string& aLines)
{
  asio::io_context context(1);
  tcp::acceptor acceptor(context, *ParseEndpoint(kAddress));
  asio::co_spawn(context, ServeOnce(acceptor, aLines), asio::detached);
  RunReport report;
  EngineClient client(context, kAddress, [&](const SidecarEvent& aEvent) {
    if (const auto* text = std::get_if<EngineText>(&aEvent)) {
      report.text += text->text;
    } else if (const auto* ended = std::get_if<EngineEnded>(&aEvent)) {
      report.ends.push_back(*ended);
    }
  });
  client.Run({ .run = kRun, .path = "/", .resumeOffset = kResumeOffset, .body = MakeBody("{}") });
  context.run_for(std::chrono::seconds(20));
  CPPUNIT_ASSERT_EQUAL_MESSAGE(aLines, std::size_t(1), report.ends.size());
  return report;
}

void
AssertLost(const std::string& aLines, const std::string& aText)
{
  const RunReport report = RunWith(aLines);
  CPPUNIT_ASSERT_MESSAGE(aLines, report.ends.front().kind == EngineEndKind::Lost);
  CPPUNIT_ASSERT_EQUAL_MESSAGE(aLines, aText, report.text);
}

class EngineClientTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(EngineClientTest);
  CPPUNIT_TEST(WholeResponseEndsItsRun);
  CPPUNIT_TEST(MalformedLineLosesTheRun);
  CPPUNIT_TEST(MissingTextLosesTheRun);
  CPPUNIT_TEST(MalformedEndLosesTheRun);
  CPPUNIT_TEST_SUITE_END();

public:
  void WholeResponseEndsItsRun()
  {
    const std::string plain = kFirst + kSecond + kEnd;
    const std::string spaced = "\n\r\n" + kFirst + "\n" + kSecond + " \n" + kEnd + "more";
    for (const std::string& lines : { plain, spaced }) {
      const RunReport report = RunWith(lines);
      CPPUNIT_ASSERT_MESSAGE(lines, report.ends.front().kind == EngineEndKind::Done);
      CPPUNIT_ASSERT_EQUAL(std::uint32_t(2), report.ends.front().cachedTokens);
      CPPUNIT_ASSERT_EQUAL(std::string("abc"), report.text);
    }
  }

  // Guards against a response that counts as whole although a line of it was not understood.
  void MalformedLineLosesTheRun()
  {
    const auto makeResponse = [](const std::string& aLine, const std::string& aRest) {
      return kFirst + aLine + "\n" + aRest + kEnd;
    };
    for (const char* line : { "HTTP/1.1 500 Internal Server Error",
                              R"({"o":4,"n":2,"t":"b)",
                              R"({"o":4,"n":2})",
                              R"({"o":"4","n":2,"t":"bc"})",
                              R"({"o":-1,"n":2,"t":"bc"})",
                              R"({"o":4,"n":-2,"t":"bc"})",
                              R"({"o":4,"n":2.5,"t":"bc"})",
                              R"({"o":4,"n":99999999999,"t":"bc"})",
                              "{\"o\":4,\"n\":2,\"t\":\"b\xff\"}",
                              "[]",
                              "null" }) {
      AssertLost(makeResponse(line, kSecond), "a");
      AssertLost(makeResponse(line, ""), "a");
    }
  }

  void MissingTextLosesTheRun()
  {
    AssertLost(kSecond + kEnd, "");
    AssertLost(kFirst + R"({"o":5,"n":1,"t":"c"})" + "\n" + kEnd, "a");
    AssertLost(kFirst + R"({"o":18446744073709551615,"n":2,"t":"bc"})" + "\n" + kEnd, "a");
    // A repeated part, together with text that follows.
    AssertLost(kFirst + R"({"o":3,"n":2,"t":"ab"})" + "\n" + kEnd, "a");
  }

  void MalformedEndLosesTheRun()
  {
    for (const char* line : { R"({"end":6})",
                              R"({"end":6,"cached":"2","prefill_ms":10,"decode_ms":5})",
                              R"({"end":6,"cached":-2,"prefill_ms":10,"decode_ms":5})",
                              R"({"end":6,"cached":2,"prefill_ms":10})",
                              R"({"end":6,"cached":2,"prefill_ms":10,"decode_ms":5,"kv":1})" }) {
      AssertLost(kFirst + kSecond + line + "\n", "abc");
    }
    // The connection ends before the last line does.
    AssertLost(kFirst + kSecond, "abc");
    AssertLost(kFirst + kSecond + kEnd.substr(0, kEnd.size() - 1), "abc");
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EngineClientTest);

} // namespace
} // namespace sycamorepost
