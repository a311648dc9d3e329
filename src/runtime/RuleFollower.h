// Offers the following of the rules stream: it reads the log, asks peers while the log is down,
// passes the version in force on, and repeats it in the log before it ages out.
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

// The follower of one process.
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

  // Starts to follow.
  void Start();

  // Takes a rules message; returns false when the message is another one.
  bool OnMessage(const Envelope& aEnvelope);

  const RuleStore& Store() const { return this->store; }

private:
  asio::awaitable<void> Follow();
  asio::awaitable<void> AskPeers();
  asio::awaitable<void> KeepFresh();
  asio::awaitable<void> AppendRefresh(Duration aDelay);
  void Apply(const LogRecord& aRecord);
  void NoteVersion(std::uint64_t aBefore);
  Duration Jitter(Duration aMost);

  asio::io_context& context;
  LogClient& log;
  PeerBus& bus;
  Peers peers;
  OnChange onChange;
  std::mt19937_64 random;
  RuleStore store;
  std::uint64_t next = 0;
  std::uint64_t told = kNoRules;
  bool logReached = false;
  Duration retention{};
  Instant writtenAt; // When the newest record of the version in force was appended.
  bool refreshing = false;
};

} // namespace sycamorepost

#endif // SYCAMOREPOST_RUNTIME_RULE_FOLLOWER_H_
