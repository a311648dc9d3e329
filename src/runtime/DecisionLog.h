// Offers the structured log of decisions: one JSON object a line on standard output. Writing never
// blocks: lines wait in a buffer of fixed size, and what does not fit is counted and said.
#ifndef SYCAMOREPOST_RUNTIME_DECISION_LOG_H_
#define SYCAMOREPOST_RUNTIME_DECISION_LOG_H_

#include <cstdint>
#include <string>

#include "sycamorepost/forward/ForwardReducer.h"

namespace sycamorepost {

// The log of one process.
class DecisionLog
{
public:
  DecisionLog(std::string aProcess, std::uint32_t aSampleOneIn, int aDescriptor = 1);

  // Adds a line. Lines that tell of no failure are kept for one request in a few; all processes
  // keep those of the same requests.
  void Write(const LogDecision& aDecision, std::int64_t aUnixMs);

  // Writes as much as the reader takes at once.
  void Flush();

  std::uint64_t Dropped() const { return this->dropped; }
  std::size_t Waiting() const { return this->buffer.size(); }

private:
  bool IsKept(const LogDecision& aDecision) const;

  std::string process;
  std::uint32_t sampleOneIn; // One request in this many has its successes logged.
  int descriptor;
  std::string buffer;
  std::uint64_t dropped = 0;
  std::uint64_t droppedSaid = 0;
};

} // namespace sycamorepost

#endif // SYCAMOREPOST_RUNTIME_DECISION_LOG_H_
