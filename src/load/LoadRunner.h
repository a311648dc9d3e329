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
  bool Running() const { return this->sending || this->outstanding > 0; }

  const History& Records() const { return this->history; }
  std::size_t Outstanding() const { return this->outstanding; }

private:
  // A call that is about to be sent.
  struct Plan
  {
    CallRecord record;
    std::string prompt;
    std::uint32_t answerTokens = 0;
    std::string body;
  };

  asio::awaitable<void> Send();
  Plan DrawCall(Duration aScheduled);
  void DrawCompletion(Plan& aPlan);
  std::string DrawPrompt(std::uint32_t aTokens);
  const LoadAccount& DrawAccount();
  double Uniform();
  asio::awaitable<void> RunCall(Plan aPlan);
  asio::awaitable<void> RunCompletion(Plan aPlan);
  asio::awaitable<void> RunBooking(Plan aPlan);
  asio::awaitable<bool> TryPlain(Plan& aPlan);
  HttpCall MakeCall(const Plan& aPlan) const;
  Duration Elapsed() const;
  std::string OtherEntry(const std::string& aEntry);

  asio::io_context& context;
  LoadPlan plan;
  std::mt19937_64 random;
  std::chrono::steady_clock::time_point startedAt;
  std::uint64_t sequence = 0;
  std::size_t outstanding = 0;
  bool sending = false;
  History history;
};

// Runs a load to its end, blocking the thread, and returns its history.
History
RunLoad(const LoadPlan& aPlan);

} // namespace sycamorepost::load

#endif // SYCAMOREPOST_LOAD_LOAD_RUNNER_H_
