#ifndef AMARANTHCOVE_TESTING_POLICY_BENCH_POLICIES_H_
#define AMARANTHCOVE_TESTING_POLICY_BENCH_POLICIES_H_

#include "testing/policy_bench/replay.h"

namespace amaranthcove::policy_bench {

// Least loaded with LRU; hashing with LRU. Both start urgent work first and
// take a resident adapter out of turn, but know no load budget.
extern const PolicyTable kLeastLoaded;
extern const PolicyTable kHashing;

// The product's decision functions, with static shares of the weight store
// and with shares by demand.
extern const PolicyTable kStaticShare;
extern const PolicyTable kDemandShare;

// True state of every engine and eviction of the adapter whose next request is
// furthest away (Belady). Patient work yields to urgent loads.
extern const PolicyTable kClairvoyant;

}  // namespace amaranthcove::policy_bench

#endif  // AMARANTHCOVE_TESTING_POLICY_BENCH_POLICIES_H_
