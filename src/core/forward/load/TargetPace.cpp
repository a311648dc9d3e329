#include "sycamorepost/forward/load/TargetPace.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <string_view>
#include <utility>

namespace sycamorepost {

namespace {

// The time after which a sample counts half: a target that has recovered must be in use again after
// 3 s, and one that is still slow must not be probed with more than a few requests meanwhile.
constexpr Duration kHalfLife = std::chrono::milliseconds(800);

// The samples that count at most: a stream has one for each pass, so that a change is known after
// about ten passes.
constexpr double kMaxWeight = 8;

// The square of the number of samples that are half believed.
constexpr double kHalfBelieved = 5;

// Fewer samples say nothing.
constexpr double kMinWeight = 0.25;

// A sample counts as at most this multiple of the earlier ones, and at least its inverse: a long
// prompt that is not known of makes a gap several times longer.
constexpr double kMaxStep = 3;

// The views of peers are dropped when even the most samples have come to say nothing.
constexpr Duration kForgetAfter = std::chrono::seconds(5);

// The range of a factor.
constexpr double kMinFactor = 0.5;
constexpr double kMaxFactor = 8;

// Factors nearer to 1 count as 1: predictions are off by about a quarter.
constexpr double kNormalFactor = 1.2;

// Factors from which on a target is slow, and below which it is not any more.
constexpr double kSlowFactor = 1.5;
constexpr double kRecoveredFactor = 1.25;

constexpr Duration kRefreshInterval = std::chrono::milliseconds(250);
constexpr Duration kLogInterval = std::chrono::seconds(1);

// Events of one pass arrive within this time.
constexpr Duration kGapInterval = std::chrono::milliseconds(20);

// The change of a view, as a factor, that is reported although the load has not changed.
constexpr double kNotableChange = 1.3;

// The time in which the usual pace of a service moves half way to the median of the targets with
// samples. While it is slower than usual, targets without samples are worth trying.
constexpr Duration kUsualHalfLife = std::chrono::seconds(2);
constexpr Duration kFasterHalfLife = std::chrono::milliseconds(300);

// The share by which one sample of an engine moves what predictions are usually off by: it takes
// some hundred samples, so that a disturbance of seconds has little part in it.
constexpr double kBiasStep = 0.005;

// The share by which one call moves the median duration.
constexpr double kDurationStep = 0.03;

// Limits on what a report states.
constexpr std::uint32_t kMaxReportedPercent = 6'400;
constexpr std::uint32_t kMaxReportedSamples = 1'000;
constexpr std::uint32_t kMaxReportedAgeMs = 60'000;

double
Halvings(Duration aDuration, Duration aHalfLife)
{
  return std::exp2(-std::max(0.0, ToMs(aDuration) / ToMs(aHalfLife)));
}

double
MedianOf(std::vector<double>& aValues)
{
  const auto middle = aValues.begin() + static_cast<std::ptrdiff_t>(aValues.size() / 2);
  std::nth_element(aValues.begin(), middle, aValues.end());
  return *middle;
}

// Returns a number that is the same for similar numbers of running calls.
std::uint32_t
LoadBand(std::uint32_t aRunning)
{
  std::uint32_t band = std::min(aRunning, 3U);
  for (std::uint32_t rest = aRunning / 4; rest > 0; rest /= 2) {
    ++band;
  }
  return band;
}

// Returns the mean logarithm of samples, the closer to the usual one the less they are believed.
double
ShrunkLog(const PaceSamples& aSamples, double aUsualLog, Instant aNow)
{
  return aUsualLog + (aSamples.MeanLog() - aUsualLog) * aSamples.ConfidenceAt(aNow);
}

} // namespace

// ---- Samples ----

void
PaceSamples::Age(Instant aNow)
{
  if (aNow <= this->agedAt) {
    return;
  }
  const double share = Halvings(aNow - this->agedAt, kHalfLife);
  this->logSum *= share;
  this->weight *= share;
  this->agedAt = aNow;
}

void
PaceSamples::Add(double aLog, Instant aNow)
{
  const double known = this->MeanLog() * this->ConfidenceAt(aNow);
  const double step = std::log(kMaxStep);
  this->Age(aNow);
  this->logSum += std::clamp(aLog, known - step, known + step);
  this->weight += 1;
  if (this->weight > kMaxWeight) {
    this->logSum *= kMaxWeight / this->weight;
    this->weight = kMaxWeight;
  }
  this->newestAt = aNow;
}

void
PaceSamples::Merge(const PaceSamples& aOther, Instant aNow)
{
  const double weight = aOther.WeightAt(aNow);
  this->Age(aNow);
  this->logSum += aOther.MeanLog() * weight;
  this->weight += weight;
  this->newestAt = std::max(this->newestAt, aOther.newestAt);
}

double
PaceSamples::WeightAt(Instant aNow) const
{
  return this->weight * Halvings(aNow - this->agedAt, kHalfLife);
}

// Many samples of the same time must not be believed for longer than a few.
double
PaceSamples::ConfidenceAt(Instant aNow) const
{
  const double weight =
    std::min(this->WeightAt(aNow), kMaxWeight * Halvings(this->AgeAt(aNow), kHalfLife));
  return weight * weight / (weight * weight + kHalfBelieved);
}

PaceSamples
PaceSamples::FromReport(const TargetLoadReport& aReport, Instant aNow)
{
  PaceSamples samples;
  samples.newestAt =
    aNow - std::chrono::milliseconds(std::min(aReport.paceAgeMs, kMaxReportedAgeMs));
  samples.weight = std::min(aReport.paceSamples, kMaxReportedSamples);
  samples.logSum =
    samples.weight * std::log(std::clamp(aReport.pacePercent, 1U, kMaxReportedPercent) / 100.0);
  samples.agedAt = samples.newestAt;
  return samples;
}

void
PaceSamples::WriteTo(TargetLoadReport& aReport, Instant aNow) const
{
  const double weight = this->WeightAt(aNow);
  // The receiver lets them age from the newest sample on.
  const double count = std::round(weight / Halvings(this->AgeAt(aNow), kHalfLife));
  if (count < 1 || weight < kMinWeight) {
    return;
  }
  aReport.pacePercent = static_cast<std::uint32_t>(
    std::clamp(std::round(100 * std::exp(this->MeanLog())), 1.0, double{ kMaxReportedPercent }));
  aReport.paceSamples = static_cast<std::uint32_t>(std::min(count, double{ kMaxReportedSamples }));
  aReport.paceAgeMs = static_cast<std::uint32_t>(
    std::clamp<std::int64_t>(ToMillis(this->AgeAt(aNow)), 0, kMaxReportedAgeMs));
}

// ---- Recording ----

void
TargetPace::AddSample(Target& aTarget, const std::string& aInstance, double aLog, Instant aNow)
{
  aTarget.own.Add(aLog, aNow);
  const double log = aTarget.own.MeanLog() * aTarget.own.ConfidenceAt(aNow);
  if (std::abs(log - aTarget.reportedLog) > std::log(kNotableChange)) {
    this->notable.insert(aInstance);
  }
}

// Returns a logarithm relative to the usual one, which moves towards it by aMinStep, or by more at
// first.
double
TargetPace::CompareWith(Baseline& aBaseline, double aLog, double aMinStep)
{
  // The step shrinks from a half, so that the first samples do not decide for long.
  const double step = std::max(aMinStep, 0.5 / ++aBaseline.count);
  const double difference = aLog - aBaseline.medianLog;
  aBaseline.medianLog += std::clamp(difference, -step, step);
  return difference;
}

void
TargetPace::RecordFirstEvent(const std::string& aService,
                             const std::string& aInstance,
                             double aObservedMs,
                             double aPredictedMs,
                             Instant aNow)
{
  if (aObservedMs > 0 && aPredictedMs > 0) {
    const double log = std::log(aObservedMs / aPredictedMs);
    this->AddSample(this->targets[aInstance],
                    aInstance,
                    CompareWith(this->biases[aService].firstEvent, log, kBiasStep),
                    aNow);
  }
}

bool
TargetPace::WantsGap(const std::string& aInstance, Instant aNow) const
{
  const auto found = this->targets.find(aInstance);
  return found == this->targets.end() || found->second.gapAt + kGapInterval <= aNow;
}

void
TargetPace::RecordGap(const std::string& aService,
                      const std::string& aInstance,
                      double aGapMs,
                      double aPassMs,
                      double aPendingPrefillMs,
                      Instant aNow)
{
  if (aGapMs <= 0 || aPassMs <= 0) {
    return;
  }
  Target& target = this->targets[aInstance];
  // The prefill may have been pending at either end of the gap.
  const double prefillMs = std::max(aPendingPrefillMs, target.pendingPrefillMs);
  target.gapAt = aNow;
  target.pendingPrefillMs = aPendingPrefillMs;
  const double predictedMs = std::clamp(aGapMs, aPassMs, aPassMs + prefillMs);
  const double log = std::log(aGapMs / predictedMs);
  this->AddSample(target, aInstance, CompareWith(this->biases[aService].gap, log, kBiasStep), aNow);
}

void
TargetPace::RecordCall(const std::string& aInstance,
                       const std::string& aKind,
                       std::uint32_t aRunning,
                       double aDurationMs,
                       Instant aNow)
{
  if (aDurationMs <= 0) {
    return;
  }
  Baseline& usual = this->durations[aKind + '\n' + std::to_string(LoadBand(aRunning))];
  const double log = std::log(aDurationMs);
  if (usual.count == 0) {
    usual.medianLog = log;
  }
  this->AddSample(
    this->targets[aInstance], aInstance, CompareWith(usual, log, kDurationStep), aNow);
}

void
TargetPace::ApplyReport(const std::string& aPeer,
                        bool aIsOtherDomain,
                        const std::vector<TargetLoadReport>& aReports,
                        Instant aNow)
{
  const std::size_t peer = std::hash<std::string>()(aPeer);
  for (const TargetLoadReport& report : aReports) {
    if (report.paceSamples == 0) {
      continue;
    }
    std::vector<PeerView>& views = this->targets[report.instance].peers;
    auto view = std::find_if(
      views.begin(), views.end(), [peer](const PeerView& aView) { return aView.peer == peer; });
    if (view == views.end()) {
      view = views.insert(views.end(), PeerView{ peer, aIsOtherDomain, {} });
    }
    view->samples = PaceSamples::FromReport(report, aNow);
  }
}

void
TargetPace::RemoveTarget(const std::string& aInstance)
{
  const auto found = this->targets.find(aInstance);
  if (found != this->targets.end()) {
    this->slowCount -= found->second.isSlow ? 1 : 0;
    this->targets.erase(found);
  }
  this->notable.erase(aInstance);
  this->changed.erase(aInstance);
}

// ---- Factors ----

PaceSamples
TargetPace::SumOf(const Target& aTarget, bool aWithOtherDomains, Instant aNow) const
{
  PaceSamples sum = aTarget.own;
  for (const PeerView& view : aTarget.peers) {
    if (aWithOtherDomains || !view.isOtherDomain) {
      sum.Merge(view.samples, aNow);
    }
  }
  return sum;
}

void
TargetPace::Refresh(const std::map<std::string, RegisteredTarget>& aTargets, Instant aNow)
{
  if (aNow < this->refreshAt) {
    return;
  }
  this->refreshAt = aNow + kRefreshInterval;
  std::vector<std::string> removed;
  for (auto& [instance, target] : this->targets) {
    std::erase_if(target.peers, [aNow](const PeerView& aView) {
      return aView.samples.AgeAt(aNow) > kForgetAfter;
    });
    const bool isIdle = target.peers.empty() && target.own.WeightAt(aNow) < kMinWeight &&
                        target.factor == 1 && target.isSlow == target.loggedSlow;
    if (isIdle || !aTargets.contains(instance)) {
      removed.push_back(instance);
    }
  }
  for (const std::string& instance : removed) {
    this->RemoveTarget(instance);
  }
  struct Group
  {
    std::size_t targetCount = 0;
    std::vector<Target*> targets;
    std::vector<double> logs; // Of those with samples.
  };
  std::map<std::string_view, Group> groups; // By service.
  for (const auto& [instance, registered] : aTargets) {
    Group& group = groups[registered.service];
    ++group.targetCount;
    const auto found = this->targets.find(instance);
    if (found == this->targets.end()) {
      continue;
    }
    found->second.all = this->SumOf(found->second, true, aNow);
    group.targets.push_back(&found->second);
    if (found->second.all.WeightAt(aNow) >= kMinWeight) {
      group.logs.push_back(found->second.all.MeanLog());
    }
  }
  for (auto& [service, group] : groups) {
    if (group.targets.empty()) {
      continue;
    }
    const double usualLog = this->UpdateUsual(std::string(service), group.logs, aNow);
    std::vector<double> logs(group.targetCount - group.targets.size(), usualLog);
    for (const Target* target : group.targets) {
      logs.push_back(ShrunkLog(target->all, usualLog, aNow));
    }
    const double centerLog = MedianOf(logs);
    for (Target* target : group.targets) {
      this->SetFactor(*target, ShrunkLog(target->all, usualLog, aNow) - centerLog);
    }
  }
  for (const auto& [instance, target] : this->targets) {
    if (target.isSlow != target.loggedSlow) {
      this->changed.insert(instance);
    }
  }
}

// Moves the usual pace of a service towards the median of the targets with samples, whose
// logarithms are given. Returns it. Targets without samples count with it: while few targets are in
// use, and these are slow, the others are preferred; when all have turned out slow, none of them
// is.
double
TargetPace::UpdateUsual(const std::string& aService, std::vector<double>& aLogs, Instant aNow)
{
  Service& service = this->services.try_emplace(aService, Service{ 0, aNow }).first->second;
  if (!aLogs.empty()) {
    const double median = MedianOf(aLogs);
    const Duration halfLife = median < service.usualLog ? kFasterHalfLife : kUsualHalfLife;
    const double share = Halvings(aNow - service.updatedAt, halfLife);
    service.usualLog = share * service.usualLog + (1 - share) * median;
  }
  service.updatedAt = aNow;
  return service.usualLog;
}

void
TargetPace::SetFactor(Target& aTarget, double aLog)
{
  const bool isNormal = std::abs(aLog) < std::log(kNormalFactor);
  aTarget.factor = isNormal ? 1 : std::clamp(std::exp(aLog), kMinFactor, kMaxFactor);
  // While all targets change, some are ahead of the others for a moment.
  const bool isAbove = aTarget.factor > (aTarget.isSlow ? kRecoveredFactor : kSlowFactor);
  const bool wasAbove = std::exchange(aTarget.wasAbove, isAbove);
  const bool isSlow = isAbove && wasAbove;
  this->slowCount += isSlow && !aTarget.isSlow ? 1 : 0;
  this->slowCount -= !isSlow && aTarget.isSlow ? 1 : 0;
  aTarget.isSlow = isSlow;
}

double
TargetPace::FactorOf(const std::string& aInstance) const
{
  const auto found = this->targets.find(aInstance);
  return found == this->targets.end() ? 1 : found->second.factor;
}

PaceView
TargetPace::ViewOf(const std::string& aInstance, Instant aNow) const
{
  const auto found = this->targets.find(aInstance);
  if (found == this->targets.end() || found->second.all.WeightAt(aNow) <= 0) {
    return {};
  }
  const Target& target = found->second;
  return { target.factor, target.all.WeightAt(aNow), target.all.AgeAt(aNow) };
}

// ---- Reports and changes ----

std::vector<std::string>
TargetPace::NotableTargets() const
{
  return { this->notable.begin(), this->notable.end() };
}

void
TargetPace::AddOwnViews(std::vector<TargetLoadReport>& aReports, Instant aNow)
{
  for (TargetLoadReport& report : aReports) {
    const auto found = this->targets.find(report.instance);
    if (found != this->targets.end()) {
      PaceSamples& own = found->second.own;
      own.WriteTo(report, aNow);
      found->second.reportedLog = own.MeanLog() * own.ConfidenceAt(aNow);
      this->notable.erase(report.instance);
    }
  }
}

void
TargetPace::AddDomainViews(std::vector<TargetLoadReport>& aReports, Instant aNow) const
{
  std::set<std::string> reported;
  const auto write = [&](const Target& aTarget, TargetLoadReport& aReport) {
    this->SumOf(aTarget, false, aNow).WriteTo(aReport, aNow);
  };
  for (TargetLoadReport& report : aReports) {
    reported.insert(report.instance);
    const auto found = this->targets.find(report.instance);
    if (found != this->targets.end()) {
      write(found->second, report);
    }
  }
  for (const auto& [instance, target] : this->targets) {
    if (target.factor != 1 && !reported.contains(instance)) {
      TargetLoadReport report{ .instance = instance };
      write(target, report);
      if (report.paceSamples > 0) {
        aReports.push_back(std::move(report));
      }
    }
  }
}

std::vector<PaceChange>
TargetPace::TakeChanges(Instant aNow)
{
  std::vector<PaceChange> changes;
  for (const std::string& instance : std::exchange(this->changed, {})) {
    const auto found = this->targets.find(instance);
    if (found == this->targets.end()) {
      continue;
    }
    Target& target = found->second;
    if (target.isSlow != target.loggedSlow && target.loggedAt + kLogInterval <= aNow) {
      target.loggedSlow = target.isSlow;
      target.loggedAt = aNow;
      const PaceView view = this->ViewOf(instance, aNow);
      changes.push_back({ instance, target.isSlow, view.factor, view.samples, view.age });
    }
  }
  return changes;
}

} // namespace sycamorepost
