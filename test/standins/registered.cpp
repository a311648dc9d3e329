// Stand-in of a target on the platform. It registers itself in the store, responds to plain calls
// or with resumable streams of events with ids, and accepts reservations of KV memory.
#include <fstream>
#include <map>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <gflags/gflags.h>

#include "StandIn.h"
#include "platform/StoreClient.h"
#include "sycamorepost/internal/Text.h"

DEFINE_string(listen, "", "The ip:port to listen on and to register.");
DEFINE_string(store, "", "The store's ip:port.");
DEFINE_string(name, "", "The instance's name.");
DEFINE_string(service, "", "The service's name.");
DEFINE_string(domain, "", "The failure domain.");
DEFINE_string(effects, "", "A file to which the id of each executed request is appended.");
DEFINE_bool(engine, false, "Respond with a stream of events.");
DEFINE_uint64(memory, 300'000, "KV memory in tokens.");
DEFINE_uint64(events, 12, "Number of events in a stream.");
DEFINE_int64(event_ms, 15, "Gap between two events, in milliseconds.");

namespace sycamorepost::standin {
namespace {

constexpr auto kHeartbeatInterval = std::chrono::milliseconds(400);
constexpr const char* kRequestId = "X-Sycamorepost-Request-Id";
constexpr const char* kExpectedInstance = "X-Sycamorepost-Expected-Instance";
constexpr const char* kResponseSignature = "X-Sycamorepost-Response-Signature";
constexpr const char* kNotExecuted = "X-Sycamorepost-Not-Executed";
constexpr const char* kHelpers = "X-Sycamorepost-Helpers";
constexpr const char* kTokenCounts = "X-Sycamorepost-Token-Counts";

struct Reservation
{
  std::uint64_t tokens = 0;
  Instant expiresAt;
};

class RegisteredTarget
{
public:
  explicit RegisteredTarget(asio::io_context& aContext)
    : context(aContext)
    , store(FLAGS_store)
  {
    asio::co_spawn(aContext, this->RenewRegistration(), asio::detached);
  }

  asio::awaitable<void> Serve(HttpRequest aRequest, HttpExchange& aExchange)
  {
    const std::string path = aRequest.Path();
    if (path == "/faults") {
      const nlohmann::json json = ParseBody(aRequest);
      this->abortAfterEvents = json.value("break_after", std::uint64_t{ 0 });
      this->state = json.value("draining", false) ? "draining" : "ready";
      this->isLeaving = json.value("leaving", false);
      this->retryAfter = json.value("retry_after", "");
      this->isEndless = json.value("endless", false);
      this->callDuration = std::chrono::milliseconds(json.value("call_ms", 0));
      this->crashingPart = json.value("crash_on", "");
      co_await RespondJson(aExchange, 200, nlohmann::json::object());
    } else if (path == "/report") {
      co_await this->Report(aExchange);
    } else if (path == "/order") {
      co_await this->HandleReservationCommand(aRequest, aExchange);
    } else if (aRequest.Field(kExpectedInstance) != FLAGS_name) {
      co_await this->Refuse(421, aRequest, aExchange);
    } else {
      co_await this->Run(aRequest, aExchange);
    }
  }

private:
  // Renews the registration at each heartbeat, as the platform's targets do.
  asio::awaitable<void> RenewRegistration()
  {
    for (std::uint64_t sequence = 1;; ++sequence) {
      const nlohmann::json registration{ { "Service", FLAGS_service },
                                         { "Address", FLAGS_listen },
                                         { "Zone", FLAGS_domain },
                                         { "Version", 1 },
                                         { "Slots", 16 },
                                         { "State", this->state },
                                         { "ColdRemainingMs", 0 },
                                         { "Seq", sequence },
                                         { "born", this->startedAtUnixMs } };
      std::vector<platform::StoreRecord> records{ { FLAGS_name, registration.dump() } };
      // A failed append is retried at the next heartbeat.
      co_await this->store.Append("keyed.servers", std::move(records));
      co_await Sleep(this->context, kHeartbeatInterval);
    }
  }

  std::uint64_t ReservedTokens()
  {
    std::erase_if(this->reservations,
                  [](const auto& aItem) { return aItem.second.expiresAt < Now(); });
    std::uint64_t tokens = 0;
    for (const auto& [name, reservation] : this->reservations) {
      tokens += reservation.tokens;
    }
    return tokens;
  }

  asio::awaitable<void> Report(HttpExchange& aExchange)
  {
    const std::uint64_t reserved = this->ReservedTokens();
    nlohmann::json tickets = nlohmann::json::array();
    for (const auto& [name, reservation] : this->reservations) {
      tickets.push_back({ { "Id", name }, { "Tokens", reservation.tokens }, { "State", "held" } });
    }
    const nlohmann::json report{ { "Stage", "prefill_decode" },    { "NumRunning", this->running },
                                 { "KvUsed", reserved },           { "KvTotal", FLAGS_memory },
                                 { "Refused", this->refusals },    { "Served", this->served },
                                 { "Tickets", std::move(tickets) } };
    co_await RespondJson(aExchange, 200, report);
  }

  asio::awaitable<void> HandleReservationCommand(const HttpRequest& aRequest,
                                                 HttpExchange& aExchange)
  {
    const nlohmann::json command = ParseBody(aRequest);
    const std::string operation = command.value("Operation", "");
    const std::string name = command.value("Id", "");
    int status = 200;
    if (operation == "release") {
      this->reservations.erase(name);
    } else if (operation == "reserve") {
      const std::uint64_t tokens = command.value("Tokens", std::uint64_t{ 0 });
      const auto duration = std::chrono::milliseconds(command.value("HoldMs", 0));
      const std::uint64_t otherTokens = this->ReservedTokens() - this->reservations[name].tokens;
      if (otherTokens + tokens <= FLAGS_memory) {
        this->reservations[name] = { tokens, Now() + duration };
      } else {
        this->reservations.erase(name);
        status = 409;
      }
    } else {
      status = 400;
    }
    const nlohmann::json response{ { "FreeSlots", FLAGS_memory - this->ReservedTokens() } };
    co_await RespondJson(aExchange, status, response);
  }

  std::vector<Field> ResponseFields(const HttpRequest& aRequest) const
  {
    std::vector<Field> fields{ { kRequestId, aRequest.Field(kRequestId) },
                               { kResponseSignature, "sig-" + FLAGS_name } };
    if (this->isLeaving) {
      fields.emplace_back("Server-Leaving", "1");
    }
    return fields;
  }

  asio::awaitable<void> Refuse(int aStatus, const HttpRequest& aRequest, HttpExchange& aExchange)
  {
    std::vector<Field> fields = this->ResponseFields(aRequest);
    fields.emplace_back(kNotExecuted, "1");
    fields.emplace_back("At-Server", FLAGS_listen);
    if (!this->retryAfter.empty()) {
      fields.emplace_back("Retry-After", this->retryAfter);
    }
    co_await aExchange.Respond(aStatus, std::move(fields), MakeBody(""));
  }

  asio::awaitable<void> Run(const HttpRequest& aRequest, HttpExchange& aExchange)
  {
    const auto tokenCounts = internal::SplitCommas(aRequest.Field(kTokenCounts));
    const auto promptTokens =
      tokenCounts.empty() ? 0
                          : internal::ParseNumber<std::uint64_t>(tokenCounts.front()).value_or(0);
    // A prompt that exceeds this engine's KV memory runs only with memory reserved on helpers.
    if (promptTokens > FLAGS_memory && aRequest.Field(kHelpers).find('/') == std::string::npos) {
      co_await this->Refuse(503, aRequest, aExchange);
      co_return;
    }
    if (!this->retryAfter.empty()) {
      ++this->refusals;
      co_await this->Refuse(503, aRequest, aExchange);
      co_return;
    }
    std::ofstream(FLAGS_effects, std::ios::app) << aRequest.Field(kRequestId) << "\n";
    ++this->served;
    ++this->running;
    if (FLAGS_engine) {
      co_await this->Stream(aRequest, aExchange);
    } else {
      co_await Sleep(this->context, this->callDuration);
      const nlohmann::json response{ { "target", FLAGS_name },
                                     { "account", aRequest.Field("X-Sycamorepost-Tenant") },
                                     { "key", aRequest.Field("Authorization") },
                                     { "echo", *aRequest.body } };
      co_await aExchange.Respond(200, this->ResponseFields(aRequest), MakeBody(response.dump()));
    }
    --this->running;
  }

  asio::awaitable<void> Stream(const HttpRequest& aRequest, HttpExchange& aExchange)
  {
    const auto after = internal::ParseNumber<std::uint64_t>(aRequest.Field("Last-Event-Id"));
    std::vector<Field> fields = this->ResponseFields(aRequest);
    fields.emplace_back("Content-Type", "text/event-stream");
    bool isOpen = co_await aExchange.BeginStream(200, std::move(fields));
    const std::uint64_t firstId = after ? *after + 1 : 0;
    if (!this->crashingPart.empty() &&
        aRequest.Field("X-Sycamorepost-Prompt-Prefix").find(this->crashingPart) !=
          std::string::npos) {
      std::_Exit(1);
    }
    for (std::uint64_t id = firstId; isOpen && this->isEndless; ++id) {
      static constexpr std::size_t kEventBytes = 64 * 1024;
      isOpen = co_await aExchange.Write("id: " + std::to_string(id) +
                                        "\ndata: " + std::string(kEventBytes, 'x') + "\n\n");
    }
    for (std::uint64_t id = firstId; isOpen && id < FLAGS_events; ++id) {
      if (this->abortAfterEvents > 0 && id >= this->abortAfterEvents) {
        co_await aExchange.Write("id: " + std::to_string(id)); // An incomplete event.
        aExchange.DisableKeepAlive();
        co_return;
      }
      co_await Sleep(this->context, std::chrono::milliseconds(FLAGS_event_ms));
      std::string event = "id: " + std::to_string(id) + "\ndata: e" + std::to_string(id) + "\n\n";
      isOpen = co_await aExchange.Write(std::move(event));
    }
    if (isOpen) {
      co_await aExchange.EndStream({});
    }
  }

  asio::io_context& context;
  platform::StoreClient store;
  std::string state = "ready";
  std::int64_t startedAtUnixMs = std::chrono::duration_cast<std::chrono::milliseconds>(
                                   std::chrono::system_clock::now().time_since_epoch())
                                   .count();
  std::map<std::string, Reservation> reservations; // By name.
  std::uint64_t running = 0;
  std::uint64_t served = 0;
  std::uint64_t refusals = 0;
  bool isLeaving = false;                      // Announced in responses, not in the registration.
  bool isEndless = false;                      // Streams send events until their reader closes.
  std::chrono::milliseconds callDuration{ 0 }; // Of plain calls.
  std::string crashingPart; // The process ends when it decodes a prompt with this part.
  std::string retryAfter;   // Announced with refusals; when not empty, requests are refused.
  std::uint64_t abortAfterEvents = 0; // Number of events after which a stream aborts; 0 for never.
};

} // namespace
} // namespace sycamorepost::standin

int
main(int aCount, char** aArguments)
{
  gflags::ParseCommandLineFlags(&aCount, &aArguments, true);
  return sycamorepost::standin::RunService<sycamorepost::standin::RegisteredTarget>(FLAGS_listen);
}
