// The table of client accounts, compact enough to hold tens of thousands in every process.
#ifndef SYCAMOREPOST_ACCOUNT_TABLE_H_
#define SYCAMOREPOST_ACCOUNT_TABLE_H_

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace sycamorepost {

// One client account.
struct AccountRule
{
  std::string name;
  double weight = 1;                 // Scheduling weight under contention, relative to others.
  double requestsPerSecond = 0;      // Requests per second, deployment-wide; 0 means no limit.
  std::uint64_t tokensPerMinute = 0; // Prompt and output tokens per minute; 0 means no limit.
  std::uint32_t maxConcurrency = 0;  // Requests in flight, deployment-wide; 0 means no limit.
  bool cutoff = false;               // The account is cut off: every request is refused.
};

// A SHA-256 digest of a bearer key.
using KeyDigest = std::array<std::uint8_t, 32>;

// Parses 64 lower-case hexadecimal digits; returns nullopt for any other text.
std::optional<KeyDigest>
ParseKeyDigest(std::string_view aText);

// Maps account names and bearer keys to accounts. It is built with Add() and CutOff() while rules
// are parsed, then sealed, and read-only from there on.
class AccountTable
{
public:
  // Adds an account with its keys. Returns an error message if its name or one of its keys is
  // already in use, otherwise nullopt. Only before Seal().
  std::optional<std::string> Add(AccountRule aRule, const std::vector<KeyDigest>& aKeys);

  // Marks an account as cut off; returns false if no account has that name. Only before Seal().
  bool CutOff(const std::string& aName);

  // Sorts the table for binary search and frees the indexes that only Add() and CutOff() use.
  void Seal();

  // Returns the account of that name, or null. Only after Seal().
  const AccountRule* Find(std::string_view aName) const;

  // Returns the account that owns the key with this hexadecimal SHA-256 digest, or null. Only after
  // Seal().
  const AccountRule* FindByKey(std::string_view aDigest) const;

  std::size_t Size() const { return this->accounts.size(); }

private:
  struct KeyEntry
  {
    KeyDigest digest;
    std::uint32_t account = 0;
  };

  std::vector<AccountRule> accounts;                     // Sorted by name once sealed.
  std::vector<KeyEntry> keys;                            // Sorted by digest once sealed.
  std::unordered_map<std::string, std::uint32_t> byName; // Only before Seal().
  std::unordered_map<std::string, std::uint32_t> byKey;  // By raw digest bytes; only before Seal().
};

} // namespace sycamorepost

#endif // SYCAMOREPOST_ACCOUNT_TABLE_H_
