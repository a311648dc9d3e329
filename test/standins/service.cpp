// Stand-in of a plain service. It records an effect for each call whose method is not GET.
#include <fstream>

#include <gflags/gflags.h>

#include "StandIn.h"

DEFINE_string(listen, "", "The ip:port to listen on.");
DEFINE_string(effects,
              "",
              "A file to which each effect is appended, so that the effects survive the process.");
DEFINE_string(name, "service", "The instance's name, contained in each response.");

namespace sycamorepost::standin {
namespace {

class PlainService
{
public:
  explicit PlainService(asio::io_context& aContext)
    : context(aContext)
  {
  }

  asio::awaitable<void> Serve(HttpRequest aRequest, HttpExchange& aExchange)
  {
    if (aRequest.target == "/effects") {
      co_await RespondJson(aExchange, 200, this->effects);
      co_return;
    }
    if (aRequest.target == "/faults") {
      const nlohmann::json json = ParseBody(aRequest);
      this->delayMs = json.value("delay_ms", std::int64_t{ 0 });
      this->dropResponses = json.value("lose_answers", false);
      co_await RespondJson(aExchange, 200, nlohmann::json::object());
      co_return;
    }
    if (aRequest.method != "GET") {
      this->AddEffect(aRequest);
    }
    const std::size_t effectCount = this->effects.size();
    if (this->delayMs > 0) {
      co_await Sleep(this->context, std::chrono::milliseconds(this->delayMs));
    }
    if (this->dropResponses) {
      aExchange.DisableKeepAlive();
      co_return;
    }
    const nlohmann::json response{ { "service", FLAGS_name },
                                   { "effect", aRequest.method == "GET" ? 0 : effectCount },
                                   { "path", aRequest.target },
                                   { "echo", *aRequest.body } };
    co_await RespondJson(aExchange, 200, response);
  }

private:
  void AddEffect(const HttpRequest& aRequest)
  {
    nlohmann::json effect{ { "key", aRequest.Field("Idempotency-Key") },
                           { "service", FLAGS_name },
                           { "path", aRequest.target },
                           { "body", *aRequest.body } };
    if (!FLAGS_effects.empty()) {
      std::ofstream(FLAGS_effects, std::ios::app) << effect.dump() << std::endl;
    }
    this->effects.push_back(std::move(effect));
  }

  asio::io_context& context;
  nlohmann::json effects = nlohmann::json::array();
  std::int64_t delayMs = 0;
  bool dropResponses = false;
};

} // namespace
} // namespace sycamorepost::standin

int
main(int aCount, char** aArguments)
{
  gflags::ParseCommandLineFlags(&aCount, &aArguments, true);
  return sycamorepost::standin::RunService<sycamorepost::standin::PlainService>(FLAGS_listen);
}
