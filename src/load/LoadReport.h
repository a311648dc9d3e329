// Declares the summary of a load: time to first token by prompt length, and counts of outcomes.
#ifndef SYCAMOREPOST_LOAD_LOAD_REPORT_H_
#define SYCAMOREPOST_LOAD_LOAD_REPORT_H_

#include <map>
#include <string>

#include <boost/histogram.hpp>

#include "load/LoadPlan.h"

namespace sycamorepost::load {

// A histogram of durations from 1 ms to 1000 s with logarithmic buckets. Quantiles are accurate to
// one percent.
class LatencyHistogram
{
public:
  LatencyHistogram();

  void Add(Duration aDuration);

  // Returns the duration below which a share of all durations lies, from 0 to 1; zero if the
  // histogram is empty.
  Duration Quantile(double aShare) const;

  std::uint64_t Count() const { return this->count; }

private:
  using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;

  decltype(boost::histogram::make_histogram(std::declval<Axis>())) buckets;
  std::uint64_t count = 0;
};

// The summary of one load.
struct LoadReport
{
  std::map<std::string, LatencyHistogram>
    timeToFirstToken; // By length class; measured from the time at which the call was due.
  LatencyHistogram bookingDurations; // Bookings with the outcome "done" only.
  std::map<std::string, std::map<std::string, std::uint64_t>>
    outcomes;                  // Number of calls by kind and outcome.
  std::uint64_t endedLate = 0; // Calls that ended more than 2 s after their timeout.
  std::uint64_t incomplete =
    0; // Calls whose outcome is "done" although the response was incomplete.
};

// Returns the summary of a load.
LoadReport
MakeReport(const History& aHistory);

// Formats a summary as text tables for a terminal. Times are in milliseconds.
std::string
FormatReport(const LoadReport& aReport);

} // namespace sycamorepost::load

#endif // SYCAMOREPOST_LOAD_LOAD_REPORT_H_
