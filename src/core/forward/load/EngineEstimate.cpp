#include "sycamorepost/forward/load/EngineEstimate.h"

namespace sycamorepost {

double
EstimatePrefillMs(const EngineTraits& aTraits, double aPromptTokens)
{
  static constexpr double kMillion = 1e6;
  const double pairs = aPromptTokens * aPromptTokens / 2;
  return aPromptTokens / aTraits.prefillTokensPerMs +
         pairs / kMillion * aTraits.prefillMsPerMillionPairs;
}

double
EstimatePassMs(const EngineTraits& aTraits, double aDecodingRequests, double aContextTokens)
{
  if (aDecodingRequests <= 0) {
    return 0;
  }
  static constexpr double kThousand = 1e3;
  const double step = aTraits.stepMs + aDecodingRequests * aTraits.stepMsPerSequence +
                      aContextTokens / kThousand * aTraits.stepMsPerThousandTokens;
  return step * aTraits.stepsPerPass;
}

} // namespace sycamorepost
