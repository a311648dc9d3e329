// Stand-in of the platform's log service: streams of records with offsets, a retention period and a
// rate limit. It injects outages, delays and responses that are lost after the append took effect.
#include <deque>
#include <map>
#include <memory>
#include <random>

#include <gflags/gflags.h>

#include "StandIn.h"
#include "sycamorepost/TokenBucket.h"
#include "sycamorepost/internal/Text.h"

DEFINE_string(listen, "", "The ip:port to listen on.");
DEFINE_double(appends, 400, "Maximum appends per second.");
DEFINE_int64(retention_ms, 3'600'000, "Retention period of records, in milliseconds.");
DEFINE_uint64(seed, 1, "Seed of the fault injection.");

namespace sycamorepost::standin {
namespace {

constexpr std::size_t kMaxPageRecords = 1000;

struct Record
{
  std::string id;
  std::string data;
  Instant appendedAt;
};

struct Stream
{
  explicit Stream(asio::io_context& aContext)
    : changed(aContext)
  {
  }

  std::uint64_t firstOffset = 0;
  std::deque<Record> records;
  asio::steady_timer changed;
};

struct Faults
{
  bool outage = false;          // Appends and reads fail.
  bool appendOutage = false;    // Only appends fail.
  double lostResponseShare = 0; // Share of appends that take effect but whose response is lost.
  std::int64_t delayMs = 0;     // Delay before each request is handled.
};

class LogService
{
public:
  explicit LogService(asio::io_context& aContext)
    : context(aContext)
    , bucket(FLAGS_appends, FLAGS_appends)
    , random(FLAGS_seed)
  {
  }

  asio::awaitable<void> Serve(HttpRequest aRequest, HttpExchange& aExchange)
  {
    if (aRequest.target == "/faults") {
      co_await this->SetFaults(aRequest, aExchange);
      co_return;
    }
    if (this->faults.delayMs > 0) {
      co_await Sleep(this->context, std::chrono::milliseconds(this->faults.delayMs));
    }
    static constexpr std::string_view kPrefix = "/streams/";
    const std::string path = aRequest.Path();
    const std::size_t slash = path.rfind('/');
    if (!path.starts_with(kPrefix) || slash <= kPrefix.size() || path.substr(slash) != "/records") {
      co_await RespondError(aExchange, 404, "unknown path; expected /streams/NAME/records");
      co_return;
    }
    Stream& stream = this->FindOrAddStream(path.substr(kPrefix.size(), slash - kPrefix.size()));
    if (this->faults.outage || (this->faults.appendOutage && aRequest.method == "POST")) {
      co_await RespondError(aExchange, 503, "outage");
    } else if (aRequest.method == "POST") {
      co_await this->Append(stream, aRequest, aExchange);
    } else {
      co_await this->Read(stream, aRequest, aExchange);
    }
  }

private:
  asio::awaitable<void> SetFaults(const HttpRequest& aRequest, HttpExchange& aExchange)
  {
    const nlohmann::json json = ParseBody(aRequest);
    this->faults.outage = json.value("outage", false);
    this->faults.appendOutage = json.value("append_outage", false);
    this->faults.lostResponseShare = json.value("lose_answers", 0.0);
    this->faults.delayMs = json.value("delay_ms", std::int64_t{ 0 });
    const nlohmann::json response{ { "appends", this->appends } };
    co_await RespondJson(aExchange, 200, response);
  }

  Stream& FindOrAddStream(const std::string& aName)
  {
    std::unique_ptr<Stream>& stream = this->streams[aName];
    if (!stream) {
      stream = std::make_unique<Stream>(this->context);
    }
    this->RemoveExpired(*stream);
    return *stream;
  }

  void RemoveExpired(Stream& aStream)
  {
    const Instant oldest = Now() - std::chrono::milliseconds(FLAGS_retention_ms);
    while (!aStream.records.empty() && aStream.records.front().appendedAt < oldest) {
      aStream.records.pop_front();
      ++aStream.firstOffset;
    }
  }

  asio::awaitable<void>
  Append(Stream& aStream, const HttpRequest& aRequest, HttpExchange& aExchange)
  {
    if (!this->bucket.TryTake(1, Now())) {
      co_await RespondError(aExchange, 429, "append rate limit exceeded");
      co_return;
    }
    aStream.records.push_back({ aRequest.Field("X-Record-Id"), *aRequest.body, Now() });
    aStream.changed.cancel();
    ++this->appends;
    const std::uint64_t offset = aStream.firstOffset + aStream.records.size() - 1;
    if (std::uniform_real_distribution<double>(0, 1)(this->random) <
        this->faults.lostResponseShare) {
      aExchange.DisableKeepAlive();
      co_return;
    }
    const nlohmann::json response{ { "offset", offset } };
    co_await RespondJson(aExchange, 200, response);
  }

  asio::awaitable<void> Read(Stream& aStream, const HttpRequest& aRequest, HttpExchange& aExchange)
  {
    const auto fromOffset =
      internal::ParseNumber<std::uint64_t>(aRequest.Query("from")).value_or(0);
    const auto waitMs = internal::ParseNumber<std::int64_t>(aRequest.Query("wait_ms")).value_or(0);
    if (waitMs > 0 && fromOffset >= aStream.firstOffset + aStream.records.size()) {
      asio::steady_timer& changed = aStream.changed;
      if (changed.expiry() <= std::chrono::steady_clock::now()) {
        changed.expires_after(std::chrono::milliseconds(waitMs));
      }
      co_await changed.async_wait(kTuple);
    }
    if (this->faults.outage) {
      co_await RespondError(aExchange, 503, "outage");
      co_return;
    }
    std::vector<Field> fields{ { "Content-Type", "application/msgpack" } };
    co_await aExchange.Respond(
      200, std::move(fields), MakeBody(this->FormatPage(aStream, fromOffset)));
  }

  std::string FormatPage(Stream& aStream, std::uint64_t aFrom)
  {
    this->RemoveExpired(aStream);
    const std::uint64_t end = aStream.firstOffset + aStream.records.size();
    const std::uint64_t begin = std::clamp(aFrom, aStream.firstOffset, end);
    const std::uint64_t next = std::min<std::uint64_t>(end, begin + kMaxPageRecords);
    nlohmann::json records = nlohmann::json::array();
    for (std::uint64_t offset = begin; offset < next; ++offset) {
      const Record& record = aStream.records[offset - aStream.firstOffset];
      records.push_back({ { "offset", offset },
                          { "id", record.id },
                          { "data", record.data },
                          { "age_ms", ToMillis(Now() - record.appendedAt) } });
    }
    const nlohmann::json page{ { "records", std::move(records) },
                               { "next", next },
                               { "end", end },
                               { "retention_ms", FLAGS_retention_ms } };
    std::string bytes;
    nlohmann::json::to_msgpack(page, bytes);
    return bytes;
  }

  asio::io_context& context;
  std::map<std::string, std::unique_ptr<Stream>> streams;
  TokenBucket bucket;
  std::mt19937_64 random;
  Faults faults;
  std::uint64_t appends = 0;
};

} // namespace
} // namespace sycamorepost::standin

int
main(int aCount, char** aArguments)
{
  gflags::ParseCommandLineFlags(&aCount, &aArguments, true);
  return sycamorepost::standin::RunService<sycamorepost::standin::LogService>(FLAGS_listen);
}
