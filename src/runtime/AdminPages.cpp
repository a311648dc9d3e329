#include "runtime/AdminPages.h"

#include <nlohmann/json.hpp>

namespace sycamorepost {

asio::awaitable<void>
ServeAdminPage(const AdminSource& aSource, HttpRequest aRequest, HttpExchange& aExchange)
{
  const std::string path = aRequest.Path();
  if (path == "/healthz") {
    co_await aExchange.Respond(200, {}, MakeBody("ok\n"));
  } else if (path == "/readyz") {
    const bool ready = aSource.ready();
    const int status = ready ? 200 : 503;
    const SharedBody body = MakeBody(ready ? "ready\n" : "not ready\n");
    co_await aExchange.Respond(status, {}, body);
  } else if (path == "/metrics") {
    std::vector<Field> fields{ { "Content-Type", "text/plain; version=0.0.4" } };
    co_await aExchange.Respond(200, std::move(fields), MakeBody(aSource.metrics()));
  } else if (path == "/dump") {
    std::vector<Field> fields{ { "Content-Type", "application/json" } };
    const nlohmann::json json = aSource.dump();
    std::string text = json.dump(2, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
    co_await aExchange.Respond(200, std::move(fields), MakeBody(std::move(text)));
  } else if (path == "/rules" && aSource.rules) {
    std::vector<Field> fields{ { "Content-Type", "text/plain" } };
    co_await aExchange.Respond(200, std::move(fields), MakeBody(aSource.rules()));
  } else if (path == "/where" && aSource.where) {
    AdminReply reply = aSource.where(aRequest);
    std::vector<Field> fields{ { "Content-Type", "application/json" } };
    co_await aExchange.Respond(reply.status, std::move(fields), MakeBody(std::move(reply.body)));
  } else {
    const char* pages = aSource.rules ? "/healthz, /readyz, /metrics, /dump, /rules and /where"
                                      : "/healthz, /readyz, /metrics and /dump";
    co_await aExchange.Respond(
      404, {}, MakeBody("Not found. Available paths: " + std::string(pages) + ".\n"));
  }
}

} // namespace sycamorepost
