// Stand-in of the platform's store: topics of keyed records that are read by offset or as the
// newest record of each key. It injects outages, reads that hang, responses that do not end,
// responses that are lost after the append took effect, and restores from an older copy.
#include <map>
#include <memory>
#include <random>
#include <vector>

#include <boost/beast/core/detail/base64.hpp>
#include <gflags/gflags.h>

#include "StandIn.h"
#include "sycamorepost/internal/Text.h"

DEFINE_string(listen, "", "The ip:port to listen on.");
DEFINE_uint64(seed, 1, "Seed of the fault injection.");

namespace sycamorepost::standin {
namespace {

constexpr int kBitsPerByte = 8;

std::string
EncodeBigEndian(std::uint64_t aNumber, int aBytes)
{
  std::string bytes;
  for (int shift = (aBytes - 1) * kBitsPerByte; shift >= 0; shift -= kBitsPerByte) {
    bytes.push_back(static_cast<char>((aNumber >> shift) & 0xff));
  }
  return bytes;
}

std::uint64_t
DecodeBigEndian(std::string_view aBytes)
{
  std::uint64_t number = 0;
  for (const char byte : aBytes) {
    number = (number << kBitsPerByte) | static_cast<unsigned char>(byte);
  }
  return number;
}

std::string
EncodeBase64(const std::string& aBytes)
{
  std::string text(beast::detail::base64::encoded_size(aBytes.size()), '\0');
  text.resize(beast::detail::base64::encode(text.data(), aBytes.data(), aBytes.size()));
  return text;
}

// Splits a record into key and value. A record is the key's length in one byte, the key and the
// value; an empty value deletes the key.
std::pair<std::string, std::string>
SplitRecord(const std::string& aRecord)
{
  const auto length = static_cast<unsigned char>(aRecord.empty() ? 0 : aRecord.front());
  return { aRecord.substr(std::min<std::size_t>(1, aRecord.size()), length),
           aRecord.substr(std::min<std::size_t>(1 + length, aRecord.size())) };
}

bool
IsRead(const std::string& aPath)
{
  return aPath == "/log-read" || aPath == "/log-newest";
}

std::string
PercentDecode(const std::string& aText)
{
  std::string decoded;
  for (std::size_t i = 0; i < aText.size(); ++i) {
    if (aText[i] == '%' && i + 2 < aText.size()) {
      decoded += static_cast<char>(std::stoi(aText.substr(i + 1, 2), nullptr, 16));
      i += 2;
    } else {
      decoded += aText[i];
    }
  }
  return decoded;
}

struct Topic
{
  explicit Topic(asio::io_context& aContext)
    : changed(aContext)
  {
  }

  // Updates the newest offset of the key of a record, which an empty value deletes.
  void RecordNewest(std::size_t aOffset)
  {
    const auto [key, value] = SplitRecord(this->records[aOffset]);
    if (value.empty()) {
      this->newestOffsets.erase(key);
    } else {
      this->newestOffsets[key] = aOffset;
    }
  }

  std::vector<std::string> records;                   // By offset, without the length prefix.
  std::map<std::string, std::uint64_t> newestOffsets; // Offset by key.
  std::uint64_t bytesServed = 0;                      // Of all responses to reads.
  std::uint64_t reads = 0;
  asio::steady_timer changed;
};

class Store
{
public:
  explicit Store(asio::io_context& aContext)
    : context(aContext)
    , random(FLAGS_seed)
  {
  }

  asio::awaitable<void> Serve(HttpRequest aRequest, HttpExchange& aExchange)
  {
    const std::string path = aRequest.Path();
    if (path == "/faults") {
      const nlohmann::json json = ParseBody(aRequest);
      this->outage = json.value("outage", false);
      this->lostResponseShare = json.value("lose_answers", 0.0);
      this->hungTopic = json.value("hang_reads_of", "");
      this->endlessTopic = json.value("endless_reads_of", "");
      this->KeepListing(json.value("old_listings_of", ""));
      this->listingPageEntries = json.value("listing_page", std::size_t{ 500 });
      if (json.contains("restore_to")) {
        this->Restore(json["restore_to"]);
      }
      co_await RespondJson(aExchange, 200, nlohmann::json::object());
    } else if (path == "/counters") {
      co_await RespondJson(aExchange, 200, this->CountersJson());
    } else if (this->outage) {
      co_await RespondError(aExchange, 503, "outage");
    } else if (IsRead(path) && aRequest.Query("Topic") == this->hungTopic) {
      co_await this->Hang();
    } else if (IsRead(path) && aRequest.Query("Topic") == this->endlessTopic) {
      co_await this->RespondEndlessly(aExchange);
    } else if (path == "/log-append") {
      co_await this->Append(this->FindOrAddTopic(aRequest), aRequest, aExchange);
    } else if (path == "/log-read") {
      co_await this->Read(this->FindOrAddTopic(aRequest), aRequest, aExchange);
    } else if (path == "/log-newest") {
      Topic& topic = this->FindOrAddTopic(aRequest);
      const bool isOld = aRequest.Query("Topic") == this->oldListingTopic;
      co_await this->ListNewest(topic,
                                isOld ? this->oldOffsets : topic.newestOffsets,
                                PercentDecode(aRequest.Query("After")),
                                aExchange);
    } else {
      co_await RespondError(aExchange, 404, "unknown path");
    }
  }

private:
  Topic& FindOrAddTopic(const HttpRequest& aRequest)
  {
    std::unique_ptr<Topic>& topic = this->topics[aRequest.Query("Topic")];
    if (!topic) {
      topic = std::make_unique<Topic>(this->context);
    }
    return *topic;
  }

  // Returns from an older copy: keeps as many records of each topic as aEnds says, and begins a new
  // era. Topics that aEnds does not name lose nothing.
  void Restore(const nlohmann::json& aEnds)
  {
    ++this->era;
    for (const auto& [name, end] : aEnds.items()) {
      Topic& topic = *this->topics.at(name);
      topic.records.resize(std::min(topic.records.size(), end.get<std::size_t>()));
      topic.newestOffsets.clear();
      for (std::size_t offset = 0; offset < topic.records.size(); ++offset) {
        topic.RecordNewest(offset);
      }
      topic.changed.cancel();
    }
  }

  std::vector<Field> EraField() const { return { { "Store-Era", std::to_string(this->era) } }; }

  // From now on, lists a topic as it is now, with an end that moves on: what a reader gets whose
  // listing was made before some records and whose end was taken after them.
  void KeepListing(const std::string& aTopic)
  {
    this->oldListingTopic = aTopic;
    const auto topic = this->topics.find(aTopic);
    this->oldOffsets = topic == this->topics.end() ? std::map<std::string, std::uint64_t>()
                                                   : topic->second->newestOffsets;
  }

  nlohmann::json CountersJson() const
  {
    nlohmann::json bytesServed = nlohmann::json::object();
    nlohmann::json reads = nlohmann::json::object();
    for (const auto& [name, topic] : this->topics) {
      bytesServed[name] = topic->bytesServed;
      reads[name] = topic->reads;
    }
    return { { "hung_reads", this->hungReads },
             { "abandoned_reads", this->abandonedReads },
             { "bytes_served", std::move(bytesServed) },
             { "reads", std::move(reads) } };
  }

  // Never responds, and keeps the connection open.
  asio::awaitable<void> Hang()
  {
    ++this->hungReads;
    asio::steady_timer timer(this->context, std::chrono::steady_clock::time_point::max());
    co_await timer.async_wait(kTuple);
  }

  // Sends a body until the reader closes the connection.
  asio::awaitable<void> RespondEndlessly(HttpExchange& aExchange)
  {
    static constexpr std::size_t kPieceBytes = 64 * 1024;
    bool open = co_await aExchange.BeginStream(200, {});
    while (open) {
      open = co_await aExchange.Write(std::string(kPieceBytes, '\0'));
    }
    ++this->abandonedReads;
  }

  asio::awaitable<void> Append(Topic& aTopic, const HttpRequest& aRequest, HttpExchange& aExchange)
  {
    static constexpr std::size_t kLengthBytes = 4;
    const std::uint64_t offset = aTopic.records.size();
    std::string_view rest = *aRequest.body;
    while (rest.size() > kLengthBytes) {
      const std::size_t length = DecodeBigEndian(rest.substr(0, kLengthBytes));
      const std::string record(rest.substr(kLengthBytes, length));
      rest.remove_prefix(std::min(rest.size(), kLengthBytes + length));
      aTopic.records.push_back(record);
      aTopic.RecordNewest(aTopic.records.size() - 1);
      aTopic.changed.cancel();
    }
    if (std::uniform_real_distribution<double>(0, 1)(this->random) < this->lostResponseShare) {
      aExchange.DisableKeepAlive();
      co_return;
    }
    const nlohmann::json response{ { "Offset", offset }, { "End", aTopic.records.size() } };
    co_await RespondJson(aExchange, 200, response, this->EraField());
  }

  asio::awaitable<void> Read(Topic& aTopic, const HttpRequest& aRequest, HttpExchange& aExchange)
  {
    const auto fromOffset =
      internal::ParseNumber<std::uint64_t>(aRequest.Query("From")).value_or(0);
    const auto waitMs = internal::ParseNumber<std::int64_t>(aRequest.Query("WaitMs")).value_or(0);
    if (waitMs > 0 && fromOffset >= aTopic.records.size()) {
      if (aTopic.changed.expiry() <= std::chrono::steady_clock::now()) {
        aTopic.changed.expires_after(std::chrono::milliseconds(waitMs));
      }
      co_await aTopic.changed.async_wait(kTuple);
    }
    if (fromOffset > aTopic.records.size()) {
      const nlohmann::json gone{ { "First", 0 } };
      co_await RespondJson(aExchange, 410, gone, this->EraField());
      co_return;
    }
    // The first record is returned whatever its size.
    const std::size_t maxBytes =
      1024 * internal::ParseNumber<std::size_t>(aRequest.Query("MaxKb")).value_or(1024);
    std::string page = EncodeBigEndian(aTopic.records.size(), 8) + EncodeBigEndian(0, 8);
    for (std::size_t i = fromOffset; i < aTopic.records.size(); ++i) {
      if (i > fromOffset && page.size() + aTopic.records[i].size() > maxBytes) {
        break;
      }
      page += EncodeBigEndian(aTopic.records[i].size(), 4) + aTopic.records[i];
    }
    aTopic.bytesServed += page.size();
    ++aTopic.reads;
    co_await aExchange.Respond(200, this->EraField(), MakeBody(std::move(page)));
  }

  asio::awaitable<void> ListNewest(Topic& aTopic,
                                   const std::map<std::string, std::uint64_t>& aOffsets,
                                   const std::string& aAfter,
                                   HttpExchange& aExchange)
  {
    nlohmann::json entries = nlohmann::json::array();
    auto next = aAfter.empty() ? aOffsets.begin() : aOffsets.upper_bound(aAfter);
    for (; next != aOffsets.end() && entries.size() < this->listingPageEntries; ++next) {
      const auto& [key, offset] = *next;
      const std::string value = SplitRecord(aTopic.records[offset]).second;
      entries.push_back({ { "Key", key }, { "Value", EncodeBase64(value) }, { "Offset", offset } });
    }
    const nlohmann::json page{ { "Entries", std::move(entries) },
                               { "MorePages", next != aOffsets.end() },
                               { "End", aTopic.records.size() } };
    aTopic.bytesServed += page.dump().size();
    co_await RespondJson(aExchange, 200, page, this->EraField());
  }

  asio::io_context& context;
  std::map<std::string, std::unique_ptr<Topic>> topics;
  std::mt19937_64 random;
  std::uint64_t era = 1; // Rises with each restore.
  bool outage = false;
  std::string hungTopic; // Reads of this topic hang; empty when none do.
  std::uint64_t hungReads = 0;
  std::size_t listingPageEntries = 500;
  std::string oldListingTopic; // Listings of this topic are old; empty when none are.
  std::map<std::string, std::uint64_t> oldOffsets; // What they contain.
  std::string endlessTopic; // Responses to reads of this topic do not end; empty when all end.
  std::uint64_t abandonedReads = 0; // Endless responses whose reader closed the connection.
  double lostResponseShare = 0;     // Share of appends that take effect but whose response is lost.
};

} // namespace
} // namespace sycamorepost::standin

int
main(int aCount, char** aArguments)
{
  gflags::ParseCommandLineFlags(&aCount, &aArguments, true);
  return sycamorepost::standin::RunService<sycamorepost::standin::Store>(FLAGS_listen);
}
