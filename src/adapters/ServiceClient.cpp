#include "adapters/ServiceClient.h"

#include <algorithm>
#include <array>

namespace sycamorepost {

namespace {

// Returns whether a header field is hop-by-hop, or is set anew for each message.
bool
IsConnectionField(const std::string& aName)
{
  static constexpr std::array<const char*, 5> kNames{
    "Connection", "Keep-Alive", "Transfer-Encoding", "Content-Length", "Upgrade"
  };
  return IsOneOf(aName, kNames);
}

} // namespace

asio::awaitable<ServiceEnded>
CallService(std::string aAddress, ServiceCall aCall)
{
  HttpCall call;
  call.address = std::move(aAddress);
  call.method = aCall.method;
  call.target = aCall.path;
  call.fields = aCall.headers;
  call.fields.emplace_back("X-Request-Id", aCall.requestId);
  call.body = aCall.body;
  call.timeout = aCall.timeout;
  HttpReply reply = co_await Fetch(std::move(call));
  ServiceEnded ended;
  ended.call = aCall.call;
  switch (reply.stage) {
    case HttpStage::NotConnected:
      ended.kind = ServiceEndKind::NotConnected;
      break;
    case HttpStage::Lost:
      ended.kind = ServiceEndKind::Lost;
      break;
    case HttpStage::Responded:
      ended.kind = ServiceEndKind::Responded;
      ended.status = reply.status;
      ended.body = std::move(reply.body);
      for (auto& field : reply.fields) {
        if (!IsConnectionField(field.first)) {
          ended.headers.push_back(std::move(field));
        }
      }
      break;
  }
  co_return ended;
}

} // namespace sycamorepost
