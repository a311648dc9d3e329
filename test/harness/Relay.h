// Offers a TCP relay between two processes of a test. It can swallow all bytes of the connections
// that are open while new connections work, as a middlebox that has lost track of them does.
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

// The relay. It runs on a thread of its own.
class Relay
{
public:
  // Listens on one "ip:port" and passes bytes on to another.
  Relay(const std::string& aListen, const std::string& aTarget);
  ~Relay();
  Relay(const Relay&) = delete;
  Relay& operator=(const Relay&) = delete;

  // Swallows everything on the connections that are open now.
  void BlackholeOpenConnections() { ++this->epoch; }

  // While set, new connections are discarded too: the link is isBlackholed.
  void SetBlackhole(bool aIsBlackholed) { this->isBlackholed = aIsBlackholed; }

  // Returns the number of connections so far.
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
