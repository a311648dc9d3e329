#include "runtime/LogOutput.h"

#include <algorithm>
#include <climits>
#include <utility>

#include <poll.h>
#include <unistd.h>

namespace sycamorepost {

namespace {

// At 400 bytes per line, holds about one second of failure lines of an entry at the target load.
constexpr std::size_t kMaxBufferedBytes = 256 * 1024;

} // namespace

bool
LogOutput::Append(std::string_view aLine)
{
  if (this->buffer.size() + aLine.size() > kMaxBufferedBytes) {
    ++this->dropped;
    return false;
  }
  this->buffer += aLine;
  return true;
}

void
LogOutput::Flush()
{
  std::size_t written = 0;
  while (written < this->buffer.size()) {
    pollfd ready{ .fd = this->descriptor, .events = POLLOUT, .revents = 0 };
    if (poll(&ready, 1, 0) != 1 || (ready.revents & POLLOUT) == 0) {
      break;
    }
    // A pipe that polls as writable accepts PIPE_BUF bytes without blocking.
    const std::size_t size = std::min<std::size_t>(this->buffer.size() - written, PIPE_BUF);
    const ssize_t accepted = write(this->descriptor, this->buffer.data() + written, size);
    if (accepted <= 0) {
      break;
    }
    written += static_cast<std::size_t>(accepted);
  }
  this->buffer.erase(0, written);
}

std::uint64_t
LogOutput::TakeDropped()
{
  const std::uint64_t before = std::exchange(this->reportedDropped, this->dropped);
  return this->dropped - before;
}

} // namespace sycamorepost
