// The load of one entry on one target, as reported to the peers.
#ifndef SYCAMOREPOST_FORWARD_TARGET_SHARE_H_
#define SYCAMOREPOST_FORWARD_TARGET_SHARE_H_

#include <cstdint>
#include <string>

namespace sycamorepost {

// One entry's load on one target.
struct TargetShare
{
  std::string instance;
  std::uint32_t running = 0;
  std::uint32_t tight = 0;  // Of these, streams with the shortest gap objective.
  std::uint64_t memory = 0; // Tokens of KV cache.
  double readMs = 0;        // Remaining prefill time.
  double unreadMs = 0;      // Prefill time of requests without a first event.
};

} // namespace sycamorepost

#endif // SYCAMOREPOST_FORWARD_TARGET_SHARE_H_
