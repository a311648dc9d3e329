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
FormatQuantile(const TimeHistogram& aTimes, double aShare)
{
  std::ostringstream text;
  text.width(9);
  text << ToMillis(aTimes.Quantile(aShare));
  return text.str();
}

} // namespace

TimeHistogram::TimeHistogram()
  : buckets(boost::histogram::make_histogram(Axis(kBuckets, kMinSeconds, kMaxSeconds)))
{
}

void
TimeHistogram::Add(Duration aDuration)
{
  this->buckets(std::chrono::duration<double>(aDuration).count());
  ++this->count;
}

Duration
TimeHistogram::Quantile(double aShare) const
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
    report.late += record.ended - record.sent > record.timeout + kEndMargin ? 1 : 0;
    report.broken += record.outcome == "done" && !record.whole ? 1 : 0;
    if (record.kind == CallKind::Completion && record.firstToken > Duration::zero()) {
      report.firstToken[LengthClass(record.promptTokens)].Add(record.firstToken - record.scheduled);
    }
    if (record.kind == CallKind::Booking && record.outcome == "done") {
      report.bookings.Add(record.ended - record.sent);
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
  for (const auto& [name, times] : aReport.firstToken) {
    text << name << std::string(16 - name.size(), ' ');
    text.width(8);
    text << times.Count() << FormatQuantile(times, 0.5) << FormatQuantile(times, 0.95)
         << FormatQuantile(times, 0.99) << '\n';
  }
  if (aReport.bookings.Count() > 0) {
    text << "bookings        ";
    text.width(8);
    text << aReport.bookings.Count() << FormatQuantile(aReport.bookings, 0.5)
         << FormatQuantile(aReport.bookings, 0.95) << FormatQuantile(aReport.bookings, 0.99)
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
  text << "  ended after their timeout: " << aReport.late
       << ", done but incomplete: " << aReport.broken << '\n';
  return text.str();
}

} // namespace sycamorepost::load
