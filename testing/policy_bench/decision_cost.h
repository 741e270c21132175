#ifndef AMARANTHCOVE_TESTING_POLICY_BENCH_DECISION_COST_H_
#define AMARANTHCOVE_TESTING_POLICY_BENCH_DECISION_COST_H_

namespace amaranthcove::policy_bench {

// Prints processor time for each decision and bytes of state at three sizes.
void PrintDecisionCosts();

}  // namespace amaranthcove::policy_bench

#endif  // AMARANTHCOVE_TESTING_POLICY_BENCH_DECISION_COST_H_
