// Declares the log of a process's own events, such as its start, its stop and the dependencies that
// it loses and regains.
#ifndef SYCAMOREPOST_RUNTIME_PROCESS_LOG_H_
#define SYCAMOREPOST_RUNTIME_PROCESS_LOG_H_

#include <cstdint>
#include <mutex>

#include <glog/logging.h>

#include "runtime/LogOutput.h"

namespace sycamorepost {

// Writes the lines of glog to a descriptor, in glog's format, without ever blocking the thread that
// logs: a log collector that stands still must not stop the process. While it exists, glog itself
// writes nothing but the message of a fatal error.
class ProcessLog : public google::LogSink
{
public:
  // Initializes glog. There may be one ProcessLog at a time.
  explicit ProcessLog(const char* aProgram, int aDescriptor = 2);
  ~ProcessLog() override;
  ProcessLog(const ProcessLog&) = delete;
  ProcessLog& operator=(const ProcessLog&) = delete;

  // Writes what was buffered as far as possible; send() does so with each line, too.
  void Flush();

  std::uint64_t DroppedLines() const;

  void send(google::LogSeverity aSeverity,
            const char* aPath,
            const char* aFile,
            int aLine,
            const google::LogMessageTime& aTime,
            const char* aMessage,
            std::size_t aSize) override;

private:
  mutable std::mutex mutex; // Any thread may log.
  LogOutput output;
};

} // namespace sycamorepost

#endif // SYCAMOREPOST_RUNTIME_PROCESS_LOG_H_
