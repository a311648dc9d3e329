// Declares the counters, gauges and latency histograms of a process, exported as Prometheus text.
#ifndef SYCAMOREPOST_RUNTIME_METRICS_H_
#define SYCAMOREPOST_RUNTIME_METRICS_H_

#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include <boost/histogram.hpp>

#include "sycamorepost/Types.h"

namespace sycamorepost {

// Returns the length class of a prompt, such as "1k-4k", for metric labels and load reports.
std::string
LengthClass(std::uint32_t aPromptTokens);

// The metrics of one process.
class Metrics
{
public:
  // Adds to a counter. The name is given without the prefix "sycamorepost_" and the suffix
  // "_total". aLabel is the value of the label "kind"; a counter with an empty one has no label.
  void Count(const std::string& aName, const std::string& aLabel, std::uint64_t aAmount = 1);

  // Sets a gauge. The name is given without the prefix "sycamorepost_".
  void Set(const std::string& aName, double aValue);

  // Adds a duration to a histogram from 1 ms to 1000 s. The name is given without the prefix
  // "sycamorepost_" and the suffix "_seconds"; aLabel is used as in Count().
  void Observe(const std::string& aName, const std::string& aLabel, Duration aDuration);

  // Returns all metrics in the Prometheus text format.
  std::string Format() const;

private:
  using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
  using Histogram = decltype(boost::histogram::make_histogram(std::declval<Axis>()));

  struct Distribution
  {
    Histogram buckets;
    double sum = 0;
    std::uint64_t count = 0;
  };

  std::map<std::pair<std::string, std::string>, std::uint64_t> counters;
  std::map<std::string, double> gauges;
  std::map<std::pair<std::string, std::string>, Distribution> distributions;
};

} // namespace sycamorepost

#endif // SYCAMOREPOST_RUNTIME_METRICS_H_
