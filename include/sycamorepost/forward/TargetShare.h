// Offers what one entry has placed on one target, as it tells its peers.
#ifndef SYCAMOREPOST_FORWARD_TARGET_SHARE_H_
#define SYCAMOREPOST_FORWARD_TARGET_SHARE_H_

#include <cstdint>
#include <string>

namespace sycamorepost {

// The share of one entry in one target's work.
struct TargetShare
{
  std::string instance;
  std::uint32_t running = 0;
  std::uint32_t tight = 0;  // Of these, the ones whose pauses between events must be short.
  std::uint64_t memory = 0; // Tokens of KV cache.
  double readMs = 0;        // Reading that is left, in milliseconds.
  double unreadMs = 0;      // Reading of requests that have shown no event yet.
};

} // namespace sycamorepost

#endif // SYCAMOREPOST_FORWARD_TARGET_SHARE_H_
