// Tests of the translation of the platform's protocol: store pages, configuration, registrations
// and header fields, with fuzzed decoders; of the target directory during an outage of the store;
// and of the event stream parser, the decision log and the settings.
#include <cppunit/extensions/HelperMacros.h>
#include <fcntl.h>
#include <rapidcheck.h>
#include <unistd.h>

#include "platform/Decoders.h"
#include "platform/RequestCodec.h"
#include "platform/StoreClient.h"
#include "runtime/DecisionLog.h"
#include "runtime/ProcessLog.h"
#include "runtime/Settings.h"
#include "sycamorepost/forward/request/EventStream.h"
#include "sycamorepost/forward/request/PromptParts.h"

namespace sycamorepost::platform {
namespace {

constexpr const char* kConfiguration =
  R"({"Version":7,"Routes":[
    {"Name":"r-1","Host":"a.example","PathPrefix":"/lo/","Kind":"streaming","TimeoutMs":10000,
     "TargetLatencyMs":300,"Priority":1,"TrafficSplit":[{"Service":"s1","Weight":90},
     {"Service":"s2","Weight":10}],"MaxAttempts":2,"Public":false,"Sticky":true,"Resumable":true,
     "TargetGapMs":250},
    {"Name":"r-2","Host":"a.example","PathPrefix":"/lo/deep/","Kind":"idempotent","Service":"s2",
     "TimeoutMs":800,"TargetLatencyMs":120,"MaxAttempts":2,"Public":true},
    {"Name":"r-3","Host":"a.example","PathPrefix":"/odd/","Kind":"sideways","Service":"s2"}],
  "Services":[{"Name":"s1","MaxConns":364,"Engine":{"Slots":16,"KvCapacityTokens":315000,
     "Stride":51,"step_ms":0.85,"per_seq_ms":0.004,"context_per_k":0.003,"read_per_s":177000.0,
     "pairs_per_m":0.184}},{"Name":"s2","MaxConns":100}],
  "Limits":{"MaxHeaderBytes":8192,"MaxBodyBytes":1000,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},
  "Tenants":[{"Name":"t1","ApiKeys":["k1","k2"],"Priority":0}],"New":[1]})";

constexpr const char* kRegistration =
  R"({"Service":"s1","Address":"10.0.0.9:8080","Zone":"hobart","Version":"v1","Slots":16,)"
  R"("State":"ready","ColdRemainingMs":0,"Seq":4,"born":1700000000000})";

class PlatformTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(PlatformTest);
  CPPUNIT_TEST(ConfigurationIsDecodedIntoRouteTable);
  CPPUNIT_TEST(InvalidRegistrationsAreRejected);
  CPPUNIT_TEST(DecodersReturnOnCorruptedInput);
  CPPUNIT_TEST(StorePagesAreDecoded);
  CPPUNIT_TEST(HeaderFieldsAreTranslated);
  CPPUNIT_TEST(OddPromptPartsAreDecoded);
  CPPUNIT_TEST(AnnouncementsOfTargetsAreDecoded);
  CPPUNIT_TEST(RegistrationsMissingAfterOutageExpireLater);
  CPPUNIT_TEST(TargetsDeregisteredAfterOutageAreRemovedInTime);
  CPPUNIT_TEST(EventsAreParsedForAnySplitOfInput);
  CPPUNIT_TEST(DecisionLogNeitherBlocksNorGrows);
  CPPUNIT_TEST(ProcessLogNeitherBlocksNorEndsTheProcess);
  CPPUNIT_TEST(InvalidSettingsAreReported);
  CPPUNIT_TEST_SUITE_END();

public:
  void ConfigurationIsDecodedIntoRouteTable()
  {
    std::string reason;
    const auto table = DecodeConfiguration(kConfiguration, reason);
    CPPUNIT_ASSERT_MESSAGE(reason, table != nullptr);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(7), table->version);

    // The longest path prefix wins. The case and port of the host and the query of the path are
    // ignored.
    CPPUNIT_ASSERT_EQUAL(std::string("r-1"),
                         table->FindRoute("A.example:80", "/lo/x?q=/lo/deep/")->name);
    CPPUNIT_ASSERT_EQUAL(std::string("r-2"), table->FindRoute("a.example", "/lo/deep/x")->name);
    CPPUNIT_ASSERT(!table->FindRoute("a.example", "/lo"));
    CPPUNIT_ASSERT(!table->FindRoute("b.example", "/lo/x"));

    const RouteRule& stream = *table->FindRoute("a.example", "/lo/x");
    CPPUNIT_ASSERT(stream.IsRetryable());
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), stream.services.size());
    CPPUNIT_ASSERT(table->MinGapObjective() == std::chrono::milliseconds(250));

    // A route of unknown kind is treated as non-idempotent.
    CPPUNIT_ASSERT(!table->FindRoute("a.example", "/odd/x")->IsRetryable());
    CPPUNIT_ASSERT_EQUAL(std::string("t1"), table->FindAccountByKey("k2")->name);
    CPPUNIT_ASSERT(!table->FindAccountByKey("k3"));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(1000), table->limits.maxBodyBytes);
    CPPUNIT_ASSERT(!table->FindService("s2")->engine);
    CPPUNIT_ASSERT_EQUAL(177.0, table->FindService("s1")->engine->prefillTokensPerMs);
    CPPUNIT_ASSERT(table->Format().find("route r-1 host=a.example path=/lo/") == 0);
    CPPUNIT_ASSERT(table->Format().find("# operator: version 7") != std::string::npos);
  }

  void InvalidRegistrationsAreRejected()
  {
    std::string reason;
    const auto target = DecodeRegistration("i-1", kRegistration, reason);
    CPPUNIT_ASSERT_MESSAGE(reason, target.has_value());
    CPPUNIT_ASSERT_EQUAL(std::int64_t(1700000000000), target->startedAtMs);
    for (const char* text :
         { "",
           "{}",
           "[1]",
           R"({"Service":1})",
           R"({"Service":"s","Address":"10.0.0.9:80","Zone":"z","Slots":1})",
           R"({"Service":"s","Address":"nowhere","Zone":"z","Slots":1,"State":"ready"})",
           R"({"Service":"s","Address":"10.0.0.9:80","Zone":"z","Slots":1,"State":"up"})",
           R"({"Service":"s","Address":"10.0.0.9:80","Zone":"z","Slots":-1,"State":"ready"})",
           R"({"Service":"s","Address":"10.0.0.9:80","Zone":"z","Slots":1e300,"State":"ready"})",
           R"({"Service":"s","Address":"10.0.0.9:99999","Zone":"z","Slots":1,"State":"ready"})" }) {
      CPPUNIT_ASSERT_MESSAGE(text, !DecodeRegistration("i-1", text, reason));
    }
    // The name is sent in a header field.
    for (const char* name : { "", "a b", "i\r\nX-More: 1", "i\xff" }) {
      CPPUNIT_ASSERT_MESSAGE(name, !DecodeRegistration(name, kRegistration, reason));
    }
  }

  void DecodersReturnOnCorruptedInput()
  {
    const auto corrupt = [](std::string aText) {
      const auto edits = *rc::gen::inRange(1, 6);
      for (int i = 0; i < edits && !aText.empty(); ++i) {
        aText[*rc::gen::inRange<std::size_t>(0, aText.size())] = *rc::gen::arbitrary<char>();
      }
      aText.resize(*rc::gen::inRange<std::size_t>(0, aText.size() + 1));
      return aText;
    };
    const bool passed = rc::check("decoders return on any bytes", [&] {
      std::string reason;
      std::string lastKey;
      bool morePages = false;
      DecodeConfiguration(corrupt(kConfiguration), reason);
      DecodeRegistration("i", corrupt(kRegistration), reason);
      DecodeRawPage(corrupt(std::string(16, '\0') + EncodeRecord({ "key", "value" })), 0);
      DecodeNewestPage(corrupt(R"({"Entries":[{"Key":"k","Value":"YWI=","Offset":4}],"End":6})"),
                       morePages,
                       lastKey);
      EventStreamParser parser;
      parser.Feed(corrupt("id: 1\ndata: x\n\nid: 2\n\n"));
    });
    CPPUNIT_ASSERT(passed);
  }

  void StorePagesAreDecoded()
  {
    const std::string pageHeader = std::string(7, '\0') + "\x09" + std::string(8, '\0');
    const auto page = DecodeRawPage(
      pageHeader + EncodeRecord({ "a", "one" }) + EncodeRecord({ "b", std::nullopt }), 7);
    CPPUNIT_ASSERT(page.has_value());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(9), page->nextOffset);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(9), page->endOffset);
    CPPUNIT_ASSERT_EQUAL(std::string("one"), *page->records[0].value);
    CPPUNIT_ASSERT(!page->records[1].value);
    CPPUNIT_ASSERT(!DecodeRawPage("short", 0));

    bool morePages = false;
    std::string lastKey;
    const auto newest = DecodeNewestPage(
      R"({"Entries":[{"Key":"k","Value":"YWI=","Offset":4}],"MorePages":true,"End":6})",
      morePages,
      lastKey);
    CPPUNIT_ASSERT(newest && morePages);
    CPPUNIT_ASSERT_EQUAL(std::string("ab"), *newest->records[0].value);
    CPPUNIT_ASSERT_EQUAL(std::string("k"), lastKey);
  }

  void HeaderFieldsAreTranslated()
  {
    HttpRequest http;
    http.method = "POST";
    http.target = "/lo/x?a=1";
    http.body = MakeBody("body");
    http.fields.set("Host", "a.example");
    http.fields.set("X-Sycamorepost-Request-Id", "9c41");
    http.fields.set("X-Sycamorepost-Deadline", "1500");
    http.fields.set("X-Sycamorepost-Token-Counts", "1460,80");
    http.fields.set("X-Sycamorepost-Prompt-Prefix", "5c1e07a2:800, 91BD3F06:410,e4402b7d:250");
    http.fields.set("X-Sycamorepost-Tenant", "somebody");
    http.fields.set("Last-Event-Id", "12");
    http.fields.set("Authorization", "Bearer k1");
    http.fields.set("Connection", "close, X-Hop");
    http.fields.set("X-Hop", "1");
    http.fields.set("X-Sycamorepost-Model", "m");
    const ForwardRequest request = DecodeRequest(http, 5);
    CPPUNIT_ASSERT_EQUAL(std::string("k1"), *request.key);
    CPPUNIT_ASSERT_EQUAL(1460U, request.promptTokens);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(12), *request.resumeAfter);
    // The last part belongs to the request alone.
    CPPUNIT_ASSERT_EQUAL(std::string("5c1e07a2,91bd3f06"), FormatParts(request.promptParts));

    StartAttempt start;
    start.address = "10.0.0.9:80";
    start.instance = "i-1";
    start.account = "t1";
    start.remaining = std::chrono::milliseconds(1400);
    start.helpers = { { "10.0.0.3:80", "t81" }, { "10.0.0.5:80", "" } };
    const HttpCall call = EncodeAttempt(request, start);
    std::map<std::string, std::string> sentFields(call.fields.begin(), call.fields.end());
    CPPUNIT_ASSERT_EQUAL(std::string("t1"), sentFields["X-Sycamorepost-Tenant"]);
    CPPUNIT_ASSERT_EQUAL(std::string("1400"), sentFields["X-Sycamorepost-Deadline"]);
    CPPUNIT_ASSERT_EQUAL(std::string("i-1"), sentFields["X-Sycamorepost-Expected-Instance"]);
    CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.3:80/t81,10.0.0.5:80"),
                         sentFields["X-Sycamorepost-Helpers"]);
    CPPUNIT_ASSERT_EQUAL(std::string("m"), sentFields["X-Sycamorepost-Model"]);
    CPPUNIT_ASSERT(!sentFields.contains("Authorization") && !sentFields.contains("X-Hop"));
    // Only the reducer sets the resume position.
    CPPUNIT_ASSERT(!sentFields.contains("Last-Event-Id"));
    CPPUNIT_ASSERT_EQUAL(http.target, call.target);

    HttpReply reply;
    reply.stage = HttpStage::Responded;
    reply.status = 200;
    reply.fields = { { "x-sycamorepost-response-signature", "3e1b" },
                     { "X-Sycamorepost-Request-Id", "other" },
                     { "Content-Length", "4" } };
    const AttemptHead head = DecodeResponseHead(1, "9c41", reply);
    CPPUNIT_ASSERT(head.isSigned && head.requestMismatch && !head.notExecuted);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), head.fields.size());
    CPPUNIT_ASSERT_EQUAL(std::string("0.250"),
                         EncodeRefusalFields("", std::chrono::milliseconds(250)).back().second);
  }

  void OddPromptPartsAreDecoded()
  {
    const auto decode = [](const std::string& aText) {
      HttpRequest http;
      http.body = MakeBody("");
      http.fields.set("X-Sycamorepost-Prompt-Prefix", aText);
      return DecodeRequest(http, 1).promptParts;
    };
    CPPUNIT_ASSERT(decode("").empty());
    CPPUNIT_ASSERT(decode("a:1").empty());
    CPPUNIT_ASSERT(decode(",,:5,b:1").empty());
    CPPUNIT_ASSERT_EQUAL(std::string("ffffffffffffffff"),
                         FormatParts(decode("ffffffffffffffff:1,ffffffffffffffff:2,b:1")));
    // Ids that are no such numbers are told apart all the same.
    CPPUNIT_ASSERT(decode("no-hex:1,b:1") != decode("other:1,b:1"));
    CPPUNIT_ASSERT(decode("10000000000000000:1,b:1") != decode("20000000000000000:1,b:1"));
    std::string many;
    for (int i = 0; i < 2'000; ++i) {
      many += std::to_string(i) + ":1,";
    }
    CPPUNIT_ASSERT_EQUAL(kMaxPromptParts, decode(many).size());
  }

  void AnnouncementsOfTargetsAreDecoded()
  {
    const auto decode = [](int aStatus, const std::string& aRetryAfter) {
      HttpReply reply{ HttpStage::Responded, aStatus, {}, "", "" };
      reply.fields = { { "Retry-After", aRetryAfter }, { "server-leaving", "1" } };
      return DecodeResponseHead(1, "id", reply).announcement;
    };
    CPPUNIT_ASSERT(decode(503, "2.25").pause == std::chrono::milliseconds(2250));
    CPPUNIT_ASSERT(decode(503, "2.25").isLeaving);
    CPPUNIT_ASSERT(!decode(200, "2").pause);
    for (const char* invalid : { "", "-1", "0", "nan", "2s", "Wed, 21 Oct 2026 07:28:00 GMT" }) {
      CPPUNIT_ASSERT_MESSAGE(invalid, !decode(503, invalid).pause);
    }
    CPPUNIT_ASSERT(*decode(503, "1e300").pause > std::chrono::hours(24));

    // The response to a command announces as well, unless another instance sent it.
    for (const int status : { 200, 409, 503, 421 }) {
      HttpReply reply{ HttpStage::Responded, status, { { "Server-Leaving", "1" } }, "", "" };
      const ReservationCommandEnd end = DecodeReservationEnd({ .instance = "i-1" }, reply);
      CPPUNIT_ASSERT_EQUAL(status != 421, end.announcement.isLeaving);
      CPPUNIT_ASSERT_EQUAL(std::string("i-1"), end.instance);
    }
    CPPUNIT_ASSERT(!DecodeReservationEnd({}, HttpReply()).announcement.isLeaving);
  }

  void RegistrationsMissingAfterOutageExpireLater()
  {
    std::string reason;
    Instant now{ std::chrono::hours(1) };
    TargetDirectory directory;
    directory.Apply({ "i-1", DecodeRegistration("i-1", kRegistration, reason) }, now);

    // A registration that is removed while the store is reachable is dropped at once.
    CPPUNIT_ASSERT(directory.Apply({ "i-1", std::nullopt }, now));
    directory.Apply({ "i-1", DecodeRegistration("i-1", kRegistration, reason) }, now);

    // A registration found missing after an outage is kept until its target had time to register
    // again.
    directory.RecordStoreUnreachable(now);
    directory.RecordStoreReachable();
    CPPUNIT_ASSERT(!directory.ApplyListing({}, now));
    now += std::chrono::seconds(2);
    CPPUNIT_ASSERT(!directory.Expire(now));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), directory.Targets().size());
    now += std::chrono::seconds(1);
    CPPUNIT_ASSERT(directory.Expire(now));
    CPPUNIT_ASSERT(directory.Targets().empty());
  }

  void TargetsDeregisteredAfterOutageAreRemovedInTime()
  {
    std::string reason;
    const Instant storeLostAt{ std::chrono::hours(1) };
    TargetDirectory directory;
    directory.Apply({ "i-1", DecodeRegistration("i-1", kRegistration, reason) }, storeLostAt);
    directory.RecordStoreUnreachable(storeLostAt);

    // The store is reachable again at once, but the next read is late, and the target deregisters
    // in between.
    const Instant removalSeenAt = storeLostAt + std::chrono::milliseconds(900);
    directory.RecordStoreReachable();
    CPPUNIT_ASSERT(!directory.Apply({ "i-1", std::nullopt }, removalSeenAt));

    // The target must be removed two seconds after the return of the store, however late its
    // removal was noticed.
    CPPUNIT_ASSERT(directory.Expire(storeLostAt + std::chrono::milliseconds(2200)));
    CPPUNIT_ASSERT(directory.Targets().empty());
  }

  void EventsAreParsedForAnySplitOfInput()
  {
    const std::string text = "version: 3\nid: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata";
    for (std::size_t cut = 0; cut <= text.size(); ++cut) {
      EventStreamParser parser;
      auto events = parser.Feed(text.substr(0, cut));
      const auto remaining = parser.Feed(text.substr(cut));
      events.insert(events.end(), remaining.begin(), remaining.end());
      CPPUNIT_ASSERT_EQUAL(std::size_t(2), events.size());
      CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), *events[0].id);
      CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), *events[1].id);
      CPPUNIT_ASSERT(!parser.IsEmpty());
    }
  }

  void DecisionLogNeitherBlocksNorGrows()
  {
    int pipeEnds[2];
    CPPUNIT_ASSERT_EQUAL(0, pipe(pipeEnds));
    DecisionLog log("entry-1", 1, pipeEnds[1]);
    const LogDecision line{ "refused", "id", { { "reason", std::string(300, 'x') } }, true };
    for (int i = 0; i < 5000; ++i) {
      log.Write(line, i);
      log.Flush(); // Nothing reads from the pipe, so it fills up.
    }
    CPPUNIT_ASSERT(log.DroppedLines() > 0);
    CPPUNIT_ASSERT(log.BufferedBytes() <= 256 * 1024);
    close(pipeEnds[0]);
    close(pipeEnds[1]);
  }

  // Guards against a log collector that stands still, or ends, and stops or ends the process with
  // it. Without the bound this test does not end.
  void ProcessLogNeitherBlocksNorEndsTheProcess()
  {
    int pipeEnds[2];
    CPPUNIT_ASSERT_EQUAL(0, pipe(pipeEnds));
    ProcessLog log("test", pipeEnds[1]);
    for (int i = 0; i < 5000; ++i) {
      LOG(INFO) << "line " << i << ' ' << std::string(100, 'x');
    }
    CPPUNIT_ASSERT(log.DroppedLines() > 0);
    // What was written is whole lines in their order.
    std::string read(4096, '\0');
    CPPUNIT_ASSERT_EQUAL(ssize_t(4096), ::read(pipeEnds[0], read.data(), read.size()));
    CPPUNIT_ASSERT(read.find("] line 0 x") != std::string::npos);
    CPPUNIT_ASSERT(read.find("] line 1 x") != std::string::npos);
    log.Flush();
    close(pipeEnds[0]);
    LOG(INFO) << "the collector has ended";
    close(pipeEnds[1]);
  }

  void InvalidSettingsAreReported()
  {
    const std::string validSettings =
      "[forward]\nname = \"e\"\ndomain = \"d\"\nhttp_address = \"10.0.0.1:1\"\n"
      "admin_address = \"10.0.0.1:2\"\npeer_address = \"10.0.0.1:3\"\n"
      "store_address = \"10.0.0.1:4\"\n";
    std::vector<SettingsError> errors;
    CPPUNIT_ASSERT(IsForwardSettings(validSettings));
    CPPUNIT_ASSERT(ParseForwardSettings(validSettings, errors).has_value());
    const auto customized =
      ParseForwardSettings(validSettings + "leave_bound = \"3000ms\"\n", errors);
    CPPUNIT_ASSERT(customized && customized->targetDrainTimeout == std::chrono::seconds(3));
    CPPUNIT_ASSERT(
      !ParseForwardSettings(validSettings + "retry_ratio = -1\nretri_slack = 2\n", errors));
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), errors.size());
    errors.clear();
    CPPUNIT_ASSERT(!ParseForwardSettings(validSettings + "memory = 31\n", errors));
    CPPUNIT_ASSERT_EQUAL(std::size_t(8), errors.at(0).line);
    errors.clear();
    const auto fixed = ParseForwardSettings(validSettings + "learn_pace = true\n", errors);
    CPPUNIT_ASSERT(fixed && fixed->learnPace);
    CPPUNIT_ASSERT(!ParseForwardSettings(validSettings + "learn_pace = 1\n", errors));
    CPPUNIT_ASSERT_EQUAL(std::size_t(8), errors.front().line);
    CPPUNIT_ASSERT(!IsForwardSettings("[node]\n"));

    // The memory of an entry beside sidecars has to fit its largest body.
    const std::string entrySettings =
      "[node]\naddress = \"10.0.0.1:1\"\nadmin_address = \"10.0.0.1:2\"\ndomain = \"d\"\n"
      "[platform]\nlog_address = \"10.0.0.1:3\"\nvm_list_address = \"10.0.0.1:4\"\n"
      "[entry]\nhttp_address = \"10.0.0.1:5\"\nbody_bytes = 268435456\n";
    errors.clear();
    CPPUNIT_ASSERT_EQUAL(1024U, ParseEntrySettings(entrySettings, errors).value().memory);
    CPPUNIT_ASSERT(!ParseEntrySettings(entrySettings + "memory = 1023\n", errors));
    CPPUNIT_ASSERT_EQUAL(std::size_t(11), errors.at(0).line);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlatformTest);

} // namespace
} // namespace sycamorepost::platform
