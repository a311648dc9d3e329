// The output text of the stand-in engine. Token i depends only on the prompt and on i, so a test
// can compute the expected response and detect any lost, repeated or reordered token.
#ifndef SYCAMOREPOST_TEST_STANDINS_ENGINE_TEXT_H_
#define SYCAMOREPOST_TEST_STANDINS_ENGINE_TEXT_H_

#include <cstdint>
#include <string>

#include "sycamorepost/Hash.h"

namespace sycamorepost::standin {

// Returns the output token at aIndex for the prompt with the given hash.
inline std::string
GenerateToken(std::uint64_t aPromptHash, std::uint64_t aIndex)
{
  static constexpr std::uint64_t kWords = 100'000;
  return " w" + std::to_string(HashText(std::to_string(aIndex), aPromptHash) % kWords);
}

// Returns the complete output text for a prompt.
inline std::string
GenerateOutput(const std::string& aPrompt, std::uint64_t aTokens)
{
  const std::uint64_t hash = HashText(aPrompt);
  std::string text;
  for (std::uint64_t i = 0; i < aTokens; ++i) {
    text += GenerateToken(hash, i);
  }
  return text;
}

} // namespace sycamorepost::standin

#endif // SYCAMOREPOST_TEST_STANDINS_ENGINE_TEXT_H_
