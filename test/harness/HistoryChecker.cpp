#include "HistoryChecker.h"

#include <algorithm>
#include <map>
#include <set>

namespace sycamorepost::harness {

namespace {

using load::CallKind;
using load::CallRecord;

// The calls and the number of effects of one idempotency key.
struct KeyHistory
{
  std::vector<CallRecord> calls;
  std::size_t effects = 0;
};

void
CheckCall(const CallRecord& aCall, Duration aMargin, std::vector<std::string>& aViolations)
{
  const Duration elapsed = aCall.endedAt - aCall.sentAt;
  if (elapsed > aCall.timeout + aMargin) {
    aViolations.push_back(aCall.requestId + " returned after " + std::to_string(ToMillis(elapsed)) +
                          " ms, its timeout is " + std::to_string(ToMillis(aCall.timeout)) + " ms");
  }
  if (aCall.outcome == "done" && !aCall.isComplete) {
    aViolations.push_back(aCall.requestId + " was reported done without its complete response");
  }
}

void
CheckKey(const std::string& aKey, const KeyHistory& aHistory, std::vector<std::string>& aViolations)
{
  std::set<std::string> responses;
  bool allNotRun = true;
  const CallRecord* lastCall = nullptr;
  for (const CallRecord& call : aHistory.calls) {
    allNotRun = allNotRun && call.outcome == "not-run";
    if (call.outcome == "done") {
      responses.insert(call.response);
    }
    if (!lastCall || call.endedAt > lastCall->endedAt) {
      lastCall = &call;
    }
  }
  if (aHistory.calls.empty()) {
    aViolations.push_back(aKey + " has an effect but no call");
    return;
  }
  if (aHistory.effects > 1) {
    aViolations.push_back(aKey + " has " + std::to_string(aHistory.effects) + " effects");
  }
  if (responses.size() > 1) {
    aViolations.push_back(aKey + " has " + std::to_string(responses.size()) +
                          " different responses");
  }
  if (!responses.empty() && aHistory.effects == 0) {
    aViolations.push_back(aKey + " was reported done without an effect");
  }
  if (aHistory.effects > 0 && allNotRun) {
    aViolations.push_back(aKey + " has an effect although every call was reported not-run");
  } else if (aHistory.effects > 0 && lastCall->outcome == "not-run") {
    aViolations.push_back(aKey + " has an effect although the last call was reported not-run");
  }
}

} // namespace

std::vector<std::string>
CheckHistory(const CheckInput& aInput)
{
  std::vector<std::string> violations;
  std::map<std::string, KeyHistory> keys;
  for (const CallRecord& call : aInput.calls) {
    CheckCall(call, aInput.margin, violations);
    if (call.kind == CallKind::Booking) {
      keys[call.idempotencyKey].calls.push_back(call);
    }
  }
  for (const Effect& effect : aInput.effects) {
    ++keys[effect.key].effects;
  }
  for (const auto& [key, history] : keys) {
    CheckKey(key, history, violations);
  }
  return violations;
}

} // namespace sycamorepost::harness
