// Offers the model engine: run a completion, cancel it, ask for the load report.
#ifndef SYCAMOREPOST_ADAPTERS_ENGINE_CLIENT_H_
#define SYCAMOREPOST_ADAPTERS_ENGINE_CLIENT_H_

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "net/Http.h"
#include "sycamorepost/SidecarReducer.h"

namespace sycamorepost {

// The client of one engine.
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

  // Runs a completion; text and the end come through the sink.
  void Run(EngineRun aRun);

  // Cancels a run; no event follows.
  void Cancel(std::uint64_t aRun);

  // Has the engine hold a KV cache; the end comes through the sink.
  void Import(EngineImport aImport);

  // Has the engine free a held KV cache.
  void Free(std::uint64_t aReservation);

  // Asks for the load report, which comes through the sink.
  void Check();

private:
  asio::awaitable<void> RunCompletion(EngineRun aRun, std::shared_ptr<HttpStream> aStream);
  asio::awaitable<EngineEnded> ReadResponse(EngineRun aRun, std::shared_ptr<HttpStream> aStream);
  bool HandleLine(const EngineRun& aRun, const std::string& aLine, EngineEnded& aEnded);
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
