// Declares a target on the users' platform whose responses are raw bytes, so that they may be
// malformed.
#ifndef SYCAMOREPOST_TEST_HARNESS_RAW_TARGET_H_
#define SYCAMOREPOST_TEST_HARNESS_RAW_TARGET_H_

#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "net/Http.h"

namespace sycamorepost::harness {

// What a raw target sends in response to one request.
struct RawAnswer
{
  std::string bytes;
  bool isEarly = false; // Sent before the body of the request is read.
  bool isReset = false; // Followed by a reset of the connection instead of its plain end.
};

// A raw target and where it registers itself.
struct RawTargetSettings
{
  std::string instance;
  std::string service;
  std::string address;
  std::string storeAddress;
  std::function<RawAnswer(const http::fields& aRequestFields)> respond;
};

// A registered target. It runs on its own thread, which the destructor stops.
class RawTarget
{
public:
  explicit RawTarget(RawTargetSettings aSettings);
  ~RawTarget();
  RawTarget(const RawTarget&) = delete;
  RawTarget& operator=(const RawTarget&) = delete;

  // Returns the ids of the requests that have arrived so far.
  std::vector<std::string> RequestIds() const;

private:
  asio::awaitable<void> RenewRegistration();
  asio::awaitable<void> AcceptConnections();
  asio::awaitable<void> Serve(tcp::socket aSocket);

  RawTargetSettings settings;
  asio::io_context context{ 1 };
  tcp::acceptor acceptor;
  mutable std::mutex mutex; // Guards requestIds.
  std::vector<std::string> requestIds;
  std::thread thread;
};

} // namespace sycamorepost::harness

#endif // SYCAMOREPOST_TEST_HARNESS_RAW_TARGET_H_
