#ifndef AMARANTHCOVE_TESTING_POLICY_BENCH_TRACE_H_
#define AMARANTHCOVE_TESTING_POLICY_BENCH_TRACE_H_

#include <cstdint>
#include <vector>

#include "amaranthcove/policy/eviction.h"
#include "amaranthcove/policy/popularity.h"

namespace amaranthcove::policy_bench {

// The deployment and the workload of a replay.
struct Scenario {
  const char* name = "";
  std::uint32_t engines = 9;
  std::uint32_t slots = 6;   // Adapter slots of each engine.
  std::uint32_t places = 8;  // Batch places of each engine.
  // Requests per second at all entries.
  double urgent_per_s = 3;
  double patient_per_s = 1.5;
  // Mean time that a request occupies a batch place.
  double urgent_service_s = 2;
  double patient_service_s = 20;
  double zipf = 1.2;  // Exponent of the adapters' popularity.
  std::uint32_t adapters = 3000;
  double length_s = 900;
  double shift_at_s = 450;
  std::uint32_t entries = 4;
  policy::PolicyWeights weights{};
};

struct TraceRequest {
  Time arrival{};
  Duration service{0};        // Time in a batch place.
  Duration deadline{0};       // After the arrival.
  std::uint32_t adapter = 0;  // Index; see `AdapterKeyOf` for the key.
  std::uint32_t entry = 0;
  bool urgent = false;
};

struct Trace {
  std::vector<TraceRequest> requests;       // Sorted by arrival.
  std::vector<std::vector<Time>> arrivals;  // For each adapter, sorted.
};

// Returns the key of the adapter with this index.
policy::AdapterKey AdapterKeyOf(std::uint32_t adapter);

// Returns a Poisson trace that depends only on the arguments. From `shift_at_s`
// on, the 40 most popular adapters and 40 of the less popular half have
// exchanged their popularity.
Trace MakeTrace(const Scenario& scenario, std::uint64_t seed);

}  // namespace amaranthcove::policy_bench

#endif  // AMARANTHCOVE_TESTING_POLICY_BENCH_TRACE_H_
