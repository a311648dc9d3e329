#include "sycamorepost/RuleStore.h"

#include <nlohmann/json.hpp>

#include "sycamorepost/Hash.h"

namespace sycamorepost {

namespace {

constexpr std::size_t kMaxBufferedRecords = 256;

} // namespace

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(LineDelta, first, removed, added)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(RuleEdit, id, base, delta, digest)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(RuleRefresh, version, asOf, text)

std::string
EncodeRuleRecord(const RuleRecord& aRecord)
{
  nlohmann::json json;
  if (const auto* edit = std::get_if<RuleEdit>(&aRecord)) {
    json["edit"] = *edit;
  } else {
    json["refresh"] = std::get<RuleRefresh>(aRecord);
  }
  return json.dump();
}

std::optional<RuleRecord>
DecodeRuleRecord(std::string_view aData)
{
  try {
    const nlohmann::json json = nlohmann::json::parse(aData);
    if (json.contains("edit")) {
      return json.at("edit").get<RuleEdit>();
    }
    return json.at("refresh").get<RuleRefresh>();
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
}

RuleVerdict
RuleStore::Apply(std::uint64_t aOffset, const RuleRecord& aRecord)
{
  if (aOffset < this->nextOffset) {
    return RuleVerdict::AlreadyApplied;
  }
  if (aOffset == this->nextOffset) {
    return this->ApplyNext(aOffset, aRecord);
  }
  return this->ApplyAfterGap(aOffset, aRecord);
}

RuleVerdict
RuleStore::ApplyNext(std::uint64_t aOffset, const RuleRecord& aRecord)
{
  this->nextOffset = aOffset + 1;
  if (const auto* edit = std::get_if<RuleEdit>(&aRecord)) {
    return this->ApplyEdit(aOffset, *edit);
  }
  const bool current = std::get<RuleRefresh>(aRecord).version == this->version;
  return current ? RuleVerdict::Refreshed : RuleVerdict::StaleRefresh;
}

RuleVerdict
RuleStore::ApplyEdit(std::uint64_t aOffset, const RuleEdit& aEdit)
{
  if (aEdit.base != this->version) {
    return RuleVerdict::Conflict;
  }
  std::optional<std::string> next = ApplyDelta(this->text, aEdit.delta);
  if (!next || HashHex(*next) != aEdit.digest) {
    return RuleVerdict::Invalid;
  }
  RuleParseResult parse = ParseRules(*next);
  if (!parse.rules) {
    return RuleVerdict::Invalid;
  }
  this->version = aOffset + 1;
  this->text = *std::move(next);
  this->rules = std::make_shared<const RuleSet>(*std::move(parse.rules));
  return RuleVerdict::Accepted;
}

// Buffers the record until a refresh covers the gap before it. If the buffer is full, the oldest
// record is dropped.
RuleVerdict
RuleStore::ApplyAfterGap(std::uint64_t aOffset, const RuleRecord& aRecord)
{
  if (this->buffered.size() == kMaxBufferedRecords) {
    this->buffered.erase(this->buffered.begin());
  }
  this->buffered.emplace(aOffset, aRecord);
  const auto* refresh = std::get_if<RuleRefresh>(&aRecord);
  const bool covers = refresh && refresh->asOf >= this->buffered.begin()->first;
  const std::uint64_t before = this->version;
  if (!covers || !this->ApplyRefresh(*refresh)) {
    return RuleVerdict::Buffered;
  }
  return this->version > before ? RuleVerdict::Accepted : RuleVerdict::Refreshed;
}

bool
RuleStore::ApplyRefresh(const RuleRefresh& aState)
{
  if (aState.asOf <= this->nextOffset || aState.version < this->version) {
    return false;
  }
  RuleParseResult parse = ParseRules(aState.text);
  if (!parse.rules) {
    return false;
  }
  this->version = aState.version;
  this->nextOffset = aState.asOf;
  this->text = aState.text;
  this->rules = std::make_shared<const RuleSet>(*std::move(parse.rules));
  this->ApplyBuffered();
  return true;
}

void
RuleStore::ApplyBuffered()
{
  std::map<std::uint64_t, RuleRecord> waiting;
  waiting.swap(this->buffered);
  for (const auto& [offset, record] : waiting) {
    if (offset > this->nextOffset) {
      this->buffered.emplace(offset, record);
    } else if (offset == this->nextOffset) {
      this->ApplyNext(offset, record);
    }
  }
}

} // namespace sycamorepost
