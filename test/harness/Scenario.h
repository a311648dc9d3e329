// Offers what the tests of the promises share: a load in the background while faults are made, the
// check of its history, and the wait for the engines' memory to return to its floor.
#ifndef SYCAMOREPOST_TEST_HARNESS_SCENARIO_H_
#define SYCAMOREPOST_TEST_HARNESS_SCENARIO_H_

#include <future>
#include <random>
#include <string>
#include <vector>

#include "Cluster.h"
#include "load/LoadRunner.h"

namespace sycamorepost::harness {

// Returns the seeds to run: as many as SYCAMOREPOST_SEEDS says, or a few without it, counted up
// from SYCAMOREPOST_FIRST_SEED, or from 1 without it.
std::vector<std::uint64_t>
Seeds(std::uint64_t aDefault = 2);

// A load that runs beside the test.
class BackgroundLoad
{
public:
  BackgroundLoad(const Cluster& aCluster, std::uint64_t aSeed, double aSeconds, double aRate = 20);

  // Waits for the end and returns the history.
  load::History Finish() { return this->result.get(); }

private:
  std::future<load::History> result;
};

// Returns the fields of an ordinary call of an account.
std::vector<Field>
CallerFields(const std::string& aAccount);

// Returns the body of a completion request.
std::string
CompletionBody(const std::string& aPrompt, int aTokens, bool aStream = false);

// Checks the history with the effects; returns the violations as one text, empty when there are
// none.
std::string
FormatViolations(const Cluster& aCluster, const load::History& aHistory);

// Returns the requests for which no try was done, one a line.
std::string
ListUnservedRequests(const load::History& aHistory);

// Returns one line of counts by kind and outcome.
std::string
FormatOutcomeCounts(const load::History& aHistory);

// Waits until no engine holds memory for a request; returns what is left, empty when nothing is.
std::string
WaitForKvMemoryRelease(Cluster& aCluster, std::chrono::milliseconds aTimeout);

// Kills a random process or freezes it for a while, by the seed; a killed one is started again.
void
InjectProcessFault(Cluster& aCluster, std::mt19937_64& aRandom, bool aFreeze);

// Sleeps.
void
Pause(int aMilliseconds);

} // namespace sycamorepost::harness

#endif // SYCAMOREPOST_TEST_HARNESS_SCENARIO_H_
