// Declares the message bus between the system's processes, built on nng: one listening PULL socket,
// and one PUSH socket for each peer. A message that cannot be sent within the timeout is dropped;
// the sender must treat it as possibly delivered.
#ifndef SYCAMOREPOST_NET_PEER_BUS_H_
#define SYCAMOREPOST_NET_PEER_BUS_H_

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "sycamorepost/Message.h"

namespace sycamorepost {

// Traffic sent for one message type. Messages that were dropped later are included.
struct TrafficCount
{
  std::uint64_t messages = 0;
  std::uint64_t headerBytes = 0;
  std::uint64_t bodyBytes = 0;
};

// The bus of one process. All calls and callbacks run on the io_context's thread.
class PeerBus
{
public:
  using Handler = std::function<void(Envelope)>;
  using SendTimeoutHandler = std::function<void(const std::string& aPeer)>;

  // aAddress is this process's own address, under which peers reply. aHandler is called for each
  // received message, aOnSendTimeout for each message that could not be sent within the timeout.
  PeerBus(boost::asio::io_context& aContext,
          std::string aAddress,
          std::uint64_t aIncarnation,
          Handler aHandler,
          SendTimeoutHandler aOnSendTimeout);
  ~PeerBus();
  PeerBus(const PeerBus&) = delete;
  PeerBus& operator=(const PeerBus&) = delete;

  // The largest message that is received unless the owner sets another limit, in bytes.
  static constexpr std::size_t kMaxFrameBytes = 64 * 1024 * 1024;

  // Sets the largest message that is received from now on, in bytes. A connection that announces a
  // larger one is closed. Call it before Listen().
  void SetMaxFrameBytes(std::size_t aBytes) { this->maxFrameBytes = aBytes; }

  // Starts to listen on an ip:port address. On failure returns false and sets aReason.
  bool Listen(const std::string& aListenAddress, std::string& aReason);

  // The messages that may wait for one peer, in bytes. A single larger one waits alone.
  static constexpr std::size_t kMaxQueuedBytes = 8 * 1024 * 1024;

  // Queues a message for the peer at an ip:port address, and connects to it if necessary. Drops the
  // message when the queue is full.
  void Send(const std::string& aTo,
            std::uint64_t aToIncarnation,
            Message aMessage,
            const SharedBody& aBody);

  // Queues the same message, without a body, for several peers.
  void SendToAll(const std::vector<std::string>& aPeers, Message aMessage);

  // Closes the connection to a peer and dials again. Queued messages are kept.
  void Reconnect(const std::string& aPeer);

  // Closes the connections that have nothing left to send and on which no message was queued for 60
  // seconds.
  void CloseIdleConnections();

  // Returns the sent traffic by message type, in the order of kMessageNames.
  const std::array<TrafficCount, kMessageNames.size()>& Traffic() const { return this->traffic; }

  // Returns the number of peers with a connection.
  std::size_t Connections() const { return this->connections.size(); }

  // Returns the number of messages that were dropped instead of being sent.
  std::uint64_t Dropped() const { return this->dropped; }

  // Returns the number of received frames that were no valid message.
  std::uint64_t Malformed() const { return *this->malformed; }

  // Returns the bytes of the messages that wait to be sent to a peer; at most kMaxQueuedBytes.
  std::size_t QueuedBytes(const std::string& aPeer) const;

private:
  class PeerConnection;
  class Listener;

  std::string Encode(std::uint64_t aToIncarnation, Message aMessage) const;
  PeerConnection& FindConnection(const std::string& aPeer);

  boost::asio::io_context& context;
  std::string address;
  std::uint64_t incarnation;
  std::size_t maxFrameBytes = kMaxFrameBytes;
  Handler handler;
  SendTimeoutHandler onSendTimeout;
  std::unique_ptr<Listener> listener;
  std::map<std::string, std::shared_ptr<PeerConnection>> connections;
  std::array<TrafficCount, kMessageNames.size()> traffic{};
  std::uint64_t dropped = 0;
  std::shared_ptr<std::uint64_t> malformed = std::make_shared<std::uint64_t>(0);
};

} // namespace sycamorepost

#endif // SYCAMOREPOST_NET_PEER_BUS_H_
