// Declares the ledger of idempotency keys: the state of one shard, computed by applying its records
// in log order. The first intent of a key owns the key, and only the writer of that intent may run
// the call, so at most one call runs per key.
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

// Record: its writer is about to run a call. The id is unique per writer and try.
struct KeyIntent
{
  std::string id;
  std::string key;    // The hash of account and caller's key; see LedgerKey.
  std::string digest; // The hash of the call's method, path and body.

  bool operator==(const KeyIntent&) const = default;
};

// Record: the response of the call that an intent announced.
struct KeyResult
{
  std::string id; // The id of the intent.
  std::string key;
  int status = 0;
  std::vector<Field> headers;
  std::string body;
  bool bodyKept = true; // False when the body was too large to be stored in the log.

  bool operator==(const KeyResult&) const = default;
};

// Record: the writer of an intent did not run the call and never will.
struct KeyVoid
{
  std::string id;
  std::string key;

  bool operator==(const KeyVoid&) const = default;
};

using KeyRecord = std::variant<KeyIntent, KeyResult, KeyVoid>;

// Encodes the records of one batch for the log, as MessagePack.
std::string
EncodeKeyRecords(const std::vector<KeyRecord>& aRecords);

// Decodes one batch; returns nothing if the data is malformed.
std::optional<std::vector<KeyRecord>>
DecodeKeyRecords(std::string_view aData);

// The state of one key.
struct KeyEntry
{
  KeyIntent intent;                // The intent that owns the key.
  std::optional<KeyResult> result; // The response, once its record was read.
  Instant readAt;                  // When the intent was read from the log.
};

// The state of one shard, computed from its records.
class KeyLedger
{
public:
  // Applies one record. Records must be applied in log order.
  void Apply(const KeyRecord& aRecord, Instant aNow);

  // Removes the intents and voids that were read before an instant.
  void Prune(Instant aBefore);

  // Returns the state of a key, or null when no intent owns it.
  const KeyEntry* Find(const std::string& aKey) const;

  // Returns the number of keys.
  std::size_t Size() const { return this->entries.size(); }

private:
  std::map<std::string, KeyEntry> entries;
  // When each intent was voided, by id: an intent that is read after its void must not own its key.
  std::map<std::string, Instant> voidedIntents;
};

} // namespace sycamorepost

#endif // SYCAMOREPOST_KEY_LEDGER_H_
