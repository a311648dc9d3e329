// A fitted model of how long one engine takes to run a prompt: prefill seconds = a*n + b*n*n for n
// uncached tokens, and a constant decode step time per output token.
#ifndef SYCAMOREPOST_COST_MODEL_H_
#define SYCAMOREPOST_COST_MODEL_H_

#include <cstdint>

namespace sycamorepost {

// Predicts prefill and decode times. It starts from defaults and is refitted after each
// observation.
class CostModel
{
public:
  // Updates the fit with a finished prefill of aTokens uncached tokens that took aSeconds.
  // Ignored unless both are positive.
  void ObservePrefill(std::uint32_t aTokens, double aSeconds);

  // Updates the decode step time with a finished response of aTokens output tokens that took
  // aSeconds. Ignored unless both are positive.
  void ObserveDecode(std::uint32_t aTokens, double aSeconds);

  // Returns the predicted prefill time in seconds, which is never negative and increases with
  // aTokens.
  double PrefillSeconds(std::uint32_t aTokens) const;

  // Returns the predicted time in seconds to decode aTokens output tokens.
  double DecodeSeconds(std::uint32_t aTokens) const;

private:
  // Sums of a weighted least-squares fit over tokens n and seconds t, decayed so that older
  // observations count less.
  double sumNn = 0;
  double sumNn2 = 0;
  double sumN2n2 = 0;
  double sumNt = 0;
  double sumN2t = 0;
  double secondsPerToken = 4e-6;
  double secondsPerSquaredToken = 0;
  double secondsPerStep = 0.02;
};

} // namespace sycamorepost

#endif // SYCAMOREPOST_COST_MODEL_H_
