// Declares text functions used throughout the core.
#ifndef SYCAMOREPOST_INTERNAL_TEXT_H_
#define SYCAMOREPOST_INTERNAL_TEXT_H_

#include <charconv>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sycamorepost::internal {

// Parses a number; returns nothing unless the whole text is one number in range.
template<typename Number>
std::optional<Number>
ParseNumber(std::string_view aText)
{
  Number value{};
  const auto [end, error] = std::from_chars(aText.data(), aText.data() + aText.size(), value);
  if (error != std::errc() || end != aText.data() + aText.size()) {
    return std::nullopt;
  }
  return value;
}

// Splits a text at each newline. A final newline adds no empty line.
std::vector<std::string_view>
SplitLines(std::string_view aText);

// Splits a text at runs of spaces, tabs and carriage returns.
std::vector<std::string_view>
SplitWords(std::string_view aText);

// Splits a text at commas; empty parts are omitted.
std::vector<std::string_view>
SplitCommas(std::string_view aText);

// Removes spaces, tabs and carriage returns at both ends.
std::string_view
Trim(std::string_view aText);

// Returns the known word with the smallest edit distance to a word. aKnown must not be empty.
std::string_view
NearestWord(std::string_view aWord, const std::vector<std::string_view>& aKnown);

} // namespace sycamorepost::internal

#endif // SYCAMOREPOST_INTERNAL_TEXT_H_
