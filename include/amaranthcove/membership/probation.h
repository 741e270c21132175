#ifndef AMARANTHCOVE_MEMBERSHIP_PROBATION_H_
#define AMARANTHCOVE_MEMBERSHIP_PROBATION_H_

#include <chrono>

#include "amaranthcove/base/time.h"

namespace amaranthcove {

// Number of consecutive failures that put a server on probation. A single
// failed connect may be caused by a restart of the process or a lost packet. A
// silent connection with pending work puts the server on probation immediately,
// because it has already exceeded the silence limit.
inline constexpr int kFailuresBeforeProbation = 2;
// Length of the first probation.
inline constexpr Duration kMinProbation = std::chrono::seconds(1);
// Limits the time for which a recovered server stays unused.
inline constexpr Duration kMaxProbation = std::chrono::seconds(30);

// The recent failures of the connections to a server. Not thread-safe.
struct ServerHealth {
  int consecutive_failures = 0;
  Time last_failure;
};

// Records that a connect failed or a connection broke.
void RecordFailure(ServerHealth& health, Time now);

// Records that a connection with pending work exceeded the silence limit.
void RecordSilence(ServerHealth& health, Time now);

// Records a message from the server, which ends its probation.
void RecordSuccess(ServerHealth& health);

// Returns the length of the probation after `consecutive_failures` failures. It
// is zero for fewer than kFailuresBeforeProbation failures, then kMinProbation,
// and doubles with each further failure up to kMaxProbation. Thread-safe.
Duration ProbationLength(int consecutive_failures);

// Returns the time from which the server may be used again. A further failure
// then starts a longer probation. The time is in the past if the server is not
// on probation.
Time ProbationEnd(const ServerHealth& health);

// Returns whether the server is on probation at `now`.
inline bool OnProbation(const ServerHealth& health, Time now) {
  return now < ProbationEnd(health);
}

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_MEMBERSHIP_PROBATION_H_
