#include "load/LoadReport.h"

#include <array>
#include <cmath>
#include <sstream>

#include "runtime/Metrics.h"

namespace sycamorepost::load {

namespace {

constexpr unsigned kBuckets = 1400;
constexpr double kMinSeconds = 1e-3;
constexpr double kMaxSeconds = 1e3;
constexpr Duration kEndMargin = std::chrono::seconds(2);
constexpr std::array<const char*, 3> kCallKindNames{ "completion", "booking", "lookup" };

std::string
FormatQuantile(const LatencyHistogram& aTimes, double aShare)
{
  std::ostringstream text;
  text.width(9);
  text << ToMillis(aTimes.Quantile(aShare));
  return text.str();
}

} // namespace

LatencyHistogram::LatencyHistogram()
  : buckets(boost::histogram::make_histogram(Axis(kBuckets, kMinSeconds, kMaxSeconds)))
{
}

void
LatencyHistogram::Add(Duration aDuration)
{
  this->buckets(std::chrono::duration<double>(aDuration).count());
  ++this->count;
}

Duration
LatencyHistogram::Quantile(double aShare) const
{
  const double rank = aShare * static_cast<double>(this->count);
  double seen = 0;
  for (const auto& bucket : boost::histogram::indexed(this->buckets)) {
    seen += *bucket;
    if (seen >= rank && seen > 0) {
      return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(bucket.bin().upper()));
    }
  }
  return Duration::zero();
}

LoadReport
MakeReport(const History& aHistory)
{
  LoadReport report;
  for (const CallRecord& record : aHistory) {
    const std::string kind = kCallKindNames.at(static_cast<std::size_t>(record.kind));
    const std::string outcome = record.outcome.empty() ? "no response" : record.outcome;
    ++report.outcomes[kind][outcome];
    report.endedLate += record.endedAt - record.sentAt > record.timeout + kEndMargin ? 1 : 0;
    report.incomplete += record.outcome == "done" && !record.isComplete ? 1 : 0;
    if (record.kind == CallKind::Completion && record.firstTokenAt > Duration::zero()) {
      report.timeToFirstToken[LengthClass(record.promptTokens)].Add(record.firstTokenAt -
                                                                    record.scheduledAt);
    }
    if (record.kind == CallKind::Booking && record.outcome == "done") {
      report.bookingDurations.Add(record.endedAt - record.sentAt);
    }
  }
  return report;
}

std::string
FormatReport(const LoadReport& aReport)
{
  std::ostringstream text;
  text << "time to first token, ms\n"
       << "prompt tokens      count      p50      p95      p99\n";
  for (const auto& [name, times] : aReport.timeToFirstToken) {
    text << name << std::string(16 - name.size(), ' ');
    text.width(8);
    text << times.Count() << FormatQuantile(times, 0.5) << FormatQuantile(times, 0.95)
         << FormatQuantile(times, 0.99) << '\n';
  }
  if (aReport.bookingDurations.Count() > 0) {
    text << "bookings        ";
    text.width(8);
    text << aReport.bookingDurations.Count() << FormatQuantile(aReport.bookingDurations, 0.5)
         << FormatQuantile(aReport.bookingDurations, 0.95)
         << FormatQuantile(aReport.bookingDurations, 0.99)
         << "   (call duration in ms, outcome done)\n";
  }
  text << "outcomes\n";
  for (const auto& [kind, counts] : aReport.outcomes) {
    text << "  " << kind << ':';
    for (const auto& [outcome, count] : counts) {
      text << "  " << outcome << ' ' << count;
    }
    text << '\n';
  }
  text << "  ended after their timeout: " << aReport.endedLate
       << ", done but incomplete: " << aReport.incomplete << '\n';
  return text.str();
}

} // namespace sycamorepost::load
