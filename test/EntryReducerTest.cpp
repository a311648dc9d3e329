// Tests of EntryReducer: complete responses in any order of messages, when an outcome may be
// not-run, the retry budget, and account limits.
#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include "sycamorepost/EntryReducer.h"

namespace sycamorepost {
namespace {

const std::string kKeyDigest(64, 'a');
constexpr const char* kSidecar = "engine-1:7000";
constexpr std::uint64_t kIncarnation = 7;

// One entry with one account, engines of one pool and one booking service. Collects the response
// texts and ends that the entry sends to callers.
class EntryFixture
{
public:
  explicit EntryFixture(int aEngines = 1, const std::string& aAccountLimits = "")
    : reducer(EntryConfig{ .address = "entry-1:7000", .domain = "hobart", .seed = 5 })
  {
    const std::string why = "  # A. Operator: test\n";
    RuleParseResult parse =
      ParseRules("account hall key=" + kKeyDigest + " " + aAccountLimits + why +
                 "service bookings path=/bookings once=POST timeout=5s" + why +
                 "model quiz timeout=20s" + why);
    this->Step(RulesChanged{ 1, std::make_shared<const RuleSet>(*std::move(parse.rules)) });
    FleetView fleet;
    fleet.entries = { "entry-1:7000" };
    for (int i = 1; i <= aEngines; ++i) {
      const std::string name = "engine-" + std::to_string(i);
      fleet.targets.push_back({ name, name + ":7000", "hobart", "quiz", TargetKind::Engine });
    }
    fleet.targets.push_back(
      { "bookings-1", "bookings-1:7000", "hobart", "bookings", TargetKind::Service });
    this->Step(FleetChanged{ fleet });
  }

  std::vector<EntryEffect> Step(const EntryEvent& aEvent)
  {
    std::vector<EntryEffect> effects = this->reducer.Step(aEvent, this->now);
    for (const EntryEffect& effect : effects) {
      if (const auto* text = std::get_if<ResponseText>(&effect)) {
        this->text += *text->text;
      } else if (const auto* end = std::get_if<ResponseEnd>(&effect)) {
        this->ends.push_back(*end);
      }
    }
    return effects;
  }

  std::vector<EntryEffect>
  Receive(const std::string& aFrom, Message aMessage, std::string aBody = "")
  {
    return this->Step(MessageReceived{
      Envelope{ aFrom, kIncarnation, 0, std::move(aMessage), MakeBody(std::move(aBody)) } });
  }

  CallerRequest MakeCompletion()
  {
    CallerRequest request;
    request.handle = ++this->handle;
    request.requestId = "request-" + std::to_string(request.handle);
    request.keyDigest = kKeyDigest;
    request.method = "POST";
    request.path = "/v1/completions";
    request.body = MakeBody("{}");
    request.completion = CompletionParams{ "quiz", 100, 10, {} };
    return request;
  }

  CallerRequest MakeBooking()
  {
    CallerRequest request = this->MakeCompletion();
    request.path = "/bookings";
    request.completion.reset();
    request.idempotencyKey = "key";
    return request;
  }

  // Submits a request, grants its probe and returns the start message that the entry sends.
  Start StartRequest(const CallerRequest& aRequest)
  {
    std::vector<EntryEffect> effects = this->Step(aRequest);
    return this->GrantProbe(effects);
  }

  // Grants the first probe among the effects and returns the start message that the entry sends, or
  // an empty one if there is no probe.
  Start GrantProbe(const std::vector<EntryEffect>& aEffects)
  {
    for (const EntryEffect& effect : aEffects) {
      const auto* send = std::get_if<SendMessage>(&effect);
      const auto* probe = send ? std::get_if<ProbeRequest>(&send->message) : nullptr;
      if (probe) {
        ProbeReply reply;
        reply.probe = probe->probe;
        reply.verdict = ProbeVerdict::Granted;
        reply.ticket = 1;
        this->startAddress = send->to;
        return FindStart(this->Receive(send->to, reply));
      }
    }
    return {};
  }

  static Start FindStart(const std::vector<EntryEffect>& aEffects)
  {
    for (const EntryEffect& effect : aEffects) {
      const auto* send = std::get_if<SendMessage>(&effect);
      if (send && std::holds_alternative<Start>(send->message)) {
        return std::get<Start>(send->message);
      }
    }
    return {};
  }

  EntryReducer reducer;
  Instant now{ std::chrono::hours(1) };
  std::string text;
  std::vector<ResponseEnd> ends;
  std::string startAddress; // The sidecar of the latest probe that was granted.

private:
  std::uint64_t handle = 0;
};

Finished
MakeDone(std::uint64_t aAttempt, std::uint64_t aEndOffset, const std::string& aText)
{
  StreamDigest digest;
  digest.Update(aText);
  Finished finished;
  finished.attempt = aAttempt;
  finished.outcome = Outcome::Done;
  finished.endOffset = aEndOffset;
  finished.digest = digest.Value();
  return finished;
}

class EntryReducerTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(EntryReducerTest);
  CPPUNIT_TEST(ResponsesAreCompleteInAnyOrderOfChunks);
  CPPUNIT_TEST(ChunksOfAnotherRequestOrAnOldAttemptAreDropped);
  CPPUNIT_TEST(ACorruptedResponseIsNeverDone);
  CPPUNIT_TEST(InvalidStatusOfServiceIsNotPassedOn);
  CPPUNIT_TEST(NotRunNeedsConfirmation);
  CPPUNIT_TEST(RetriesStayWithinTheirBudget);
  CPPUNIT_TEST(LimitsApplyPerAccount);
  CPPUNIT_TEST_SUITE_END();

public:
  // Chunks arrive reordered, duplicated or not at all, then the sidecar retransmits all of them.
  // The caller must receive each token once and in order.
  void ResponsesAreCompleteInAnyOrderOfChunks()
  {
    const bool passed = rc::check("the response is complete", [] {
      EntryFixture entry;
      const Start start = entry.StartRequest(entry.MakeCompletion());
      const int tokens = *rc::gen::inRange(1, 12);
      const auto tokenOrder =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, tokens + 1));
      std::string expected;
      for (int i = 0; i < tokens; ++i) {
        expected += " t" + std::to_string(i);
      }
      const auto send = [&](int aToken) {
        if (aToken == tokens) {
          entry.Receive(kSidecar, MakeDone(start.attempt, tokens, expected));
          return;
        }
        entry.Receive(kSidecar,
                      Chunk{ start.attempt, static_cast<std::uint64_t>(aToken), 1 },
                      " t" + std::to_string(aToken));
      };
      for (const int token : tokenOrder) {
        send(token);
        RC_ASSERT(expected.starts_with(entry.text));
        RC_ASSERT(entry.ends.empty() || entry.text == expected);
      }
      for (int token = 0; token <= tokens; ++token) {
        send(token);
      }
      RC_ASSERT(entry.text == expected);
      RC_ASSERT(entry.ends.size() == 1U);
      RC_ASSERT(entry.ends[0].outcome == Outcome::Done);
    });
    CPPUNIT_ASSERT(passed);
  }

  void ChunksOfAnotherRequestOrAnOldAttemptAreDropped()
  {
    EntryFixture entry(2);
    const Start first = entry.StartRequest(entry.MakeCompletion());
    const std::string firstSidecar = entry.startAddress;
    entry.Receive(firstSidecar, Chunk{ first.attempt, 0, 1 }, " a");

    // The engine fails; the request resumes at token 1 on another engine.
    Finished failed;
    failed.attempt = first.attempt;
    failed.outcome = Outcome::Failed;
    const Start second = entry.GrantProbe(entry.Receive(firstSidecar, failed));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), second.resumeOffset);
    CPPUNIT_ASSERT(second.attempt != first.attempt);

    // Late chunks of the old attempt and of an unknown attempt arrive.
    entry.Receive(firstSidecar, Chunk{ first.attempt, 1, 1 }, " old");
    entry.Receive(firstSidecar, Chunk{ 12345, 1, 1 }, " foreign");
    entry.Receive(entry.startAddress, Chunk{ second.attempt, 1, 1 }, " b");
    entry.Receive(entry.startAddress, MakeDone(second.attempt, 2, " b"));
    CPPUNIT_ASSERT_EQUAL(std::string(" a b"), entry.text);
    CPPUNIT_ASSERT(entry.ends.at(0).outcome == Outcome::Done);
  }

  void ACorruptedResponseIsNeverDone()
  {
    EntryFixture entry;
    const Start start = entry.StartRequest(entry.MakeCompletion());
    entry.Receive(kSidecar, Chunk{ start.attempt, 0, 1 }, " damaged");
    entry.Receive(kSidecar, MakeDone(start.attempt, 1, " intact"));
    CPPUNIT_ASSERT(entry.ends.at(0).outcome == Outcome::Failed);
    CPPUNIT_ASSERT_EQUAL(std::string("answer_corrupted"), entry.ends.at(0).code);
  }

  void NotRunNeedsConfirmation()
  {
    // No attempt was started: not-run.
    EntryFixture entry;
    entry.Step(entry.MakeBooking());
    entry.now += std::chrono::seconds(6);
    entry.Step(Wake{});
    CPPUNIT_ASSERT_EQUAL(std::string("not-run"), ToString(entry.ends.at(0).outcome));

    // An attempt was started and no message came back: unknown.
    EntryFixture unresponsive;
    unresponsive.StartRequest(unresponsive.MakeBooking());
    unresponsive.now += std::chrono::seconds(6);
    unresponsive.Step(Wake{});
    CPPUNIT_ASSERT_EQUAL(std::string("unknown"), ToString(unresponsive.ends.at(0).outcome));

    // The only attempt was refused, which confirms that it did not run, and there is no other
    // target: not-run.
    EntryFixture refused;
    const Start start = refused.StartRequest(refused.MakeBooking());
    refused.Receive("bookings-1:7000", Refused{ start.attempt, RefusalReason::NotConnected });
    refused.now += std::chrono::seconds(6);
    refused.Step(Wake{});
    CPPUNIT_ASSERT_EQUAL(std::string("not-run"), ToString(refused.ends.at(0).outcome));

    // The first attempt was lost and may have run; the refusal of the second does not make the
    // outcome not-run.
    EntryFixture lost;
    const Start first = lost.StartRequest(lost.MakeBooking());
    Pong pong;
    pong.lostAttempts.push_back(first.attempt);
    lost.Receive("bookings-1:7000", pong);
    lost.now += std::chrono::milliseconds(200);
    const Start second = lost.GrantProbe(lost.Step(Wake{}));
    CPPUNIT_ASSERT(second.attempt != 0);
    lost.Receive("bookings-1:7000", Refused{ second.attempt, RefusalReason::Draining });
    lost.now += std::chrono::seconds(6);
    lost.Step(Wake{});
    CPPUNIT_ASSERT_EQUAL(std::string("unknown"), ToString(lost.ends.at(0).outcome));
  }

  // Guards against a status from a sidecar of an earlier version, or from a result that was
  // recorded by one.
  void InvalidStatusOfServiceIsNotPassedOn()
  {
    for (const int status : { -1, 0, 99, 100, 199, 600, 5000 }) {
      EntryFixture entry;
      Finished finished;
      finished.attempt = entry.StartRequest(entry.MakeBooking()).attempt;
      finished.outcome = Outcome::Done;
      finished.status = status;
      entry.Receive("bookings-1:7000", finished, "body");
      CPPUNIT_ASSERT_EQUAL(503, entry.ends.at(0).status);
      CPPUNIT_ASSERT_EQUAL(std::string("unknown"), ToString(entry.ends.at(0).outcome));
    }
    for (const int status : { 200, 404, 599 }) {
      EntryFixture entry;
      Finished finished;
      finished.attempt = entry.StartRequest(entry.MakeBooking()).attempt;
      finished.outcome = Outcome::Done;
      finished.status = status;
      entry.Receive("bookings-1:7000", finished, "body");
      CPPUNIT_ASSERT_EQUAL(status, entry.ends.at(0).status);
      CPPUNIT_ASSERT_EQUAL(std::string("body"), *entry.ends.at(0).body);
    }
  }

  void RetriesStayWithinTheirBudget()
  {
    static constexpr int kRequests = 200;
    EntryFixture entry(3);
    int starts = 0;
    for (int i = 0; i < kRequests; ++i) {
      // Every attempt fails, as if all engines were broken.
      Start start = entry.StartRequest(entry.MakeCompletion());
      while (start.attempt != 0) {
        ++starts;
        Finished failed;
        failed.attempt = start.attempt;
        failed.outcome = Outcome::Failed;
        start = entry.GrantProbe(entry.Receive(entry.startAddress, failed));
      }
      entry.now += std::chrono::seconds(30);
      entry.Step(Wake{});
    }
    const int retries = starts - kRequests;
    CPPUNIT_ASSERT_MESSAGE("retries: " + std::to_string(retries), retries <= kRequests / 10 + 10);
    CPPUNIT_ASSERT(retries > 0);
  }

  void LimitsApplyPerAccount()
  {
    EntryFixture entry(1, "concurrency=2 rate=1000");
    entry.Step(entry.MakeCompletion());
    entry.Step(entry.MakeCompletion());
    entry.Step(entry.MakeCompletion());
    CPPUNIT_ASSERT_EQUAL(std::string("concurrency_limit_exceeded"), entry.ends.at(0).code);
    CPPUNIT_ASSERT_EQUAL(std::string("not-run"), ToString(entry.ends.at(0).outcome));

    // When one of the two requests ends, the next one is admitted.
    entry.Step(CallerDisconnected{ 1 });
    entry.ends.clear();
    entry.Step(entry.MakeCompletion());
    CPPUNIT_ASSERT(entry.ends.empty());

    EntryFixture rated(1, "rate=2");
    for (int i = 0; i < 3; ++i) {
      rated.Step(rated.MakeCompletion());
    }
    CPPUNIT_ASSERT_EQUAL(std::string("rate_limit_exceeded"), rated.ends.at(0).code);
    CPPUNIT_ASSERT(rated.ends.at(0).retryAfterSeconds.value_or(0) >= 1);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EntryReducerTest);

} // namespace
} // namespace sycamorepost
