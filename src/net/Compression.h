// Declares the compression of large texts that processes of this system send to each other.
#ifndef SYCAMOREPOST_NET_COMPRESSION_H_
#define SYCAMOREPOST_NET_COMPRESSION_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace sycamorepost {

// Returns a text in the zlib format (RFC 1950) behind a marker, which no configuration begins
// with.
std::string
Compress(std::string_view aText);

// Returns the text of what Compress() has returned, and a text without the marker as it is. Returns
// nothing for malformed input, and for a text of more than aMaxBytes.
std::optional<std::string>
Decompress(std::string_view aBytes, std::size_t aMaxBytes);

} // namespace sycamorepost

#endif // SYCAMOREPOST_NET_COMPRESSION_H_
