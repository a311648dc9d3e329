#include "net/PeerBus.h"

#include <chrono>
#include <cstring>
#include <deque>

#include <boost/asio/post.hpp>
#include <glog/logging.h>
#include <nng/nng.h>
#include <nng/protocol/pipeline0/pull.h>
#include <nng/protocol/pipeline0/push.h>

namespace sycamorepost {

namespace {

constexpr nng_duration kSendTimeoutMs = 2000;
constexpr nng_duration kRedialMinMs = 50;
constexpr nng_duration kRedialMaxMs = 500;
constexpr std::size_t kMaxQueuedMessages = 20'000;
constexpr auto kMalformedReportInterval = std::chrono::seconds(10);
constexpr auto kIdleTimeout = std::chrono::seconds(60);

std::string
Url(const std::string& aAddress)
{
  return "tcp://" + aAddress;
}

nng_msg*
MakeFrame(const std::string& aHeader, const SharedBody& aBody)
{
  nng_msg* message = nullptr;
  CHECK_EQ(nng_msg_alloc(&message, 0), 0);
  const auto length = static_cast<std::uint32_t>(aHeader.size());
  std::array<unsigned char, 4> prefix{};
  for (std::size_t i = 0; i < prefix.size(); ++i) {
    prefix.at(i) = static_cast<unsigned char>(length >> (8 * i));
  }
  CHECK_EQ(nng_msg_append(message, prefix.data(), prefix.size()), 0);
  CHECK_EQ(nng_msg_append(message, aHeader.data(), aHeader.size()), 0);
  if (aBody) {
    CHECK_EQ(nng_msg_append(message, aBody->data(), aBody->size()), 0);
  }
  return message;
}

std::optional<Envelope>
ParseFrame(nng_msg* aMessage, std::string& aReason)
{
  const auto* bytes = static_cast<const unsigned char*>(nng_msg_body(aMessage));
  const std::size_t size = nng_msg_len(aMessage);
  static constexpr std::size_t kPrefixBytes = 4;
  std::size_t length = 0;
  for (std::size_t i = 0; i < kPrefixBytes && i < size; ++i) {
    length |= static_cast<std::size_t>(bytes[i]) << (8 * i);
  }
  if (size < kPrefixBytes || length > size - kPrefixBytes) {
    aReason = "the frame is truncated";
    return std::nullopt;
  }
  const std::string_view text(reinterpret_cast<const char*>(bytes), size);
  auto envelope = DecodeHeader(text.substr(kPrefixBytes, length), aReason);
  if (envelope) {
    envelope->body = MakeBody(std::string(text.substr(kPrefixBytes + length)));
  }
  return envelope;
}

} // namespace

// The PUSH socket of one peer and the queue of messages to send on it.
class PeerBus::PeerConnection : public std::enable_shared_from_this<PeerBus::PeerConnection>
{
public:
  PeerConnection(boost::asio::io_context& aContext,
                 std::string aPeer,
                 std::uint64_t& aDropped,
                 const SendTimeoutHandler& aOnSendTimeout)
    : context(aContext)
    , peer(std::move(aPeer))
    , dropped(aDropped)
    , onSendTimeout(aOnSendTimeout)
  {
    CHECK_EQ(nng_aio_alloc(&this->aio, &PeerConnection::OnSent, this), 0);
    nng_aio_set_timeout(this->aio, kSendTimeoutMs);
    this->Open();
  }

  ~PeerConnection()
  {
    nng_close(this->socket);
    nng_aio_stop(this->aio);
    nng_aio_free(this->aio);
    for (nng_msg* message : this->queue) {
      nng_msg_free(message);
    }
  }

  PeerConnection(const PeerConnection&) = delete;
  PeerConnection& operator=(const PeerConnection&) = delete;

  void Enqueue(nng_msg* aMessage)
  {
    this->lastUsedAt = std::chrono::steady_clock::now();
    const std::size_t bytes = nng_msg_len(aMessage);
    const bool isFull = this->queue.size() >= kMaxQueuedMessages ||
                        (!this->queue.empty() && this->queuedBytes + bytes > kMaxQueuedBytes);
    if (isFull) {
      nng_msg_free(aMessage);
      ++this->dropped;
      return;
    }
    this->queue.push_back(aMessage);
    this->queuedBytes += bytes;
    this->SendNext();
  }

  std::size_t QueuedBytes() const { return this->queuedBytes; }

  void Reconnect()
  {
    nng_close(this->socket);
    this->Open();
  }

  bool IsIdle() const
  {
    return !this->sending && this->queue.empty() &&
           std::chrono::steady_clock::now() - this->lastUsedAt > kIdleTimeout;
  }

private:
  void Open()
  {
    CHECK_EQ(nng_push0_open(&this->socket), 0);
    nng_socket_set_int(this->socket, NNG_OPT_SENDBUF, 0);
    nng_socket_set_ms(this->socket, NNG_OPT_RECONNMINT, kRedialMinMs);
    nng_socket_set_ms(this->socket, NNG_OPT_RECONNMAXT, kRedialMaxMs);
    const int result = nng_dial(this->socket, Url(this->peer).c_str(), nullptr, NNG_FLAG_NONBLOCK);
    LOG_IF(WARNING, result != 0) << "[bus] cannot dial " << this->peer << ": "
                                 << nng_strerror(result);
  }

  void SendNext()
  {
    if (this->sending || this->queue.empty()) {
      return;
    }
    this->sending = true;
    this->selfReference = this->shared_from_this();
    nng_aio_set_msg(this->aio, this->queue.front());
    this->queuedBytes -= nng_msg_len(this->queue.front());
    this->queue.pop_front();
    nng_send_aio(this->socket, this->aio);
  }

  // Called on a thread of nng.
  static void OnSent(void* aConnection)
  {
    auto* connection = static_cast<PeerConnection*>(aConnection);
    boost::asio::post(connection->context, [connection] { connection->HandleSent(); });
  }

  void HandleSent()
  {
    const std::shared_ptr<PeerConnection> keepAlive = std::move(this->selfReference);
    const int result = nng_aio_result(this->aio);
    if (result != 0) {
      nng_msg_free(nng_aio_get_msg(this->aio));
      nng_aio_set_msg(this->aio, nullptr);
      ++this->dropped;
    }
    this->sending = false;
    this->SendNext();
    if (result == NNG_ETIMEDOUT) {
      this->onSendTimeout(this->peer);
    }
  }

  boost::asio::io_context& context;
  std::string peer;
  std::uint64_t& dropped;
  const SendTimeoutHandler& onSendTimeout;
  nng_socket socket{};
  nng_aio* aio = nullptr;
  bool sending = false;
  std::deque<nng_msg*> queue;
  std::size_t queuedBytes = 0;
  // Keeps this object alive while a send is in progress.
  std::shared_ptr<PeerConnection> selfReference;
  std::chrono::steady_clock::time_point lastUsedAt = std::chrono::steady_clock::now();
};

// The PULL socket on which messages from all peers arrive.
class PeerBus::Listener
{
public:
  Listener(boost::asio::io_context& aContext,
           PeerBus::Handler aHandler,
           std::shared_ptr<std::uint64_t> aMalformed,
           std::size_t aMaxFrameBytes)
    : context(aContext)
    , handler(std::move(aHandler))
    , malformed(std::move(aMalformed))
  {
    CHECK_EQ(nng_pull0_open(&this->socket), 0);
    nng_socket_set_size(this->socket, NNG_OPT_RECVMAXSZ, aMaxFrameBytes);
    CHECK_EQ(nng_aio_alloc(&this->aio, &Listener::OnReceived, this), 0);
  }

  ~Listener()
  {
    nng_close(this->socket);
    nng_aio_stop(this->aio);
    nng_aio_free(this->aio);
  }

  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;

  bool Listen(const std::string& aAddress, std::string& aReason)
  {
    const int result = nng_listen(this->socket, Url(aAddress).c_str(), nullptr, 0);
    if (result != 0) {
      aReason = nng_strerror(result);
      return false;
    }
    nng_recv_aio(this->socket, this->aio);
    return true;
  }

private:
  // Called on a thread of nng.
  static void OnReceived(void* aListener)
  {
    auto* listener = static_cast<Listener*>(aListener);
    if (nng_aio_result(listener->aio) == NNG_ECLOSED) {
      return;
    }
    boost::asio::post(listener->context, [listener] { listener->HandleReceived(); });
  }

  void HandleReceived()
  {
    const int result = nng_aio_result(this->aio);
    nng_msg* message = result == 0 ? nng_aio_get_msg(this->aio) : nullptr;
    nng_recv_aio(this->socket, this->aio);
    if (!message) {
      return;
    }
    std::string reason;
    auto envelope = ParseFrame(message, reason);
    nng_msg_free(message);
    if (envelope) {
      this->handler(*std::move(envelope));
    } else {
      this->ReportMalformed(reason);
    }
  }

  // A peer of another version may send messages that are unknown here at a high rate.
  void ReportMalformed(const std::string& aReason)
  {
    ++*this->malformed;
    const auto now = std::chrono::steady_clock::now();
    if (now >= this->nextReportAt) {
      this->nextReportAt = now + kMalformedReportInterval;
      LOG(WARNING) << "[bus] dropped a malformed message, " << *this->malformed
                   << " since the start: " << aReason;
    }
  }

  boost::asio::io_context& context;
  PeerBus::Handler handler;
  std::shared_ptr<std::uint64_t> malformed;
  std::chrono::steady_clock::time_point nextReportAt;
  nng_socket socket{};
  nng_aio* aio = nullptr;
};

PeerBus::PeerBus(boost::asio::io_context& aContext,
                 std::string aAddress,
                 std::uint64_t aIncarnation,
                 Handler aHandler,
                 SendTimeoutHandler aOnSendTimeout)
  : context(aContext)
  , address(std::move(aAddress))
  , incarnation(aIncarnation)
  , handler(std::move(aHandler))
  , onSendTimeout(std::move(aOnSendTimeout))
{
}

PeerBus::~PeerBus() = default;

bool
PeerBus::Listen(const std::string& aListenAddress, std::string& aReason)
{
  this->listener =
    std::make_unique<Listener>(this->context, this->handler, this->malformed, this->maxFrameBytes);
  return this->listener->Listen(aListenAddress, aReason);
}

PeerBus::PeerConnection&
PeerBus::FindConnection(const std::string& aPeer)
{
  std::shared_ptr<PeerConnection>& connection = this->connections[aPeer];
  if (!connection) {
    connection =
      std::make_shared<PeerConnection>(this->context, aPeer, this->dropped, this->onSendTimeout);
  }
  return *connection;
}

std::string
PeerBus::Encode(std::uint64_t aToIncarnation, Message aMessage) const
{
  Envelope envelope;
  envelope.from = this->address;
  envelope.fromIncarnation = this->incarnation;
  envelope.toIncarnation = aToIncarnation;
  envelope.message = std::move(aMessage);
  return EncodeHeader(envelope);
}

void
PeerBus::Send(const std::string& aTo,
              std::uint64_t aToIncarnation,
              Message aMessage,
              const SharedBody& aBody)
{
  TrafficCount& count = this->traffic.at(aMessage.index());
  const std::string header = this->Encode(aToIncarnation, std::move(aMessage));
  ++count.messages;
  count.headerBytes += header.size();
  count.bodyBytes += aBody ? aBody->size() : 0;
  this->FindConnection(aTo).Enqueue(MakeFrame(header, aBody));
}

void
PeerBus::SendToAll(const std::vector<std::string>& aPeers, Message aMessage)
{
  if (aPeers.empty()) {
    return;
  }
  TrafficCount& count = this->traffic.at(aMessage.index());
  const std::string header = this->Encode(0, std::move(aMessage));
  count.messages += aPeers.size();
  count.headerBytes += aPeers.size() * header.size();
  for (const std::string& peer : aPeers) {
    this->FindConnection(peer).Enqueue(MakeFrame(header, nullptr));
  }
}

void
PeerBus::Reconnect(const std::string& aPeer)
{
  const auto connection = this->connections.find(aPeer);
  if (connection != this->connections.end()) {
    connection->second->Reconnect();
  }
}

std::size_t
PeerBus::QueuedBytes(const std::string& aPeer) const
{
  const auto connection = this->connections.find(aPeer);
  return connection == this->connections.end() ? 0 : connection->second->QueuedBytes();
}

void
PeerBus::CloseIdleConnections()
{
  std::erase_if(this->connections, [](const auto& aItem) { return aItem.second->IsIdle(); });
}

} // namespace sycamorepost
