// Estimates of the time that a model engine needs, computed from its published cost figures.
#ifndef SYCAMOREPOST_FORWARD_LOAD_ENGINE_ESTIMATE_H_
#define SYCAMOREPOST_FORWARD_LOAD_ENGINE_ESTIMATE_H_

#include "sycamorepost/forward/admission/RouteTable.h"

namespace sycamorepost {

// Returns the milliseconds that one engine needs to prefill a prompt.
double
EstimatePrefillMs(const EngineTraits& aTraits, double aPromptTokens);

// Returns the milliseconds of one pass over a number of decoding requests with the given context
// tokens in total, without any prefill. The time is 0 when nothing is decoded.
double
EstimatePassMs(const EngineTraits& aTraits, double aDecodingRequests, double aContextTokens);

} // namespace sycamorepost

#endif // SYCAMOREPOST_FORWARD_LOAD_ENGINE_ESTIMATE_H_
