// How fast the targets of a service are, compared with each other.
#ifndef SYCAMOREPOST_FORWARD_LOAD_TARGET_PACE_H_
#define SYCAMOREPOST_FORWARD_LOAD_TARGET_PACE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "sycamorepost/Types.h"
#include "sycamorepost/forward/load/TargetLoadReport.h"
#include "sycamorepost/forward/targets/TargetDirectory.h"

namespace sycamorepost {

// The mean logarithm of observed over predicted times, whose weight decreases with its age.
class PaceSamples
{
public:
  // Adds the logarithm of one. One far from that of the earlier samples counts as one less far.
  void Add(double aLog, Instant aNow);
  // Adds the samples of another entry.
  void Merge(const PaceSamples& aOther, Instant aNow);

  // Returns the samples that a report states. Values beyond any that a report may have are limited.
  static PaceSamples FromReport(const TargetLoadReport& aReport, Instant aNow);
  // Writes the samples into a report; with too few of them it states none.
  void WriteTo(TargetLoadReport& aReport, Instant aNow) const;

  // Returns the mean logarithm; 0 without samples.
  double MeanLog() const { return this->weight > 0 ? this->logSum / this->weight : 0; }
  // Returns the number of samples that the aged ones still count for.
  double WeightAt(Instant aNow) const;
  // Returns how much the samples are to be believed, from 0 to 1.
  double ConfidenceAt(Instant aNow) const;
  // Returns the time since the newest sample.
  Duration AgeAt(Instant aNow) const { return aNow - this->newestAt; }

private:
  void Age(Instant aNow);

  double logSum = 0;
  double weight = 0; // At agedAt.
  Instant agedAt;
  Instant newestAt;
};

// A target was found slow, or is not slow any more.
struct PaceChange
{
  std::string instance;
  bool isSlow = false;
  double factor = 1;
  double samples = 0;
  Duration age{}; // Of the newest sample.
};

// The pace of a target for the state dump and the log.
struct PaceView
{
  double factor = 1;
  double samples = 0;
  Duration age{}; // Of the newest sample.
};

// Learns for each target a factor: its times over the predicted ones, relative to the median of its
// service. 1 is normal and 2 is half as fast. Factors change in Refresh only, so that reading them
// costs one look-up.
class TargetPace
{
public:
  // Records the time to the first event of an engine of a service, in milliseconds, over a
  // prediction without its factor. Ignored unless both are positive.
  void RecordFirstEvent(const std::string& aService,
                        const std::string& aInstance,
                        double aObservedMs,
                        double aPredictedMs,
                        Instant aNow);

  // Returns whether a gap of a stream is a sample now: streams of one engine have their events at
  // the same time, which count as one.
  bool WantsGap(const std::string& aInstance, Instant aNow) const;

  // Records the gap between two events, in milliseconds, over the time of a pass. A gap that the
  // prefill pending there explains is normal.
  void RecordGap(const std::string& aService,
                 const std::string& aInstance,
                 double aGapMs,
                 double aPassMs,
                 double aPendingPrefillMs,
                 Instant aNow);

  // Records the duration of a plain call, in milliseconds, over that of calls of the same kind on
  // targets with the same number of running calls.
  void RecordCall(const std::string& aInstance,
                  const std::string& aKind,
                  std::uint32_t aRunning,
                  double aDurationMs,
                  Instant aNow);

  // Applies the views of a peer. Those that a report does not state grow old.
  void ApplyReport(const std::string& aPeer,
                   bool aIsOtherDomain,
                   const std::vector<TargetLoadReport>& aReports,
                   Instant aNow);

  // Drops what is known of a target that is no longer listed or has restarted.
  void RemoveTarget(const std::string& aInstance);

  // Computes all factors anew, at most a few times a second. Drops targets that are not listed.
  void Refresh(const std::map<std::string, RegisteredTarget>& aTargets, Instant aNow);

  // Returns the factor of a target.
  double FactorOf(const std::string& aInstance) const;
  // Returns the factor of a target and what it is based on.
  PaceView ViewOf(const std::string& aInstance, Instant aNow) const;

  // Returns the targets of which this entry's own view has changed notably since it was reported.
  std::vector<std::string> NotableTargets() const;

  // Adds this entry's own views to reports of its load.
  void AddOwnViews(std::vector<TargetLoadReport>& aReports, Instant aNow);

  // Adds the views of this entry and its neighbours together to the reports of the load of their
  // failure domain, and reports without load for targets of another factor than 1.
  void AddDomainViews(std::vector<TargetLoadReport>& aReports, Instant aNow) const;

  // Returns the targets that were found slow or not slow any more since the last call; each target
  // at most once a second.
  std::vector<PaceChange> TakeChanges(Instant aNow);

  // Returns the number of slow targets.
  std::size_t SlowCount() const { return this->slowCount; }

private:
  struct PeerView
  {
    std::size_t peer = 0; // Hash of its name.
    bool isOtherDomain = false;
    PaceSamples samples;
  };
  struct Target
  {
    PaceSamples own;
    std::vector<PeerView> peers;
    Instant gapAt;               // When the last gap was recorded.
    double pendingPrefillMs = 0; // At that time.
    double reportedLog = 0;      // As last reported, with its confidence.
    PaceSamples all;             // Of this entry and the peers, as of the last Refresh.
    double factor = 1;
    bool wasAbove = false; // At the last Refresh its factor was that of a slow target.
    bool isSlow = false;   // The same at two of them in a row.
    bool loggedSlow = false;
    Instant loggedAt;
  };
  struct Service
  {
    double usualLog = 0; // Logarithm of the usual pace.
    Instant updatedAt;
  };
  // The logarithm of what is usual for one kind of sample: the median, approached in steps.
  struct Baseline
  {
    double medianLog = 0;
    double count = 0;
  };
  // The errors that predictions for the engines of a service have in common.
  struct EngineBias
  {
    Baseline firstEvent;
    Baseline gap;
  };

  static double CompareWith(Baseline& aBaseline, double aLog, double aMinStep);
  void AddSample(Target& aTarget, const std::string& aInstance, double aLog, Instant aNow);
  PaceSamples SumOf(const Target& aTarget, bool aWithOtherDomains, Instant aNow) const;
  double UpdateUsual(const std::string& aService, std::vector<double>& aLogs, Instant aNow);
  void SetFactor(Target& aTarget, double aLog);

  std::unordered_map<std::string, Target> targets;     // By instance.
  std::map<std::string, Service> services;             // By name.
  std::unordered_map<std::string, EngineBias> biases;  // By service.
  std::unordered_map<std::string, Baseline> durations; // By kind and number of running calls.
  std::set<std::string> notable;                       // Instances.
  std::set<std::string> changed;                       // Instances with a change to log.
  std::size_t slowCount = 0;
  Instant refreshAt;
};

} // namespace sycamorepost

#endif // SYCAMOREPOST_FORWARD_LOAD_TARGET_PACE_H_
