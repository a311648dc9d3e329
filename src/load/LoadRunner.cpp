#include "load/LoadRunner.h"

#include <cmath>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/string.hpp>
#include <nlohmann/json.hpp>

namespace sycamorepost::load {

namespace {

constexpr auto kTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t kBytesPerToken = 4;
// How long the generator waits for a response beyond the call's own timeout.
constexpr Duration kResponseMargin = std::chrono::seconds(5);
constexpr Duration kBookingRetryDelay = std::chrono::milliseconds(300);

// Returns pseudo-random text that is determined by the seed.
std::string
MakeRandomText(std::uint64_t aSeed, std::size_t aBytes)
{
  static constexpr std::string_view kLetters = "abcdefghiklmnop ";
  static constexpr unsigned kBitsPerLetter = 4;
  std::mt19937_64 random(aSeed);
  std::string text(aBytes, ' ');
  std::uint64_t bits = 0;
  for (std::size_t i = 0; i < aBytes; ++i) {
    bits = i % 16 == 0 ? random() : bits >> kBitsPerLetter;
    text[i] = kLetters[bits % kLetters.size()];
  }
  return text;
}

std::string
FindField(const std::vector<Field>& aFields, std::string_view aName)
{
  for (const auto& [name, value] : aFields) {
    if (beast::iequals(name, { aName.data(), aName.size() })) {
      return value;
    }
  }
  return {};
}

std::string
ParseErrorCode(const std::string& aBody)
{
  const auto json = nlohmann::json::parse(aBody, nullptr, false);
  const bool shaped = json.is_object() && json.contains("error") && json["error"].is_object();
  return shaped ? json["error"].value("code", "") : std::string();
}

// Removes the complete events from the front of the received bytes and appends their output text.
// Returns whether the [DONE] event was among them.
bool
ConsumeEvents(std::string& aBuffer, std::string& aText, std::string& aCode)
{
  static constexpr std::string_view kData = "data: ";
  std::size_t end = aBuffer.find("\n\n");
  while (end != std::string::npos) {
    const std::string event = aBuffer.substr(0, end);
    aBuffer.erase(0, end + 2);
    const std::size_t data = event.find(kData);
    const std::string payload = data == std::string::npos ? "" : event.substr(data + kData.size());
    if (payload == "[DONE]") {
      return true;
    }
    const auto json = nlohmann::json::parse(payload, nullptr, false);
    if (json.is_object() && json.contains("choices")) {
      aText += json["choices"][0].value("text", "");
    } else if (json.is_object()) {
      aCode = ParseErrorCode(payload);
    }
    end = aBuffer.find("\n\n");
  }
  return false;
}

} // namespace

std::vector<LengthBand>
ReferenceLengthBands()
{
  return { { 0.70, 1'000, 4'096, 16, std::chrono::seconds(30) },
           { 0.20, 4'096, 32'768, 16, std::chrono::seconds(60) },
           { 0.08, 32'768, 100'000, 16, std::chrono::seconds(120) },
           { 0.02, 100'000, 1'000'000, 16, std::chrono::seconds(300) } };
}

std::string
FormatRecord(const CallRecord& aRecord)
{
  static constexpr std::array<const char*, 3> kCallKindNames{ "completion", "booking", "lookup" };
  const nlohmann::json json{ { "kind", kCallKindNames.at(static_cast<std::size_t>(aRecord.kind)) },
                             { "account", aRecord.account },
                             { "entry", aRecord.entry },
                             { "request", aRecord.requestId },
                             { "key", aRecord.idempotencyKey },
                             { "prompt_tokens", aRecord.promptTokens },
                             { "scheduled_ms", ToMillis(aRecord.scheduledAt) },
                             { "sent_ms", ToMillis(aRecord.sentAt) },
                             { "first_token_ms", ToMillis(aRecord.firstTokenAt) },
                             { "ended_ms", ToMillis(aRecord.endedAt) },
                             { "timeout_ms", ToMillis(aRecord.timeout) },
                             { "status", aRecord.status },
                             { "outcome", aRecord.outcome },
                             { "code", aRecord.errorCode },
                             { "answer", aRecord.response },
                             { "whole", aRecord.isComplete } };
  return json.dump();
}

LoadRunner::LoadRunner(asio::io_context& aContext, LoadPlan aPlan)
  : context(aContext)
  , plan(std::move(aPlan))
  , random(this->plan.seed)
{
}

void
LoadRunner::Start()
{
  this->startedAt = std::chrono::steady_clock::now();
  this->sending = true;
  asio::co_spawn(this->context, this->SendCalls(), asio::detached);
}

Duration
LoadRunner::Elapsed() const
{
  return std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now() - this->startedAt);
}

double
LoadRunner::DrawUniform()
{
  return std::uniform_real_distribution<double>(0, 1)(this->random);
}

asio::awaitable<void>
LoadRunner::SendCalls()
{
  std::exponential_distribution<double> gap(this->plan.requestsPerSecond);
  asio::steady_timer timer(this->context);
  double at = gap(this->random);
  while (at < this->plan.durationSeconds) {
    const auto scheduled = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(at));
    PlannedCall call = this->DrawCall(scheduled);
    timer.expires_at(this->startedAt + scheduled);
    co_await timer.async_wait(kTuple);
    ++this->inFlight;
    asio::co_spawn(this->context, this->RunCall(std::move(call)), asio::detached);
    at += gap(this->random);
  }
  this->sending = false;
}

const LoadAccount&
LoadRunner::DrawAccount()
{
  double total = 0;
  for (const LoadAccount& account : this->plan.accounts) {
    total += account.weight;
  }
  double point = this->DrawUniform() * total;
  for (const LoadAccount& account : this->plan.accounts) {
    point -= account.weight;
    if (point < 0) {
      return account;
    }
  }
  return this->plan.accounts.back();
}

LoadRunner::PlannedCall
LoadRunner::DrawCall(Duration aScheduled)
{
  PlannedCall call;
  CallRecord& record = call.record;
  record.scheduledAt = aScheduled;
  record.account = this->DrawAccount().name;
  record.entry = this->plan.entries[this->random() % this->plan.entries.size()];
  record.requestId =
    "load-" + std::to_string(this->plan.seed) + "-" + std::to_string(++this->sequence);
  record.timeout = std::chrono::seconds(10);
  const double point = this->DrawUniform();
  if (point < this->plan.bookingShare) {
    record.kind = CallKind::Booking;
    record.idempotencyKey = "key-" + record.requestId;
    call.body = "{\"booking\":\"" + record.requestId + "\"}";
  } else if (point < this->plan.bookingShare + this->plan.lookupShare) {
    record.kind = CallKind::Lookup;
  } else {
    this->DrawCompletion(call);
  }
  return call;
}

void
LoadRunner::DrawCompletion(PlannedCall& aCall)
{
  double point = this->DrawUniform();
  const LengthBand* band = &this->plan.bands.back();
  for (const LengthBand& candidate : this->plan.bands) {
    point -= candidate.share;
    if (point < 0) {
      band = &candidate;
      break;
    }
  }
  const double low = std::log(band->minTokens);
  const double high = std::log(band->maxTokens);
  const auto tokens =
    static_cast<std::uint32_t>(std::exp(low + this->DrawUniform() * (high - low)));
  aCall.prompt = this->DrawPrompt(tokens);
  aCall.outputTokens = band->outputTokens;
  aCall.record.timeout = band->timeout;
  aCall.record.promptTokens = tokens;
  const nlohmann::json body{ { "model", this->plan.model },
                             { "prompt", aCall.prompt },
                             { "max_tokens", band->outputTokens },
                             { "stream", true } };
  aCall.body = body.dump();
}

std::string
LoadRunner::DrawPrompt(std::uint32_t aTokens)
{
  const std::size_t bytes = aTokens * kBytesPerToken;
  if (this->DrawUniform() >= this->plan.sharedPrefixShare) {
    return MakeRandomText(this->random(), bytes);
  }
  // Three quarters are a document shared by prompts of the same size class (log2 of the tokens),
  // the rest is unique.
  const auto size = static_cast<std::uint64_t>(std::log2(aTokens));
  const std::uint64_t document = this->random() % this->plan.sharedDocuments;
  const std::size_t shared = bytes / 4 * 3;
  return MakeRandomText(this->plan.seed * 1000 + size * 100 + document, shared) +
         MakeRandomText(this->random(), bytes - shared);
}

HttpCall
LoadRunner::MakeCall(const PlannedCall& aCall) const
{
  static constexpr std::array<const char*, 3> kMethods{ "POST", "POST", "GET" };
  const CallRecord& record = aCall.record;
  std::string key;
  for (const LoadAccount& account : this->plan.accounts) {
    key = account.name == record.account ? account.apiKey : key;
  }
  HttpCall call;
  call.address = record.entry;
  call.method = kMethods.at(static_cast<std::size_t>(record.kind));
  call.target = record.kind == CallKind::Completion ? "/v1/completions" : this->plan.bookingPath;
  call.fields = { { "Authorization", "Bearer " + key },
                  { "Content-Type", "application/json" },
                  { "X-Request-Id", record.requestId },
                  { "Sycamorepost-Timeout", std::to_string(ToMillis(record.timeout)) + "ms" } };
  if (!record.idempotencyKey.empty()) {
    call.fields.emplace_back("Idempotency-Key", record.idempotencyKey);
  }
  call.body = MakeBody(aCall.body);
  call.timeout = record.timeout + kResponseMargin;
  return call;
}

asio::awaitable<void>
LoadRunner::RunCall(PlannedCall aCall)
{
  if (aCall.record.kind == CallKind::Completion) {
    co_await this->RunCompletion(std::move(aCall));
  } else if (aCall.record.kind == CallKind::Booking) {
    co_await this->RunBooking(std::move(aCall));
  } else {
    co_await this->SendPlainCall(aCall);
  }
  --this->inFlight;
}

asio::awaitable<void>
LoadRunner::RunCompletion(PlannedCall aCall)
{
  CallRecord record = aCall.record;
  record.sentAt = this->Elapsed();
  auto stream = std::make_shared<HttpStream>(this->context.get_executor());
  const HttpReply head = co_await stream->Open(this->MakeCall(aCall));
  record.status = head.status;
  record.outcome = FindField(head.fields, "Sycamorepost-Outcome");
  std::string buffer;
  std::string text;
  bool done = false;
  if (head.stage == HttpStage::Responded) {
    while (auto piece = co_await stream->Read(record.timeout + kResponseMargin)) {
      buffer += *piece;
      if (head.status != 200) {
        continue;
      }
      done = ConsumeEvents(buffer, text, record.errorCode) || done;
      if (record.firstTokenAt == Duration::zero() && !text.empty()) {
        record.firstTokenAt = this->Elapsed();
      }
    }
  }
  record.endedAt = this->Elapsed();
  if (head.status == 200) {
    record.outcome = done ? "done" : record.errorCode.empty() ? "" : "failed";
  } else {
    record.errorCode = ParseErrorCode(buffer);
  }
  record.isComplete =
    done && (!this->plan.expectedResponse ||
             text == this->plan.expectedResponse(aCall.prompt, aCall.outputTokens));
  this->history.push_back(std::move(record));
}

// Repeats a booking with the same idempotency key, each time at another entry if there is one,
// until its outcome is "done" or the tries are used up.
asio::awaitable<void>
LoadRunner::RunBooking(PlannedCall aCall)
{
  for (int attempt = 0; attempt < this->plan.maxBookingTries; ++attempt) {
    const bool done = co_await this->SendPlainCall(aCall);
    if (done) {
      co_return;
    }
    asio::steady_timer timer(this->context, kBookingRetryDelay * (attempt + 1));
    co_await timer.async_wait(kTuple);
    aCall.record.entry = this->PickOtherEntry(aCall.record.entry);
  }
}

asio::awaitable<bool>
LoadRunner::SendPlainCall(PlannedCall& aCall)
{
  CallRecord record = aCall.record;
  record.sentAt = this->Elapsed();
  const HttpReply reply = co_await Fetch(this->MakeCall(aCall));
  record.endedAt = this->Elapsed();
  record.status = reply.stage == HttpStage::Responded ? reply.status : 0;
  record.outcome = FindField(reply.fields, "Sycamorepost-Outcome");
  record.errorCode = record.outcome == "done" ? "" : ParseErrorCode(reply.body);
  record.response = record.outcome == "done" ? reply.body : "";
  record.isComplete = record.outcome == "done";
  this->history.push_back(record);
  co_return record.outcome == "done";
}

std::string
LoadRunner::PickOtherEntry(const std::string& aEntry)
{
  std::string other = aEntry;
  while (this->plan.entries.size() > 1 && other == aEntry) {
    other = this->plan.entries[this->random() % this->plan.entries.size()];
  }
  return other;
}

History
RunLoad(const LoadPlan& aPlan)
{
  asio::io_context context(1);
  LoadRunner runner(context, aPlan);
  runner.Start();
  context.run();
  return runner.Records();
}

} // namespace sycamorepost::load
