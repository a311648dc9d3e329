// Declares the admin HTTP endpoints that every daemon serves: health, readiness, metrics, dump and,
// in forwarding entries, rules and where.
#ifndef SYCAMOREPOST_RUNTIME_ADMIN_PAGES_H_
#define SYCAMOREPOST_RUNTIME_ADMIN_PAGES_H_

#include <functional>
#include <string>

#include <nlohmann/json_fwd.hpp>

#include "net/Http.h"

namespace sycamorepost {

// The response of an endpoint that depends on the request.
struct AdminReply
{
  int status = 200;
  std::string body; // JSON.
};

// Provides the content of the admin endpoints.
struct AdminSource
{
  std::function<bool()> ready;          // Decides between 200 and 503 for /readyz.
  std::function<std::string()> metrics; // Prometheus text.
  std::function<nlohmann::json()> dump;
  // Text for /rules and the response for /where; if empty, the paths do not exist.
  std::function<std::string()> rules;
  std::function<AdminReply(const HttpRequest&)> where;
};

// The limits of an admin address: its requests have no body, and come from the balancer and a few
// operators.
inline constexpr HttpLimits kAdminLimits{ .bodyBytes = 4096,
                                          .connections = 64,
                                          .headerTimeout = std::chrono::seconds(5),
                                          .bodyTimeout = std::chrono::seconds(5),
                                          .writeTimeout = std::chrono::seconds(5) };

// Serves one admin request, from an operator or from the balancer's health check. aSource must
// outlive the coroutine.
asio::awaitable<void>
ServeAdminPage(const AdminSource& aSource, HttpRequest aRequest, HttpExchange& aExchange);

} // namespace sycamorepost

#endif // SYCAMOREPOST_RUNTIME_ADMIN_PAGES_H_
