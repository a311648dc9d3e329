// The versioned rule store. It applies the records of the log's rules stream in order and
// determines which version is in force. Every process that reads the same records reaches the same
// version.
#ifndef SYCAMOREPOST_RULE_STORE_H_
#define SYCAMOREPOST_RULE_STORE_H_

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "sycamorepost/Rules.h"

namespace sycamorepost {

// The version before the first accepted edit. Its rule text is empty.
inline constexpr std::uint64_t kNoRulesVersion = 0;

// An edit published by an operator. If it is accepted, its version is its log offset plus one.
struct RuleEdit
{
  std::string id;         // Chosen by the publisher to identify its own record in the log.
  std::uint64_t base = 0; // The version that the edit was made from.
  LineDelta delta;
  std::string digest; // Hash of the complete new text.
};

// A full copy of an accepted version, appended before the original edits fall out of the log's
// retention. It states that this version is in force after all records before an offset, so a
// reader that starts later in the log can catch up without the earlier edits.
struct RuleRefresh
{
  std::uint64_t version = 0;
  std::uint64_t asOf = 0; // All records before this offset are reflected in the text.
  std::string text;
};

using RuleRecord = std::variant<RuleEdit, RuleRefresh>;

// Encodes a record as JSON for the log.
std::string
EncodeRuleRecord(const RuleRecord& aRecord);

// Decodes a record; returns nullopt if the bytes are not a rule record.
std::optional<RuleRecord>
DecodeRuleRecord(std::string_view aData);

// The result of applying one record.
enum class RuleVerdict
{
  Accepted,       // The version in force has advanced.
  Conflict,       // The edit is not based on the version in force.
  Invalid,        // The delta does not apply, the digest differs or the new text has errors.
  Refreshed,      // The record is a refresh of the version in force.
  StaleRefresh,   // The record is a refresh of an older version; write a new refresh now.
  Buffered,       // Earlier records are missing; kept until a refresh covers the gap.
  AlreadyApplied, // The record is before NextOffset().
};

inline constexpr std::array<std::string_view, 7> kRuleVerdictNames{
  "accepted", "conflict", "invalid", "refreshed", "stale refresh", "held", "known"
};

// Holds the version in force after all records before NextOffset(). The version never decreases.
class RuleStore
{
public:
  // Applies the record at a log offset. Offsets must increase from call to call; a gap means that
  // the records in between are no longer in the log.
  RuleVerdict Apply(std::uint64_t aOffset, const RuleRecord& aRecord);

  // Replaces the state by a refresh from a peer or from the log. Returns false and changes nothing
  // unless the refresh covers more records, is not of an older version and parses.
  bool ApplyRefresh(const RuleRefresh& aState);

  // Returns the version in force; initially kNoRulesVersion.
  std::uint64_t Version() const { return this->version; }

  // Returns the first log offset that is not reflected in the state.
  std::uint64_t NextOffset() const { return this->nextOffset; }

  // Returns the rule text in force.
  const std::string& Text() const { return this->text; }

  // Returns the parsed rules in force.
  const std::shared_ptr<const RuleSet>& Rules() const { return this->rules; }

  // Returns a refresh record of the version in force.
  RuleRefresh MakeRefresh() const { return { this->version, this->nextOffset, this->text }; }

private:
  RuleVerdict ApplyNext(std::uint64_t aOffset, const RuleRecord& aRecord);
  RuleVerdict ApplyEdit(std::uint64_t aOffset, const RuleEdit& aEdit);
  RuleVerdict ApplyAfterGap(std::uint64_t aOffset, const RuleRecord& aRecord);
  void ApplyBuffered();

  std::uint64_t version = kNoRulesVersion;
  std::uint64_t nextOffset = 0;
  std::string text;
  std::shared_ptr<const RuleSet> rules = std::make_shared<const RuleSet>();
  std::map<std::uint64_t, RuleRecord> buffered; // Records after a gap, by log offset.
};

} // namespace sycamorepost

#endif // SYCAMOREPOST_RULE_STORE_H_
