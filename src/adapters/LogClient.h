// Offers the platform's append-only log service: append one record, read a stream from an offset.
#ifndef SYCAMOREPOST_ADAPTERS_LOG_CLIENT_H_
#define SYCAMOREPOST_ADAPTERS_LOG_CLIENT_H_

#include <string>
#include <vector>

#include "net/Http.h"
#include "sycamorepost/SidecarReducer.h"

namespace sycamorepost {

// One record as the log returns it.
struct LogRecord
{
  std::uint64_t offset = 0;
  std::string id;
  std::string data;
  Duration age{}; // Since it was appended.
};

// The result of a read.
struct LogPage
{
  bool ok = false;
  std::vector<LogRecord> records;
  std::uint64_t next = 0; // The offset to read from next.
  std::uint64_t end = 0;  // The offset that the next append will get.
  Duration retention{};   // How long the log keeps records; zero when it does not say.
  std::string reason;     // Why it failed.
};

// The result of an append.
struct AppendReply
{
  AppendEndKind kind = AppendEndKind::Lost;
  std::uint64_t offset = 0;
  std::string reason;
};

// The client. An answer that is lost is reported as lost; whoever asked reads on to find out.
class LogClient
{
public:
  explicit LogClient(std::string aAddress)
    : address(std::move(aAddress))
  {
  }

  asio::awaitable<AppendReply>
  Append(std::string aStream, std::string aRecordId, std::string aData);
  asio::awaitable<LogPage> Read(std::string aStream, std::uint64_t aFrom, Duration aWait);

private:
  std::string address;
};

} // namespace sycamorepost

#endif // SYCAMOREPOST_ADAPTERS_LOG_CLIENT_H_
