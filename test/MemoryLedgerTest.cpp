// Tests which account MemoryLedger grows, refuses and evicts.
#include <array>
#include <memory>
#include <set>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include "sycamorepost/MemoryLedger.h"

namespace sycamorepost {
namespace {

using Account = MemoryLedger::Account;

constexpr std::uint64_t kCapacity = 8'000'000;

Instant
At(int aSeconds)
{
  return Instant(std::chrono::seconds(aSeconds));
}

class MemoryLedgerTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(MemoryLedgerTest);
  CPPUNIT_TEST(StalledLargeRequestsAreEvictedFirst);
  CPPUNIT_TEST(NothingIsEvictedForARequestThatDoesNotFitAnyway);
  CPPUNIT_TEST(SmallRequestsFitBesideLargeCompleteOnes);
  CPPUNIT_TEST(BytesFollowTheirHolder);
  CPPUNIT_TEST(AnyOrderOfOperationsKeepsTheRules);
  CPPUNIT_TEST_SUITE_END();

public:
  void StalledLargeRequestsAreEvictedFirst()
  {
    MemoryLedger ledger(kCapacity);
    std::string evicted;
    Account stalled(&ledger, [&] { evicted += "stalled "; });
    Account steady(&ledger, [&] { evicted += "steady "; });
    Account small(&ledger, [&] { evicted += "small "; });
    Account complete(&ledger, [&] { evicted += "complete "; });
    for (Account* account : { &stalled, &steady, &small, &complete }) {
      account->BeginRequest(At(0));
    }
    CPPUNIT_ASSERT(stalled.Reserve(2'000'000, At(0)));
    CPPUNIT_ASSERT(small.Reserve(1'000, At(0)));
    CPPUNIT_ASSERT(complete.Reserve(2'000'000, At(0)));
    complete.EndRequest();
    CPPUNIT_ASSERT(steady.Reserve(2'900'000, At(9)));
    Account newcomer(&ledger);
    CPPUNIT_ASSERT(newcomer.Reserve(1'000'000, At(10)));
    CPPUNIT_ASSERT_EQUAL(std::string("stalled "), evicted);
    CPPUNIT_ASSERT(stalled.IsEvicted() && !stalled.Reserve(1, At(10)));
  }

  void NothingIsEvictedForARequestThatDoesNotFitAnyway()
  {
    MemoryLedger ledger(kCapacity);
    Account complete(&ledger);
    Account incomplete(&ledger);
    incomplete.BeginRequest(At(0));
    CPPUNIT_ASSERT(complete.Reserve(4'000'000, At(0)));
    CPPUNIT_ASSERT(incomplete.Reserve(1'000'000, At(0)));
    Account newcomer(&ledger);
    CPPUNIT_ASSERT(!newcomer.Reserve(3'500'000, At(60)));
    CPPUNIT_ASSERT(!incomplete.IsEvicted());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), newcomer.Bytes());
  }

  void SmallRequestsFitBesideLargeCompleteOnes()
  {
    MemoryLedger ledger(kCapacity);
    Account large(&ledger);
    CPPUNIT_ASSERT(large.Reserve(ledger.LargestAccount(), At(0)));
    Account another(&ledger);
    CPPUNIT_ASSERT(!another.Reserve(MemoryLedger::kSmallBytes + 1, At(0)));
    CPPUNIT_ASSERT(another.Reserve(MemoryLedger::kSmallBytes, At(0)));
    CPPUNIT_ASSERT(!another.Reserve(1, At(0)));
  }

  // Guards against bytes that stay counted, or are no longer, when a body goes to its holder.
  void BytesFollowTheirHolder()
  {
    MemoryLedger ledger(kCapacity);
    {
      Account body(&ledger);
      {
        Account connection(&ledger);
        connection.BeginRequest(At(0));
        CPPUNIT_ASSERT(connection.Reserve(100'000, At(0)));
        connection.Transfer(body, 90'000);
      }
      CPPUNIT_ASSERT_EQUAL(std::uint64_t(90'000), ledger.Used());
    }
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), ledger.Used());
  }

  // The sum stays within the capacity and is that of the accounts, complete requests are never
  // evicted, and a request is granted whenever the complete ones leave it enough.
  void AnyOrderOfOperationsKeepsTheRules()
  {
    const bool holds = rc::check([] {
      MemoryLedger ledger(kCapacity);
      std::array<std::unique_ptr<Account>, 6> accounts;
      std::set<std::size_t> incomplete;
      for (int second = 0; second < 60; ++second) {
        const auto index = *rc::gen::inRange<std::size_t>(0, accounts.size());
        std::unique_ptr<Account>& account = accounts.at(index);
        const auto bytes = *rc::gen::inRange<std::uint64_t>(0, kCapacity / 2);
        if (!account || account->IsEvicted()) {
          account = std::make_unique<Account>(&ledger);
          account->BeginRequest(At(second));
          incomplete.insert(index);
        }
        std::uint64_t kept = account->Bytes();
        for (std::size_t i = 0; i < accounts.size(); ++i) {
          kept +=
            accounts.at(i) && i != index && !incomplete.contains(i) ? accounts.at(i)->Bytes() : 0;
        }
        switch (*rc::gen::inRange(0, 6)) {
          case 0:
            account->EndRequest();
            incomplete.erase(index);
            break;
          case 1:
            account.reset();
            incomplete.erase(index);
            break;
          case 2:
            account->Release(bytes);
            break;
          default:
            const bool isGranted = account->Reserve(bytes, At(second));
            const bool isLawful = isGranted || kept + bytes > ledger.LargestAccount();
            RC_ASSERT(isLawful);
        }
        std::uint64_t sum = 0;
        for (std::size_t i = 0; i < accounts.size(); ++i) {
          sum += accounts.at(i) ? accounts.at(i)->Bytes() : 0;
          const bool isKept =
            !accounts.at(i) || incomplete.contains(i) || !accounts.at(i)->IsEvicted();
          RC_ASSERT(isKept);
        }
        RC_ASSERT(sum == ledger.Used());
        RC_ASSERT(sum <= kCapacity);
      }
    });
    CPPUNIT_ASSERT(holds);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MemoryLedgerTest);

} // namespace
} // namespace sycamorepost
