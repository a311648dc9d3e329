// The ids of the parts of a prompt, such as a shared system prompt or a document.
#ifndef SYCAMOREPOST_FORWARD_REQUEST_PROMPT_PARTS_H_
#define SYCAMOREPOST_FORWARD_REQUEST_PROMPT_PARTS_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace sycamorepost {

// The parts of a prompt that are considered. A prompt has few; the rest of a longer list is
// ignored.
inline constexpr std::size_t kMaxPromptParts = 64;

// Ids of parts, sorted and without duplicates.
using PartSet = std::vector<std::uint64_t>;

// Sorts ids and removes duplicates.
PartSet
MakePartSet(std::vector<std::uint64_t> aIds);

// Returns the id that a text of at most 16 hexadecimal digits spells; the hash of any other text.
std::uint64_t
ParsePartId(std::string_view aText);

// Formats ids as hexadecimal numbers with commas between them, for the log.
std::string
FormatParts(const PartSet& aParts);

} // namespace sycamorepost

#endif // SYCAMOREPOST_FORWARD_REQUEST_PROMPT_PARTS_H_
