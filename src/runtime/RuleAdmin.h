// Declares the operators' functions on the rules stream of the log: reading its history and
// publishing an edit.
#ifndef SYCAMOREPOST_RUNTIME_RULE_ADMIN_H_
#define SYCAMOREPOST_RUNTIME_RULE_ADMIN_H_

#include <string>
#include <vector>

#include "adapters/LogClient.h"
#include "sycamorepost/RuleStore.h"

namespace sycamorepost {

// One record of the rules stream, with the verdict on it.
struct RuleHistoryItem
{
  std::uint64_t offset = 0;
  std::string id;
  bool refresh = false;   // A refresh repeats a version; any other record is an edit.
  std::uint64_t base = 0; // The version that the edit was made from or the refresh repeats.
  RuleVerdict verdict = RuleVerdict::Invalid;
  Duration age{}; // Since the record was appended.
};

// The rules stream, read from the oldest retained record to its end.
struct RuleHistory
{
  bool ok = false;
  std::string reason; // Why the log could not be read; empty if ok.
  RuleStore store;    // The state after the last record.
  std::vector<RuleHistoryItem> items;
};

// Reads the complete rules stream. A record that cannot be decoded is skipped.
asio::awaitable<RuleHistory>
ReadRuleHistory(LogClient& aLog);

// The results of a publish.
enum class PublishEnd
{
  Accepted,
  Conflict,       // Another edit was accepted after the base version.
  Invalid,        // The text has invalid lines; nothing was sent.
  LogUnavailable, // The log could not be read or refused the append; nothing was published.
  Unknown,        // The edit may be in the log; ReadRuleHistory() shows whether it is.
};

// The result of PublishRules().
struct PublishResult
{
  PublishEnd end = PublishEnd::Unknown;
  std::uint64_t version = 0;     // The published version or, after a conflict, the one in force.
  std::string textInForce;       // The text in force; set after a conflict only.
  std::vector<RuleError> errors; // Set if the text is invalid.
  std::string reason;            // Set unless the edit was accepted or is invalid.
};

// Publishes a rule text as an edit of version aBase. Reports it as accepted only after reading its
// record back from the log with that verdict. If the reply to the append is lost, the edit is
// looked up in the log by its ID.
asio::awaitable<PublishResult>
PublishRules(LogClient& aLog, std::string aText, std::uint64_t aBase);

} // namespace sycamorepost

#endif // SYCAMOREPOST_RUNTIME_RULE_ADMIN_H_
