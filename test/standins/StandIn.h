// Shared code of the stand-ins: a single-threaded HTTP server, JSON responses and parsing of JSON
// bodies.
#ifndef SYCAMOREPOST_TEST_STANDINS_STAND_IN_H_
#define SYCAMOREPOST_TEST_STANDINS_STAND_IN_H_

#include <chrono>
#include <cstdio>
#include <string>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

#include "net/Clock.h"
#include "net/Http.h"

namespace sycamorepost::standin {

inline constexpr auto kTuple = asio::as_tuple(asio::use_awaitable);

// Sends a JSON response, with further header fields. Returns false when the connection failed.
inline asio::awaitable<bool>
RespondJson(HttpExchange& aExchange,
            int aStatus,
            nlohmann::json aJson,
            std::vector<Field> aFields = {})
{
  std::vector<Field> fields = std::move(aFields);
  fields.emplace_back("Content-Type", "application/json");
  co_return co_await aExchange.Respond(aStatus, std::move(fields), MakeBody(aJson.dump()));
}

// Sends an error response, with the reason as its JSON body.
inline asio::awaitable<bool>
RespondError(HttpExchange& aExchange, int aStatus, std::string aReason)
{
  const nlohmann::json json{ { "error", std::move(aReason) } };
  co_return co_await RespondJson(aExchange, aStatus, json);
}

// Parses a JSON body. Returns an empty object unless the body is a valid JSON object.
inline nlohmann::json
ParseBody(const HttpRequest& aRequest)
{
  nlohmann::json json = nlohmann::json::parse(*aRequest.body, nullptr, false);
  return json.is_object() ? json : nlohmann::json::object();
}

// Serves requests until SIGTERM or SIGINT. Returns the exit status of the program.
inline int
RunStandIn(asio::io_context& aContext, const std::string& aListen, HttpHandler aHandler)
{
  HttpLimits limits;
  limits.bodyBytes = 256ULL * 1024 * 1024;
  HttpServer server(aContext, limits, std::move(aHandler));
  const auto endpoint = ParseEndpoint(aListen);
  std::string reason = "not a valid ip:port";
  if (!endpoint || !server.Listen(*endpoint, reason)) {
    std::fprintf(stderr, "cannot listen on '%s': %s\n", aListen.c_str(), reason.c_str());
    return 1;
  }
  asio::signal_set signals(aContext, SIGTERM, SIGINT);
  signals.async_wait([&aContext](beast::error_code, int) { aContext.stop(); });
  aContext.run();
  return 0;
}

// Runs a stand-in until SIGTERM or SIGINT. Service is constructed from an io_context and handles
// each request in Serve(request, exchange). Returns the exit status of the program.
template<typename Service>
int
RunService(const std::string& aListen)
{
  asio::io_context context(1);
  Service service(context);
  return RunStandIn(context, aListen, [&service](HttpRequest aRequest, HttpExchange& aExchange) {
    return service.Serve(std::move(aRequest), aExchange);
  });
}

} // namespace sycamorepost::standin

#endif // SYCAMOREPOST_TEST_STANDINS_STAND_IN_H_
