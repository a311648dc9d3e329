#include "sycamorepost/Rules.h"

#include <algorithm>
#include <array>
#include <cmath>

#include "sycamorepost/internal/Text.h"

namespace sycamorepost {

namespace {

using internal::NearestWord;
using internal::ParseNumber;
using internal::SplitCommas;
using internal::SplitLines;
using internal::SplitWords;
using internal::Trim;

constexpr std::uint32_t kMaxShards = 256;

// One rule line, split into words.
struct RuleLine
{
  std::string verb;
  std::string subject;
  std::map<std::string, std::string, std::less<>> values;
};

// Reads the KEY=VALUE pairs of one line and keeps the first error.
class ValueReader
{
public:
  explicit ValueReader(const RuleLine& aLine)
    : line(aLine)
  {
  }

  // Parses one value with aParse; aValue keeps its default if the key is absent. aWanted describes
  // valid values in the error message.
  template<typename Value, typename Parse>
  void Read(std::string_view aKey, Value& aValue, Parse aParse, std::string_view aWanted)
  {
    this->known.push_back(aKey);
    const auto found = this->line.values.find(aKey);
    if (found == this->line.values.end()) {
      return;
    }
    const auto parsed = aParse(found->second);
    if (!parsed) {
      this->Fail(std::string(aKey) + "=" + found->second + " is not " + std::string(aWanted));
      return;
    }
    aValue = *parsed;
  }

  // Records an error if the key is absent.
  void Require(std::string_view aKey)
  {
    if (!this->line.values.contains(aKey)) {
      this->Fail("'" + this->line.verb + "' needs " + std::string(aKey) + "=VALUE");
    }
  }

  void Fail(std::string aReason)
  {
    if (this->error.empty()) {
      this->error = std::move(aReason);
    }
  }

  // Returns the first error, or an empty string. Keys that were never read are errors.
  std::string Finish()
  {
    for (const auto& [key, value] : this->line.values) {
      if (std::find(this->known.begin(), this->known.end(), key) != this->known.end()) {
        continue;
      }
      std::string reason = "'" + this->line.verb + "' takes no '" + key + "='";
      if (!this->known.empty()) {
        reason += "; did you mean '" + std::string(NearestWord(key, this->known)) + "='?";
      }
      this->Fail(std::move(reason));
    }
    return this->error;
  }

private:
  const RuleLine& line;
  std::vector<std::string_view> known;
  std::string error;
};

std::optional<double>
ParsePositive(std::string_view aText)
{
  const auto value = ParseNumber<double>(aText);
  return value && std::isfinite(*value) && *value > 0 ? value : std::nullopt;
}

std::optional<double>
ParseShare(std::string_view aText)
{
  const auto value = ParseNumber<double>(aText);
  return value && *value >= 0 && *value <= 1 ? value : std::nullopt;
}

std::optional<std::uint32_t>
ParseCount(std::string_view aText)
{
  return ParseNumber<std::uint32_t>(aText);
}

std::optional<std::uint64_t>
ParseLargeCount(std::string_view aText)
{
  return ParseNumber<std::uint64_t>(aText);
}

std::optional<std::string>
ParseWord(std::string_view aText)
{
  return aText.empty() ? std::nullopt : std::optional(std::string(aText));
}

std::optional<std::string>
ParsePath(std::string_view aText)
{
  return aText.starts_with('/') && aText.size() > 1 ? ParseWord(aText) : std::nullopt;
}

std::optional<std::vector<KeyDigest>>
ParseDigests(std::string_view aText)
{
  std::vector<KeyDigest> digests;
  for (const std::string_view part : SplitCommas(aText)) {
    const auto digest = ParseKeyDigest(part);
    if (!digest) {
      return std::nullopt;
    }
    digests.push_back(*digest);
  }
  return digests;
}

std::optional<std::set<std::string>>
ParseMethods(std::string_view aText)
{
  static constexpr std::array<std::string_view, 4> kMethods{ "POST", "PUT", "PATCH", "DELETE" };
  std::set<std::string> methods;
  for (const std::string_view part : SplitCommas(aText)) {
    if (std::find(kMethods.begin(), kMethods.end(), part) == kMethods.end()) {
      return std::nullopt;
    }
    methods.emplace(part);
  }
  return methods;
}

std::optional<OutagePolicy>
ParseOutage(std::string_view aText)
{
  return aText == "refuse" ? std::optional(OutagePolicy::Refuse) : std::nullopt;
}

std::optional<bool>
ParseFencing(std::string_view aText)
{
  if (aText == "checked") {
    return true;
  }
  return aText == "ignored" ? std::optional(false) : std::nullopt;
}

std::optional<std::string>
ParseOrder(std::string_view aText)
{
  const bool known = aText == "fifo" || aText == "shortest" || aText == "slack";
  return known ? ParseWord(aText) : std::nullopt;
}

std::optional<std::string>
ParseChoice(std::string_view aText)
{
  const bool known =
    aText == "probe" || aText == "round-robin" || aText == "least-outstanding" || aText == "pushed";
  return known ? ParseWord(aText) : std::nullopt;
}

void
ReadAccount(const RuleLine& aLine, ValueReader& aReader, RuleSet& aRules)
{
  AccountRule rule{ .name = aLine.subject };
  std::vector<KeyDigest> keys;
  aReader.Require("key");
  aReader.Read("key", keys, ParseDigests, "a list of SHA-256 digests in hexadecimal");
  aReader.Read("weight", rule.weight, ParsePositive, "a number above 0");
  aReader.Read(
    "rate", rule.requestsPerSecond, ParsePositive, "a number of requests per second above 0");
  aReader.Read("concurrency", rule.maxConcurrency, ParseCount, "a whole number");
  aReader.Read(
    "tokens", rule.tokensPerMinute, ParseLargeCount, "a whole number of tokens per minute");
  if (const auto reason = aRules.accounts.Add(std::move(rule), keys)) {
    aReader.Fail(*reason);
  }
}

void
ReadService(const RuleLine& aLine, ValueReader& aReader, RuleSet& aRules)
{
  ServiceRule rule{ .name = aLine.subject };
  aReader.Require("path");
  aReader.Read("path", rule.path, ParsePath, "a path that starts with '/'");
  aReader.Read(
    "once", rule.atMostOnceMethods, ParseMethods, "a list of POST, PUT, PATCH and DELETE");
  aReader.Read("timeout", rule.timeout, ParseDuration, "a duration such as 10s");
  aReader.Read("window", rule.keyRetention, ParseDuration, "a duration such as 24h");
  aReader.Read("shards", rule.shards, ParseCount, "a whole number");
  aReader.Read("outage", rule.outagePolicy, ParseOutage, "'refuse'");
  if (rule.shards == 0 || rule.shards > kMaxShards) {
    aReader.Fail("shards must be from 1 to " + std::to_string(kMaxShards));
  }
  if (!aRules.services.emplace(rule.name, rule).second) {
    aReader.Fail("service '" + rule.name + "' is defined twice");
  }
}

void
ReadModel(const RuleLine& aLine, ValueReader& aReader, RuleSet& aRules)
{
  ModelRule rule{ .name = aLine.subject };
  aReader.Read("engines", rule.engineCount, ParseCount, "a whole number");
  aReader.Read("version", rule.version, ParseWord, "a word");
  aReader.Read("adapter", rule.adapter, ParseWord, "a word");
  aReader.Read("context", rule.maxContextTokens, ParseCount, "a whole number of tokens");
  aReader.Read("timeout", rule.timeout, ParseDuration, "a duration such as 10m");
  if (!aRules.models.emplace(rule.name, rule).second) {
    aReader.Fail("model '" + rule.name + "' is defined twice");
  }
}

void
ReadReserve(const RuleLine& aLine, ValueReader& aReader, RuleSet& aRules)
{
  ReserveRule rule{ .domain = aLine.subject };
  aReader.Require("up-to");
  aReader.Require("engines");
  aReader.Read("up-to", rule.maxPromptTokens, ParseCount, "a whole number of tokens");
  aReader.Read("engines", rule.engineCount, ParseCount, "a whole number");
  if (!aRules.reserves.emplace(rule.domain, rule).second) {
    aReader.Fail("failure domain '" + rule.domain + "' has more than one 'reserve' rule");
  }
}

void
ReadCutoff(const RuleLine& aLine, ValueReader& aReader, RuleSet& aRules)
{
  if (!aRules.accounts.CutOff(aLine.subject)) {
    aReader.Fail("account '" + aLine.subject + "' is not defined above this line");
  }
}

void
ReadLeave(const RuleLine& aLine, ValueReader& /*aReader*/, RuleSet& aRules)
{
  aRules.drainingTargets.insert(aLine.subject);
}

void
ReadQuarantine(const RuleLine& aLine, ValueReader& /*aReader*/, RuleSet& aRules)
{
  aRules.quarantineEngines.insert(aLine.subject);
}

void
ReadFencing(const RuleLine& aLine, ValueReader& aReader, RuleSet& aRules)
{
  bool checked = false;
  aReader.Require("number");
  aReader.Read("number", checked, ParseFencing, "'checked' or 'ignored'");
  aRules.checksFencingNumber[aLine.subject] = checked;
}

void
ReadPolicy(const RuleLine& aLine, ValueReader& aReader, RuleSet& aRules)
{
  if (aLine.subject != "engines") {
    aReader.Fail("the only policy subject is 'engines'");
  }
  aReader.Read("order", aRules.orderStrategy, ParseOrder, "one of fifo, shortest, slack");
  aReader.Read("choice",
               aRules.choiceStrategy,
               ParseChoice,
               "one of probe, round-robin, least-outstanding, pushed");
  aReader.Read("retries", aRules.retryRatio, ParseShare, "a share from 0 to 1");
}

struct VerbEntry
{
  std::string_view verb;
  void (*read)(const RuleLine&, ValueReader&, RuleSet&);
};

constexpr std::array<VerbEntry, 9> kVerbs{ {
  { "account", ReadAccount },
  { "cutoff", ReadCutoff },
  { "service", ReadService },
  { "model", ReadModel },
  { "reserve", ReadReserve },
  { "leave", ReadLeave },
  { "quarantine", ReadQuarantine },
  { "fencing", ReadFencing },
  { "policy", ReadPolicy },
} };

// Checks that a line's comment names the requester and the reason, as "WHO: WHY". Returns an error
// message, or nullopt if it does.
std::optional<std::string>
CheckComment(std::string_view aComment)
{
  const std::size_t colon = aComment.find(':');
  const bool named = colon != std::string_view::npos && !Trim(aComment.substr(0, colon)).empty() &&
                     !Trim(aComment.substr(colon + 1)).empty();
  if (named) {
    return std::nullopt;
  }
  return "the line must end in a comment that names who asked and why, such as "
         "'# J. Reed: term ends'";
}

std::optional<RuleLine>
SplitRule(std::string_view aBody, std::string& aError)
{
  const std::vector<std::string_view> words = SplitWords(aBody);
  if (words.size() < 2) {
    aError = "a rule needs a verb and a subject";
    return std::nullopt;
  }
  RuleLine line{ .verb = std::string(words[0]), .subject = std::string(words[1]), .values = {} };
  for (std::size_t i = 2; i < words.size(); ++i) {
    const std::size_t equals = words[i].find('=');
    if (equals == std::string_view::npos || equals == 0) {
      aError = "'" + std::string(words[i]) + "' is not KEY=VALUE";
      return std::nullopt;
    }
    std::string key(words[i].substr(0, equals));
    if (!line.values.emplace(key, words[i].substr(equals + 1)).second) {
      aError = "'" + key + "=' is given twice";
      return std::nullopt;
    }
  }
  return line;
}

// Parses one line into aRules. Returns its error message, or an empty string.
std::string
AddRule(std::string_view aLine, RuleSet& aRules)
{
  const std::size_t hash = aLine.find('#');
  const std::string_view body = Trim(aLine.substr(0, hash));
  if (body.empty()) {
    return {};
  }
  std::string error;
  const std::optional<RuleLine> line = SplitRule(body, error);
  if (!line) {
    return error;
  }
  const auto* const entry =
    std::find_if(kVerbs.begin(), kVerbs.end(), [&](const VerbEntry& aEntry) {
      return aEntry.verb == line->verb;
    });
  if (entry == kVerbs.end()) {
    std::vector<std::string_view> known;
    for (const VerbEntry& verb : kVerbs) {
      known.push_back(verb.verb);
    }
    return "unknown verb '" + line->verb + "'; did you mean '" +
           std::string(NearestWord(line->verb, known)) + "'?";
  }
  const auto commentError =
    CheckComment(hash == std::string_view::npos ? std::string_view() : aLine.substr(hash + 1));
  ValueReader reader(*line);
  entry->read(*line, reader, aRules);
  const std::string valueError = reader.Finish();
  return valueError.empty() ? commentError.value_or("") : valueError;
}

std::string
JoinLines(const std::vector<std::string_view>& aLines)
{
  std::string text;
  for (const std::string_view line : aLines) {
    text.append(line);
    text.push_back('\n');
  }
  return text;
}

} // namespace

const ServiceRule*
RuleSet::ServiceForPath(std::string_view aPath) const
{
  const ServiceRule* best = nullptr;
  for (const auto& [name, service] : this->services) {
    if (aPath.starts_with(service.path) && (!best || service.path.size() > best->path.size())) {
      best = &service;
    }
  }
  return best;
}

std::optional<Duration>
ParseDuration(std::string_view aText)
{
  struct Unit
  {
    std::string_view suffix;
    Duration length;
  };
  static constexpr std::array<Unit, 4> kUnits{ {
    { "ms", std::chrono::milliseconds(1) },
    { "s", std::chrono::seconds(1) },
    { "m", std::chrono::minutes(1) },
    { "h", std::chrono::hours(1) },
  } };
  static constexpr std::uint32_t kMaxCount = 10'000'000;
  const std::size_t digits = aText.find_first_not_of("0123456789");
  if (digits == std::string_view::npos) {
    return std::nullopt;
  }
  const auto count = ParseNumber<std::uint32_t>(aText.substr(0, digits));
  if (!count || *count == 0 || *count > kMaxCount) {
    return std::nullopt;
  }
  for (const Unit& unit : kUnits) {
    if (unit.suffix == aText.substr(digits)) {
      return unit.length * *count;
    }
  }
  return std::nullopt;
}

RuleParseResult
ParseRules(std::string_view aText)
{
  RuleParseResult parse;
  RuleSet rules;
  const std::vector<std::string_view> lines = SplitLines(aText);
  for (std::size_t i = 0; i < lines.size(); ++i) {
    std::string error = AddRule(lines[i], rules);
    if (!error.empty()) {
      parse.errors.push_back({ i + 1, std::move(error) });
    }
  }
  if (parse.errors.empty()) {
    rules.accounts.Seal();
    parse.rules = std::move(rules);
  }
  return parse;
}

LineDelta
DiffLines(std::string_view aOld, std::string_view aNew)
{
  const auto before = SplitLines(aOld);
  const auto after = SplitLines(aNew);
  const std::size_t shorter = std::min(before.size(), after.size());
  std::size_t head = 0;
  while (head < shorter && before[head] == after[head]) {
    ++head;
  }
  std::size_t tail = 0;
  while (tail < shorter - head &&
         before[before.size() - 1 - tail] == after[after.size() - 1 - tail]) {
    ++tail;
  }
  LineDelta delta{ .first = head, .removed = before.size() - head - tail, .added = {} };
  for (std::size_t i = head; i < after.size() - tail; ++i) {
    delta.added.emplace_back(after[i]);
  }
  return delta;
}

std::optional<std::string>
ApplyDelta(std::string_view aOld, const LineDelta& aDelta)
{
  const auto before = SplitLines(aOld);
  if (aDelta.first > before.size() || aDelta.removed > before.size() - aDelta.first) {
    return std::nullopt;
  }
  const auto first = before.begin() + static_cast<std::ptrdiff_t>(aDelta.first);
  std::vector<std::string_view> after(before.begin(), first);
  after.insert(after.end(), aDelta.added.begin(), aDelta.added.end());
  after.insert(after.end(), first + static_cast<std::ptrdiff_t>(aDelta.removed), before.end());
  return JoinLines(after);
}

} // namespace sycamorepost
