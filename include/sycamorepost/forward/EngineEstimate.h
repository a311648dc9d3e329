// Offers the time that a model engine needs, worked out from its published cost figures.
#ifndef SYCAMOREPOST_FORWARD_ENGINE_ESTIMATE_H_
#define SYCAMOREPOST_FORWARD_ENGINE_ESTIMATE_H_

#include "sycamorepost/forward/RouteTable.h"

namespace sycamorepost {

// Returns the milliseconds for reading a prompt on one engine.
double
EstimateReadMs(const EngineTraits& aTraits, double aPromptTokens);

// Returns the milliseconds of one pass with a number of writing requests and their whole context,
// without any reading.
double
EstimatePassMs(const EngineTraits& aTraits, double aDecodingRequests, double aContextTokens);

} // namespace sycamorepost

#endif // SYCAMOREPOST_FORWARD_ENGINE_ESTIMATE_H_
