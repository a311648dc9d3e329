#include "runtime/DecisionLog.h"

#include <algorithm>
#include <climits>

#include <nlohmann/json.hpp>
#include <poll.h>
#include <unistd.h>

#include "sycamorepost/Hash.h"

namespace sycamorepost {

namespace {

// At 400 bytes per line, holds about one second of failure lines of an entry at the target load.
constexpr std::size_t kMaxBufferedBytes = 256 * 1024;

} // namespace

DecisionLog::DecisionLog(std::string aProcess, std::uint32_t aSampleOneIn, int aDescriptor)
  : process(std::move(aProcess))
  , sampleOneIn(aSampleOneIn)
  , descriptor(aDescriptor)
{
}

bool
DecisionLog::ShouldLog(const LogDecision& aDecision) const
{
  return aDecision.isFailure || aDecision.requestId.empty() ||
         RendezvousWeight(0, aDecision.requestId) % this->sampleOneIn == 0;
}

void
DecisionLog::Write(const LogDecision& aDecision, std::int64_t aUnixMs)
{
  if (!this->ShouldLog(aDecision)) {
    return;
  }
  nlohmann::ordered_json line{ { "ts_ms", aUnixMs },
                               { "process", this->process },
                               { "decision", aDecision.decision } };
  if (!aDecision.requestId.empty()) {
    line["request"] = aDecision.requestId;
  }
  for (const Field& field : aDecision.fields) {
    line[field.first] = field.second;
  }
  const std::string text =
    line.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace) + "\n";
  if (this->buffer.size() + text.size() > kMaxBufferedBytes) {
    ++this->dropped;
    return;
  }
  if (this->dropped > this->reportedDropped) {
    const nlohmann::ordered_json notice{ { "ts_ms", aUnixMs },
                                         { "process", this->process },
                                         { "decision", "log-dropped" },
                                         { "lines", this->dropped - this->reportedDropped } };
    this->buffer += notice.dump() + "\n";
    this->reportedDropped = this->dropped;
  }
  this->buffer += text;
}

void
DecisionLog::Flush()
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

} // namespace sycamorepost
