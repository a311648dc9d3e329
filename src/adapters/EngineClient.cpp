#include "adapters/EngineClient.h"

#include <limits>
#include <stdexcept>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <glog/logging.h>
#include <nlohmann/json.hpp>

#include "sycamorepost/internal/Text.h"

namespace sycamorepost {

namespace {

// The engine sends at least an empty line every second while it processes a request.
constexpr Duration kStreamIdleTimeout = std::chrono::seconds(4);
constexpr Duration kOpenTimeout = std::chrono::seconds(4);
constexpr Duration kControlTimeout = std::chrono::milliseconds(1500);
constexpr double kSecondsPerMs = 1e-3;
constexpr int kNoMemoryStatus = 409;

// Returns a member that is a number without a sign. Throws if it is none or out of range.
template<typename Number>
Number
ReadUnsigned(const nlohmann::json& aJson, const char* aName)
{
  const nlohmann::json& member = aJson.at(aName);
  if (!member.is_number_unsigned() ||
      member.get<std::uint64_t>() > std::numeric_limits<Number>::max()) {
    throw std::out_of_range(std::string("member '") + aName + "' is no number in its range");
  }
  return member.get<Number>();
}

EngineEnded
ParseEnd(std::uint64_t aRun, const nlohmann::json& aJson)
{
  EngineEnded ended;
  ended.run = aRun;
  ended.cachedTokens = ReadUnsigned<std::uint32_t>(aJson, "cached");
  ended.prefillSeconds = aJson.at("prefill_ms").get<double>() * kSecondsPerMs;
  ended.decodeSeconds = aJson.at("decode_ms").get<double>() * kSecondsPerMs;
  ended.kvCache = aJson.value("kv", "");
  ended.kind = EngineEndKind::Done;
  return ended;
}

EngineText
ParseText(std::uint64_t aRun, const nlohmann::json& aJson)
{
  EngineText text;
  text.run = aRun;
  text.offset = ReadUnsigned<std::uint64_t>(aJson, "o");
  text.count = ReadUnsigned<std::uint32_t>(aJson, "n");
  text.text = aJson.at("t").get<std::string>();
  return text;
}

} // namespace

// How far the response of a run has been read.
struct EngineClient::RunProgress
{
  std::uint64_t nextOffset = 0;
  bool isOver = false; // The last line was read, or one that cannot be understood.
  EngineEnded ended;
};

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
  RunProgress progress;
  progress.nextOffset = aRun.resumeOffset;
  EngineEnded& ended = progress.ended;
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
      this->HandleLine(aRun, line, progress);
      if (progress.isOver) {
        co_return ended;
      }
      end = buffered.find('\n');
    }
  }
  co_return ended;
}

// Handles one line of the response. A line that is malformed, or behind which text is missing, ends
// the run as lost: the rest would be taken for the whole response.
void
EngineClient::HandleLine(const EngineRun& aRun, const std::string& aLine, RunProgress& aProgress)
{
  if (internal::Trim(aLine).empty() || !this->streams.contains(aRun.run)) {
    return;
  }
  try {
    const nlohmann::json json = nlohmann::json::parse(aLine);
    if (json.contains("end")) {
      aProgress.ended = ParseEnd(aRun.run, json);
      aProgress.isOver = true;
      return;
    }
    EngineText text = ParseText(aRun.run, json);
    const std::uint64_t next = aProgress.nextOffset;
    // Text that was sent already may be repeated, as by an engine that does not resume.
    const bool isRepeated = text.offset < next && text.count <= next - text.offset;
    if (text.offset != next && !isRepeated) {
      LOG(WARNING) << "[engine] run " << aRun.run << " sent text from offset " << text.offset
                   << " in place of " << next;
      aProgress.isOver = true;
      return;
    }
    aProgress.nextOffset += isRepeated ? 0 : text.count;
    this->sink(std::move(text));
  } catch (const std::exception& error) {
    LOG(WARNING) << "[engine] a response line of run " << aRun.run
                 << " is malformed: " << error.what();
    aProgress.isOver = true;
  }
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
