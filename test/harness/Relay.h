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
  void SwallowOpen() { ++this->epoch; }

  // While set, new connections are swallowed too: the link is cut.
  void Cut(bool aCut) { this->cut = aCut; }

  // Returns the number of connections so far.
  int Connections() const { return this->connections; }

private:
  asio::awaitable<void> Accept();
  asio::awaitable<void> Serve(std::shared_ptr<tcp::socket> aCaller);
  asio::awaitable<void>
  Pump(std::shared_ptr<tcp::socket> aFrom, std::shared_ptr<tcp::socket> aTo, int aEpoch);

  asio::io_context context{ 1 };
  tcp::acceptor acceptor;
  tcp::endpoint target;
  std::atomic<int> epoch = 0;
  std::atomic<bool> cut = false;
  std::atomic<int> connections = 0;
  std::thread thread;
};

} // namespace sycamorepost::harness

#endif // SYCAMOREPOST_TEST_HARNESS_RELAY_H_
