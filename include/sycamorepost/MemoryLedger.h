// Declares the account of the memory that callers make a process hold: requests that arrive, bodies
// of requests that run, and responses that wait to be sent. It does no I/O and reads no clock.
#ifndef SYCAMOREPOST_MEMORY_LEDGER_H_
#define SYCAMOREPOST_MEMORY_LEDGER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <vector>

#include "sycamorepost/Types.h"

namespace sycamorepost {

// Shares one capacity among accounts. The sum of all accounts never exceeds it. When it is short,
// accounts of incomplete requests are evicted for one that grows. An eighth of the capacity is kept
// for accounts of up to kSmallBytes, so that small requests are served while large ones are
// refused.
class MemoryLedger
{
public:
  static constexpr std::uint64_t kSmallBytes = 64ULL * 1024;

  class Account;

  explicit MemoryLedger(std::uint64_t aCapacity)
    : capacity(aCapacity)
  {
  }

  MemoryLedger(const MemoryLedger&) = delete;
  MemoryLedger& operator=(const MemoryLedger&) = delete;

  std::uint64_t Capacity() const { return this->capacity; }

  // Returns the sum of all accounts in bytes.
  std::uint64_t Used() const { return this->used; }

  // Returns the most that one account can be granted while no other holds anything.
  std::uint64_t LargestAccount() const { return this->capacity - this->capacity / 8; }

private:
  bool Reserve(Account& aAccount, std::uint64_t aBytes, Instant aNow);
  Account* FindVictim(const Account& aNewcomer, Instant aNow) const;

  std::uint64_t capacity;
  std::uint64_t used = 0;
  std::uint64_t evictableBytes = 0;
  std::vector<Account*> evictable; // Accounts of incomplete requests.
};

// What one holder has reserved. It releases its bytes when it is destroyed, and must not outlive
// its ledger. Without a ledger it grants everything.
class MemoryLedger::Account
{
public:
  // aOnEvicted is called when the account, while evictable, is evicted. It must not use the ledger.
  explicit Account(MemoryLedger* aLedger, std::function<void()> aOnEvicted = nullptr)
    : ledger(aLedger)
    , onEvicted(std::move(aOnEvicted))
  {
  }

  ~Account();
  Account(const Account&) = delete;
  Account& operator=(const Account&) = delete;

  // Grows the account, which counts as progress of its request. Returns false, and changes nothing,
  // if the capacity is short even after evictions.
  bool Reserve(std::uint64_t aBytes, Instant aNow);

  // Shrinks the account by at most what it holds.
  void Release(std::uint64_t aBytes);

  // Moves at most what this account holds to another account of the same ledger.
  void Transfer(Account& aReceiver, std::uint64_t aBytes);

  // Marks the account as that of an incomplete request, which may be evicted.
  void BeginRequest(Instant aNow);

  // Marks the account as that of a complete request, or of none. It is not evicted.
  void EndRequest();

  std::uint64_t Bytes() const { return this->bytes; }

  // Returns whether the account was evicted. It holds nothing since, and is granted nothing.
  bool IsEvicted() const { return this->isEvicted; }

private:
  friend class MemoryLedger;

  void Evict();
  void Resize(std::uint64_t aBytes);

  static constexpr std::size_t kNotEvictable = SIZE_MAX;

  MemoryLedger* ledger;
  std::function<void()> onEvicted;
  std::uint64_t bytes = 0;
  Instant lastProgressAt;
  std::size_t position = kNotEvictable; // In MemoryLedger::evictable.
  bool isEvicted = false;
};

} // namespace sycamorepost

#endif // SYCAMOREPOST_MEMORY_LEDGER_H_
