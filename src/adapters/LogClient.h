// Declares the HTTP client of the platform's append-only log service, which keeps records in
// streams.
#ifndef SYCAMOREPOST_ADAPTERS_LOG_CLIENT_H_
#define SYCAMOREPOST_ADAPTERS_LOG_CLIENT_H_

#include <string>
#include <vector>

#include "net/Http.h"
#include "sycamorepost/SidecarReducer.h"

namespace sycamorepost {

// A record as the log returns it.
struct LogRecord
{
  std::uint64_t offset = 0;
  std::string id;
  std::string data;
  Duration age{}; // Time since the append.
};

// The result of a read.
struct LogPage
{
  bool ok = false;
  std::vector<LogRecord> records;
  std::uint64_t nextOffset = 0; // The offset of the next read.
  std::uint64_t endOffset = 0;  // The offset that the next appended record gets.
  Duration retention{}; // How long the log keeps records; zero when it does not report this.
  std::string reason;   // Why the read failed; empty on success.
};

// The result of an append.
struct AppendReply
{
  AppendEndKind kind = AppendEndKind::Lost;
  std::uint64_t offset = 0; // The record's offset, when it was appended.
  std::string reason;       // Why the record was not appended, or why that is unknown.
};

// Client of the log at an ip:port address. Calls are not retried. When an append's response is
// lost, the result is AppendEndKind::Lost, and the caller has to read the stream to learn whether
// the record was appended.
class LogClient
{
public:
  explicit LogClient(std::string aAddress)
    : address(std::move(aAddress))
  {
  }

  // Appends a record to a stream.
  asio::awaitable<AppendReply>
  Append(std::string aStream, std::string aRecordId, std::string aData);

  // Reads the records of a stream from an offset on. The log waits up to aWait for the first
  // record.
  asio::awaitable<LogPage> Read(std::string aStream, std::uint64_t aFrom, Duration aWait);

private:
  std::string address;
};

} // namespace sycamorepost

#endif // SYCAMOREPOST_ADAPTERS_LOG_CLIENT_H_
