#include "runtime/KeyDigest.h"

#include <array>

#include <glog/logging.h>
#include <openssl/evp.h>

namespace sycamorepost {

std::string
DigestKey(const std::string& aKey)
{
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int size = 0;
  CHECK_EQ(EVP_Digest(aKey.data(), aKey.size(), digest.data(), &size, EVP_sha256(), nullptr), 1);
  static constexpr std::array<char, 17> kDigits{ "0123456789abcdef" };
  std::string text;
  for (unsigned int i = 0; i < size; ++i) {
    text.push_back(kDigits.at(digest.at(i) >> 4U));
    text.push_back(kDigits.at(digest.at(i) & 0xFU));
  }
  return text;
}

} // namespace sycamorepost
