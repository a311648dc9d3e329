// Declares the entry process beside sidecars. It translates callers' HTTP requests to events of
// EntryReducer, which makes all decisions, and the reducer's effects to messages and HTTP
// responses.
#ifndef SYCAMOREPOST_RUNTIME_ENTRY_DAEMON_H_
#define SYCAMOREPOST_RUNTIME_ENTRY_DAEMON_H_

#include <deque>
#include <map>
#include <memory>

#include "adapters/CompletionApi.h"
#include "runtime/Node.h"
#include "sycamorepost/EntryReducer.h"

namespace sycamorepost {

// The entry daemon.
class EntryDaemon
{
public:
  explicit EntryDaemon(const EntrySettings& aSettings);

  // Runs until SIGTERM or SIGINT, then drains. Returns the exit status of the process.
  int Run();

private:
  // The parts of a response that the reducer has produced and the caller's session has not yet
  // sent.
  struct PendingResponse
  {
    explicit PendingResponse(asio::io_context& aContext)
      : changed(aContext)
    {
    }

    std::deque<ResponseText> texts;
    std::optional<ResponseEnd> end;
    asio::steady_timer changed; // Cancelled to resume the session's coroutine.
  };

  // The state of one caller's request.
  struct CallerSession
  {
    std::uint64_t handle = 0;
    std::string requestId;
    Instant startedAt;
    std::optional<CompletionRequest> completion;
    std::shared_ptr<PendingResponse> pending;
  };

  void Step(const EntryEvent& aEvent);
  template<typename Effect>
  void Execute(Effect& aEffect);
  void Execute(ResponseText& aText);
  void Execute(ResponseEnd& aEnd);
  void OnTerminate();
  asio::awaitable<void> Drain();

  asio::awaitable<void> Serve(HttpRequest aRequest, HttpExchange& aExchange);
  asio::awaitable<void> ServeModels(const std::string& aRequestId, HttpExchange& aExchange);
  bool BuildRequest(const HttpRequest& aRequest,
                    CallerSession& aSession,
                    CallerRequest& aCall,
                    ResponseEnd& aRefusal);
  asio::awaitable<void> DeliverResponse(CallerSession& aSession, HttpExchange& aExchange);
  asio::awaitable<void> DeliverStream(CallerSession& aSession, HttpExchange& aExchange);
  asio::awaitable<void> DeliverBuffered(CallerSession& aSession, HttpExchange& aExchange);
  asio::awaitable<void> WaitForChange(CallerSession& aSession);
  asio::awaitable<void>
  SendError(const std::string& aRequestId, const ResponseEnd& aEnd, HttpExchange& aExchange);
  asio::awaitable<void>
  SendFullResponse(CallerSession& aSession, const std::string& aText, HttpExchange& aExchange);
  void RecordFirstToken(const CallerSession& aSession);

  EntrySettings settings;
  MemoryLedger ledger; // Outlives the node, whose coroutines have accounts in it.
  Node node;
  EntryReducer reducer;
  HttpServer server;
  std::shared_ptr<const RuleSet> rules = std::make_shared<const RuleSet>();
  bool rulesKnown = false;
  bool fleetKnown = false;
  bool draining = false;
  std::uint64_t lastHandle = 0;
  std::map<std::uint64_t, std::shared_ptr<PendingResponse>> pendingResponses;
};

} // namespace sycamorepost

#endif // SYCAMOREPOST_RUNTIME_ENTRY_DAEMON_H_
