#include "runtime/DecisionLog.h"

#include <nlohmann/json.hpp>

#include "sycamorepost/Hash.h"

namespace sycamorepost {

DecisionLog::DecisionLog(std::string aProcess, std::uint32_t aSampleOneIn, int aDescriptor)
  : process(std::move(aProcess))
  , sampleOneIn(aSampleOneIn)
  , output(aDescriptor)
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
  if (!this->output.Append(text)) {
    return;
  }
  if (const std::uint64_t dropped = this->output.TakeDropped()) {
    const nlohmann::ordered_json notice{ { "ts_ms", aUnixMs },
                                         { "process", this->process },
                                         { "decision", "log-dropped" },
                                         { "lines", dropped } };
    this->output.Append(notice.dump() + "\n");
  }
}

} // namespace sycamorepost
