// Offers the messages between the system's own processes over nng: one PULL socket to listen, one
// PUSH socket for each peer. A message that could not be sent in time is dropped; the sender must
// treat it as possibly sent.
#ifndef SYCAMOREPOST_NET_PEER_BUS_H_
#define SYCAMOREPOST_NET_PEER_BUS_H_

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

#include "sycamorepost/Message.h"

namespace sycamorepost {

// What was sent of one message type.
struct TrafficCount
{
  std::uint64_t messages = 0;
  std::uint64_t headerBytes = 0;
  std::uint64_t bodyBytes = 0;
};

// The bus of one process. All calls and callbacks happen on the io_context's thread.
class PeerBus
{
public:
  using Handler = std::function<void(Envelope)>;
  using SendTimeoutHandler = std::function<void(const std::string& aPeer)>;

  PeerBus(boost::asio::io_context& aContext,
          std::string aAddress,
          std::uint64_t aIncarnation,
          Handler aHandler,
          SendTimeoutHandler aOnSendTimeout);
  ~PeerBus();
  PeerBus(const PeerBus&) = delete;
  PeerBus& operator=(const PeerBus&) = delete;

  // Starts to listen on an ip:port; on failure returns false and sets the reason.
  bool Listen(const std::string& aListenAddress, std::string& aReason);

  // Queues a message for a peer.
  void Send(const std::string& aTo,
            std::uint64_t aToIncarnation,
            Message aMessage,
            const SharedBody& aBody);

  // Closes the connection to a peer and dials it anew. Queued messages stay.
  void Reset(const std::string& aPeer);

  // Closes the connections that have carried nothing for a while.
  void CloseIdle();

  // Returns what was sent by message type, in the order of kMessageNames.
  const std::array<TrafficCount, kMessageNames.size()>& Traffic() const { return this->traffic; }

  std::size_t Peers() const { return this->connections.size(); }
  std::uint64_t Dropped() const { return this->dropped; }

private:
  class PeerConnection;
  class Listener;

  PeerConnection& FindConnection(const std::string& aPeer);

  boost::asio::io_context& context;
  std::string address;
  std::uint64_t incarnation;
  Handler handler;
  SendTimeoutHandler onSendTimeout; // Told of each message that no connection took in time.
  std::unique_ptr<Listener> listener;
  std::map<std::string, std::shared_ptr<PeerConnection>> connections;
  std::array<TrafficCount, kMessageNames.size()> traffic{};
  std::uint64_t dropped = 0;
};

} // namespace sycamorepost

#endif // SYCAMOREPOST_NET_PEER_BUS_H_
