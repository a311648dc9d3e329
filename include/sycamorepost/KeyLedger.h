// Offers the ledger of idempotency keys: one shard's records folded in log order. The first intent
// of a key owns it; only that intent's writer may run the call, so at most one call ever runs.
#ifndef SYCAMOREPOST_KEY_LEDGER_H_
#define SYCAMOREPOST_KEY_LEDGER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "sycamorepost/Types.h"

namespace sycamorepost {

// Announces that its writer is about to run a call. The id is unique for each writer and try.
struct KeyIntent
{
  std::string id;
  std::string key;    // A hash of the account and the caller's key.
  std::string digest; // A hash of the call itself: method, path and body.

  bool operator==(const KeyIntent&) const = default;
};

// States the answer of the call that an intent announced.
struct KeyResult
{
  std::string id; // The intent's id.
  std::string key;
  int status = 0;
  std::vector<Field> headers;
  std::string body;
  bool bodyKept = true; // False when the answer was too large for the log.

  bool operator==(const KeyResult&) const = default;
};

// States that the writer of an intent did not run the call and never will.
struct KeyVoid
{
  std::string id;
  std::string key;

  bool operator==(const KeyVoid&) const = default;
};

using KeyRecord = std::variant<KeyIntent, KeyResult, KeyVoid>;

// Encodes the records of one group commit for the log.
std::string
EncodeKeyRecords(const std::vector<KeyRecord>& aRecords);

// Decodes one group commit; returns nothing for bytes that are no such records.
std::optional<std::vector<KeyRecord>>
DecodeKeyRecords(std::string_view aData);

// What the ledger knows of one key.
struct KeyEntry
{
  KeyIntent intent;                // The intent that owns the key.
  std::optional<KeyResult> result; // The answer, once its record was read.
  Instant readAt;                  // When the intent was read.
};

// The folded state of one shard.
class KeyLedger
{
public:
  // Folds one record. Records must come in log order.
  void Apply(const KeyRecord& aRecord, Instant aNow);

  // Forgets the keys whose intents were read before an instant.
  void Prune(Instant aBefore);

  // Returns what is known of a key, or null when no live intent owns it.
  const KeyEntry* Find(const std::string& aKey) const;

  // Returns the number of keys.
  std::size_t Size() const { return this->entries.size(); }

private:
  std::map<std::string, KeyEntry> entries;
  std::map<std::string, Instant>
    voidedIntents; // Voided intent ids, so that a late intent stays dead.
};

} // namespace sycamorepost

#endif // SYCAMOREPOST_KEY_LEDGER_H_
