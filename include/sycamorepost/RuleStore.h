// Offers the versioned rule store: it reads the rules stream of the log in order and decides which
// edit is in force. Every process that reads the same records reaches the same version.
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

// The version before the first accepted edit, whose text is empty.
inline constexpr std::uint64_t kNoRules = 0;

// An edit that an operator publishes. Its version is its log offset plus one.
struct RuleEdit
{
  std::string id;         // Chosen by the publisher, so that it finds its own record again.
  std::uint64_t base = 0; // The version that the edit was made from.
  LineDelta delta;
  std::string digest; // The hash of the whole new text.
};

// A copy of an accepted version, appended before the original leaves the log's retention. It states
// that this version is in force after all records before an offset, so that a reader whose first
// record comes later knows which edits it has missed.
struct RuleRefresh
{
  std::uint64_t version = 0;
  std::uint64_t asOf = 0; // The writer had read all records before this offset.
  std::string text;
};

using RuleRecord = std::variant<RuleEdit, RuleRefresh>;

// Encodes a record for the log.
std::string
EncodeRuleRecord(const RuleRecord& aRecord);

// Decodes a record; returns nothing for bytes that are no rule record.
std::optional<RuleRecord>
DecodeRuleRecord(std::string_view aData);

// What became of one record.
enum class RuleVerdict
{
  Accepted,     // The version in force has moved up.
  Conflict,     // The edit was made from another version than the one in force.
  Invalid,      // The edit does not apply, has another digest or holds a wrong line.
  Refreshed,    // The version in force was repeated.
  StaleRefresh, // An older version was repeated; the version in force should be repeated now.
  Held,         // Records before it are missing, so nothing can be said of it yet.
  Known,        // It was taken into account before.
};

inline constexpr std::array<std::string_view, 7> kRuleVerdictNames{
  "accepted", "conflict", "invalid", "refreshed", "stale refresh", "held", "known"
};

// The store. At any time its version is exactly the one in force after all records before
// ReadUpTo(). It only ever moves to a higher version.
class RuleStore
{
public:
  // Reads the record at a log offset. Offsets must rise from call to call; a gap means that the
  // records between have left the log.
  RuleVerdict Apply(std::uint64_t aOffset, const RuleRecord& aRecord);

  // Takes over what a peer or a refresh states; ignored unless it covers more records.
  bool Adopt(const RuleRefresh& aState);

  // Returns the version in force, kNoRules at first.
  std::uint64_t Version() const { return this->version; }

  // Returns the offset up to which all records are accounted for.
  std::uint64_t ReadUpTo() const { return this->nextOffset; }

  // Returns the text in force.
  const std::string& Text() const { return this->text; }

  // Returns the parsed rules in force.
  const std::shared_ptr<const RuleSet>& Rules() const { return this->rules; }

  // Returns the record that repeats the version in force.
  RuleRefresh MakeRefresh() const { return { this->version, this->nextOffset, this->text }; }

private:
  RuleVerdict ApplyNext(std::uint64_t aOffset, const RuleRecord& aRecord);
  RuleVerdict ApplyEdit(std::uint64_t aOffset, const RuleEdit& aEdit);
  RuleVerdict ApplyAfterGap(std::uint64_t aOffset, const RuleRecord& aRecord);
  void ApplyBuffered();

  std::uint64_t version = kNoRules;
  std::uint64_t nextOffset = 0;
  std::string text;
  std::shared_ptr<const RuleSet> rules = std::make_shared<const RuleSet>();
  std::map<std::uint64_t, RuleRecord> buffered; // Records after a gap, by offset.
};

} // namespace sycamorepost

#endif // SYCAMOREPOST_RULE_STORE_H_
