#include "adapters/LogClient.h"

#include <nlohmann/json.hpp>

namespace sycamorepost {

namespace {

constexpr Duration kAppendTimeout = std::chrono::milliseconds(1000);
constexpr Duration kReadTimeout = std::chrono::milliseconds(1000);

LogPage
ParsePage(const std::string& aBody)
{
  LogPage page;
  try {
    const nlohmann::json json = nlohmann::json::from_msgpack(aBody);
    for (const nlohmann::json& item : json.at("records")) {
      LogRecord record;
      record.offset = item.at("offset").get<std::uint64_t>();
      record.id = item.at("id").get<std::string>();
      record.data = item.at("data").get<std::string>();
      record.age = std::chrono::milliseconds(item.at("age_ms").get<std::int64_t>());
      page.records.push_back(std::move(record));
    }
    page.nextOffset = json.at("next").get<std::uint64_t>();
    page.endOffset = json.at("end").get<std::uint64_t>();
    page.retention = std::chrono::milliseconds(json.at("retention_ms").get<std::int64_t>());
    page.ok = true;
  } catch (const nlohmann::json::exception& error) {
    page.reason = error.what();
  }
  return page;
}

} // namespace

asio::awaitable<AppendReply>
LogClient::Append(std::string aStream, std::string aRecordId, std::string aData)
{
  HttpCall call;
  call.address = this->address;
  call.method = "POST";
  call.target = "/streams/" + aStream + "/records";
  call.fields = { { "X-Record-Id", std::move(aRecordId) } };
  call.body = MakeBody(std::move(aData));
  call.timeout = kAppendTimeout;
  const HttpReply reply = co_await Fetch(std::move(call));
  AppendReply result;
  if (reply.stage == HttpStage::NotConnected) {
    result.kind = AppendEndKind::Refused;
    result.reason = "cannot connect to the log: " + reply.reason;
  } else if (reply.stage == HttpStage::Lost) {
    result.reason = "no response from the log, the record may have been appended: " + reply.reason;
  } else if (!reply.Ok()) {
    // Status 429 means that the record was not appended; any other error may have occurred after
    // the append.
    result.kind = reply.status == 429 ? AppendEndKind::Refused : AppendEndKind::Lost;
    result.reason = "the log responded with status " + std::to_string(reply.status);
  } else {
    const auto json = nlohmann::json::parse(reply.body, nullptr, false);
    if (json.is_object() && json.contains("offset") && json["offset"].is_number_unsigned()) {
      result.kind = AppendEndKind::Appended;
      result.offset = json["offset"].get<std::uint64_t>();
    } else {
      result.reason = "the log's response has no offset";
    }
  }
  co_return result;
}

asio::awaitable<LogPage>
LogClient::Read(std::string aStream, std::uint64_t aFrom, Duration aWait)
{
  HttpCall call;
  call.address = this->address;
  call.method = "GET";
  call.target = "/streams/" + aStream + "/records?from=" + std::to_string(aFrom) +
                "&wait_ms=" + std::to_string(ToMillis(aWait));
  call.timeout = kReadTimeout + aWait;
  const HttpReply reply = co_await Fetch(std::move(call));
  if (reply.Ok()) {
    co_return ParsePage(reply.body);
  }
  LogPage page;
  page.reason = reply.stage == HttpStage::Responded
                  ? "the log responded with status " + std::to_string(reply.status)
                  : "no response from the log: " + reply.reason;
  co_return page;
}

} // namespace sycamorepost
