// Declares the HTTP client of the model engine next to a sidecar.
#ifndef SYCAMOREPOST_ADAPTERS_ENGINE_CLIENT_H_
#define SYCAMOREPOST_ADAPTERS_ENGINE_CLIENT_H_

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "net/Http.h"
#include "sycamorepost/SidecarReducer.h"

namespace sycamorepost {

// Client of one engine. Calls return at once; their results are reported to the event sink on the
// io_context's thread.
class EngineClient
{
public:
  using EventSink = std::function<void(const SidecarEvent&)>;

  EngineClient(asio::io_context& aContext, std::string aAddress, EventSink aSink)
    : context(aContext)
    , address(std::move(aAddress))
    , sink(std::move(aSink))
  {
  }

  // Starts a run. Reports its text as EngineText events and its end as one EngineEnded event. A run
  // whose response is malformed or lacks text is lost.
  void Run(EngineRun aRun);

  // Cancels a run and stops its events. A cancel request that fails is not retried.
  void Cancel(std::uint64_t aRun);

  // Sends an exported KV cache to the engine, which keeps it. Reports EngineImported.
  void ImportKvCache(EngineImport aImport);

  // Has the engine free an imported KV cache. A request that fails is not retried.
  void FreeKvCache(std::uint64_t aReservation);

  // Requests the engine's load report. Always reports an EngineReport, also when the engine is down
  // or unresponsive.
  void RequestLoadReport();

private:
  struct RunProgress;

  asio::awaitable<void> RunCompletion(EngineRun aRun, std::shared_ptr<HttpStream> aStream);
  asio::awaitable<EngineEnded> ReadResponse(EngineRun aRun, std::shared_ptr<HttpStream> aStream);
  void HandleLine(const EngineRun& aRun, const std::string& aLine, RunProgress& aProgress);
  asio::awaitable<void> SendDelete(std::string aPath);
  asio::awaitable<void> SendImport(EngineImport aImport);
  asio::awaitable<void> FetchLoadReport();

  asio::io_context& context;
  std::string address;
  EventSink sink;
  std::map<std::uint64_t, std::shared_ptr<HttpStream>> streams;
};

} // namespace sycamorepost

#endif // SYCAMOREPOST_ADAPTERS_ENGINE_CLIENT_H_
