#include "runtime/Metrics.h"

#include <array>
#include <sstream>

namespace sycamorepost {

namespace {

constexpr unsigned kBuckets = 36;
constexpr double kMinSeconds = 0.001;
constexpr double kMaxSeconds = 1000;
constexpr const char* kPrefix = "sycamorepost_";

std::string
FormatLabel(const std::string& aLabel)
{
  return aLabel.empty() ? std::string() : "{kind=\"" + aLabel + "\"}";
}

} // namespace

std::string
LengthClass(std::uint32_t aPromptTokens)
{
  struct Bound
  {
    std::uint32_t upTo;
    const char* name;
  };
  static constexpr std::array<Bound, 5> kBounds{ {
    { 4'096, "1k-4k" },
    { 32'768, "4k-32k" },
    { 131'072, "32k-128k" },
    { 524'288, "128k-512k" },
    { UINT32_MAX, "512k-1M" },
  } };
  for (const Bound& bound : kBounds) {
    if (aPromptTokens <= bound.upTo) {
      return bound.name;
    }
  }
  return kBounds.back().name;
}

void
Metrics::Count(const std::string& aName, const std::string& aLabel, std::uint64_t aAmount)
{
  this->counters[{ aName, aLabel }] += aAmount;
}

void
Metrics::Set(const std::string& aName, double aValue)
{
  this->gauges[aName] = aValue;
}

void
Metrics::Observe(const std::string& aName, const std::string& aLabel, Duration aDuration)
{
  const auto key = std::pair(aName, aLabel);
  auto distribution = this->distributions.find(key);
  if (distribution == this->distributions.end()) {
    distribution = this->distributions
                     .emplace(key,
                              Distribution{ boost::histogram::make_histogram(
                                Axis(kBuckets, kMinSeconds, kMaxSeconds, "seconds")) })
                     .first;
  }
  const double seconds = std::chrono::duration<double>(aDuration).count();
  distribution->second.buckets(seconds);
  distribution->second.sum += seconds;
  ++distribution->second.count;
}

std::string
Metrics::Format() const
{
  std::ostringstream text;
  for (const auto& [key, value] : this->counters) {
    text << kPrefix << key.first << "_total" << FormatLabel(key.second) << ' ' << value << '\n';
  }
  for (const auto& [name, value] : this->gauges) {
    text << kPrefix << name << ' ' << value << '\n';
  }
  for (const auto& [key, distribution] : this->distributions) {
    const std::string name = kPrefix + key.first + "_seconds";
    const std::string kind = key.second.empty() ? "" : "kind=\"" + key.second + "\",";
    double cumulative = 0;
    for (const auto& bucket :
         boost::histogram::indexed(distribution.buckets, boost::histogram::coverage::all)) {
      cumulative += *bucket;
      if (bucket.index() < static_cast<int>(kBuckets)) {
        text << name << "_bucket{" << kind << "le=\"" << bucket.bin().upper() << "\"} "
             << cumulative << '\n';
      }
    }
    text << name << "_bucket{" << kind << "le=\"+Inf\"} " << distribution.count << '\n';
    text << name << "_sum" << FormatLabel(key.second) << ' ' << distribution.sum << '\n';
    text << name << "_count" << FormatLabel(key.second) << ' ' << distribution.count << '\n';
  }
  return text.str();
}

} // namespace sycamorepost
