#include "runtime/EntryDaemon.h"

#include <algorithm>
#include <array>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/uuid/random_generator.hpp>
#include <boost/uuid/uuid_io.hpp>
#include <glog/logging.h>
#include <nlohmann/json.hpp>

#include "runtime/KeyDigest.h"

namespace sycamorepost {

namespace {

constexpr auto kTuple = asio::as_tuple(asio::use_awaitable);
constexpr const char* kOutcomeField = "Sycamorepost-Outcome";
constexpr const char* kRequestIdField = "X-Request-Id";
constexpr const char* kTimeoutField = "Sycamorepost-Timeout";
constexpr std::size_t kMaxRequestIdBytes = 128;
constexpr std::size_t kMaxReasonBytes = 200;
constexpr Duration kDrainPollInterval = std::chrono::milliseconds(50);

// Returns whether a caller's header field is withheld from plain services.
bool
IsWithheldField(beast::string_view aName)
{
  static constexpr std::array<const char*, 10> kNames{
    "Authorization",    "Host",    "Connection", "Content-Length", "Transfer-Encoding",
    "Proxy-Connection", "Upgrade", "Expect",     "Keep-Alive",     "X-Request-Id"
  };
  return IsOneOf(aName, kNames);
}

std::string
MakeRequestId()
{
  static boost::uuids::random_generator sGenerator;
  return boost::uuids::to_string(sGenerator());
}

bool
IsVisibleAscii(const std::string& aText)
{
  return std::all_of(
    aText.begin(), aText.end(), [](char aChar) { return aChar > ' ' && aChar < '\x7f'; });
}

ResponseEnd
BadRequest(std::string aCode, std::string aMessage)
{
  ResponseEnd end;
  end.status = 400;
  end.code = std::move(aCode);
  end.message = std::move(aMessage);
  return end;
}

} // namespace

EntryDaemon::EntryDaemon(const EntrySettings& aSettings)
  : settings(aSettings)
  , ledger(CallerMemory(aSettings.memory))
  , node(aSettings.node,
         NodeHooks{
           [this](Envelope aEnvelope) { this->Step(MessageReceived{ std::move(aEnvelope) }); },
           [](const PeerUnreachable& /*aPeer*/) {
           }, // Ignored: the entry detects a lost peer by its missing messages.
           [this](RulesChanged aChanged) {
             this->rules = aChanged.rules;
             this->rulesKnown = true;
             this->Step(aChanged);
           },
           [this](FleetChanged aChanged) {
             this->fleetKnown = true;
             this->Step(aChanged);
           },
           [this] { this->OnTerminate(); },
           [this] { return this->rulesKnown && this->fleetKnown && !this->draining; },
           [this] { return this->reducer.Dump(Now()); } })
  , reducer(EntryConfig{ .address = aSettings.node.address,
                         .domain = aSettings.node.domain,
                         .seed = this->node.Incarnation() })
  , server(
      this->node.Context(),
      HttpLimits{ .headerBytes = aSettings.headerBytes,
                  .bodyBytes = aSettings.bodyBytes,
                  .connections = aSettings.connections,
                  .headerTimeout = aSettings.readTimeout,
                  .bodyTimeout = aSettings.readTimeout },
      [this](HttpRequest aRequest, HttpExchange& aExchange) {
        return this->Serve(std::move(aRequest), aExchange);
      },
      &this->ledger)
{
  this->server.SetRefusalHandler([this](HttpRefusal aRefusal) {
    this->node.ProcessMetrics().Count("caller_refusals", ToString(aRefusal));
  });
  this->server.SetErrorBodyFormatter([](int aStatus, const std::string& aMessage) {
    return FormatErrorBody(aStatus, "http_" + std::to_string(aStatus), aMessage);
  });
}

int
EntryDaemon::Run()
{
  std::string reason;
  if (!this->node.Start(reason)) {
    LOG(ERROR) << "[entry] " << reason;
    return 1;
  }
  if (!this->server.Listen(*ParseEndpoint(this->settings.httpAddress), reason)) {
    LOG(ERROR) << "[entry] cannot listen on " << this->settings.httpAddress << ": " << reason;
    return 1;
  }
  LOG(INFO) << "[entry] serving on " << this->settings.httpAddress;
  this->node.Run();
  LOG(INFO) << "[entry] stopped";
  return 0;
}

void
EntryDaemon::Step(const EntryEvent& aEvent)
{
  for (EntryEffect& effect : this->reducer.Step(aEvent, Now())) {
    std::visit([this](auto& aEffect) { this->Execute(aEffect); }, effect);
  }
  this->node.ArmWake(this->reducer.NextWake(), [this] { this->Step(Wake{}); });
}

template<typename Effect>
void
EntryDaemon::Execute(Effect& aEffect)
{
  this->node.Execute(aEffect);
}

void
EntryDaemon::Execute(ResponseText& aText)
{
  const auto pending = this->pendingResponses.find(aText.handle);
  if (pending != this->pendingResponses.end()) {
    pending->second->texts.push_back(std::move(aText));
    pending->second->changed.cancel();
  }
}

void
EntryDaemon::Execute(ResponseEnd& aEnd)
{
  const auto pending = this->pendingResponses.find(aEnd.handle);
  if (pending != this->pendingResponses.end()) {
    pending->second->end = std::move(aEnd);
    pending->second->changed.cancel();
  }
}

void
EntryDaemon::OnTerminate()
{
  if (!this->draining) {
    this->draining = true;
    asio::co_spawn(this->node.Context(), this->Drain(), asio::detached);
  }
}

// Keeps accepting requests during the drain delay: /readyz already fails, but the balancer sends
// new requests until it has noticed.
asio::awaitable<void>
EntryDaemon::Drain()
{
  asio::steady_timer timer(this->node.Context(), this->settings.drainDelay);
  co_await timer.async_wait(kTuple);
  this->server.StopAccepting();
  while (this->server.ActiveRequests() > 0 || this->reducer.InFlight() > 0) {
    timer.expires_after(kDrainPollInterval);
    co_await timer.async_wait(kTuple);
  }
  this->node.Stop();
}

// ---- Caller sessions ----

asio::awaitable<void>
EntryDaemon::Serve(HttpRequest aRequest, HttpExchange& aExchange)
{
  CallerSession session;
  session.startedAt = Now();
  session.requestId = aRequest.Field(kRequestIdField);
  const bool hasValidId = !session.requestId.empty() &&
                          session.requestId.size() <= kMaxRequestIdBytes &&
                          IsVisibleAscii(session.requestId);
  if (!hasValidId) {
    session.requestId = MakeRequestId();
  }
  CallerRequest call;
  ResponseEnd refusal;
  const bool built = this->BuildRequest(aRequest, session, call, refusal);
  if (!built) {
    this->node.ProcessMetrics().Count("refusals", refusal.code);
    co_await this->SendError(session.requestId, refusal, aExchange);
    co_return;
  }
  if (call.path == "/v1/models" && call.method == "GET" &&
      this->rules->accounts.FindByKey(call.keyDigest)) {
    co_await this->ServeModels(session.requestId, aExchange);
    co_return;
  }
  session.handle = call.handle;
  session.pending = std::make_shared<PendingResponse>(this->node.Context());
  this->pendingResponses[session.handle] = session.pending;
  aExchange.WatchClose(
    session.pending, [this, handle = session.handle] { this->Step(CallerDisconnected{ handle }); });
  this->Step(call);
  call = {};
  co_await this->DeliverResponse(session, aExchange);
  this->pendingResponses.erase(session.handle);
  this->node.ProcessMetrics().Observe(
    "request", session.completion ? "completion" : "service", Now() - session.startedAt);
}

bool
EntryDaemon::BuildRequest(const HttpRequest& aRequest,
                          CallerSession& aSession,
                          CallerRequest& aCall,
                          ResponseEnd& aRefusal)
{
  if (!this->rulesKnown) {
    aRefusal = BadRequest("not_ready", "The entry has no rules yet.");
    aRefusal.status = 503;
    aRefusal.retryAfterSeconds = 1;
    return false;
  }
  static constexpr std::string_view kBearer = "Bearer ";
  const std::string authorization = aRequest.Field("Authorization");
  aCall.handle = ++this->lastHandle;
  aCall.requestId = aSession.requestId;
  if (authorization.starts_with(kBearer)) {
    aCall.keyDigest = DigestKey(authorization.substr(kBearer.size()));
  }
  aCall.method = aRequest.method;
  aCall.path = aRequest.target;
  aCall.body = aRequest.body;
  aCall.idempotencyKey = aRequest.Field("Idempotency-Key");
  aCall.wallClockMs = std::chrono::duration_cast<std::chrono::milliseconds>(
                        std::chrono::system_clock::now().time_since_epoch())
                        .count();
  for (const auto& field : aRequest.fields) {
    if (!IsWithheldField(field.name_string())) {
      aCall.headers.emplace_back(std::string(field.name_string()), std::string(field.value()));
    }
  }
  const std::string timeout = aRequest.Field(kTimeoutField);
  if (!timeout.empty()) {
    aCall.timeout = ParseDuration(timeout);
    if (!aCall.timeout) {
      aRefusal = BadRequest("invalid_timeout", "'" + timeout + "' is no span such as 10s.");
      return false;
    }
  }
  if (!IsCompletionPath(aRequest.Path())) {
    return true;
  }
  if (aRequest.method != "POST") {
    aRefusal = BadRequest("method_not_allowed", "Completions take POST.");
    aRefusal.status = 405;
    return false;
  }
  // Spends no time on the body of an unauthenticated request: the reducer refuses it by its key.
  if (!this->rules->accounts.FindByKey(aCall.keyDigest)) {
    return true;
  }
  std::string reason;
  aSession.completion = ParseCompletion(aRequest.Path(), *aRequest.body, reason);
  if (!aSession.completion) {
    aRefusal =
      BadRequest("invalid_request", "The body is wrong: " + reason.substr(0, kMaxReasonBytes));
    return false;
  }
  aCall.completion = aSession.completion->shape;
  return true;
}

asio::awaitable<void>
EntryDaemon::ServeModels(const std::string& aRequestId, HttpExchange& aExchange)
{
  nlohmann::json list = nlohmann::json::array();
  for (const auto& [name, model] : this->rules->models) {
    list.push_back({ { "id", name }, { "object", "model" }, { "owned_by", "sycamorepost" } });
  }
  const nlohmann::json body{ { "object", "list" }, { "data", list } };
  std::vector<Field> fields{ { "Content-Type", "application/json" },
                             { kRequestIdField, aRequestId },
                             { kOutcomeField, ToString(Outcome::Done) } };
  co_await aExchange.Respond(200, std::move(fields), MakeBody(body.dump()));
}

asio::awaitable<void>
EntryDaemon::DeliverResponse(CallerSession& aSession, HttpExchange& aExchange)
{
  while (aSession.pending->texts.empty() && !aSession.pending->end) {
    co_await this->WaitForChange(aSession);
  }
  if (aSession.completion && aSession.completion->stream && !aSession.pending->texts.empty()) {
    co_await this->DeliverStream(aSession, aExchange);
  } else {
    co_await this->DeliverBuffered(aSession, aExchange);
  }
}

asio::awaitable<void>
EntryDaemon::WaitForChange(CallerSession& aSession)
{
  aSession.pending->changed.expires_at(std::chrono::steady_clock::time_point::max());
  co_await aSession.pending->changed.async_wait(kTuple);
}

void
EntryDaemon::RecordFirstToken(const CallerSession& aSession)
{
  this->node.ProcessMetrics().Observe("first_token",
                                      LengthClass(aSession.completion->shape.promptTokens),
                                      Now() - aSession.startedAt);
}

asio::awaitable<void>
EntryDaemon::DeliverStream(CallerSession& aSession, HttpExchange& aExchange)
{
  this->RecordFirstToken(aSession);
  PendingResponse& pending = *aSession.pending;
  std::vector<Field> fields{ { "Content-Type", "text/event-stream" },
                             { "Cache-Control", "no-cache" },
                             { "Trailer", kOutcomeField },
                             { kRequestIdField, aSession.requestId } };
  bool open = co_await aExchange.BeginStream(200, std::move(fields));
  while (open) {
    std::string piece;
    for (const ResponseText& text : std::exchange(pending.texts, {})) {
      piece += FormatTextEvent(aSession.requestId, *aSession.completion, *text.text);
    }
    const bool ended = pending.end.has_value();
    if (ended) {
      piece += pending.end->outcome == Outcome::Done
                 ? FormatDoneEvent()
                 : FormatErrorEvent(pending.end->code, pending.end->message, pending.end->outcome);
    }
    open = co_await aExchange.Write(std::move(piece));
    if (ended) {
      std::vector<Field> trailer{ { kOutcomeField, ToString(pending.end->outcome) } };
      co_await aExchange.EndStream(std::move(trailer));
      co_return;
    }
    if (open && pending.texts.empty() && !pending.end) {
      co_await this->WaitForChange(aSession);
    }
  }
  this->Step(CallerDisconnected{ aSession.handle });
}

asio::awaitable<void>
EntryDaemon::DeliverBuffered(CallerSession& aSession, HttpExchange& aExchange)
{
  std::string text;
  bool first = true;
  PendingResponse& pending = *aSession.pending;
  while (true) {
    for (const ResponseText& piece : std::exchange(pending.texts, {})) {
      if (std::exchange(first, false)) {
        this->RecordFirstToken(aSession);
      }
      text += *piece.text;
    }
    if (pending.end) {
      break;
    }
    co_await this->WaitForChange(aSession);
  }
  if (!pending.end->code.empty()) {
    co_await this->SendError(aSession.requestId, *pending.end, aExchange);
  } else {
    co_await this->SendFullResponse(aSession, text, aExchange);
  }
}

asio::awaitable<void>
EntryDaemon::SendFullResponse(CallerSession& aSession,
                              const std::string& aText,
                              HttpExchange& aExchange)
{
  const ResponseEnd& end = *aSession.pending->end;
  std::vector<Field> fields = end.headers;
  SharedBody body = end.body;
  if (aSession.completion) {
    fields.emplace_back("Content-Type", "application/json");
    body = MakeBody(FormatResponse(aSession.requestId, *aSession.completion, aText, end.tokens));
  }
  fields.emplace_back(kRequestIdField, aSession.requestId);
  fields.emplace_back(kOutcomeField, ToString(end.outcome));
  co_await aExchange.Respond(end.status, std::move(fields), std::move(body));
}

asio::awaitable<void>
EntryDaemon::SendError(const std::string& aRequestId,
                       const ResponseEnd& aEnd,
                       HttpExchange& aExchange)
{
  std::vector<Field> fields{ { "Content-Type", "application/json" },
                             { kRequestIdField, aRequestId },
                             { kOutcomeField, ToString(aEnd.outcome) } };
  if (aEnd.retryAfterSeconds) {
    fields.emplace_back("Retry-After", std::to_string(*aEnd.retryAfterSeconds));
  }
  co_await aExchange.Respond(aEnd.status,
                             std::move(fields),
                             MakeBody(FormatErrorBody(aEnd.status, aEnd.code, aEnd.message)));
}

} // namespace sycamorepost
