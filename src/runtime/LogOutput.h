// Declares the output of a log to a descriptor that may not be read for a while.
#ifndef SYCAMOREPOST_RUNTIME_LOG_OUTPUT_H_
#define SYCAMOREPOST_RUNTIME_LOG_OUTPUT_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace sycamorepost {

// Buffers lines for a descriptor up to a fixed size and drops those beyond it. Never blocks.
class LogOutput
{
public:
  explicit LogOutput(int aDescriptor)
    : descriptor(aDescriptor)
  {
  }

  // Buffers a line. Returns false, and counts the line as dropped, if there is no room.
  bool Append(std::string_view aLine);

  // Writes as much of the buffer as the descriptor accepts without blocking.
  void Flush();

  std::uint64_t DroppedLines() const { return this->dropped; }

  // Returns how many lines were dropped since the last call.
  std::uint64_t TakeDropped();

  std::size_t BufferedBytes() const { return this->buffer.size(); }

private:
  int descriptor;
  std::string buffer;
  std::uint64_t dropped = 0;
  std::uint64_t reportedDropped = 0;
};

} // namespace sycamorepost

#endif // SYCAMOREPOST_RUNTIME_LOG_OUTPUT_H_
