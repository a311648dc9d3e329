#include "sycamorepost/Hash.h"

#include <array>
#include <cstdio>

#define XXH_STATIC_LINKING_ONLY
#include <xxhash.h>

namespace sycamorepost {

std::uint64_t
HashText(std::string_view aText, std::uint64_t aSeed)
{
  return XXH3_64bits_withSeed(aText.data(), aText.size(), aSeed);
}

std::string
HashHex(std::string_view aText)
{
  const XXH128_hash_t hash = XXH3_128bits(aText.data(), aText.size());
  std::array<char, 33> digits{};
  std::snprintf(digits.data(),
                digits.size(),
                "%016llx%016llx",
                static_cast<unsigned long long>(hash.high64),
                static_cast<unsigned long long>(hash.low64));
  return digits.data();
}

struct StreamDigest::State
{
  XXH3_state_t value;
};

StreamDigest::StreamDigest()
  : state(std::make_unique<State>())
{
  XXH3_64bits_reset(&this->state->value);
}

StreamDigest::~StreamDigest() = default;
StreamDigest::StreamDigest(StreamDigest&&) noexcept = default;
StreamDigest&
StreamDigest::operator=(StreamDigest&&) noexcept = default;

void
StreamDigest::Update(std::string_view aText)
{
  XXH3_64bits_update(&this->state->value, aText.data(), aText.size());
}

std::uint64_t
StreamDigest::Value() const
{
  return XXH3_64bits_digest(&this->state->value);
}

std::uint64_t
RendezvousWeight(std::uint64_t aKey, std::string_view aName)
{
  return HashText(aName, aKey);
}

std::vector<std::uint64_t>
BlockHashes(std::string_view aPrompt)
{
  std::vector<std::uint64_t> hashes;
  std::uint64_t chain = 0;
  for (std::size_t end = kBlockBytes; end <= aPrompt.size(); end += kBlockBytes) {
    chain = HashText(aPrompt.substr(end - kBlockBytes, kBlockBytes), chain);
    hashes.push_back(chain);
  }
  return hashes;
}

std::vector<PrefixHash>
PrefixHashes(std::string_view aPrompt)
{
  const std::vector<std::uint64_t> hashes = BlockHashes(aPrompt);
  std::vector<PrefixHash> prefixes;
  for (std::size_t blocks = 1; blocks <= hashes.size(); blocks *= 2) {
    prefixes.push_back(
      { static_cast<std::uint32_t>(blocks), static_cast<std::uint32_t>(hashes[blocks - 1]) });
  }
  if (!hashes.empty() && prefixes.back().blocks != hashes.size()) {
    prefixes.push_back(
      { static_cast<std::uint32_t>(hashes.size()), static_cast<std::uint32_t>(hashes.back()) });
  }
  return prefixes;
}

} // namespace sycamorepost
