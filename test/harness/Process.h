// Offers one child process of a test: start, signal, wait. Only processes that it started are
// ended.
#ifndef SYCAMOREPOST_TEST_HARNESS_PROCESS_H_
#define SYCAMOREPOST_TEST_HARNESS_PROCESS_H_

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include <sys/types.h>

namespace sycamorepost::harness {

// A child process. Destroying it kills it.
class Process
{
public:
  Process() = default;
  Process(Process&& aOther) noexcept;
  Process& operator=(Process&& aOther) noexcept;
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;
  ~Process();

  // Starts a program; its output is appended to a file.
  static Process Start(const std::vector<std::string>& aCommand, const std::string& aOutputPath);

  // Sends a signal if the process still runs.
  void Signal(int aSignal) const;

  // Kills the process and waits for its end.
  void Kill();

  // Waits for the end; returns the exit status, or nothing after the bound.
  std::optional<int> Wait(std::chrono::milliseconds aTimeout);

  // Returns whether it still runs.
  bool Running();

  pid_t Pid() const { return this->pid; }

private:
  pid_t pid = 0;
};

} // namespace sycamorepost::harness

#endif // SYCAMOREPOST_TEST_HARNESS_PROCESS_H_
