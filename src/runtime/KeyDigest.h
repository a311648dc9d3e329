// Declares the digest of API keys. The rules hold the digest in place of the key itself.
#ifndef SYCAMOREPOST_RUNTIME_KEY_DIGEST_H_
#define SYCAMOREPOST_RUNTIME_KEY_DIGEST_H_

#include <string>

namespace sycamorepost {

// Returns the SHA-256 digest of an API key in lowercase hexadecimal.
std::string
DigestKey(const std::string& aKey);

} // namespace sycamorepost

#endif // SYCAMOREPOST_RUNTIME_KEY_DIGEST_H_
