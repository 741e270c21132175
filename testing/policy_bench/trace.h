#ifndef AMARANTHCOVE_TESTING_POLICY_BENCH_TRACE_H_
#define AMARANTHCOVE_TESTING_POLICY_BENCH_TRACE_H_

#include <cstdint>
#include <vector>

#include "amaranthcove/policy/eviction.h"
#include "amaranthcove/policy/popularity.h"

namespace amaranthcove::policy_bench {

struct Scenario {
  const char* name = "";
  std::uint32_t engines = 9;
  std::uint32_t slots = 6;
  std::uint32_t places = 8;
  double urgent_per_s = 3;
  double patient_per_s = 1.5;
  double urgent_service_s = 2;
  double patient_service_s = 20;
  double zipf = 1.2;
  std::uint32_t adapters = 3000;
  double length_s = 900;
  double shift_at_s = 450;
  std::uint32_t entries = 4;
  policy::PolicyWeights weights{};
};

struct TraceRequest {
  Time arrival{};
  Duration service{0};
  Duration deadline{0};
  std::uint32_t adapter = 0;  // Index; its key is `AdapterKeyOf`.
  std::uint32_t entry = 0;
  bool urgent = false;
};

struct Trace {
  std::vector<TraceRequest> requests;       // By arrival.
  std::vector<std::vector<Time>> arrivals;  // Of each adapter.
};

policy::AdapterKey AdapterKeyOf(std::uint32_t adapter);

// The same trace for the same seed. From `shift_at_s` on, 40 adapters from the
// cold half exchange their popularity with the 40 hottest.
Trace MakeTrace(const Scenario& scenario, std::uint64_t seed);

}  // namespace amaranthcove::policy_bench

#endif  // AMARANTHCOVE_TESTING_POLICY_BENCH_TRACE_H_
