#include "sycamorepost/AccountTable.h"

#include <algorithm>
#include <numeric>

namespace sycamorepost {

namespace {

std::optional<std::uint8_t>
HexDigit(char aDigit)
{
  if (aDigit >= '0' && aDigit <= '9') {
    return static_cast<std::uint8_t>(aDigit - '0');
  }
  if (aDigit >= 'a' && aDigit <= 'f') {
    return static_cast<std::uint8_t>(aDigit - 'a' + 10);
  }
  return std::nullopt;
}

std::string
RawBytes(const KeyDigest& aDigest)
{
  return { aDigest.begin(), aDigest.end() };
}

} // namespace

std::optional<KeyDigest>
ParseKeyDigest(std::string_view aText)
{
  KeyDigest digest{};
  if (aText.size() != 2 * digest.size()) {
    return std::nullopt;
  }
  for (std::size_t i = 0; i < digest.size(); ++i) {
    const auto high = HexDigit(aText[2 * i]);
    const auto low = HexDigit(aText[2 * i + 1]);
    if (!high || !low) {
      return std::nullopt;
    }
    digest.at(i) = static_cast<std::uint8_t>(*high << 4U | *low);
  }
  return digest;
}

std::optional<std::string>
AccountTable::Add(AccountRule aRule, const std::vector<KeyDigest>& aKeys)
{
  const auto index = static_cast<std::uint32_t>(this->accounts.size());
  if (!this->byName.emplace(aRule.name, index).second) {
    return "account '" + aRule.name + "' is defined twice";
  }
  for (const KeyDigest& key : aKeys) {
    const auto [owner, added] = this->byKey.emplace(RawBytes(key), index);
    if (!added) {
      const std::string other =
        owner->second == index ? aRule.name : this->accounts[owner->second].name;
      this->byName.erase(aRule.name);
      return "the key of account '" + aRule.name + "' already belongs to account '" + other + "'";
    }
    this->keys.push_back({ key, index });
  }
  this->accounts.push_back(std::move(aRule));
  return std::nullopt;
}

bool
AccountTable::CutOff(const std::string& aName)
{
  const auto found = this->byName.find(aName);
  if (found == this->byName.end()) {
    return false;
  }
  this->accounts[found->second].cutoff = true;
  return true;
}

void
AccountTable::Seal()
{
  std::vector<std::uint32_t> order(this->accounts.size());
  std::iota(order.begin(), order.end(), 0);
  std::sort(order.begin(), order.end(), [this](std::uint32_t aLeft, std::uint32_t aRight) {
    return this->accounts[aLeft].name < this->accounts[aRight].name;
  });
  std::vector<std::uint32_t> newIndex(order.size());
  std::vector<AccountRule> sorted;
  sorted.reserve(order.size());
  for (const std::uint32_t index : order) {
    newIndex[index] = static_cast<std::uint32_t>(sorted.size());
    sorted.push_back(std::move(this->accounts[index]));
  }
  this->accounts = std::move(sorted);
  for (KeyEntry& key : this->keys) {
    key.account = newIndex[key.account];
  }
  std::sort(
    this->keys.begin(), this->keys.end(), [](const KeyEntry& aLeft, const KeyEntry& aRight) {
      return aLeft.digest < aRight.digest;
    });
  this->keys.shrink_to_fit();
  this->byName = {};
  this->byKey = {};
}

const AccountRule*
AccountTable::Find(std::string_view aName) const
{
  const auto found = std::lower_bound(
    this->accounts.begin(),
    this->accounts.end(),
    aName,
    [](const AccountRule& aRule, std::string_view aWanted) { return aRule.name < aWanted; });
  return found != this->accounts.end() && found->name == aName ? &*found : nullptr;
}

const AccountRule*
AccountTable::FindByKey(std::string_view aDigest) const
{
  const auto digest = ParseKeyDigest(aDigest);
  if (!digest) {
    return nullptr;
  }
  const auto found = std::lower_bound(
    this->keys.begin(),
    this->keys.end(),
    *digest,
    [](const KeyEntry& aKey, const KeyDigest& aWanted) { return aKey.digest < aWanted; });
  const bool known = found != this->keys.end() && found->digest == *digest;
  return known ? &this->accounts[found->account] : nullptr;
}

} // namespace sycamorepost
