// Tests requests end to end: all daemons and stand-ins are separate processes, and callers and
// targets use real HTTP.
#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

#include "EngineText.h"
#include "harness/Scenario.h"

namespace sycamorepost {
namespace {

using harness::CallerFields;
using harness::Cluster;
using harness::CompletionBody;
using harness::HeaderField;
using harness::SendHttpRequest;

constexpr int kNetwork = 51;

// Returns the text of all events of a stream.
std::string
StreamText(const std::string& aBody)
{
  static constexpr std::string_view kData = "data: {";
  std::string text;
  std::size_t at = aBody.find(kData);
  while (at != std::string::npos) {
    const std::size_t end = aBody.find("\n\n", at);
    const auto event = nlohmann::json::parse(aBody.substr(at + 6, end - at - 6));
    text += event["choices"][0]["text"].get<std::string>();
    at = aBody.find(kData, end);
  }
  return text;
}

class PathTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(PathTest);
  CPPUNIT_TEST(RequestsPassThroughEntryAndSidecar);
  CPPUNIT_TEST_SUITE_END();

public:
  void RequestsPassThroughEntryAndSidecar()
  {
    Cluster cluster(harness::SmallClusterPlan(kNetwork, 4));
    cluster.Start();
    const std::string entry = cluster.entries[0].HttpAddress();
    const std::string prompt(6000, 'q');

    // A completion in one response.
    HttpReply reply = SendHttpRequest(
      entry, "POST", "/v1/completions", CallerFields("derwent"), CompletionBody(prompt, 12, false));
    CPPUNIT_ASSERT_EQUAL_MESSAGE(reply.body + reply.reason, 200, reply.status);
    CPPUNIT_ASSERT_EQUAL(std::string("done"), HeaderField(reply, "Sycamorepost-Outcome"));
    const auto body = nlohmann::json::parse(reply.body);
    CPPUNIT_ASSERT_EQUAL(standin::GenerateOutput(prompt, 12),
                         body["choices"][0]["text"].get<std::string>());

    // The same completion as an event stream.
    reply = SendHttpRequest(
      entry, "POST", "/v1/completions", CallerFields("derwent"), CompletionBody(prompt, 12, true));
    CPPUNIT_ASSERT_EQUAL(standin::GenerateOutput(prompt, 12), StreamText(reply.body));
    CPPUNIT_ASSERT_MESSAGE(reply.body, reply.body.ends_with("data: [DONE]\n\n"));

    // A booking, repeated with the same idempotency key through another entry.
    auto fields = CallerFields("derwent");
    fields.emplace_back("Idempotency-Key", "booking-1");
    reply = SendHttpRequest(entry, "POST", "/bookings", fields, "{\"hall\":\"Oatlands\"}");
    CPPUNIT_ASSERT_EQUAL_MESSAGE(reply.body + reply.reason, 200, reply.status);
    const std::string first = reply.body;
    reply = SendHttpRequest(
      cluster.entries[1].HttpAddress(), "POST", "/bookings", fields, "{\"hall\":\"Oatlands\"}");
    CPPUNIT_ASSERT_EQUAL(first, reply.body);

    // The same idempotency key with a different body is refused.
    reply = SendHttpRequest(entry, "POST", "/bookings", fields, "{\"hall\":\"Ross\"}");
    CPPUNIT_ASSERT_EQUAL(422, reply.status);

    // An idempotent lookup needs no idempotency key.
    reply = SendHttpRequest(entry, "GET", "/bookings/7", CallerFields("derwent"));
    CPPUNIT_ASSERT_EQUAL_MESSAGE(reply.body + reply.reason, 200, reply.status);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PathTest);

} // namespace
} // namespace sycamorepost
