#ifndef AMARANTHCOVE_TESTING_POLICY_BENCH_POLICIES_H_
#define AMARANTHCOVE_TESTING_POLICY_BENCH_POLICIES_H_

#include "testing/policy_bench/replay.h"

namespace amaranthcove::policy_bench {

// Baselines: least loaded and hashing, both with LRU eviction. They start
// urgent requests first, and requests for resident adapters before earlier ones
// that need a load. They don't use the load budget.
extern const PolicyTable kLeastLoaded;
extern const PolicyTable kHashing;

// The product's decision functions, with static shares of the weight store
// and with shares by demand.
extern const PolicyTable kStaticShare;
extern const PolicyTable kDemandShare;

// Uses the true state of every engine and evicts the adapter whose next request
// is furthest in the future (Belady). Loads for urgent requests come before
// those for patient ones.
extern const PolicyTable kClairvoyant;

}  // namespace amaranthcove::policy_bench

#endif  // AMARANTHCOVE_TESTING_POLICY_BENCH_POLICIES_H_
