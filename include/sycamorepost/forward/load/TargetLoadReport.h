// The load of one entry on one target, as reported to the peers.
#ifndef SYCAMOREPOST_FORWARD_LOAD_TARGET_LOAD_REPORT_H_
#define SYCAMOREPOST_FORWARD_LOAD_TARGET_LOAD_REPORT_H_

#include <cstdint>
#include <string>
#include <vector>

#include "sycamorepost/forward/targets/EvacuatedDomains.h"

namespace sycamorepost {

// One entry's load on one target, and its view of the target.
struct TargetLoadReport
{
  std::string instance;
  std::uint32_t running = 0;
  std::uint32_t strictStreams = 0; // Of these, streams with the shortest gap objective.
  std::uint64_t kvTokens = 0;      // Tokens of KV cache.
  double prefillMs = 0;            // Remaining prefill time.
  double pendingPrefillMs = 0;     // Prefill time of requests without a first event.
  // The reporter's view of how fast the target is; see TargetPace.
  std::uint32_t pacePercent = 0; // Its times in percent of the predicted ones.
  std::uint32_t paceSamples = 0; // 0 when the reporter has no view.
  std::uint32_t paceAgeMs = 0;   // Age of the newest sample.
};

// The load of all entries of one failure domain on the targets, as reported to other domains.
struct DomainLoadReport
{
  std::string domain;
  std::string reporter;                   // The address of the entry that made the report.
  std::uint64_t configurationVersion = 0; // The version in force there.
  std::uint32_t entries = 0;              // The live entries of the domain.
  bool isRelayed = false;                 // It is not to be relayed again.
  std::vector<TargetLoadReport> loads;    // Targets that are not listed are idle.
  EvacuationView evacuations;             // As known there.
};

} // namespace sycamorepost

#endif // SYCAMOREPOST_FORWARD_LOAD_TARGET_LOAD_REPORT_H_
