#include "runtime/RuleAdmin.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/uuid/random_generator.hpp>
#include <boost/uuid/uuid_io.hpp>

#include "sycamorepost/Hash.h"

namespace sycamorepost {

namespace {

constexpr int kMaxLookups = 5;
constexpr Duration kLookupInterval = std::chrono::milliseconds(300);

void
ApplyPage(const LogPage& aPage, RuleHistory& aHistory)
{
  for (const LogRecord& record : aPage.records) {
    const auto decoded = DecodeRuleRecord(record.data);
    if (!decoded) {
      continue;
    }
    RuleHistoryItem item;
    item.offset = record.offset;
    item.age = record.age;
    item.refresh = std::holds_alternative<RuleRefresh>(*decoded);
    item.id = item.refresh ? record.id : std::get<RuleEdit>(*decoded).id;
    item.base =
      item.refresh ? std::get<RuleRefresh>(*decoded).version : std::get<RuleEdit>(*decoded).base;
    item.verdict = aHistory.store.Apply(record.offset, *decoded);
    aHistory.items.push_back(std::move(item));
  }
}

const RuleHistoryItem*
FindItem(const RuleHistory& aHistory, const std::string& aId)
{
  for (const RuleHistoryItem& item : aHistory.items) {
    if (item.id == aId) {
      return &item;
    }
  }
  return nullptr;
}

PublishResult
MakeConflict(const RuleHistory& aHistory)
{
  PublishResult result;
  result.end = PublishEnd::Conflict;
  result.version = aHistory.store.Version();
  result.textInForce = aHistory.store.Text();
  result.reason = "version " + std::to_string(result.version) + " is in force";
  return result;
}

PublishResult
MakeResult(const RuleHistory& aHistory, const RuleHistoryItem& aItem)
{
  if (aItem.verdict == RuleVerdict::Accepted) {
    PublishResult result;
    result.end = PublishEnd::Accepted;
    result.version = aItem.offset + 1;
    return result;
  }
  if (aItem.verdict == RuleVerdict::Conflict) {
    return MakeConflict(aHistory);
  }
  PublishResult result;
  result.reason = "the record was read back but not accepted";
  return result;
}

asio::awaitable<void>
SleepFor(Duration aTime)
{
  asio::steady_timer timer(co_await asio::this_coro::executor, aTime);
  co_await timer.async_wait(asio::use_awaitable);
}

} // namespace

asio::awaitable<RuleHistory>
ReadRuleHistory(LogClient& aLog)
{
  RuleHistory history;
  std::uint64_t next = 0;
  while (true) {
    const LogPage page = co_await aLog.Read("rules", next, Duration::zero());
    if (!page.ok) {
      history.reason = page.reason;
      co_return history;
    }
    ApplyPage(page, history);
    next = page.nextOffset;
    if (next >= page.endOffset) {
      break;
    }
  }
  history.ok = true;
  co_return history;
}

asio::awaitable<PublishResult>
PublishRules(LogClient& aLog, std::string aText, std::uint64_t aBase)
{
  PublishResult result;
  RuleParseResult parse = ParseRules(aText);
  if (!parse.rules) {
    result.end = PublishEnd::Invalid;
    result.errors = std::move(parse.errors);
    co_return result;
  }
  const RuleHistory before = co_await ReadRuleHistory(aLog);
  if (!before.ok) {
    result.end = PublishEnd::LogUnavailable;
    result.reason = before.reason;
    co_return result;
  }
  if (before.store.Version() != aBase) {
    co_return MakeConflict(before);
  }
  RuleEdit edit;
  edit.id = boost::uuids::to_string(boost::uuids::random_generator()());
  edit.base = aBase;
  edit.delta = DiffLines(before.store.Text(), aText);
  edit.digest = HashHex(*ApplyDelta(before.store.Text(), edit.delta));
  const AppendReply reply = co_await aLog.Append("rules", edit.id, EncodeRuleRecord(edit));
  if (reply.kind == AppendEndKind::Refused) {
    result.end = PublishEnd::LogUnavailable;
    result.reason = reply.reason;
    co_return result;
  }
  for (int lookup = 0; lookup < kMaxLookups; ++lookup) {
    const RuleHistory after = co_await ReadRuleHistory(aLog);
    const RuleHistoryItem* item = after.ok ? FindItem(after, edit.id) : nullptr;
    if (item) {
      co_return MakeResult(after, *item);
    }
    co_await SleepFor(kLookupInterval);
  }
  result.reason = "the edit " + edit.id + " was sent but not yet seen in the log: " + reply.reason;
  co_return result;
}

} // namespace sycamorepost
