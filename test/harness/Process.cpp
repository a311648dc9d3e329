#include "Process.h"

#include <stdexcept>
#include <thread>
#include <utility>

#include <csignal>
#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

namespace sycamorepost::harness {

Process::Process(Process&& aOther) noexcept
  : pid(std::exchange(aOther.pid, 0))
{
}

Process&
Process::operator=(Process&& aOther) noexcept
{
  std::swap(this->pid, aOther.pid);
  return *this;
}

Process::~Process()
{
  this->Kill();
}

Process
Process::Start(const std::vector<std::string>& aCommand, const std::string& aOutputPath)
{
  std::vector<char*> arguments;
  for (const std::string& word : aCommand) {
    arguments.push_back(const_cast<char*>(word.c_str()));
  }
  arguments.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(
    &actions, STDOUT_FILENO, aOutputPath.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  Process process;
  const int result =
    posix_spawn(&process.pid, arguments[0], &actions, nullptr, arguments.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  if (result != 0) {
    process.pid = 0;
    throw std::runtime_error("cannot start the program " + aCommand[0]);
  }
  return process;
}

void
Process::Signal(int aSignal) const
{
  if (this->pid > 0) {
    kill(this->pid, aSignal);
  }
}

void
Process::Kill()
{
  if (this->pid > 0) {
    kill(this->pid, SIGKILL);
    waitpid(this->pid, nullptr, 0);
    this->pid = 0;
  }
}

std::optional<int>
Process::WaitForExit(std::chrono::milliseconds aTimeout)
{
  const auto until = std::chrono::steady_clock::now() + aTimeout;
  while (this->pid > 0) {
    int status = 0;
    if (waitpid(this->pid, &status, WNOHANG) == this->pid) {
      this->pid = 0;
      return WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
    }
    if (std::chrono::steady_clock::now() >= until) {
      return std::nullopt;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  return std::nullopt;
}

bool
Process::IsRunning()
{
  return this->pid > 0 && waitpid(this->pid, nullptr, WNOHANG) == 0;
}

} // namespace sycamorepost::harness
