// Declares a child process of a test. It signals and kills only the process that it started.
#ifndef SYCAMOREPOST_TEST_HARNESS_PROCESS_H_
#define SYCAMOREPOST_TEST_HARNESS_PROCESS_H_

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include <sys/types.h>

namespace sycamorepost::harness {

// A child process. The destructor kills it and waits for its exit.
class Process
{
public:
  Process() = default;
  Process(Process&& aOther) noexcept;
  Process& operator=(Process&& aOther) noexcept;
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;
  ~Process();

  // Starts a program and appends its standard output and standard error to a file. Throws
  // std::runtime_error if the program cannot be started.
  static Process Start(const std::vector<std::string>& aCommand, const std::string& aOutputPath);

  // Sends a signal to the process, if there is one.
  void Signal(int aSignal) const;

  // Kills the process with SIGKILL and waits for its exit.
  void Kill();

  // Waits for the process to exit. Returns its exit status, or 128 plus the signal that ended it;
  // nothing after the timeout or if there is no process.
  std::optional<int> WaitForExit(std::chrono::milliseconds aTimeout);

  // Returns whether the process is running. It also collects a process that has exited.
  bool IsRunning();

  // Returns the process id, 0 if no process was started or its exit was collected by Kill or
  // WaitForExit.
  pid_t Pid() const { return this->pid; }

private:
  pid_t pid = 0;
};

} // namespace sycamorepost::harness

#endif // SYCAMOREPOST_TEST_HARNESS_PROCESS_H_
