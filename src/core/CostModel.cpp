#include "sycamorepost/CostModel.h"

namespace sycamorepost {

namespace {

constexpr double kSampleDecay = 0.99;  // Factor on the weight of older samples per new sample.
constexpr double kStepSmoothing = 0.1; // Weight of a new sample in the moving average.
constexpr double kTokenScale = 1e-3;   // The fit uses thousands of tokens to be well-conditioned.
constexpr double kMinRelativeDeterminant = 1e-6;

} // namespace

void
CostModel::ObservePrefill(std::uint32_t aTokens, double aSeconds)
{
  if (aTokens == 0 || aSeconds <= 0) {
    return;
  }
  const double n = aTokens * kTokenScale;
  // Minimizes relative errors, so that a few very long prompts do not dominate the short ones.
  const double weight = 1 / (aSeconds * aSeconds);
  this->sumNn = this->sumNn * kSampleDecay + weight * n * n;
  this->sumNn2 = this->sumNn2 * kSampleDecay + weight * n * n * n;
  this->sumN2n2 = this->sumN2n2 * kSampleDecay + weight * n * n * n * n;
  this->sumNt = this->sumNt * kSampleDecay + weight * n * aSeconds;
  this->sumN2t = this->sumN2t * kSampleDecay + weight * n * n * aSeconds;
  const double determinant = this->sumNn * this->sumN2n2 - this->sumNn2 * this->sumNn2;
  // Falls back to a linear fit if the system is near singular or a coefficient is negative.
  double a = this->sumNt / this->sumNn;
  double b = 0;
  if (determinant > kMinRelativeDeterminant * this->sumNn * this->sumN2n2) {
    const double fittedA =
      (this->sumNt * this->sumN2n2 - this->sumN2t * this->sumNn2) / determinant;
    const double fittedB = (this->sumN2t * this->sumNn - this->sumNt * this->sumNn2) / determinant;
    if (fittedA >= 0 && fittedB >= 0) {
      a = fittedA;
      b = fittedB;
    }
  }
  this->secondsPerToken = a * kTokenScale;
  this->secondsPerSquaredToken = b * kTokenScale * kTokenScale;
}

void
CostModel::ObserveDecode(std::uint32_t aTokens, double aSeconds)
{
  if (aTokens == 0 || aSeconds <= 0) {
    return;
  }
  this->secondsPerStep += kStepSmoothing * (aSeconds / aTokens - this->secondsPerStep);
}

double
CostModel::PrefillSeconds(std::uint32_t aTokens) const
{
  const double n = aTokens;
  return this->secondsPerToken * n + this->secondsPerSquaredToken * n * n;
}

double
CostModel::DecodeSeconds(std::uint32_t aTokens) const
{
  return this->secondsPerStep * aTokens;
}

} // namespace sycamorepost
