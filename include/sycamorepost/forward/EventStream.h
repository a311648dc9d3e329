// Offers the cutting of an event stream into whole events with their ids.
#ifndef SYCAMOREPOST_FORWARD_EVENT_STREAM_H_
#define SYCAMOREPOST_FORWARD_EVENT_STREAM_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sycamorepost {

// One whole event as it came, its closing empty line included.
struct StreamEvent
{
  std::optional<std::uint64_t> id;
  std::string bytes;
};

// Cuts bytes into events. A half event stays inside and is lost with the reader.
class EventStreamReader
{
public:
  // Adds bytes and returns the events that are whole now.
  std::vector<StreamEvent> Add(std::string_view aBytes);

  // Returns whether no part of an event is left inside.
  bool Empty() const { return this->rest.empty(); }

private:
  std::string rest;
};

} // namespace sycamorepost

#endif // SYCAMOREPOST_FORWARD_EVENT_STREAM_H_
