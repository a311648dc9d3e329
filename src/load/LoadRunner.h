// Declares the load generator: a seeded open loop that sends its calls on schedule, however slowly
// the system responds, and records every call.
#ifndef SYCAMOREPOST_LOAD_LOAD_RUNNER_H_
#define SYCAMOREPOST_LOAD_LOAD_RUNNER_H_

#include <memory>
#include <random>

#include "load/LoadPlan.h"
#include "net/Http.h"

namespace sycamorepost::load {

// Runs one load on an io_context. The history is complete when IsRunning() returns false.
class LoadRunner
{
public:
  LoadRunner(asio::io_context& aContext, LoadPlan aPlan);

  // Starts sending. Returns at once; the calls run on the io_context.
  void Start();

  // Returns whether calls are still to be sent or in flight.
  bool IsRunning() const { return this->sending || this->inFlight > 0; }

  const History& Records() const { return this->history; }
  std::size_t InFlight() const { return this->inFlight; }

private:
  // A call that is about to be sent.
  struct PlannedCall
  {
    CallRecord record;
    std::string prompt;
    std::uint32_t outputTokens = 0;
    std::string body;
  };

  asio::awaitable<void> SendCalls();
  PlannedCall DrawCall(Duration aScheduled);
  void DrawCompletion(PlannedCall& aCall);
  std::string DrawPrompt(std::uint32_t aTokens);
  const LoadAccount& DrawAccount();
  double DrawUniform();
  asio::awaitable<void> RunCall(PlannedCall aCall);
  asio::awaitable<void> RunCompletion(PlannedCall aCall);
  asio::awaitable<void> RunBooking(PlannedCall aCall);
  asio::awaitable<bool> SendPlainCall(PlannedCall& aCall);
  HttpCall MakeCall(const PlannedCall& aCall) const;
  Duration Elapsed() const;
  std::string PickOtherEntry(const std::string& aEntry);

  asio::io_context& context;
  LoadPlan plan;
  std::mt19937_64 random;
  std::chrono::steady_clock::time_point startedAt;
  std::uint64_t sequence = 0;
  std::size_t inFlight = 0;
  bool sending = false;
  History history;
};

// Runs a load to its end, blocking the thread, and returns its history.
History
RunLoad(const LoadPlan& aPlan);

} // namespace sycamorepost::load

#endif // SYCAMOREPOST_LOAD_LOAD_RUNNER_H_
