// Stand-in of the platform's VM list. Changes that tests post become visible after a delay.
#include <map>

#include <gflags/gflags.h>

#include "StandIn.h"
#include "sycamorepost/internal/Text.h"

DEFINE_string(listen, "", "The ip:port to listen on.");
DEFINE_int64(lag_ms, 300, "Delay until a change becomes visible, in milliseconds.");

namespace sycamorepost::standin {
namespace {

class VmService
{
public:
  explicit VmService(asio::io_context& aContext)
    : context(aContext)
  {
  }

  asio::awaitable<void> Serve(HttpRequest aRequest, HttpExchange& aExchange)
  {
    if (aRequest.method == "POST") {
      const nlohmann::json changes = nlohmann::json::parse(*aRequest.body, nullptr, false);
      co_await RespondJson(aExchange, 200, nlohmann::json::object());
      co_await Sleep(this->context, std::chrono::milliseconds(FLAGS_lag_ms));
      ++this->version;
      for (const nlohmann::json& vm : changes) {
        this->vms[vm.at("vm").get<std::string>()] = { this->version, vm };
      }
      co_return;
    }
    const auto sinceVersion =
      internal::ParseNumber<std::uint64_t>(aRequest.Query("since")).value_or(0);
    nlohmann::json list = nlohmann::json::array();
    for (const auto& [name, vm] : this->vms) {
      if (vm.first > sinceVersion) {
        list.push_back(vm.second);
      }
    }
    const nlohmann::json response{ { "version", this->version }, { "vms", std::move(list) } };
    co_await RespondJson(aExchange, 200, response);
  }

private:
  asio::io_context& context;
  std::uint64_t version = 0;
  // Version of the last change and description, by VM name.
  std::map<std::string, std::pair<std::uint64_t, nlohmann::json>> vms;
};

} // namespace
} // namespace sycamorepost::standin

int
main(int aCount, char** aArguments)
{
  gflags::ParseCommandLineFlags(&aCount, &aArguments, true);
  return sycamorepost::standin::RunService<sycamorepost::standin::VmService>(FLAGS_listen);
}
