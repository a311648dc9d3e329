// A position in a topic of the platform's store.
#ifndef SYCAMOREPOST_FORWARD_SHARING_TOPIC_POSITION_H_
#define SYCAMOREPOST_FORWARD_SHARING_TOPIC_POSITION_H_

#include <compare>
#include <cstdint>
#include <string>
#include <tuple>

namespace sycamorepost {

// The offset of a record, and the era of the store in which the offset was given out. A store that
// returns from an older copy begins a new era and gives out offsets again, so that a position of a
// later era is newer whatever its offset.
struct TopicPosition
{
  std::uint64_t era = 0; // Rises with each restore; 0 when the store states none.
  std::uint64_t offset = 0;

  bool operator==(const TopicPosition&) const = default;

  auto operator<=>(const TopicPosition& aOther) const
  {
    return std::tie(this->era, this->offset) <=> std::tie(aOther.era, aOther.offset);
  }
};

// Returns a position for the log, as "era:offset".
inline std::string
ToString(const TopicPosition& aPosition)
{
  return std::to_string(aPosition.era) + ":" + std::to_string(aPosition.offset);
}

} // namespace sycamorepost

#endif // SYCAMOREPOST_FORWARD_SHARING_TOPIC_POSITION_H_
