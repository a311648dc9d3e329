// Declares a TCP relay between two processes of a test. It can discard all bytes of the open
// connections while new connections work, as a middlebox does that has lost its connection state.
#ifndef SYCAMOREPOST_TEST_HARNESS_RELAY_H_
#define SYCAMOREPOST_TEST_HARNESS_RELAY_H_

#include <atomic>
#include <memory>
#include <string>
#include <thread>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "net/Http.h"

namespace sycamorepost::harness {

// A TCP relay. It runs on its own thread, which the destructor stops.
class Relay
{
public:
  // Listens on aListen and forwards each connection to aTarget, both "ip:port".
  Relay(const std::string& aListen, const std::string& aTarget);
  ~Relay();
  Relay(const Relay&) = delete;
  Relay& operator=(const Relay&) = delete;

  // Discards all further bytes of the connections that are open now, without closing them.
  void BlackholeOpenConnections() { ++this->epoch; }

  // While true, discards the bytes of all connections, also of new ones, as a network partition
  // does.
  void SetBlackhole(bool aIsBlackholed) { this->isBlackholed = aIsBlackholed; }

  // Returns the number of accepted connections since the start.
  int Connections() const { return this->connections; }

private:
  asio::awaitable<void> AcceptConnections();
  asio::awaitable<void> RelayConnection(std::shared_ptr<tcp::socket> aClient);
  asio::awaitable<void>
  Forward(std::shared_ptr<tcp::socket> aFrom, std::shared_ptr<tcp::socket> aTo, int aEpoch);

  asio::io_context context{ 1 };
  tcp::acceptor acceptor;
  tcp::endpoint target;
  std::atomic<int> epoch = 0;
  std::atomic<bool> isBlackholed = false;
  std::atomic<int> connections = 0;
  std::thread thread;
};

} // namespace sycamorepost::harness

#endif // SYCAMOREPOST_TEST_HARNESS_RELAY_H_
