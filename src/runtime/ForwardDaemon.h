// Declares the forwarding entry process on the platform's machines. It translates HTTP from callers
// and targets to events of ForwardReducer, which makes all decisions, and executes its effects.
#ifndef SYCAMOREPOST_RUNTIME_FORWARD_DAEMON_H_
#define SYCAMOREPOST_RUNTIME_FORWARD_DAEMON_H_

#include <map>
#include <memory>
#include <string>

#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include "net/PeerBus.h"
#include "platform/StoreFollower.h"
#include "runtime/AdminPages.h"
#include "runtime/DecisionLog.h"
#include "runtime/Metrics.h"
#include "runtime/ProcessLog.h"
#include "runtime/Settings.h"
#include "sycamorepost/MemoryLedger.h"
#include "sycamorepost/forward/ForwardReducer.h"

namespace sycamorepost {

// The forwarding entry daemon. Its member functions are in ForwardDaemon.cpp; those of caller
// sessions and of attempts are in ForwardSessions.cpp.
class ForwardDaemon
{
public:
  // The settings file at aSettingsPath is read again at each SIGHUP.
  // aProcessLog must outlive the daemon.
  ForwardDaemon(ForwardSettings aSettings, std::string aSettingsPath, ProcessLog& aProcessLog);

  // Runs until SIGTERM or SIGINT, then drains. Returns the exit status of the process.
  int Run();

private:
  // A caller's request, with the parts of its response that the reducer has produced and that are
  // not yet sent.
  struct Session
  {
    Session(asio::io_context& aContext, MemoryLedger& aLedger)
      : unsentAccount(&aLedger)
      , changed(aContext)
      , written(aContext)
    {
    }

    std::shared_ptr<const ForwardRequest> request;
    Instant startedAt;
    std::optional<BeginResponse> begin;
    std::optional<SendResponse> response;
    std::string unsentBytes;
    // Holds the response or the unsent bytes, and the piece that is being sent.
    MemoryLedger::Account unsentAccount;
    bool isComplete = false;
    bool isAborted = false;
    asio::steady_timer changed; // Cancelled to resume the session's coroutine.
    asio::steady_timer written; // Cancelled when unsent bytes were taken to be sent.
  };

  void Step(const ForwardEvent& aEvent);
  void ArmWake();
  void Execute(StartAttempt& aStart);
  void Execute(CancelAttempt& aCancel);
  void Execute(BeginResponse& aBegin);
  void Execute(WriteResponse& aWrite);
  void Execute(CompleteResponse& aComplete);
  void Execute(AbortResponse& aAbort);
  void Execute(SendResponse& aResponse);
  void Execute(SendReservationCommand& aCommand);
  void Execute(BroadcastLoad& aBroadcast);
  void Execute(SendDomainLoad& aSend);
  void Execute(BroadcastAbort& aBroadcast);
  void Execute(BroadcastLeaving& aBroadcast);
  void Execute(CheckTarget& aCheck);
  void Execute(BroadcastCrash& aBroadcast);
  void Execute(BroadcastQuarantine& aBroadcast);
  void Execute(RequestConfiguration& aRequest);
  void Execute(CountEvent& aCount);
  void Execute(LogDecision& aDecision);
  bool HoldUnsent(Session& aSession, std::size_t aBytes);
  Session* FindSession(std::uint64_t aHandle);

  void EndSession(std::uint64_t aHandle);
  asio::awaitable<void> Serve(HttpRequest aRequest, HttpExchange& aExchange);
  asio::awaitable<void> DeliverResponse(Session& aSession, HttpExchange& aExchange);
  asio::awaitable<void> DeliverStream(Session& aSession, HttpExchange& aExchange);
  asio::awaitable<void> WaitForChange(Session& aSession);
  asio::awaitable<void> RunAttempt(std::uint64_t aAttempt,
                                   HttpCall aCall,
                                   std::shared_ptr<Session> aSession,
                                   std::shared_ptr<HttpStream> aStream);
  asio::awaitable<void> AwaitCaller(std::uint64_t aAttempt, Session& aSession);
  asio::awaitable<void> RunCheck(CheckTarget aCheck);
  asio::awaitable<void> RunReservationCommand(SendReservationCommand aCommand);

  void OnMessage(const Envelope& aEnvelope);
  void AcceptStoreReport(const StoreReport& aReport, const std::string& aPeer);
  void SendConfiguration(const std::string& aPeer, std::uint64_t aKnownVersion);
  void AcceptPeerConfiguration(std::uint64_t aVersion,
                               const std::string& aBody,
                               const std::string& aPeer);
  void OnRoutes(const std::shared_ptr<const RouteTable>& aTable, const std::string& aText);
  void OnEntries(const std::map<std::string, RegisteredEntry>& aEntries);
  void WaitForSignal();
  void Reload();
  asio::awaitable<void> Drain();
  asio::awaitable<void> RunHousekeeping();
  std::string FormatMetrics();
  nlohmann::json MakeDump();

  ForwardSettings settings;
  std::string settingsPath;
  ProcessLog& processLog;
  MemoryLedger ledger; // Outlives the context, whose coroutines have accounts in it.
  asio::io_context context{ 1 };
  std::uint64_t incarnation;
  Metrics metrics;
  DecisionLog log;
  ForwardReducer reducer;
  PeerBus bus;
  platform::StoreFollower follower;
  HttpServer server;
  AdminSource pages;
  HttpServer admin;
  asio::signal_set signals;
  asio::steady_timer wakeTimer;
  Instant wakeAt = Instant::max();
  bool draining = false;
  bool wasReady = false;
  std::uint64_t lastHandle = 0;
  std::map<std::uint64_t, std::shared_ptr<Session>> sessions;    // By handle.
  std::map<std::uint64_t, std::shared_ptr<HttpStream>> attempts; // By attempt ID.
  std::shared_ptr<const RouteTable> table;
  std::string configuration; // The text in force, sent to peers that cannot reach the store.
  SharedBody compressedConfiguration; // The same, as peers get it; null until one asks for it.
};

} // namespace sycamorepost

#endif // SYCAMOREPOST_RUNTIME_FORWARD_DAEMON_H_
