#include "runtime/RuleFollower.h"

#include <algorithm>

#include <malloc.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <glog/logging.h>

#include "net/Clock.h"

namespace sycamorepost {

namespace {

// Together with the read timeout of the log client, ensures that an unresponsive connection delays
// a new version by less than 4 seconds.
constexpr Duration kReadWait = std::chrono::milliseconds(1500);
constexpr Duration kReadRetryDelay = std::chrono::milliseconds(300);
constexpr Duration kPeerRequestInterval = std::chrono::milliseconds(500);
constexpr Duration kRefreshCheckInterval = std::chrono::seconds(1);
constexpr Duration kStaleRefreshJitter = std::chrono::milliseconds(500);
constexpr std::size_t kPeersPerRequest = 3;

} // namespace

RuleFollower::RuleFollower(asio::io_context& aContext,
                           LogClient& aLog,
                           PeerBus& aBus,
                           Peers aPeers,
                           OnChange aOnChange,
                           std::uint64_t aSeed)
  : context(aContext)
  , log(aLog)
  , bus(aBus)
  , peers(std::move(aPeers))
  , onChange(std::move(aOnChange))
  , random(aSeed)
{
}

void
RuleFollower::Start()
{
  asio::co_spawn(this->context, this->Follow(), asio::detached);
  asio::co_spawn(this->context, this->RequestFromPeers(), asio::detached);
  asio::co_spawn(this->context, this->RefreshPeriodically(), asio::detached);
}

asio::awaitable<void>
RuleFollower::Follow()
{
  while (true) {
    const LogPage page = co_await this->log.Read(kRulesStream, this->next, kReadWait);
    if (this->logReached != page.ok) {
      LOG(INFO) << "[rules] the log is " << (page.ok ? "reachable" : "unreachable: " + page.reason);
    }
    this->logReached = page.ok;
    if (!page.ok) {
      co_await Sleep(this->context, kReadRetryDelay);
      continue;
    }
    this->retention = page.retention;
    for (const LogRecord& record : page.records) {
      this->Apply(record);
    }
    this->next = std::max(this->next, page.nextOffset);
    if (page.nextOffset >= page.endOffset) {
      this->ReportVersion(this->reportedVersion);
    }
  }
}

void
RuleFollower::Apply(const LogRecord& aRecord)
{
  const auto record = DecodeRuleRecord(aRecord.data);
  if (!record) {
    LOG(WARNING) << "[rules] skipping the record at offset " << aRecord.offset
                 << ": it cannot be decoded";
    return;
  }
  const RuleVerdict verdict = this->store.Apply(aRecord.offset, *record);
  if (verdict == RuleVerdict::Accepted || verdict == RuleVerdict::Refreshed) {
    this->writtenAt = Now() - aRecord.age;
  }
  if (verdict == RuleVerdict::StaleRefresh && aRecord.age < kReadWait) {
    asio::co_spawn(
      this->context, this->AppendRefresh(this->Jitter(kStaleRefreshJitter)), asio::detached);
  }
}

// Reports the version in force to the daemon if it is newer than aBefore.
void
RuleFollower::ReportVersion(std::uint64_t aBefore)
{
  if (this->store.Version() <= aBefore) {
    return;
  }
  this->reportedVersion = this->store.Version();
  LOG(INFO) << "[rules] version " << this->reportedVersion << " is in force";
  this->onChange({ this->reportedVersion, this->store.Rules() });
  // Applying a large edit allocates several times its size for a moment. Returns the freed memory
  // to the operating system.
  malloc_trim(0);
}

// Requests the rules from a few peers while the log is unreachable, so that a process that has just
// started gets the newest version known to them.
asio::awaitable<void>
RuleFollower::RequestFromPeers()
{
  while (true) {
    co_await Sleep(this->context, kPeerRequestInterval);
    if (this->logReached) {
      continue;
    }
    std::vector<std::string> names = this->peers();
    std::shuffle(names.begin(), names.end(), this->random);
    names.resize(std::min(names.size(), kPeersPerRequest));
    for (const std::string& peer : names) {
      this->bus.Send(peer, 0, RulesRequest{ this->store.Version() }, nullptr);
    }
  }
}

bool
RuleFollower::OnMessage(const Envelope& aEnvelope)
{
  if (const auto* request = std::get_if<RulesRequest>(&aEnvelope.message)) {
    if (this->store.Version() > request->version) {
      this->bus.Send(aEnvelope.from,
                     0,
                     RulesResponse{ this->store.Version(), this->store.NextOffset() },
                     MakeBody(this->store.Text()));
    }
    return true;
  }
  if (const auto* response = std::get_if<RulesResponse>(&aEnvelope.message)) {
    this->store.ApplyRefresh({ response->version, response->asOf, *aEnvelope.body });
    this->ReportVersion(this->reportedVersion);
    return true;
  }
  return false;
}

Duration
RuleFollower::Jitter(Duration aMax)
{
  return Duration(std::uniform_int_distribution<std::int64_t>(0, aMax.count())(this->random));
}

// Appends the version in force again when half of the log's retention has passed since it was last
// written. The jitter lets one process append first and the others see its record and refrain.
asio::awaitable<void>
RuleFollower::RefreshPeriodically()
{
  while (true) {
    co_await Sleep(this->context, kRefreshCheckInterval);
    const bool known =
      this->reportedVersion != kNoRulesVersion && this->retention > Duration::zero();
    if (!known || !this->logReached || Now() - this->writtenAt < this->retention / 2) {
      continue;
    }
    co_await this->AppendRefresh(this->Jitter(this->retention / 4));
  }
}

asio::awaitable<void>
RuleFollower::AppendRefresh(Duration aDelay)
{
  if (this->refreshing) {
    co_return;
  }
  this->refreshing = true;
  const Instant before = this->writtenAt;
  co_await Sleep(this->context, aDelay);
  if (this->writtenAt <= before) {
    const std::string id = "refresh-" + std::to_string(this->random());
    co_await this->log.Append(kRulesStream, id, EncodeRuleRecord(this->store.MakeRefresh()));
  }
  this->refreshing = false;
}

} // namespace sycamorepost
