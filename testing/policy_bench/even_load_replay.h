#ifndef AMARANTHCOVE_TESTING_POLICY_BENCH_EVEN_LOAD_REPLAY_H_
#define AMARANTHCOVE_TESTING_POLICY_BENCH_EVEN_LOAD_REPLAY_H_

#include <cstdint>

namespace amaranthcove::policy_bench {

// A fleet of routers that place generations by reports of a certain age.
struct EvenLoadScenario {
  int routers = 49;
  int engines = 24;
  // Time between two reports of an engine; each reaches all routers at once.
  double report_ms = 250;
  // Requests that may start at all routers together, as a share of what the
  // engines can serve, before and during a burst in the middle third.
  double load = 0.5;
  double burst_load = 0.8;
  // Every fourth engine takes this multiple of the time of the others.
  double slowness = 1;
  double seconds = 12;
  // Whether routers count on what others send between two reports.
  bool expects_arrivals = true;
  std::uint64_t seed = 1;
};

struct EvenLoadResult {
  // 95th percentile of the requests at an engine over the mean, each counted
  // for the pace of the engine, as the mean over the time.
  double overload_ratio = 0;
  // Share of requests that waited for a place of a full batch for longer than
  // half of the time that a request takes.
  double late_share = 0;
};

// Replays the scenario with the product's choice of engines, without a network.
// The result depends only on the argument.
EvenLoadResult ReplayEvenLoad(const EvenLoadScenario& scenario);

}  // namespace amaranthcove::policy_bench

#endif  // AMARANTHCOVE_TESTING_POLICY_BENCH_EVEN_LOAD_REPLAY_H_
