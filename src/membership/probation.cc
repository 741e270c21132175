#include "amaranthcove/membership/probation.h"

#include <algorithm>

namespace amaranthcove {

void RecordFailure(ServerHealth& health, Time now) {
  ++health.consecutive_failures;
  health.last_failure = now;
}

void RecordSilence(ServerHealth& health, Time now) {
  health.consecutive_failures =
      std::max(health.consecutive_failures + 1, kFailuresBeforeProbation);
  health.last_failure = now;
}

void RecordSuccess(ServerHealth& health) {
  health = {};
}

Duration ProbationLength(int consecutive_failures) {
  if (consecutive_failures < kFailuresBeforeProbation) {
    return Duration::zero();
  }
  // 2^10 times the first probation already exceeds the longest one.
  const int doublings =
      std::min(consecutive_failures - kFailuresBeforeProbation, 10);
  return std::min(kMinProbation * (1 << doublings), kMaxProbation);
}

Time ProbationEnd(const ServerHealth& health) {
  return health.last_failure + ProbationLength(health.consecutive_failures);
}

}  // namespace amaranthcove
