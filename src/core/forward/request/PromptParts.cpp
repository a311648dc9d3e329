#include "sycamorepost/forward/request/PromptParts.h"

#include <algorithm>
#include <array>
#include <charconv>

#include "sycamorepost/Hash.h"

namespace sycamorepost {

namespace {

// The log line of a request with more parts names only the first of them.
constexpr std::size_t kMaxFormattedParts = 8;

constexpr int kHexBase = 16;

} // namespace

PartSet
MakePartSet(std::vector<std::uint64_t> aIds)
{
  std::sort(aIds.begin(), aIds.end());
  aIds.erase(std::unique(aIds.begin(), aIds.end()), aIds.end());
  return aIds;
}

std::uint64_t
ParsePartId(std::string_view aText)
{
  std::uint64_t id = 0;
  const auto [end, error] =
    std::from_chars(aText.data(), aText.data() + aText.size(), id, kHexBase);
  const bool isWhole = error == std::errc() && end == aText.data() + aText.size();
  return isWhole ? id : HashText(aText);
}

std::string
FormatParts(const PartSet& aParts)
{
  std::string text;
  const std::size_t count = std::min(aParts.size(), kMaxFormattedParts);
  for (std::size_t i = 0; i < count; ++i) {
    std::array<char, 16> digits{};
    const auto [end, error] =
      std::to_chars(digits.data(), digits.data() + digits.size(), aParts[i], kHexBase);
    text += text.empty() ? "" : ",";
    text.append(digits.data(), end);
  }
  return text + (count < aParts.size() ? ",..." : "");
}

} // namespace sycamorepost
