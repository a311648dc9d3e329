#include "sycamorepost/forward/request/EventStream.h"

#include <algorithm>

#include "sycamorepost/internal/Text.h"

namespace sycamorepost {

namespace {

// Returns the value of an event's id line, or nothing when there is none.
std::optional<std::uint64_t>
FindId(std::string_view aEvent)
{
  static constexpr std::string_view kField = "id:";
  for (const std::string_view line : internal::SplitLines(aEvent)) {
    if (line.starts_with(kField)) {
      return internal::ParseNumber<std::uint64_t>(internal::Trim(line.substr(kField.size())));
    }
  }
  return std::nullopt;
}

bool
IsComment(std::string_view aEvent)
{
  const auto lines = internal::SplitLines(aEvent);
  return std::all_of(lines.begin(), lines.end(), [](std::string_view aLine) {
    return internal::Trim(aLine).empty() || aLine.starts_with(':');
  });
}

// Returns the offset behind the first empty line, or nothing when there is none yet.
std::optional<std::size_t>
FindEventEnd(std::string_view aText, std::size_t aFrom)
{
  const std::size_t lf = aText.find("\n\n", aFrom);
  const std::size_t crlf = aText.find("\n\r\n", aFrom);
  if (lf == std::string_view::npos && crlf == std::string_view::npos) {
    return std::nullopt;
  }
  return lf < crlf ? lf + 2 : crlf + 3;
}

} // namespace

std::vector<StreamEvent>
EventStreamParser::Feed(std::string_view aBytes)
{
  this->buffer.append(aBytes);
  std::vector<StreamEvent> events;
  std::size_t from = 0;
  while (const auto end = FindEventEnd(this->buffer, from)) {
    StreamEvent event;
    event.bytes = this->buffer.substr(from, *end - from);
    event.id = FindId(event.bytes);
    event.isComment = !event.id && IsComment(event.bytes);
    events.push_back(std::move(event));
    from = *end;
  }
  this->buffer.erase(0, from);
  return events;
}

} // namespace sycamorepost
