// Declares the part that the entry beside sidecars and the sidecar have in common: the io_context,
// the message bus, the clients of the platform's services, the rules, the metrics and the admin
// server.
#ifndef SYCAMOREPOST_RUNTIME_NODE_H_
#define SYCAMOREPOST_RUNTIME_NODE_H_

#include <functional>
#include <memory>
#include <string>

#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json_fwd.hpp>

#include "adapters/LogClient.h"
#include "adapters/VmList.h"
#include "net/Clock.h"
#include "net/Http.h"
#include "net/PeerBus.h"
#include "runtime/AdminPages.h"
#include "runtime/Metrics.h"
#include "runtime/RuleFollower.h"
#include "runtime/Settings.h"

namespace sycamorepost {

// The callbacks of a daemon. They run on the node's io_context.
struct NodeHooks
{
  std::function<void(Envelope)> onMessage;
  std::function<void(PeerUnreachable)> onUnreachable;
  std::function<void(RulesChanged)> onRules;
  std::function<void(FleetChanged)> onFleet;
  std::function<void()> onTerminate;
  std::function<bool()> ready;
  std::function<nlohmann::json()> dump;
};

// Returns a random number that identifies one run of a process; it differs at each start.
std::uint64_t
MakeIncarnation();

// The common part of the two daemons; each owns one.
class Node
{
public:
  Node(const NodeSettings& aSettings, NodeHooks aHooks);

  // Starts listening and following the rules and the fleet. Returns false and sets aReason if an
  // address cannot be bound.
  bool Start(std::string& aReason);

  // Runs the io_context until Stop() is called.
  void Run() { this->context.run(); }
  void Stop() { this->context.stop(); }

  // Calls aWake once at an instant, replacing the call armed before. Without an instant, only
  // cancels that one.
  void ArmWake(std::optional<Instant> aAt, std::function<void()> aWake);

  asio::io_context& Context() { return this->context; }
  PeerBus& Bus() { return this->bus; }
  LogClient& Log() { return this->log; }
  Metrics& ProcessMetrics() { return this->metrics; }
  std::uint64_t Incarnation() const { return this->incarnation; }

  // Executes an effect that both daemons have in common. Returns false for any other effect.
  template<typename Effect>
  bool Execute(Effect& aEffect)
  {
    if constexpr (std::is_same_v<Effect, SendMessage>) {
      this->bus.Send(
        aEffect.to, aEffect.toIncarnation, std::move(aEffect.message), std::move(aEffect.body));
      return true;
    } else if constexpr (std::is_same_v<Effect, ResetConnection>) {
      this->bus.Reconnect(aEffect.peer);
      return true;
    } else if constexpr (std::is_same_v<Effect, CountEvent>) {
      this->metrics.Count(aEffect.name, aEffect.label, aEffect.amount);
      return true;
    } else if constexpr (std::is_same_v<Effect, LogLine>) {
      this->WriteLog(aEffect.text);
      return true;
    } else {
      return false;
    }
  }

private:
  asio::awaitable<void> PollFleet();
  asio::awaitable<void> RunHousekeeping();
  nlohmann::json MakeDump();
  std::string FormatMetrics();
  void WriteLog(const std::string& aText);

  NodeSettings settings;
  NodeHooks hooks;
  asio::io_context context{ 1 };
  std::uint64_t incarnation;
  Metrics metrics;
  PeerBus bus;
  LogClient log;
  VmList vmList;
  RuleFollower rules;
  AdminSource pages;
  HttpServer admin;
  asio::signal_set signals;
  asio::steady_timer wakeTimer;
};

} // namespace sycamorepost

#endif // SYCAMOREPOST_RUNTIME_NODE_H_
