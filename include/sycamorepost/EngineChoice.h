// Strategies by which an entry chooses the engines that it probes for a request.
#ifndef SYCAMOREPOST_ENGINE_CHOICE_H_
#define SYCAMOREPOST_ENGINE_CHOICE_H_

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "sycamorepost/Message.h"
#include "sycamorepost/Types.h"

namespace sycamorepost {

// What an entry knows about one engine, kept across requests.
struct EngineStats
{
  std::uint32_t outstanding = 0; // Running attempts of this entry.
  std::int64_t firstTokenMs = 0; // Predicted time to first token in the last probe reply.
  std::int64_t queuedMs = 0;     // Predicted queue drain time in the last load notice.
  Instant predictedAt;           // When firstTokenMs was received.
};

// Pointers into a fleet view, which must outlive the list.
using TargetList = std::vector<const TargetInfo*>;

// Returns the target with the highest rendezvous weight for a key, or null if the list is empty.
const TargetInfo*
RendezvousFirst(std::uint64_t aKey, const TargetList& aTargets);

// The input of a strategy.
struct ChoiceInput
{
  TargetList usable;  // Engines that are allowed to run the request.
  std::string domain; // The entry's own failure domain.
  std::vector<PrefixHash> prefix;
  const std::map<std::string, EngineStats>* stats = nullptr; // By target name.
};

// Strategy state kept across requests.
struct ChoiceState
{
  std::mt19937_64 random;
  std::uint64_t requestCount = 0;
};

// Returns the engines to probe. The entry starts the request on the one that grants the probe with
// the lowest predicted time to first token.
using ChoiceStrategy = TargetList (*)(const ChoiceInput&, ChoiceState&);

// Returns the strategy of that name, or the "probe" strategy if the name is unknown.
ChoiceStrategy
FindChoiceStrategy(std::string_view aName);

} // namespace sycamorepost

#endif // SYCAMOREPOST_ENGINE_CHOICE_H_
