#ifndef AMARANTHCOVE_TESTING_POLICY_BENCH_DECISION_COST_H_
#define AMARANTHCOVE_TESTING_POLICY_BENCH_DECISION_COST_H_

namespace amaranthcove::policy_bench {

// Prints the processor time of each policy decision and the bytes of its state.
// Decisions whose cost depends on the size of the input are measured for three
// sizes.
void PrintDecisionCosts();

}  // namespace amaranthcove::policy_bench

#endif  // AMARANTHCOVE_TESTING_POLICY_BENCH_DECISION_COST_H_
