// Offers the fitted cost of running a prompt on one engine: prefill seconds = a*n + b*n*n for n
// uncached tokens, and a step time for each answer token.
#ifndef SYCAMOREPOST_COST_MODEL_H_
#define SYCAMOREPOST_COST_MODEL_H_

#include <cstdint>

namespace sycamorepost {

// The model. It starts from a guess and follows what the engine did.
class CostModel
{
public:
  // Learns from one finished prefill.
  void ObservePrefill(std::uint32_t aTokens, double aSeconds);

  // Learns from one finished answer.
  void ObserveDecode(std::uint32_t aTokens, double aSeconds);

  // Returns the predicted prefill time in seconds. It is never negative and rises with the tokens.
  double PrefillSeconds(std::uint32_t aTokens) const;

  // Returns the predicted time for a number of answer tokens in seconds.
  double DecodeSeconds(std::uint32_t aTokens) const;

private:
  // Sums of a weighted least-squares fit; older work counts less.
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
