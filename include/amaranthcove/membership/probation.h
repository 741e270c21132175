#ifndef AMARANTHCOVE_MEMBERSHIP_PROBATION_H_
#define AMARANTHCOVE_MEMBERSHIP_PROBATION_H_

#include <chrono>

#include "amaranthcove/base/time.h"

namespace amaranthcove {

// One failed connect may be a restart of the process or a lost packet; the
// second in a row puts a server on probation. Silence of a connection with
// pending work does so at once, because it already lasted the silence limit.
inline constexpr int kFailuresBeforeProbation = 2;
inline constexpr Duration kFirstProbation = std::chrono::seconds(1);
// Bounds how long a server that recovered stays unused.
inline constexpr Duration kLongestProbation = std::chrono::seconds(30);

// What a process has seen of the connections to a server.
struct ServerHealth {
  int consecutive_failures = 0;
  Time last_failure;
};

// A connect failed or a connection broke.
void RecordFailure(ServerHealth& health, Time now);

// A connection with pending work was silent for the silence limit.
void RecordSilence(ServerHealth& health, Time now);

// The server answered; ends the probation.
void RecordSuccess(ServerHealth& health);

// The length of the probation after `consecutive_failures` failures: doubles
// with each failure from kFirstProbation to kLongestProbation; zero below
// kFailuresBeforeProbation.
Duration ProbationLength(int consecutive_failures);

// When the server may be tried again; a failed try starts a longer probation.
// In the past if it is not on probation.
Time ProbationEnd(const ServerHealth& health);

inline bool OnProbation(const ServerHealth& health, Time now) {
  return now < ProbationEnd(health);
}

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_MEMBERSHIP_PROBATION_H_
