#include "sycamorepost/MemoryLedger.h"

#include <algorithm>
#include <utility>

namespace sycamorepost {

// Evicts only if that makes enough room: the incomplete requests would otherwise be lost for
// nothing.
bool
MemoryLedger::Reserve(Account& aAccount, std::uint64_t aBytes, Instant aNow)
{
  const bool isSmall = aAccount.bytes + aBytes <= kSmallBytes;
  const std::uint64_t limit = isSmall ? this->capacity : this->LargestAccount();
  const bool isEvictable = aAccount.position != Account::kNotEvictable;
  const std::uint64_t others = this->evictableBytes - (isEvictable ? aAccount.bytes : 0);
  if (this->used - others + aBytes > limit) {
    return false;
  }
  while (this->used + aBytes > limit) {
    this->FindVictim(aAccount, aNow)->Evict();
  }
  aAccount.Resize(aAccount.bytes + aBytes);
  aAccount.lastProgressAt = aNow;
  return true;
}

// Returns the account with the largest product of its bytes and the time since its last progress,
// and of equal ones the largest. There must be one that holds something.
MemoryLedger::Account*
MemoryLedger::FindVictim(const Account& aNewcomer, Instant aNow) const
{
  const auto weight = [aNow](const Account& aAccount) {
    const auto stalled = std::chrono::duration<double>(aNow - aAccount.lastProgressAt).count();
    return std::pair(static_cast<double>(aAccount.bytes) * stalled, aAccount.bytes);
  };
  Account* victim = nullptr;
  for (Account* account : this->evictable) {
    if (account != &aNewcomer && account->bytes > 0 &&
        (!victim || weight(*account) > weight(*victim))) {
      victim = account;
    }
  }
  return victim;
}

MemoryLedger::Account::~Account()
{
  this->EndRequest();
  this->Release(this->bytes);
}

bool
MemoryLedger::Account::Reserve(std::uint64_t aBytes, Instant aNow)
{
  if (!this->ledger) {
    return true;
  }
  return !this->isEvicted && this->ledger->Reserve(*this, aBytes, aNow);
}

void
MemoryLedger::Account::Release(std::uint64_t aBytes)
{
  if (this->ledger) {
    this->Resize(this->bytes - std::min(aBytes, this->bytes));
  }
}

void
MemoryLedger::Account::Transfer(Account& aReceiver, std::uint64_t aBytes)
{
  if (this->ledger) {
    const std::uint64_t moved = std::min(aBytes, this->bytes);
    this->Resize(this->bytes - moved);
    aReceiver.Resize(aReceiver.bytes + moved);
  }
}

void
MemoryLedger::Account::BeginRequest(Instant aNow)
{
  if (!this->ledger || this->isEvicted || this->position != kNotEvictable) {
    return;
  }
  this->lastProgressAt = aNow;
  this->position = this->ledger->evictable.size();
  this->ledger->evictable.push_back(this);
  this->ledger->evictableBytes += this->bytes;
}

void
MemoryLedger::Account::EndRequest()
{
  if (this->position == kNotEvictable) {
    return;
  }
  std::vector<Account*>& evictable = this->ledger->evictable;
  evictable[this->position] = evictable.back();
  evictable[this->position]->position = this->position;
  evictable.pop_back();
  this->position = kNotEvictable;
  this->ledger->evictableBytes -= this->bytes;
}

void
MemoryLedger::Account::Evict()
{
  this->EndRequest();
  this->Resize(0);
  this->isEvicted = true;
  if (this->onEvicted) {
    this->onEvicted();
  }
}

void
MemoryLedger::Account::Resize(std::uint64_t aBytes)
{
  if (this->position != kNotEvictable) {
    this->ledger->evictableBytes += aBytes;
    this->ledger->evictableBytes -= this->bytes;
  }
  this->ledger->used += aBytes;
  this->ledger->used -= this->bytes;
  this->bytes = aBytes;
}

} // namespace sycamorepost
