// Tests the history checker: a valid history has no violation, and each kind of violation is
// reported.
#include <cppunit/extensions/HelperMacros.h>

#include "harness/HistoryChecker.h"

namespace sycamorepost {
namespace {

using harness::CheckHistory;
using harness::CheckInput;
using load::CallKind;
using load::CallRecord;

CallRecord
Booking(const std::string& aKey, const std::string& aOutcome, int aEndSeconds)
{
  CallRecord record;
  record.kind = CallKind::Booking;
  record.requestId = "request-" + aKey;
  record.idempotencyKey = aKey;
  record.sentAt = std::chrono::seconds(aEndSeconds - 1);
  record.endedAt = std::chrono::seconds(aEndSeconds);
  record.timeout = std::chrono::seconds(5);
  record.outcome = aOutcome;
  record.response = aOutcome == "done" ? "answer" : "";
  record.isComplete = aOutcome == "done";
  return record;
}

std::string
SingleViolation(const CheckInput& aInput)
{
  const auto violations = CheckHistory(aInput);
  return violations.size() == 1 ? violations[0] : std::to_string(violations.size()) + " violations";
}

class HistoryCheckerTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(HistoryCheckerTest);
  CPPUNIT_TEST(AValidHistoryPasses);
  CPPUNIT_TEST(EachKindOfViolationIsReported);
  CPPUNIT_TEST_SUITE_END();

public:
  void AValidHistoryPasses()
  {
    CheckInput input;
    input.calls = { Booking("a", "unknown", 1), Booking("a", "done", 2),    Booking("a", "done", 3),
                    Booking("b", "not-run", 1), Booking("c", "unknown", 1), Booking("d", "", 1) };
    input.effects = { { "a", "" }, { "d", "" } };
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), CheckHistory(input).size());
  }

  void EachKindOfViolationIsReported()
  {
    CheckInput input;
    input.calls = { Booking("a", "done", 1) };
    input.effects = { { "a", "" }, { "a", "" } };
    CPPUNIT_ASSERT_EQUAL(std::string("a has 2 effects"), SingleViolation(input));

    input.effects.clear();
    CPPUNIT_ASSERT_EQUAL(std::string("a was reported done without an effect"),
                         SingleViolation(input));

    input.calls = { Booking("a", "not-run", 1), Booking("a", "not-run", 2) };
    input.effects = { { "a", "" } };
    CPPUNIT_ASSERT_EQUAL(std::string("a has an effect although every call was reported not-run"),
                         SingleViolation(input));

    input.calls = { Booking("a", "unknown", 1), Booking("a", "not-run", 2) };
    CPPUNIT_ASSERT_EQUAL(std::string("a has an effect although the last call was reported not-run"),
                         SingleViolation(input));

    input.calls = { Booking("a", "done", 1), Booking("a", "done", 2) };
    input.calls[1].response = "another";
    CPPUNIT_ASSERT_EQUAL(std::string("a has 2 different responses"), SingleViolation(input));

    input.calls = { Booking("a", "done", 1) };
    input.calls[0].isComplete = false;
    CPPUNIT_ASSERT_EQUAL(std::string("request-a was reported done without its complete response"),
                         SingleViolation(input));

    input.calls = { Booking("a", "done", 1) };
    input.calls[0].endedAt = std::chrono::seconds(9);
    CPPUNIT_ASSERT_EQUAL(std::string("request-a returned after 9000 ms, its timeout is 5000 ms"),
                         SingleViolation(input));

    input.calls = { Booking("a", "done", 1) };
    input.effects = { { "a", "" }, { "z", "" } };
    CPPUNIT_ASSERT_EQUAL(std::string("z has an effect but no call"), SingleViolation(input));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HistoryCheckerTest);

} // namespace
} // namespace sycamorepost
