#include "runtime/ProcessLog.h"

#include <csignal>
#include <string>

namespace sycamorepost {

ProcessLog::ProcessLog(const char* aProgram, int aDescriptor)
  : output(aDescriptor)
{
  // A collector that has ended must not end this process.
  std::signal(SIGPIPE, SIG_IGN);
  FLAGS_logtostderr = false;
  FLAGS_stderrthreshold = google::GLOG_FATAL;
  google::InitGoogleLogging(aProgram);
  for (int severity = 0; severity < google::NUM_SEVERITIES; ++severity) {
    google::SetLogDestination(severity, ""); // No log files.
  }
  google::AddLogSink(this);
}

ProcessLog::~ProcessLog()
{
  google::RemoveLogSink(this);
  google::ShutdownGoogleLogging();
  this->Flush();
}

void
ProcessLog::Flush()
{
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->output.Flush();
}

std::uint64_t
ProcessLog::DroppedLines() const
{
  const std::lock_guard<std::mutex> lock(this->mutex);
  return this->output.DroppedLines();
}

void
ProcessLog::send(google::LogSeverity aSeverity,
                 const char* /*aPath*/,
                 const char* aFile,
                 int aLine,
                 const google::LogMessageTime& aTime,
                 const char* aMessage,
                 std::size_t aSize)
{
  const std::string line =
    google::LogSink::ToString(aSeverity, aFile, aLine, aTime, aMessage, aSize) + "\n";
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->output.Flush();
  if (this->output.Append(line)) {
    if (const std::uint64_t dropped = this->output.TakeDropped()) {
      this->output.Append(std::to_string(dropped) + " lines of this log were dropped\n");
    }
  }
  this->output.Flush();
}

} // namespace sycamorepost
