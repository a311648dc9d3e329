// Declares the structured log of decisions: one JSON object per line on standard output. Writing
// never blocks: lines are buffered up to a fixed size, and lines beyond it are dropped, counted and
// reported in the log.
#ifndef SYCAMOREPOST_RUNTIME_DECISION_LOG_H_
#define SYCAMOREPOST_RUNTIME_DECISION_LOG_H_

#include <cstdint>
#include <string>

#include "runtime/LogOutput.h"
#include "sycamorepost/forward/ForwardReducer.h"

namespace sycamorepost {

// The decision log of one process.
class DecisionLog
{
public:
  DecisionLog(std::string aProcess, std::uint32_t aSampleOneIn, int aDescriptor = 1);

  // Buffers a line. Failures and lines without a request ID are always logged, other lines only for
  // a sample of the requests. The sample depends on the request ID alone, so all processes log the
  // same requests. aUnixMs is the time of the decision in milliseconds since the Unix epoch.
  void Write(const LogDecision& aDecision, std::int64_t aUnixMs);

  // Writes as much of the buffer as the descriptor accepts without blocking.
  void Flush() { this->output.Flush(); }

  std::uint64_t DroppedLines() const { return this->output.DroppedLines(); }
  std::size_t BufferedBytes() const { return this->output.BufferedBytes(); }

private:
  bool ShouldLog(const LogDecision& aDecision) const;

  std::string process;
  std::uint32_t sampleOneIn; // One request in this many is sampled.
  LogOutput output;
};

} // namespace sycamorepost

#endif // SYCAMOREPOST_RUNTIME_DECISION_LOG_H_
