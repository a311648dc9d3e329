// A parser that splits a server-sent event stream into complete events and their ids.
#ifndef SYCAMOREPOST_FORWARD_REQUEST_EVENT_STREAM_H_
#define SYCAMOREPOST_FORWARD_REQUEST_EVENT_STREAM_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sycamorepost {

// One complete event as received, including its terminating empty line.
struct StreamEvent
{
  std::optional<std::uint64_t> id;
  bool isComment = false; // All of its lines are comments, which begin with a colon.
  std::string bytes;
};

// Splits bytes into events. An incomplete event stays buffered and is lost with the parser.
class EventStreamParser
{
public:
  // Appends bytes and returns the events that they complete.
  std::vector<StreamEvent> Feed(std::string_view aBytes);

  // Returns whether no incomplete event is buffered.
  bool IsEmpty() const { return this->buffer.empty(); }

  // Returns the size of the buffered incomplete event.
  std::size_t BufferedBytes() const { return this->buffer.size(); }

private:
  std::string buffer;
};

} // namespace sycamorepost

#endif // SYCAMOREPOST_FORWARD_REQUEST_EVENT_STREAM_H_
