// Tests of the rule grammar and its errors, line deltas, and the versioned rule store under any
// order of edits.
#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include "sycamorepost/Hash.h"
#include "sycamorepost/RuleStore.h"

namespace sycamorepost {
namespace {

const std::string kKeyDigest(64, 'a');

std::string
FirstError(const std::string& aText)
{
  const RuleParseResult parse = ParseRules(aText);
  return parse.errors.empty()
           ? "no error"
           : std::to_string(parse.errors[0].line) + ": " + parse.errors[0].reason;
}

RuleEdit
MakeEdit(const std::string& aOld, const std::string& aNew, std::uint64_t aBase)
{
  RuleEdit edit;
  edit.id = "edit";
  edit.base = aBase;
  edit.delta = DiffLines(aOld, aNew);
  edit.digest = HashHex(*ApplyDelta(aOld, edit.delta));
  return edit;
}

class RulesTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(RulesTest);
  CPPUNIT_TEST(EveryVerbIsParsed);
  CPPUNIT_TEST(EveryInvalidLineIsReported);
  CPPUNIT_TEST(DeltasTurnOneTextIntoAnother);
  CPPUNIT_TEST(OnlyOneOfTwoConcurrentEditsIsAccepted);
  CPPUNIT_TEST(ReadersConvergeFromAnyFirstRecordAndNeverRevert);
  CPPUNIT_TEST(AStaleRefreshIsNeverApplied);
  CPPUNIT_TEST_SUITE_END();

public:
  void EveryVerbIsParsed()
  {
    const RuleParseResult parse = ParseRules(
      "account hall key=" + kKeyDigest +
      " weight=2 rate=5 concurrency=3 tokens=100  # J. Reed: term\n"
      "\n# a comment alone\n"
      "cutoff hall  # J. Reed: unpaid\n"
      "service book path=/book once=POST timeout=5s window=2h shards=2  # R. Lee: depot\n"
      "model quiz engines=4 version=v2 adapter=a context=4096 timeout=1m  # R. Lee: ok\n"
      "reserve hobart up-to=4000 engines=1  # R. Lee: rooms wait\n"
      "leave engine-1  # R. Lee: disk\n"
      "quarantine engine-2  # R. Lee: suspects\n"
      "fencing engine-3 number=checked  # R. Lee: it does\n"
      "policy engines order=fifo choice=round-robin retries=0.2  # R. Lee: trial\n");
    CPPUNIT_ASSERT_MESSAGE(parse.errors.empty() ? "" : parse.errors[0].reason,
                           parse.rules.has_value());
    const RuleSet& rules = *parse.rules;
    CPPUNIT_ASSERT_EQUAL(2.0, rules.accounts.Find("hall")->weight);
    CPPUNIT_ASSERT(rules.accounts.Find("hall")->cutoff);
    CPPUNIT_ASSERT_EQUAL(std::string("hall"), rules.accounts.FindByKey(kKeyDigest)->name);
    CPPUNIT_ASSERT(!rules.accounts.Find("nobody"));
    CPPUNIT_ASSERT(!rules.accounts.FindByKey(std::string(64, 'b')));
    CPPUNIT_ASSERT_EQUAL(2U, rules.services.at("book").shards);
    CPPUNIT_ASSERT_EQUAL(4096U, rules.models.at("quiz").maxContextTokens);
    CPPUNIT_ASSERT(rules.drainingTargets.contains("engine-1"));
    CPPUNIT_ASSERT(rules.checksFencingNumber.at("engine-3"));
    CPPUNIT_ASSERT_EQUAL(std::string("fifo"), rules.orderStrategy);
    CPPUNIT_ASSERT(rules.ServiceForPath("/book/7") != nullptr);
    CPPUNIT_ASSERT(rules.ServiceForPath("/other") == nullptr);
  }

  void EveryInvalidLineIsReported()
  {
    const std::string comment = "  # R. Lee: why";
    CPPUNIT_ASSERT_EQUAL(std::string("1: unknown verb 'acount'; did you mean 'account'?"),
                         FirstError("acount a key=" + kKeyDigest + comment));
    CPPUNIT_ASSERT_EQUAL(std::string("1: 'account' takes no 'wieght='; did you mean 'weight='?"),
                         FirstError("account a key=" + kKeyDigest + " wieght=2" + comment));
    CPPUNIT_ASSERT_EQUAL(std::string("1: weight=-1 is not a number above 0"),
                         FirstError("account a key=" + kKeyDigest + " weight=-1" + comment));
    CPPUNIT_ASSERT_EQUAL(std::string("1: 'service' needs path=VALUE"),
                         FirstError("service s" + comment));
    CPPUNIT_ASSERT_EQUAL(std::string("2: account 'a' is defined twice"),
                         FirstError("account a key=" + kKeyDigest + comment +
                                    "\naccount a key=" + std::string(64, 'b') + comment));
    CPPUNIT_ASSERT_EQUAL(std::string("2: the key of account 'b' already belongs to account 'a'"),
                         FirstError("account a key=" + kKeyDigest + comment +
                                    "\naccount b key=" + kKeyDigest + comment));
    CPPUNIT_ASSERT_EQUAL(
      std::string("1: the line must end in a comment that names who asked and why, such as "
                  "'# J. Reed: term ends'"),
      FirstError("leave engine-1"));
    CPPUNIT_ASSERT_EQUAL(std::string("1: a rule needs a verb and a subject"),
                         FirstError("leave" + comment));
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), ParseRules("leave\nmodel\n").errors.size());
  }

  void DeltasTurnOneTextIntoAnother()
  {
    const bool passed = rc::check("ApplyDelta yields the new text", [] {
      const auto lines = rc::gen::container<std::vector<std::string>>(
        rc::gen::element<std::string>("a", "b", "c", ""));
      const auto join = [](const std::vector<std::string>& aLines) {
        std::string text;
        for (const std::string& line : aLines) {
          text += line + "\n";
        }
        return text;
      };
      const std::string before = join(*lines);
      const std::string after = join(*lines);
      RC_ASSERT(ApplyDelta(before, DiffLines(before, after)) == after);
    });
    CPPUNIT_ASSERT(passed);
    CPPUNIT_ASSERT(!ApplyDelta("a\n", { 5, 0, {} }));
  }

  void OnlyOneOfTwoConcurrentEditsIsAccepted()
  {
    RuleStore store;
    const std::string first = "leave a  # R. Lee: one\n";
    const std::string second = "leave b  # R. Lee: two\n";
    CPPUNIT_ASSERT(store.Apply(0, MakeEdit("", first, 0)) == RuleVerdict::Accepted);
    CPPUNIT_ASSERT(store.Apply(1, MakeEdit("", second, 0)) == RuleVerdict::Conflict);
    CPPUNIT_ASSERT_EQUAL(first, store.Text());
    // An edit whose text has errors, or whose digest shows that it was corrupted in transit, is
    // rejected.
    CPPUNIT_ASSERT(store.Apply(2, MakeEdit(first, "nonsense\n", 1)) == RuleVerdict::Invalid);
    RuleEdit damaged = MakeEdit(first, second, 1);
    damaged.digest = "0";
    CPPUNIT_ASSERT(store.Apply(3, damaged) == RuleVerdict::Invalid);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), store.Version());
  }

  // Builds a random log in which operators edit any version that was in force, and lagging
  // processes append refreshes of versions that may be stale. The log is then read from every
  // offset, because retention may remove any number of its first records.
  void ReadersConvergeFromAnyFirstRecordAndNeverRevert()
  {
    const bool passed = rc::check("every reader reaches the same version", [] {
      std::vector<RuleRecord> log;
      RuleStore completeReader;
      // Versions that a lagging process may take to be in force.
      std::vector<RuleRefresh> states{ completeReader.MakeRefresh() };
      const int recordCount = *rc::gen::inRange(1, 30);
      for (int i = 0; i < recordCount; ++i) {
        const RuleRefresh seen = states[*rc::gen::inRange<std::size_t>(0, states.size())];
        if (seen.version != kNoRulesVersion && *rc::gen::inRange(0, 3) == 0) {
          log.emplace_back(seen);
        } else {
          const std::string next = seen.text + "leave t" + std::to_string(i) + "  # R. Lee: step\n";
          log.emplace_back(MakeEdit(seen.text, next, seen.version));
        }
        const std::uint64_t before = completeReader.Version();
        completeReader.Apply(log.size() - 1, log.back());
        RC_ASSERT(completeReader.Version() >= before);
        states.push_back(completeReader.MakeRefresh());
      }
      // The refresh that is appended when half of the log's retention has passed.
      log.emplace_back(completeReader.MakeRefresh());
      for (std::size_t first = 0; first < log.size(); ++first) {
        RuleStore lateReader;
        std::uint64_t before = 0;
        for (std::size_t offset = first; offset < log.size(); ++offset) {
          lateReader.Apply(offset, log[offset]);
          RC_ASSERT(lateReader.Version() >= before);
          RC_ASSERT(lateReader.Version() <= completeReader.Version());
          before = lateReader.Version();
        }
        RC_ASSERT(lateReader.Version() == completeReader.Version());
        RC_ASSERT(lateReader.Text() == completeReader.Text());
      }
    });
    CPPUNIT_ASSERT(passed);
  }

  void AStaleRefreshIsNeverApplied()
  {
    RuleStore store;
    const std::string first = "leave a  # R. Lee: one\n";
    const std::string second = "leave b  # R. Lee: two\n";
    store.Apply(0, MakeEdit("", first, 0));
    store.Apply(1, MakeEdit(first, second, 1));
    CPPUNIT_ASSERT(store.Apply(2, RuleRefresh{ 1, 1, first }) == RuleVerdict::StaleRefresh);
    CPPUNIT_ASSERT(!store.ApplyRefresh({ 1, 1, first }));
    CPPUNIT_ASSERT(!store.ApplyRefresh({ 1, 9, first }));
    CPPUNIT_ASSERT_EQUAL(second, store.Text());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RulesTest);

} // namespace
} // namespace sycamorepost
