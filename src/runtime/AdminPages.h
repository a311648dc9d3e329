// Offers the operators' HTTP pages that every daemon serves: health, readiness, metrics and dump.
#ifndef SYCAMOREPOST_RUNTIME_ADMIN_PAGES_H_
#define SYCAMOREPOST_RUNTIME_ADMIN_PAGES_H_

#include <functional>
#include <string>

#include <nlohmann/json_fwd.hpp>

#include "net/Http.h"

namespace sycamorepost {

// What the pages show.
struct AdminSource
{
  std::function<bool()> ready;
  std::function<std::string()> metrics;
  std::function<nlohmann::json()> dump;
  std::function<std::string()> rules; // The rules in force as text; may be empty.
};

// Serves one request of an operator or of the balancer. The source must live until it returns.
asio::awaitable<void>
ServeAdminPage(const AdminSource& aSource, HttpRequest aRequest, HttpExchange& aExchange);

} // namespace sycamorepost

#endif // SYCAMOREPOST_RUNTIME_ADMIN_PAGES_H_
