// Declares the hash functions for routing and integrity checks: one-shot and streaming XXH3,
// rendezvous hashing, and the chained block hashes of a prompt's prefix.
#ifndef SYCAMOREPOST_HASH_H_
#define SYCAMOREPOST_HASH_H_

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace sycamorepost {

// Returns the XXH3 64-bit hash of a text.
std::uint64_t
HashText(std::string_view aText, std::uint64_t aSeed = 0);

// Returns the XXH3 128-bit hash of a text as 32 hexadecimal digits.
std::string
HashHex(std::string_view aText);

// Computes the XXH3 64-bit hash of a text incrementally. The result does not depend on how the text
// is split into chunks.
class StreamDigest
{
public:
  StreamDigest();
  ~StreamDigest();
  StreamDigest(StreamDigest&&) noexcept;
  StreamDigest& operator=(StreamDigest&&) noexcept;
  StreamDigest(const StreamDigest&) = delete;
  StreamDigest& operator=(const StreamDigest&) = delete;

  // Appends the next chunk of the text.
  void Update(std::string_view aText);

  // Returns the digest of all chunks appended so far.
  std::uint64_t Value() const;

private:
  struct State;
  std::unique_ptr<State> state;
};

// Returns the weight of a name for a key in rendezvous (highest random weight) hashing. The name
// with the highest weight is chosen: every process makes the same choice for the same key and
// names, and removing a name moves only the keys that were assigned to it.
std::uint64_t
RendezvousWeight(std::uint64_t aKey, std::string_view aName);

// The number of prompt bytes in one prefix block: 256 tokens of 4 bytes.
inline constexpr std::size_t kBlockBytes = 1024;

// The chained hash of a prompt's prefix. Equal hashes mean equal prefixes, up to collisions.
struct PrefixHash
{
  std::uint32_t blocks = 0; // The length of the prefix in whole blocks.
  std::uint32_t hash = 0;   // The low half of the chained hash: it is only used for predictions.
};

// Returns the hashes of a prompt's prefixes of 1, 2, 4, 8, ... blocks and of its longest prefix of
// whole blocks, shortest first.
std::vector<PrefixHash>
PrefixHashes(std::string_view aPrompt);

// Returns the chained hash at the end of each whole block of a prompt.
std::vector<std::uint64_t>
BlockHashes(std::string_view aPrompt);

} // namespace sycamorepost

#endif // SYCAMOREPOST_HASH_H_
