// Declares what the tests of the delivery guarantees share: a background load during which faults
// are injected, the check of its history, and the wait until the engines have released their KV
// memory.
#ifndef SYCAMOREPOST_TEST_HARNESS_SCENARIO_H_
#define SYCAMOREPOST_TEST_HARNESS_SCENARIO_H_

#include <future>
#include <random>
#include <string>
#include <vector>

#include "Cluster.h"
#include "load/LoadRunner.h"

namespace sycamorepost::harness {

// Returns the seeds to run: SYCAMOREPOST_SEEDS consecutive numbers, by default aDefault, from
// SYCAMOREPOST_FIRST_SEED, by default 1.
std::vector<std::uint64_t>
Seeds(std::uint64_t aDefault = 2);

// A generated load that runs in the background of a test, for aSeconds at aRate requests per
// second.
class BackgroundLoad
{
public:
  BackgroundLoad(const Cluster& aCluster, std::uint64_t aSeed, double aSeconds, double aRate = 20);

  // Waits for the end of the load and returns its history. May be called once.
  load::History Finish() { return this->result.get(); }

private:
  std::future<load::History> result;
};

// Returns the header fields of a JSON request from a client account.
std::vector<Field>
CallerFields(const std::string& aAccount);

// Returns the JSON body of a completion request; aTokens is its max_tokens.
std::string
CompletionBody(const std::string& aPrompt, int aTokens, bool aStream = false);

// Checks the history against the recorded effects. Returns one violation per line, empty if there
// are none.
std::string
FormatViolations(const Cluster& aCluster, const load::History& aHistory);

// Returns the requests none of whose tries was reported done, one per line with the last outcome.
std::string
ListUnservedRequests(const load::History& aHistory);

// Returns the numbers of calls by kind and outcome, as one line.
std::string
FormatOutcomeCounts(const load::History& aHistory);

// Waits until no running engine has KV memory in use. Returns the reports of the engines that still
// have some, or do not respond, after the timeout; empty if there are none.
std::string
WaitForKvMemoryRelease(Cluster& aCluster, std::chrono::milliseconds aTimeout);

// Kills a process and restarts it after less than 400 ms, or, with aSuspend, stops one by SIGSTOP
// for 0.2 to 4.7 s. aRandom selects the entry, sidecar or engine, and the delays.
void
InjectProcessFault(Cluster& aCluster, std::mt19937_64& aRandom, bool aSuspend);

// Blocks the calling thread.
void
SleepMillis(int aMilliseconds);

} // namespace sycamorepost::harness

#endif // SYCAMOREPOST_TEST_HARNESS_SCENARIO_H_
