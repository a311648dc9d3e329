#include <algorithm>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "platform/RequestCodec.h"
#include "runtime/ForwardDaemon.h"
#include "runtime/Node.h"

namespace sycamorepost {

namespace {

constexpr auto kTuple = asio::as_tuple(asio::use_awaitable);

// Bytes that wait for a slow caller before its target is read no further.
constexpr std::size_t kMaxUnsentBytes = 256 * 1024;

} // namespace

// ---- Caller sessions ----

ForwardDaemon::Session*
ForwardDaemon::FindSession(std::uint64_t aHandle)
{
  const auto found = this->sessions.find(aHandle);
  return found == this->sessions.end() ? nullptr : found->second.get();
}

void
ForwardDaemon::Execute(BeginResponse& aBegin)
{
  if (Session* session = this->FindSession(aBegin.handle)) {
    session->begin = std::move(aBegin);
    session->changed.cancel();
  }
}

void
ForwardDaemon::Execute(WriteResponse& aWrite)
{
  if (Session* session = this->FindSession(aWrite.handle)) {
    if (this->HoldUnsent(*session, aWrite.bytes.size())) {
      session->unsentBytes += aWrite.bytes;
    }
    session->changed.cancel();
  }
}

void
ForwardDaemon::Execute(CompleteResponse& aComplete)
{
  if (Session* session = this->FindSession(aComplete.handle)) {
    session->isComplete = true;
    session->changed.cancel();
  }
}

void
ForwardDaemon::Execute(AbortResponse& aAbort)
{
  if (Session* session = this->FindSession(aAbort.handle)) {
    session->isAborted = true;
    session->changed.cancel();
  }
}

void
ForwardDaemon::Execute(SendResponse& aResponse)
{
  if (Session* session = this->FindSession(aResponse.handle)) {
    if (this->HoldUnsent(*session, aResponse.body.size())) {
      session->response = std::move(aResponse);
    }
    session->changed.cancel();
  }
}

// Reserves memory for a part of a response. If there is none, the response is aborted and this
// returns false: its request may have run, so it is not refused.
bool
ForwardDaemon::HoldUnsent(Session& aSession, std::size_t aBytes)
{
  if (aSession.isAborted) {
    return false;
  }
  if (!aSession.unsentAccount.Reserve(aBytes, Now())) {
    aSession.isAborted = true;
    this->metrics.Count("caller_responses_aborted", "memory");
    return false;
  }
  return true;
}

asio::awaitable<void>
ForwardDaemon::Serve(HttpRequest aRequest, HttpExchange& aExchange)
{
  const std::uint64_t handle = ++this->lastHandle;
  const auto session = std::make_shared<Session>(this->context, this->ledger);
  session->startedAt = Now();
  session->request =
    std::make_shared<const ForwardRequest>(platform::DecodeRequest(aRequest, handle));
  aRequest = {};
  this->sessions[handle] = session;
  aExchange.WatchClose(session, [this, handle] { this->EndSession(handle); });
  this->Step(*session->request);
  co_await this->DeliverResponse(*session, aExchange);
  this->Step(ForwardCallerDisconnected{ handle });
  this->sessions.erase(handle);
  this->metrics.Observe("request", "", Now() - session->startedAt);
}

// Ends the request of a caller that has disconnected. The reducer has no effect for it, so the
// session is resumed here.
void
ForwardDaemon::EndSession(std::uint64_t aHandle)
{
  this->Step(ForwardCallerDisconnected{ aHandle });
  if (Session* session = this->FindSession(aHandle)) {
    session->changed.cancel();
  }
}

asio::awaitable<void>
ForwardDaemon::DeliverResponse(Session& aSession, HttpExchange& aExchange)
{
  while (!aSession.begin && !aSession.response && !aSession.isAborted) {
    const bool open = this->reducer.HasRequest(aSession.request->handle);
    if (!open) {
      aExchange.DisableKeepAlive();
      co_return; // The caller disconnected.
    }
    co_await this->WaitForChange(aSession);
  }
  if (aSession.response) {
    SendResponse& response = *aSession.response;
    std::vector<Field> fields = std::move(response.fields);
    if (fields.empty()) {
      fields = platform::EncodeRefusalFields(aSession.request->requestId, response.retryAfter);
    }
    co_await aExchange.Respond(
      response.status, std::move(fields), MakeBody(std::move(response.body)));
  } else if (aSession.begin) {
    this->metrics.Observe(
      "first_event", LengthClass(aSession.request->promptTokens), Now() - aSession.startedAt);
    co_await this->DeliverStream(aSession, aExchange);
  } else {
    aExchange.DisableKeepAlive();
  }
}

asio::awaitable<void>
ForwardDaemon::DeliverStream(Session& aSession, HttpExchange& aExchange)
{
  bool open =
    co_await aExchange.BeginStream(aSession.begin->status, std::move(aSession.begin->fields));
  while (open) {
    if (!aSession.unsentBytes.empty()) {
      std::string bytes = std::exchange(aSession.unsentBytes, {});
      aSession.written.cancel();
      const std::size_t size = bytes.size();
      open = co_await aExchange.Write(std::move(bytes));
      aSession.unsentAccount.Release(size);
    } else if (aSession.isComplete) {
      co_await aExchange.EndStream({});
      co_return;
    } else if (aSession.isAborted || !this->reducer.HasRequest(aSession.request->handle)) {
      break;
    } else {
      co_await this->WaitForChange(aSession);
    }
  }
  aExchange.DisableKeepAlive();
}

asio::awaitable<void>
ForwardDaemon::WaitForChange(Session& aSession)
{
  aSession.changed.expires_at(std::chrono::steady_clock::time_point::max());
  co_await aSession.changed.async_wait(kTuple);
}

// ---- Attempts and reservation commands ----

asio::awaitable<void>
ForwardDaemon::RunAttempt(std::uint64_t aAttempt,
                          HttpCall aCall,
                          std::shared_ptr<Session> aSession,
                          std::shared_ptr<HttpStream> aStream)
{
  const Instant deadline = Now() + aCall.timeout;
  const HttpReply head = co_await aStream->Open(std::move(aCall));
  if (!this->attempts.contains(aAttempt)) {
    co_return;
  }
  AttemptEnd end{ aAttempt, AttemptEndKind::Aborted, head.reason };
  if (head.stage == HttpStage::Responded) {
    this->Step(platform::DecodeResponseHead(aAttempt, aSession->request->requestId, head));
    while (this->attempts.contains(aAttempt)) {
      co_await this->AwaitCaller(aAttempt, *aSession);
      auto piece = co_await aStream->Read(std::max(Duration(1), deadline - Now()));
      if (!piece) {
        break;
      }
      if (this->attempts.contains(aAttempt)) {
        this->Step(AttemptData{ aAttempt, std::move(*piece) });
      }
    }
    end.kind = aStream->Complete() ? AttemptEndKind::Complete : AttemptEndKind::Aborted;
    end.reason = aStream->Error();
    end.endedByClose = aStream->EndsWithConnection();
  } else if (head.stage == HttpStage::NotConnected) {
    end.kind = AttemptEndKind::NotConnected;
  }
  if (this->attempts.erase(aAttempt) > 0) {
    aStream->Close();
    this->Step(end);
  }
}

// Waits while the caller has not taken what its target has sent. The attempt may end meanwhile.
asio::awaitable<void>
ForwardDaemon::AwaitCaller(std::uint64_t aAttempt, Session& aSession)
{
  static constexpr Duration kPollInterval = std::chrono::milliseconds(100);
  while (aSession.unsentBytes.size() > kMaxUnsentBytes && this->attempts.contains(aAttempt)) {
    aSession.written.expires_after(kPollInterval);
    co_await aSession.written.async_wait(kTuple);
  }
}

asio::awaitable<void>
ForwardDaemon::RunCheck(CheckTarget aCheck)
{
  const Reachability reachability = co_await CheckReachability(aCheck.address);
  this->Step(TargetChecked{ aCheck.instance, reachability });
}

asio::awaitable<void>
ForwardDaemon::RunReservationCommand(SendReservationCommand aCommand)
{
  const HttpReply reply = co_await Fetch(platform::EncodeReservationCommand(aCommand));
  this->Step(platform::DecodeReservationEnd(aCommand, reply));
}

} // namespace sycamorepost
