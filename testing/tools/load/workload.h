#ifndef AMARANTHCOVE_TESTING_TOOLS_LOAD_WORKLOAD_H_
#define AMARANTHCOVE_TESTING_TOOLS_LOAD_WORKLOAD_H_

#include <cstdint>
#include <string>
#include <vector>

#include "amaranthcove/base/time.h"

namespace amaranthcove::load {

struct WorkloadSettings {
  std::uint32_t adapters = 3000;
  std::uint32_t teams = 4;
  double zipf = 1.2;  // Exponent of the adapters' popularity.
  double urgent_per_s = 4;
  double patient_per_s = 4;
  // Mean numbers of tokens. Half of each is fixed, the rest exponential.
  double urgent_tokens = 50;
  double patient_tokens = 300;
  double length_s = 40;
  // From this time on, the 40 most popular adapters and 40 of the less popular
  // half have exchanged their popularity. There is no shift if this is not
  // below `length_s`.
  double shift_at_s = 20;
};

struct PlannedRequest {
  Duration at{0};  // Since the start of the run.
  std::uint32_t adapter = 0;
  std::uint32_t tokens = 0;
  bool urgent = false;
};

// Returns an open-loop Poisson workload, sorted by arrival. It depends only on
// the arguments.
//
// Precondition: `settings.adapters` is not 0.
std::vector<PlannedRequest> MakeWorkload(const WorkloadSettings& settings,
                                         std::uint64_t seed);

// Returns "team-K/adapter-N@1". Adapters are assigned to the teams in turn.
// `teams` must not be 0.
std::string ModelName(std::uint32_t adapter, std::uint32_t teams);

}  // namespace amaranthcove::load

#endif  // AMARANTHCOVE_TESTING_TOOLS_LOAD_WORKLOAD_H_
