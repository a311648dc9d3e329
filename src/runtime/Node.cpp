#include "runtime/Node.h"

#include <random>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <glog/logging.h>
#include <nlohmann/json.hpp>

namespace sycamorepost {

namespace {

constexpr Duration kFleetPollInterval = std::chrono::milliseconds(2000);
constexpr Duration kHousekeepingInterval = std::chrono::seconds(10);

} // namespace

std::uint64_t
MakeIncarnation()
{
  std::random_device device;
  return (std::uint64_t{ device() } << 32) | device();
}

Node::Node(const NodeSettings& aSettings, NodeHooks aHooks)
  : settings(aSettings)
  , hooks(std::move(aHooks))
  , incarnation(MakeIncarnation())
  , bus(
      this->context,
      aSettings.address,
      this->incarnation,
      [this](Envelope aEnvelope) {
        if (!this->rules.OnMessage(aEnvelope)) {
          this->hooks.onMessage(std::move(aEnvelope));
        }
      },
      [this](const std::string& aPeer) { this->hooks.onUnreachable({ aPeer }); })
  , log(aSettings.logAddress)
  , vmList(aSettings.vmListAddress)
  , rules(
      this->context,
      this->log,
      this->bus,
      [this] {
        std::vector<std::string> peers = this->vmList.View().entries;
        for (const TargetInfo& target : this->vmList.View().targets) {
          peers.push_back(target.address);
        }
        std::erase(peers, this->settings.address);
        return peers;
      },
      [this](RulesChanged aChanged) { this->hooks.onRules(std::move(aChanged)); },
      this->incarnation)
  , pages{ [this] { return this->hooks.ready(); },
           [this] { return this->FormatMetrics(); },
           [this] { return this->MakeDump(); },
           {} }
  , admin(this->context,
          kAdminLimits,
          [this](HttpRequest aRequest, HttpExchange& aExchange) {
            return ServeAdminPage(this->pages, std::move(aRequest), aExchange);
          })
  , signals(this->context, SIGTERM, SIGINT)
  , wakeTimer(this->context)
{
}

bool
Node::Start(std::string& aReason)
{
  if (!this->bus.Listen(this->settings.listenAddress, aReason)) {
    aReason = "cannot listen on " + this->settings.listenAddress + ": " + aReason;
    return false;
  }
  if (!this->admin.Listen(*ParseEndpoint(this->settings.adminAddress), aReason)) {
    aReason = "cannot listen on " + this->settings.adminAddress + ": " + aReason;
    return false;
  }
  this->signals.async_wait([this](beast::error_code aError, int /*aSignal*/) {
    if (!aError) {
      LOG(INFO) << "[node] received a termination signal";
      this->hooks.onTerminate();
    }
  });
  asio::co_spawn(this->context, this->PollFleet(), asio::detached);
  asio::co_spawn(this->context, this->RunHousekeeping(), asio::detached);
  this->rules.Start();
  return true;
}

void
Node::ArmWake(std::optional<Instant> aAt, std::function<void()> aWake)
{
  if (!aAt) {
    this->wakeTimer.cancel();
    return;
  }
  ArmTimer(this->wakeTimer, *aAt);
  this->wakeTimer.async_wait([wake = std::move(aWake)](beast::error_code aError) {
    if (!aError) {
      wake();
    }
  });
}

asio::awaitable<void>
Node::PollFleet()
{
  asio::steady_timer timer(this->context);
  while (true) {
    const bool changed = co_await this->vmList.Poll();
    if (changed) {
      this->hooks.onFleet({ this->vmList.View() });
    }
    timer.expires_after(kFleetPollInterval);
    co_await timer.async_wait(asio::use_awaitable);
  }
}

asio::awaitable<void>
Node::RunHousekeeping()
{
  asio::steady_timer timer(this->context);
  while (true) {
    timer.expires_after(kHousekeepingInterval);
    co_await timer.async_wait(asio::use_awaitable);
    this->bus.CloseIdleConnections();
  }
}

nlohmann::json
Node::MakeDump()
{
  nlohmann::json json = this->hooks.dump();
  json["incarnation"] = this->incarnation;
  json["rules_text_bytes"] = this->rules.Store().Text().size();
  json["peer_links"] = this->bus.Connections();
  return json;
}

std::string
Node::FormatMetrics()
{
  std::string text = this->metrics.Format();
  for (std::size_t i = 0; i < kMessageNames.size(); ++i) {
    const TrafficCount& count = this->bus.Traffic().at(i);
    const std::string label = "{kind=\"" + std::string(kMessageNames.at(i)) + "\"} ";
    text += "sycamorepost_sent_messages_total" + label + std::to_string(count.messages) + "\n";
    text +=
      "sycamorepost_sent_header_bytes_total" + label + std::to_string(count.headerBytes) + "\n";
    text += "sycamorepost_sent_body_bytes_total" + label + std::to_string(count.bodyBytes) + "\n";
  }
  for (const auto& [address, traffic] : FetchTraffic()) {
    const std::string label = "{kind=\"" + address + "\"} ";
    text += "sycamorepost_http_calls_total" + label + std::to_string(traffic.calls) + "\n";
    text += "sycamorepost_http_sent_bytes_total" + label + std::to_string(traffic.sentBytes) + "\n";
    text += "sycamorepost_http_received_bytes_total" + label +
            std::to_string(traffic.receivedBytes) + "\n";
  }
  text += "sycamorepost_dropped_messages_total " + std::to_string(this->bus.Dropped()) + "\n";
  text += "sycamorepost_rules_version " + std::to_string(this->rules.Store().Version()) + "\n";
  return text;
}

void
Node::WriteLog(const std::string& aText)
{
  LOG(INFO) << "[core] " << aText;
}

} // namespace sycamorepost
