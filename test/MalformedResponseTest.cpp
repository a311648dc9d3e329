// End-to-end tests of entries whose targets send malformed responses: callers never get them, and
// requests that may be repeated are served by another target.
#include <algorithm>
#include <array>
#include <cstdio>
#include <map>
#include <memory>

#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

#include "harness/PlatformDeployment.h"
#include "harness/RawTarget.h"

namespace sycamorepost {
namespace {

using harness::kAwaitTimeout;
using harness::MakePlatformConfiguration;
using harness::MakePlatformRoute;
using harness::PlatformDeployment;
using harness::RawAnswer;
using harness::RawTarget;
using harness::RawTargetSettings;
using harness::WaitUntil;
using nlohmann::json;

constexpr const char* kSignature = "X-Sycamorepost-Response-Signature";
constexpr const char* kSignatureLine = "X-Sycamorepost-Response-Signature: 3e1b.07\r\n";
constexpr std::uint64_t kEvents = 6;

// Longer than the buffers of a connection.
constexpr std::size_t kLongBodyBytes = 12 * 1024 * 1024;

constexpr std::array<const char*, 3> kKinds{ "idempotent", "streaming", "non_idempotent" };

std::string
MakeEvents(std::uint64_t aFirst)
{
  std::string text;
  for (std::uint64_t id = aFirst; id < kEvents; ++id) {
    text += "id: " + std::to_string(id) + "\ndata: e" + std::to_string(id) + "\n\n";
  }
  return text;
}

std::string
MakeSuccess(const std::string& aRest)
{
  return std::string("HTTP/1.1 200 OK\r\n") + kSignatureLine + aRest;
}

// Returns the end of a head, and a body with its length.
std::string
MakeFramedBody(const std::string& aBody)
{
  return "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

// Returns a chunk; the last one if it is empty.
std::string
MakeChunk(const std::string& aBytes)
{
  std::array<char, 24> size{};
  std::snprintf(size.data(), size.size(), "%zx\r\n", aBytes.size());
  return size.data() + aBytes + "\r\n";
}

RawAnswer
MakeSoundAnswer(const http::fields& aRequestFields)
{
  const auto last = aRequestFields.find("Last-Event-Id");
  const std::string events =
    MakeEvents(last == aRequestFields.end() ? 0 : std::stoull(std::string(last->value())) + 1);
  return { MakeSuccess(MakeFramedBody(events)) };
}

// What a caller receives. It is not read by the client under test.
struct CallerReply
{
  int status = 0;
  std::string signature;
  std::string body;
  bool isComplete = false;
};

// A deployment with a malformed target for each kind of request, alone or beside a sound one, as a
// failure makes a target less likely to be chosen again.
class Scene
{
public:
  explicit Scene(RawAnswer aMalformed)
    : malformed(std::move(aMalformed))
  {
    json configuration = MakePlatformConfiguration(2);
    for (const char* kind : kKinds) {
      for (const bool isPaired : { false, true }) {
        const std::string service = ServiceOf(kind, isPaired);
        const std::string path = "/" + service + "/";
        configuration["Services"].push_back({ { "Name", service } });
        configuration["Routes"].push_back(
          MakePlatformRoute(service.c_str(), path.c_str(), kind, service.c_str()));
        this->AddTarget(service, true);
        if (isPaired) {
          this->AddTarget(service, false);
        }
      }
    }
    this->deployment.Publish("keyed.op", "config", configuration.dump());
    const std::size_t expected = this->deployment.targets.size() + this->targets.size();
    CPPUNIT_ASSERT(WaitUntil(kAwaitTimeout, [&] {
      const json dump = harness::FetchDump(this->deployment.EntryIp(1) + ":7001");
      return dump.is_object() && dump.contains("targets") && dump["targets"].size() == expected &&
             dump.value("configuration", 0) == 2;
    }));
  }

  CallerReply Send(const std::string& aKind, bool aIsPaired, const std::string& aId)
  {
    http::request<http::string_body> request(
      http::verb::post, "/" + ServiceOf(aKind, aIsPaired) + "/", 11);
    request.set(http::field::host, "quiz.example");
    request.set(http::field::authorization, "Bearer key-1");
    request.set("X-Sycamorepost-Request-Id", aId);
    request.body().assign(this->malformed.isEarly ? kLongBodyBytes : 4, 'b');
    request.prepare_payload();

    asio::io_context context;
    tcp::socket socket(context);
    socket.connect(*ParseEndpoint(this->deployment.EntryIp(1) + ":7080"));
    http::write(socket, request);
    beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    beast::error_code error;
    http::read(socket, buffer, parser, error);
    const auto& response = parser.get();
    return { .status = static_cast<int>(response.result_int()),
             .signature = std::string(response[kSignature]),
             .body = response.body(),
             .isComplete = !error };
  }

  // Returns whether a request has reached the malformed target of a service.
  bool HasReachedMalformed(const std::string& aKind, bool aIsPaired, const std::string& aId) const
  {
    return HasReached(ServiceOf(aKind, aIsPaired) + kMalformedSuffix, aId);
  }

  // Returns whether a request has reached the sound target of a pair.
  bool HasReachedSound(const std::string& aKind, const std::string& aId) const
  {
    return HasReached(ServiceOf(aKind, true) + kSoundSuffix, aId);
  }

private:
  static constexpr const char* kMalformedSuffix = "-malformed";
  static constexpr const char* kSoundSuffix = "-sound";

  static std::string ServiceOf(const std::string& aKind, bool aIsPaired)
  {
    return (aIsPaired ? "paired-" : "alone-") + aKind;
  }

  void AddTarget(const std::string& aService, bool aIsMalformed)
  {
    static constexpr std::size_t kFirstIndex = 10;
    const std::string instance = aService + (aIsMalformed ? kMalformedSuffix : kSoundSuffix);
    const auto index = static_cast<int>(kFirstIndex + this->targets.size());
    this->targets[instance] = std::make_unique<RawTarget>(
      RawTargetSettings{ .instance = instance,
                         .service = aService,
                         .address = this->deployment.TargetAddress(index),
                         .storeAddress = this->deployment.StoreAddress(),
                         .respond = [this, aIsMalformed](const http::fields& aFields) {
                           return aIsMalformed ? this->malformed : MakeSoundAnswer(aFields);
                         } });
  }

  bool HasReached(const std::string& aInstance, const std::string& aId) const
  {
    const std::vector<std::string> ids = this->targets.at(aInstance)->RequestIds();
    return std::find(ids.begin(), ids.end(), aId) != ids.end();
  }

  RawAnswer malformed;
  PlatformDeployment deployment;
  std::map<std::string, std::unique_ptr<RawTarget>> targets; // By instance.
};

// Asserts that a caller got no response of the malformed target, or an incomplete stream.
void
AssertFailure(const std::string& aKind, const CallerReply& aReply)
{
  if (aKind == "streaming" && !aReply.isComplete) {
    CPPUNIT_ASSERT_EQUAL_MESSAGE(aKind, 200, aReply.status);
    return;
  }
  CPPUNIT_ASSERT_MESSAGE(aKind, aReply.isComplete);
  CPPUNIT_ASSERT_EQUAL_MESSAGE(aKind + aReply.body, 502, aReply.status);
  CPPUNIT_ASSERT_EQUAL_MESSAGE(aKind, std::string(), aReply.signature);
}

void
AssertSound(const std::string& aKind, const CallerReply& aReply)
{
  CPPUNIT_ASSERT_MESSAGE(aKind, aReply.isComplete);
  CPPUNIT_ASSERT_EQUAL_MESSAGE(aKind + aReply.body, 200, aReply.status);
  CPPUNIT_ASSERT_EQUAL_MESSAGE(aKind, MakeEvents(0), aReply.body);
  CPPUNIT_ASSERT_EQUAL_MESSAGE(aKind, std::string("3e1b.07"), aReply.signature);
}

// Sends requests of a kind until one has reached the malformed target of its pair, and passes each
// reply to aCheck, with the request's id.
template<typename Check>
void
SendUntilMalformed(Scene& aScene, const std::string& aKind, const Check& aCheck)
{
  static constexpr int kMaxRequests = 40;
  bool wasReached = false;
  for (int i = 0; !wasReached && i < kMaxRequests; ++i) {
    const std::string id = aKind + "-" + std::to_string(i);
    aCheck(id, aScene.Send(aKind, true, id));
    wasReached = aScene.HasReachedMalformed(aKind, true, id);
  }
  CPPUNIT_ASSERT_MESSAGE(aKind, wasReached);
}

// Asserts what callers get while targets send a malformed response.
void
CheckCallers(const RawAnswer& aMalformed)
{
  Scene scene(aMalformed);

  // Without another target each request fails.
  for (const std::string kind : kKinds) {
    const std::string id = kind + "-alone";
    AssertFailure(kind, scene.Send(kind, false, id));
    CPPUNIT_ASSERT_MESSAGE(id, scene.HasReachedMalformed(kind, false, id));
  }

  // Beside a sound target, callers get its response wherever the request may be repeated.
  for (const char* kind : { "idempotent", "streaming" }) {
    SendUntilMalformed(scene, kind, [&](const std::string&, const CallerReply& aReply) {
      AssertSound(kind, aReply);
    });
  }

  // A request that may not be repeated reaches one of the two targets.
  const std::string once = "non_idempotent";
  SendUntilMalformed(scene, once, [&](const std::string& aId, const CallerReply& aReply) {
    if (scene.HasReachedMalformed(once, true, aId)) {
      AssertFailure(once, aReply);
      CPPUNIT_ASSERT_MESSAGE(aId, !scene.HasReachedSound(once, aId));
    } else {
      AssertSound(once, aReply);
    }
  });
}

class MalformedResponseTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(MalformedResponseTest);
  CPPUNIT_TEST(InvalidStatusIsNotPassedOn);
  CPPUNIT_TEST(InterimResponseIsNotPassedOn);
  CPPUNIT_TEST(FieldNameWithBlankIsNotPassedOn);
  CPPUNIT_TEST(FieldNameWithControlByteIsNotPassedOn);
  CPPUNIT_TEST(FoldedFieldLineIsNotPassedOn);
  CPPUNIT_TEST(UnknownTransferCodingIsNotPassedOn);
  CPPUNIT_TEST(MalformedChunkIsNotPassedOn);
  CPPUNIT_TEST(ResetDuringUploadIsNotPassedOnAsEnd);
  CPPUNIT_TEST_SUITE_END();

public:
  void InvalidStatusIsNotPassedOn()
  {
    for (const char* status : { "000", "600" }) {
      CheckCallers({ std::string("HTTP/1.1 ") + status + " X\r\n" + kSignatureLine +
                     MakeFramedBody(MakeEvents(0)) });
    }
  }

  void InterimResponseIsNotPassedOn()
  {
    CheckCallers({ std::string("HTTP/1.1 103 Early Hints\r\n") + kSignatureLine + "\r\n" });
  }

  void FieldNameWithBlankIsNotPassedOn()
  {
    CheckCallers({ MakeSuccess("X Count: 1\r\n" + MakeFramedBody(MakeEvents(0))) });
  }

  void FieldNameWithControlByteIsNotPassedOn()
  {
    CheckCallers({ MakeSuccess("X\x01Count: 1\r\n" + MakeFramedBody(MakeEvents(0))) });
  }

  void FoldedFieldLineIsNotPassedOn()
  {
    CheckCallers({ MakeSuccess(" Transfer-Encoding: chunked\r\n\r\n" + MakeChunk(MakeEvents(0)) +
                               MakeChunk("")) });
  }

  void UnknownTransferCodingIsNotPassedOn()
  {
    CheckCallers({ MakeSuccess("Transfer-Encoding: gzip, chunked\r\n\r\n" +
                               MakeChunk(MakeEvents(0)) + MakeChunk("")) });
  }

  // The stream breaks off behind its first events, and another target continues it.
  void MalformedChunkIsNotPassedOn()
  {
    const std::string events = MakeEvents(0);
    const std::string first = events.substr(0, events.find("id: 3"));
    CheckCallers(
      { MakeSuccess("Transfer-Encoding: chunked\r\n\r\n" + MakeChunk(first) + "x\r\n\r\n") });
  }

  // A target responds to a long request before it has read it, and resets the connection.
  void ResetDuringUploadIsNotPassedOnAsEnd()
  {
    const std::string events = MakeEvents(0);
    const std::string first = events.substr(0, events.find("id: 3"));
    CheckCallers({ .bytes = MakeSuccess("\r\n" + first), .isEarly = true, .isReset = true });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MalformedResponseTest);

} // namespace
} // namespace sycamorepost
