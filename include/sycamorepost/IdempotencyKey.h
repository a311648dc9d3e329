// Declares functions that parse a caller's idempotency key and map it to its shard of the ledger.
#ifndef SYCAMOREPOST_IDEMPOTENCY_KEY_H_
#define SYCAMOREPOST_IDEMPOTENCY_KEY_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace sycamorepost {

// The longest key that is accepted, in bytes.
inline constexpr std::size_t kMaxKeyLength = 255;

// Returns the timestamp of a UUIDv7 as Unix time in milliseconds; nothing for any other text.
std::optional<std::int64_t>
UuidV7Time(std::string_view aKey);

// Returns the key under which the ledger stores a call: a hash of the account and the caller's key,
// so that keys of different accounts do not collide.
std::string
LedgerKey(std::string_view aAccount, std::string_view aKey);

// Returns the index of the shard that stores a ledger key, below aShards.
std::uint32_t
ShardOf(std::string_view aLedgerKey, std::uint32_t aShards);

// Returns the name of the log stream that stores one shard of a service's keys.
std::string
LedgerStream(std::string_view aService, std::uint32_t aShard);

} // namespace sycamorepost

#endif // SYCAMOREPOST_IDEMPOTENCY_KEY_H_
