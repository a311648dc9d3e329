#include "sycamorepost/IdempotencyKey.h"

#include <array>

#include "sycamorepost/Hash.h"

namespace sycamorepost {

std::optional<std::int64_t>
UuidV7Time(std::string_view aKey)
{
  static constexpr std::size_t kLength = 36;
  static constexpr std::array<std::size_t, 4> kDashes{ 8, 13, 18, 23 };
  static constexpr std::size_t kVersionIndex = 14;
  if (aKey.size() != kLength || aKey[kVersionIndex] != '7') {
    return std::nullopt;
  }
  std::string digits(aKey);
  for (auto dash = kDashes.rbegin(); dash != kDashes.rend(); ++dash) {
    if (digits[*dash] != '-') {
      return std::nullopt;
    }
    digits.erase(*dash, 1);
  }
  if (digits.find_first_not_of("0123456789abcdefABCDEF") != std::string::npos) {
    return std::nullopt;
  }
  static constexpr std::size_t kTimeDigits = 12;
  static constexpr int kHex = 16;
  return std::stoll(digits.substr(0, kTimeDigits), nullptr, kHex);
}

std::string
LedgerKey(std::string_view aAccount, std::string_view aKey)
{
  std::string text(aAccount);
  text.push_back('\0');
  text.append(aKey);
  return HashHex(text);
}

std::uint32_t
ShardOf(std::string_view aLedgerKey, std::uint32_t aShards)
{
  return static_cast<std::uint32_t>(HashText(aLedgerKey) % aShards);
}

std::string
LedgerStream(std::string_view aService, std::uint32_t aShard)
{
  return "ledger." + std::string(aService) + "." + std::to_string(aShard);
}

} // namespace sycamorepost
