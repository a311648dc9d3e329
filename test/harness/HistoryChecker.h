// Declares the check of a concurrent run: the responses that callers received and the effects that
// plain services recorded must agree with the delivery guarantees.
#ifndef SYCAMOREPOST_TEST_HARNESS_HISTORY_CHECKER_H_
#define SYCAMOREPOST_TEST_HARNESS_HISTORY_CHECKER_H_

#include <string>
#include <vector>

#include "load/LoadPlan.h"

namespace sycamorepost::harness {

// A non-idempotent call that a plain service executed and recorded.
struct Effect
{
  std::string key; // The idempotency key.
  std::string body;
};

// The history of the callers and the effects to compare it with.
struct CheckInput
{
  load::History calls;
  std::vector<Effect> effects;
  Duration margin = std::chrono::seconds(2); // Added to each call's timeout.
};

// Returns one sentence for each violation:
// - a call that took longer than its timeout plus the margin;
// - a response reported done that is not complete;
// - a key with more than one effect, or with a call reported done and no effect;
// - two responses of one key reported done that differ;
// - a key with an effect although every call was reported not-run;
// - a key with an effect although the last of its calls to return was reported not-run;
// - an effect of a key that no call used.
std::vector<std::string>
CheckHistory(const CheckInput& aInput);

} // namespace sycamorepost::harness

#endif // SYCAMOREPOST_TEST_HARNESS_HISTORY_CHECKER_H_
