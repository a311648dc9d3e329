#include "sycamorepost/internal/Text.h"

#include <algorithm>
#include <numeric>

namespace sycamorepost::internal {

namespace {

std::vector<std::string_view>
SplitAny(std::string_view aText, std::string_view aSeparators)
{
  std::vector<std::string_view> parts;
  std::size_t begin = aText.find_first_not_of(aSeparators);
  while (begin != std::string_view::npos) {
    const std::size_t end = std::min(aText.find_first_of(aSeparators, begin), aText.size());
    parts.push_back(aText.substr(begin, end - begin));
    begin = aText.find_first_not_of(aSeparators, end);
  }
  return parts;
}

std::size_t
EditDistance(std::string_view aLeft, std::string_view aRight)
{
  std::vector<std::size_t> row(aRight.size() + 1);
  std::iota(row.begin(), row.end(), 0);
  for (std::size_t i = 0; i < aLeft.size(); ++i) {
    std::size_t diagonal = row[0];
    row[0] = i + 1;
    for (std::size_t j = 0; j < aRight.size(); ++j) {
      const std::size_t substituted = diagonal + (aLeft[i] == aRight[j] ? 0 : 1);
      diagonal = row[j + 1];
      row[j + 1] = std::min({ substituted, row[j] + 1, row[j + 1] + 1 });
    }
  }
  return row.back();
}

} // namespace

std::vector<std::string_view>
SplitLines(std::string_view aText)
{
  std::vector<std::string_view> lines;
  while (!aText.empty()) {
    const std::size_t end = std::min(aText.find('\n'), aText.size());
    lines.push_back(aText.substr(0, end));
    aText.remove_prefix(std::min(end + 1, aText.size()));
  }
  return lines;
}

std::vector<std::string_view>
SplitWords(std::string_view aText)
{
  return SplitAny(aText, " \t\r");
}

std::vector<std::string_view>
SplitCommas(std::string_view aText)
{
  return SplitAny(aText, ",");
}

std::string_view
Trim(std::string_view aText)
{
  const std::size_t begin = aText.find_first_not_of(" \t\r");
  if (begin == std::string_view::npos) {
    return {};
  }
  const std::size_t end = aText.find_last_not_of(" \t\r");
  return aText.substr(begin, end - begin + 1);
}

std::string_view
NearestWord(std::string_view aWord, const std::vector<std::string_view>& aKnown)
{
  return *std::min_element(
    aKnown.begin(), aKnown.end(), [aWord](std::string_view aLeft, std::string_view aRight) {
      return EditDistance(aWord, aLeft) < EditDistance(aWord, aRight);
    });
}

} // namespace sycamorepost::internal
