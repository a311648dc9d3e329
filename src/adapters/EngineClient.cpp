#include "adapters/EngineClient.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <glog/logging.h>
#include <nlohmann/json.hpp>

namespace sycamorepost {

namespace {

// The engine sends at least an empty line every second while it processes a request.
constexpr Duration kStreamIdleTimeout = std::chrono::seconds(4);
constexpr Duration kOpenTimeout = std::chrono::seconds(4);
constexpr Duration kControlTimeout = std::chrono::milliseconds(1500);
constexpr double kSecondsPerMs = 1e-3;
constexpr int kNoMemoryStatus = 409;

} // namespace

void
EngineClient::Run(EngineRun aRun)
{
  auto stream = std::make_shared<HttpStream>(this->context.get_executor());
  this->streams[aRun.run] = stream;
  asio::co_spawn(
    this->context, this->RunCompletion(std::move(aRun), std::move(stream)), asio::detached);
}

asio::awaitable<void>
EngineClient::RunCompletion(EngineRun aRun, std::shared_ptr<HttpStream> aStream)
{
  const EngineEnded ended = co_await this->ReadResponse(aRun, aStream);
  if (this->streams.erase(aRun.run) > 0) {
    this->sink(ended);
  }
}

asio::awaitable<EngineEnded>
EngineClient::ReadResponse(EngineRun aRun, std::shared_ptr<HttpStream> aStream)
{
  EngineEnded ended;
  ended.run = aRun.run;
  HttpCall call;
  call.address = this->address;
  call.method = "POST";
  call.target = aRun.path;
  call.fields = { { "Content-Type", "application/json" },
                  { "X-Request-Id", std::to_string(aRun.run) },
                  { "X-Priority", std::to_string(aRun.priority) },
                  { "X-Resume-Offset", std::to_string(aRun.resumeOffset) } };
  if (aRun.segmentTo > 0) {
    call.fields.emplace_back(
      "X-Span", std::to_string(aRun.segmentFrom) + "-" + std::to_string(aRun.segmentTo));
  }
  if (aRun.remoteTokens > 0) {
    call.fields.emplace_back("X-Held-Tokens", std::to_string(aRun.remoteTokens));
  }
  call.body = aRun.body;
  call.timeout = kOpenTimeout;
  const HttpReply head = co_await aStream->Open(std::move(call));
  if (head.stage == HttpStage::NotConnected) {
    ended.kind = EngineEndKind::NotConnected;
    co_return ended;
  }
  if (!head.Ok()) {
    ended.kind = head.status == kNoMemoryStatus ? EngineEndKind::Refused : EngineEndKind::Lost;
    co_return ended;
  }
  std::string buffered;
  while (auto bytes = co_await aStream->Read(kStreamIdleTimeout)) {
    buffered += *bytes;
    std::size_t end = buffered.find('\n');
    while (end != std::string::npos) {
      const std::string line = buffered.substr(0, end);
      buffered.erase(0, end + 1);
      const bool last = this->HandleLine(aRun, line, ended);
      if (last) {
        co_return ended;
      }
      end = buffered.find('\n');
    }
  }
  co_return ended;
}

// Handles one line of the response; returns true when it is the last.
bool
EngineClient::HandleLine(const EngineRun& aRun, const std::string& aLine, EngineEnded& aEnded)
{
  if (aLine.empty() || !this->streams.contains(aRun.run)) {
    return false;
  }
  const nlohmann::json json = nlohmann::json::parse(aLine, nullptr, false);
  try {
    if (json.contains("end")) {
      aEnded.kind = EngineEndKind::Done;
      aEnded.cachedTokens = json.at("cached").get<std::uint32_t>();
      aEnded.prefillSeconds = json.at("prefill_ms").get<double>() * kSecondsPerMs;
      aEnded.decodeSeconds = json.at("decode_ms").get<double>() * kSecondsPerMs;
      aEnded.kvCache = json.value("kv", "");
      return true;
    }
    EngineText text;
    text.run = aRun.run;
    text.offset = json.at("o").get<std::uint64_t>();
    text.count = json.at("n").get<std::uint32_t>();
    text.text = json.at("t").get<std::string>();
    this->sink(std::move(text));
  } catch (const nlohmann::json::exception& error) {
    LOG(WARNING) << "[engine] ignored a malformed response line: " << error.what();
  }
  return false;
}

void
EngineClient::Cancel(std::uint64_t aRun)
{
  const auto stream = this->streams.find(aRun);
  if (stream != this->streams.end()) {
    const auto openStream = std::move(stream->second);
    this->streams.erase(stream);
    openStream->Close();
  }
  asio::co_spawn(
    this->context, this->SendDelete("/requests/" + std::to_string(aRun)), asio::detached);
}

void
EngineClient::FreeKvCache(std::uint64_t aReservation)
{
  asio::co_spawn(
    this->context, this->SendDelete("/kv/" + std::to_string(aReservation)), asio::detached);
}

asio::awaitable<void>
EngineClient::SendDelete(std::string aPath)
{
  HttpCall call;
  call.address = this->address;
  call.method = "DELETE";
  call.target = std::move(aPath);
  call.timeout = kControlTimeout;
  co_await Fetch(std::move(call));
}

void
EngineClient::ImportKvCache(EngineImport aImport)
{
  asio::co_spawn(this->context, this->SendImport(std::move(aImport)), asio::detached);
}

asio::awaitable<void>
EngineClient::SendImport(EngineImport aImport)
{
  HttpCall call;
  call.address = this->address;
  call.method = "POST";
  call.target = "/kv/" + std::to_string(aImport.reservation);
  call.fields = { { "X-Tokens", std::to_string(aImport.tokens) } };
  call.body = aImport.kvCache;
  call.timeout = kOpenTimeout;
  const HttpReply reply = co_await Fetch(std::move(call));
  EngineImported imported;
  imported.reservation = aImport.reservation;
  imported.stored = reply.Ok();
  imported.replyTo = aImport.replyTo;
  imported.attempt = aImport.attempt;
  imported.index = aImport.index;
  this->sink(imported);
}

void
EngineClient::RequestLoadReport()
{
  asio::co_spawn(this->context, this->FetchLoadReport(), asio::detached);
}

asio::awaitable<void>
EngineClient::FetchLoadReport()
{
  HttpCall call;
  call.address = this->address;
  call.method = "GET";
  call.target = "/report";
  call.timeout = kControlTimeout;
  const HttpReply reply = co_await Fetch(std::move(call));
  EngineReport report;
  if (reply.stage == HttpStage::NotConnected) {
    report.state = EngineState::Down;
  } else if (reply.Ok()) {
    try {
      const nlohmann::json json = nlohmann::json::parse(reply.body);
      report.incarnation = json.at("boot").get<std::string>();
      report.capacityTokens = json.at("capacity").get<std::uint64_t>();
      report.running = json.at("running").get<std::vector<std::uint64_t>>();
      report.storedReservations = json.value("held", std::vector<std::uint64_t>());
      report.state = EngineState::Up;
    } catch (const nlohmann::json::exception& error) {
      LOG(WARNING) << "[engine] ignored a malformed load report: " << error.what();
    }
  }
  this->sink(std::move(report));
}

} // namespace sycamorepost
