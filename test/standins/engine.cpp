// Stand-in of a model engine, with continuous batching, chunked prefill in order of priority at a
// cost that grows faster than linearly, limited KV memory, a prefix cache, resuming, cancelling and
// fault injection.
#include <list>
#include <map>
#include <memory>
#include <random>
#include <unordered_map>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <gflags/gflags.h>
#include <unistd.h>

#include "EngineText.h"
#include "StandIn.h"
#include "adapters/CompletionApi.h"
#include "sycamorepost/internal/Text.h"

DEFINE_string(listen, "", "The ip:port to listen on.");
DEFINE_uint64(capacity, 400'000, "KV memory in tokens.");
DEFINE_double(prefill_us,
              3,
              "Prefill time of one token at the start of a prompt, in microseconds.");
DEFINE_double(prefill_growth,
              1e-5,
              "Additional prefill time of a token for each preceding token, in microseconds.");
DEFINE_double(decode_ms, 8, "Duration of one decode step, in milliseconds.");
DEFINE_uint32(chunk, 4096, "Maximum number of prompt tokens in one prefill step.");
DEFINE_string(crash_on, "", "A prompt that contains this text crashes the engine.");

namespace sycamorepost::standin {
namespace {

constexpr std::uint32_t kTokensPerBlock = 256;
constexpr Duration kKeepAliveInterval = std::chrono::seconds(1);
constexpr Duration kCrashDelay = std::chrono::milliseconds(30);

// Hashes of the prompt blocks whose KV cache is kept after their request has ended, least
// recently used first.
class PrefixCache
{
public:
  // Returns the number of leading blocks that are cached and marks them as most recently used.
  std::size_t Lookup(const std::vector<std::uint64_t>& aBlocks)
  {
    std::size_t count = 0;
    for (const std::uint64_t hash : aBlocks) {
      const auto found = this->positions.find(hash);
      if (found == this->positions.end()) {
        break;
      }
      this->lruOrder.splice(this->lruOrder.end(), this->lruOrder, found->second);
      ++count;
    }
    return count;
  }

  void Add(const std::vector<std::uint64_t>& aBlocks)
  {
    for (const std::uint64_t hash : aBlocks) {
      if (!this->positions.contains(hash)) {
        this->positions[hash] = this->lruOrder.insert(this->lruOrder.end(), hash);
      }
    }
  }

  void ShrinkTo(std::uint64_t aTokens)
  {
    while (!this->lruOrder.empty() && this->Tokens() > aTokens) {
      this->positions.erase(this->lruOrder.front());
      this->lruOrder.pop_front();
    }
  }

  std::uint64_t Tokens() const { return this->lruOrder.size() * kTokensPerBlock; }

private:
  std::list<std::uint64_t> lruOrder;
  std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> positions;
};

struct Sequence
{
  explicit Sequence(asio::io_context& aContext)
    : changed(aContext)
  {
  }

  std::uint64_t id = 0;
  std::int64_t priority = 0;
  std::uint32_t promptTokens = 0;
  std::uint32_t cachedTokens = 0;
  std::uint32_t prefilledTokens = 0;
  std::uint64_t outputTokens = 0;
  std::uint64_t maxOutputTokens = 0;
  std::uint64_t promptHash = 0;
  std::vector<std::uint64_t> blocks;
  double prefillMs = 0;
  Instant firstTokenAt;
  bool isCancelled = false;
  std::string output; // Lines to send to the caller.
  asio::steady_timer changed;

  std::uint32_t prefillBegin = 0; // The first prompt token that this run prefills.
  bool isSegment = false;         // Prefills only a segment of the prompt and exports its KV cache.
  bool isExported = false;

  std::uint64_t RequiredTokens() const
  {
    return this->promptTokens - this->prefillBegin + this->maxOutputTokens;
  }
  bool IsEnded() const
  {
    return this->isCancelled ||
           (this->isSegment ? this->isExported : this->outputTokens >= this->maxOutputTokens);
  }
};

class Engine
{
public:
  explicit Engine(asio::io_context& aContext)
    : context(aContext)
    , workAvailable(aContext)
    , incarnation(std::to_string(std::random_device{}()) + "-" + std::to_string(getpid()))
  {
    asio::co_spawn(this->context, this->RunBatches(), asio::detached);
  }

  asio::awaitable<void> Serve(HttpRequest aRequest, HttpExchange& aExchange)
  {
    static constexpr std::string_view kRequestsPath = "/requests/";
    const std::string path = aRequest.Path();
    if (IsCompletionPath(path)) {
      co_await this->Complete(std::move(aRequest), aExchange);
    } else if (path == "/report") {
      co_await RespondJson(aExchange, 200, this->Report());
    } else if (path.starts_with(kRequestsPath)) {
      this->Cancel(path.substr(kRequestsPath.size()));
      co_await RespondJson(aExchange, 200, nlohmann::json::object());
    } else if (path.starts_with("/kv/")) {
      co_await this->ServeReservation(std::move(aRequest), aExchange);
    } else if (path == "/faults") {
      const nlohmann::json json = ParseBody(aRequest);
      this->slowdown = json.value("slow", 1.0);
      co_await RespondJson(aExchange, 200, nlohmann::json::object());
    } else {
      co_await RespondError(aExchange, 404, "unknown path");
    }
  }

private:
  nlohmann::json Report() const
  {
    nlohmann::json running = nlohmann::json::array();
    for (const auto& [id, sequence] : this->sequences) {
      running.push_back(id);
    }
    nlohmann::json storedReservations = nlohmann::json::array();
    for (const auto& [reservation, tokens] : this->reservations) {
      storedReservations.push_back(reservation);
    }
    return { { "boot", this->incarnation },
             { "capacity", FLAGS_capacity },
             { "used", this->usedTokens },
             { "cached", this->cache.Tokens() },
             { "held", std::move(storedReservations) },
             { "running", std::move(running) } };
  }

  std::shared_ptr<Sequence> MakeSequence(const HttpRequest& aRequest)
  {
    std::string reason;
    const auto parsed = ParseCompletion(aRequest.Path(), *aRequest.body, reason);
    if (!parsed) {
      return nullptr;
    }
    const nlohmann::json body = nlohmann::json::parse(*aRequest.body);
    std::string prompt = body.value("prompt", "");
    for (const nlohmann::json& message : body.value("messages", nlohmann::json::array())) {
      prompt += message.at("role").get<std::string>() + ": " +
                message.at("content").get<std::string>() + "\n";
    }
    auto sequence = std::make_shared<Sequence>(this->context);
    sequence->id = internal::ParseNumber<std::uint64_t>(aRequest.Field("X-Request-Id")).value_or(0);
    sequence->priority =
      internal::ParseNumber<std::int64_t>(aRequest.Field("X-Priority")).value_or(0);
    sequence->outputTokens =
      internal::ParseNumber<std::uint64_t>(aRequest.Field("X-Resume-Offset")).value_or(0);
    sequence->promptTokens = parsed->shape.promptTokens;
    sequence->maxOutputTokens = parsed->shape.maxTokens;
    sequence->promptHash = HashText(prompt);
    sequence->blocks = BlockHashes(prompt);
    this->ParseSegment(aRequest, *sequence);
    if (!FLAGS_crash_on.empty() && prompt.find(FLAGS_crash_on) != std::string::npos) {
      this->crashAt = Now() + kCrashDelay;
    }
    return sequence;
  }

  // Parses which segment of the prompt to prefill when other engines prefill the rest.
  void ParseSegment(const HttpRequest& aRequest, Sequence& aSequence)
  {
    const std::string segment = aRequest.Field("X-Span");
    const std::size_t dash = segment.find('-');
    if (dash != std::string::npos) {
      aSequence.isSegment = true;
      aSequence.prefillBegin =
        internal::ParseNumber<std::uint32_t>(segment.substr(0, dash)).value_or(0);
      aSequence.promptTokens =
        internal::ParseNumber<std::uint32_t>(segment.substr(dash + 1)).value_or(0);
      aSequence.maxOutputTokens = 0;
      aSequence.blocks.clear();
    }
    const auto remoteTokens = internal::ParseNumber<std::uint32_t>(aRequest.Field("X-Held-Tokens"));
    if (remoteTokens) {
      aSequence.prefillBegin = *remoteTokens;
      aSequence.blocks.clear();
    }
  }

  asio::awaitable<void> ServeReservation(HttpRequest aRequest, HttpExchange& aExchange)
  {
    static constexpr std::size_t kPathPrefixLength = 4; // "/kv/"
    const auto reservation =
      internal::ParseNumber<std::uint64_t>(aRequest.Path().substr(kPathPrefixLength)).value_or(0);
    if (aRequest.method == "DELETE") {
      this->usedTokens -=
        this->reservations.contains(reservation) ? this->reservations[reservation] : 0;
      this->reservations.erase(reservation);
      co_await RespondJson(aExchange, 200, nlohmann::json::object());
      co_return;
    }
    const auto tokens =
      internal::ParseNumber<std::uint32_t>(aRequest.Field("X-Tokens")).value_or(0);
    if (this->usedTokens + tokens > FLAGS_capacity || aRequest.body->empty()) {
      co_await RespondError(aExchange, 409, "no memory");
      co_return;
    }
    if (this->reservations.emplace(reservation, tokens).second) {
      this->usedTokens += tokens;
      this->cache.ShrinkTo(FLAGS_capacity - this->usedTokens);
    }
    co_await RespondJson(aExchange, 200, nlohmann::json::object());
  }

  asio::awaitable<void> Complete(HttpRequest aRequest, HttpExchange& aExchange)
  {
    std::shared_ptr<Sequence> sequence = this->MakeSequence(aRequest);
    aRequest = {};
    if (!sequence) {
      co_await RespondError(aExchange, 400, "unreadable body");
      co_return;
    }
    if (this->usedTokens + sequence->RequiredTokens() > FLAGS_capacity) {
      co_await RespondError(aExchange, 409, "no memory");
      co_return;
    }
    this->usedTokens += sequence->RequiredTokens();
    this->cache.ShrinkTo(FLAGS_capacity - this->usedTokens);
    sequence->cachedTokens =
      std::min(sequence->promptTokens,
               static_cast<std::uint32_t>(this->cache.Lookup(sequence->blocks)) * kTokensPerBlock);
    sequence->prefilledTokens = std::max(sequence->cachedTokens, sequence->prefillBegin);
    this->sequences[sequence->id] = sequence;
    this->workAvailable.cancel();
    std::vector<Field> fields{ { "Content-Type", "application/x-ndjson" } };
    bool isOpen = co_await aExchange.BeginStream(200, std::move(fields));
    while (isOpen && (!sequence->IsEnded() || !sequence->output.empty())) {
      if (sequence->output.empty()) {
        sequence->changed.expires_after(kKeepAliveInterval);
        co_await sequence->changed.async_wait(kTuple);
      }
      std::string lines = std::exchange(sequence->output, {});
      if (lines.empty()) {
        lines = "\n";
      }
      isOpen = co_await aExchange.Write(std::move(lines));
    }
    // After the caller disconnects, the sequence runs on until it is cancelled, as in some real
    // engines.
    if (isOpen) {
      co_await aExchange.EndStream({});
    }
  }

  void Cancel(const std::string& aId)
  {
    const auto found = this->sequences.find(internal::ParseNumber<std::uint64_t>(aId).value_or(0));
    if (found != this->sequences.end()) {
      const std::shared_ptr<Sequence> sequence = found->second;
      sequence->isCancelled = true;
      sequence->changed.cancel();
      this->Release(sequence);
    }
  }

  void Release(const std::shared_ptr<Sequence>& aSequence)
  {
    this->usedTokens -= aSequence->RequiredTokens();
    if (aSequence->prefilledTokens >= aSequence->promptTokens) {
      this->cache.Add(aSequence->blocks);
    }
    this->cache.ShrinkTo(FLAGS_capacity - this->usedTokens);
    this->sequences.erase(aSequence->id);
  }

  // Runs batches in a loop. A batch prefills one chunk of the sequence with the lowest priority
  // number and decodes one token of every sequence whose prefill is complete.
  asio::awaitable<void> RunBatches()
  {
    while (true) {
      if (this->sequences.empty()) {
        this->workAvailable.expires_at(std::chrono::steady_clock::time_point::max());
        co_await this->workAvailable.async_wait(kTuple);
      }
      const double prefillMs = this->Prefill();
      std::vector<std::shared_ptr<Sequence>> decoding;
      for (const auto& [id, sequence] : this->sequences) {
        if (sequence->prefilledTokens >= sequence->promptTokens) {
          decoding.push_back(sequence);
        }
      }
      const double decodeMs = decoding.empty() ? 0 : FLAGS_decode_ms;
      const std::chrono::duration<double, std::milli> step((prefillMs + decodeMs) * this->slowdown);
      co_await Sleep(this->context, std::chrono::duration_cast<Duration>(step));
      if (this->crashAt && Now() >= *this->crashAt) {
        _exit(1);
      }
      for (const auto& sequence : decoding) {
        this->EmitToken(sequence);
      }
    }
  }

  double Prefill()
  {
    std::shared_ptr<Sequence> next;
    for (const auto& [id, sequence] : this->sequences) {
      const bool needsPrefill = sequence->prefilledTokens < sequence->promptTokens;
      if (needsPrefill && (!next || sequence->priority < next->priority)) {
        next = sequence;
      }
    }
    if (!next) {
      return 0;
    }
    const std::uint32_t tokens = std::min(FLAGS_chunk, next->promptTokens - next->prefilledTokens);
    const double meanPosition = next->prefilledTokens + tokens / 2.0;
    const double ms = tokens * (FLAGS_prefill_us + meanPosition * FLAGS_prefill_growth) / 1000;
    next->prefilledTokens += tokens;
    next->prefillMs += ms * this->slowdown;
    return ms;
  }

  // Completes a segment run: sends its KV cache in the response and frees it in this engine.
  void Export(const std::shared_ptr<Sequence>& aSequence)
  {
    const std::string cache = "kv of " + std::to_string(aSequence->promptHash) + " from " +
                              std::to_string(aSequence->prefillBegin) + " to " +
                              std::to_string(aSequence->promptTokens);
    const nlohmann::json end{ { "end", 0 },
                              { "cached", 0 },
                              { "prefill_ms", aSequence->prefillMs },
                              { "decode_ms", 0 },
                              { "kv", cache } };
    aSequence->output += end.dump() + "\n";
    aSequence->isExported = true;
    this->Release(aSequence);
    aSequence->changed.cancel();
  }

  void EmitToken(const std::shared_ptr<Sequence>& aSequence)
  {
    if (aSequence->IsEnded()) {
      return;
    }
    if (aSequence->isSegment) {
      this->Export(aSequence);
      return;
    }
    if (aSequence->firstTokenAt == Instant()) {
      aSequence->firstTokenAt = Now();
    }
    const nlohmann::json line{ { "o", aSequence->outputTokens },
                               { "n", 1 },
                               { "t",
                                 GenerateToken(aSequence->promptHash, aSequence->outputTokens) } };
    aSequence->output += line.dump() + "\n";
    ++aSequence->outputTokens;
    if (aSequence->IsEnded()) {
      const nlohmann::json end{ { "end", aSequence->outputTokens },
                                { "cached", aSequence->cachedTokens },
                                { "prefill_ms", aSequence->prefillMs },
                                { "decode_ms", ToMillis(Now() - aSequence->firstTokenAt) } };
      aSequence->output += end.dump() + "\n";
      this->Release(aSequence);
    }
    aSequence->changed.cancel();
  }

  asio::io_context& context;
  asio::steady_timer workAvailable;
  std::string incarnation;
  std::map<std::uint64_t, std::shared_ptr<Sequence>> sequences;
  std::uint64_t usedTokens = 0;
  // Tokens of imported KV caches, by reservation.
  std::map<std::uint64_t, std::uint32_t> reservations;
  PrefixCache cache;
  double slowdown = 1;
  std::optional<Instant> crashAt;
};

} // namespace
} // namespace sycamorepost::standin

int
main(int aCount, char** aArguments)
{
  gflags::ParseCommandLineFlags(&aCount, &aArguments, true);
  return sycamorepost::standin::RunService<sycamorepost::standin::Engine>(FLAGS_listen);
}
