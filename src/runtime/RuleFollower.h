// Declares the follower of the rules stream. It reads the log, requests the rules from peers while
// the log is unreachable, reports each new version in force and appends it to the log again before
// the log's retention removes it.
#ifndef SYCAMOREPOST_RUNTIME_RULE_FOLLOWER_H_
#define SYCAMOREPOST_RUNTIME_RULE_FOLLOWER_H_

#include <functional>
#include <random>

#include "adapters/LogClient.h"
#include "net/PeerBus.h"
#include "sycamorepost/Effects.h"
#include "sycamorepost/RuleStore.h"

namespace sycamorepost {

// The name of the log stream that holds the rules.
inline constexpr const char* kRulesStream = "rules";

// Follows the rules on behalf of one process.
class RuleFollower
{
public:
  using OnChange = std::function<void(RulesChanged)>;
  using Peers = std::function<std::vector<std::string>()>;

  RuleFollower(asio::io_context& aContext,
               LogClient& aLog,
               PeerBus& aBus,
               Peers aPeers,
               OnChange aOnChange,
               std::uint64_t aSeed);

  // Starts the coroutines that follow the rules. The object must outlive the io_context's run.
  void Start();

  // Handles a message if it is a RulesRequest or a RulesResponse; returns false for any other.
  bool OnMessage(const Envelope& aEnvelope);

  const RuleStore& Store() const { return this->store; }

private:
  asio::awaitable<void> Follow();
  asio::awaitable<void> RequestFromPeers();
  asio::awaitable<void> RefreshPeriodically();
  asio::awaitable<void> AppendRefresh(Duration aDelay);
  void Apply(const LogRecord& aRecord);
  void ReportVersion(std::uint64_t aBefore);
  Duration Jitter(Duration aMax);

  asio::io_context& context;
  LogClient& log;
  PeerBus& bus;
  Peers peers;
  OnChange onChange;
  std::mt19937_64 random;
  RuleStore store;
  std::uint64_t next = 0;
  std::uint64_t reportedVersion = kNoRulesVersion;
  bool logReached = false;
  Duration retention{};
  Instant writtenAt; // When the newest record of the version in force was appended.
  bool refreshing = false;
};

} // namespace sycamorepost

#endif // SYCAMOREPOST_RUNTIME_RULE_FOLLOWER_H_
