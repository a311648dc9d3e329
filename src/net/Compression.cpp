#include "net/Compression.h"

#include <algorithm>

#include <zlib.h>

namespace sycamorepost {

namespace {

constexpr std::string_view kMarker = "zlib\n";

// Routes repeat each other, so that little effort brings most of the gain.
constexpr int kLevel = 3;

constexpr std::size_t kStepBytes = 64 * 1024;

// The input of zlib, which does not change it.
Bytef*
ToInput(std::string_view aText)
{
  return reinterpret_cast<Bytef*>(const_cast<char*>(aText.data()));
}

} // namespace

std::string
Compress(std::string_view aText)
{
  std::string bytes(kMarker);
  uLongf size = compressBound(aText.size());
  bytes.resize(kMarker.size() + size);
  // Fails only for lack of memory or room.
  compress2(reinterpret_cast<Bytef*>(bytes.data() + kMarker.size()),
            &size,
            ToInput(aText),
            aText.size(),
            kLevel);
  bytes.resize(kMarker.size() + size);
  return bytes;
}

std::optional<std::string>
Decompress(std::string_view aBytes, std::size_t aMaxBytes)
{
  if (!aBytes.starts_with(kMarker)) {
    return aBytes.size() <= aMaxBytes ? std::optional(std::string(aBytes)) : std::nullopt;
  }
  aBytes.remove_prefix(kMarker.size());
  z_stream stream{};
  stream.next_in = ToInput(aBytes);
  stream.avail_in = static_cast<uInt>(aBytes.size());
  int result = inflateInit(&stream);
  std::string text;
  while (result == Z_OK && text.size() <= aMaxBytes) {
    const std::size_t before = text.size();
    text.resize(before + kStepBytes);
    stream.next_out = reinterpret_cast<Bytef*>(text.data() + before);
    stream.avail_out = kStepBytes;
    result = inflate(&stream, Z_NO_FLUSH); // Z_BUF_ERROR for truncated input.
    text.resize(text.size() - stream.avail_out);
  }
  inflateEnd(&stream);
  return result == Z_STREAM_END && text.size() <= aMaxBytes ? std::optional(std::move(text))
                                                            : std::nullopt;
}

} // namespace sycamorepost
