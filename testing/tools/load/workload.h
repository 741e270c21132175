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
  double zipf = 1.2;
  double urgent_per_s = 4;
  double patient_per_s = 4;
  // Mean numbers of tokens. Half of each is fixed, the rest exponential.
  double urgent_tokens = 50;
  double patient_tokens = 300;
  double length_s = 40;
  // From then on, 40 adapters of the cold half and the 40 hottest exchange
  // their popularity. Never if it is not below `length_s`.
  double shift_at_s = 20;
};

struct PlannedRequest {
  Duration at{0};  // Since the start of the run.
  std::uint32_t adapter = 0;
  std::uint32_t tokens = 0;
  bool urgent = false;
};

// An open-loop Poisson workload, by arrival; the same for the same seed.
std::vector<PlannedRequest> MakeWorkload(const WorkloadSettings& settings,
                                         std::uint64_t seed);

// "team-K/adapter-N@1"; adapters are spread over the teams in turn.
std::string ModelName(std::uint32_t adapter, std::uint32_t teams);

}  // namespace amaranthcove::load

#endif  // AMARANTHCOVE_TESTING_TOOLS_LOAD_WORKLOAD_H_
