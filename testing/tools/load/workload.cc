#include "testing/tools/load/workload.h"

#include <algorithm>
#include <cmath>

#include "amaranthcove/policy/random.h"

namespace amaranthcove::load {

namespace {

constexpr std::uint32_t kShiftedAdapters = 40;

double Exponential(policy::Random& random, double mean) {
  return -mean * std::log(1 - random.NextUnit());
}

// Returns the adapter that has the popularity of `adapter` after the shift.
std::uint32_t ShiftedAdapter(std::uint32_t adapter, std::uint32_t adapters) {
  const std::uint32_t cold = adapters / 2;
  if (adapter < kShiftedAdapters) {
    return adapter + cold;
  }
  return adapter >= cold && adapter < cold + kShiftedAdapters ? adapter - cold
                                                              : adapter;
}

}  // namespace

std::vector<PlannedRequest> MakeWorkload(const WorkloadSettings& settings,
                                         std::uint64_t seed) {
  policy::Random random{seed};
  std::vector<double> cumulative(settings.adapters);
  double sum = 0;
  for (std::uint32_t i = 0; i < settings.adapters; ++i) {
    sum += std::pow(i + 1, -settings.zipf);
    cumulative[i] = sum;
  }
  std::vector<PlannedRequest> requests;
  const double rate = settings.urgent_per_s + settings.patient_per_s;
  double at = 0;
  while ((at += Exponential(random, 1 / rate)) < settings.length_s) {
    PlannedRequest request;
    request.at =
        std::chrono::duration_cast<Duration>(std::chrono::duration<double>(at));
    request.adapter = static_cast<std::uint32_t>(
        std::lower_bound(cumulative.begin(), cumulative.end() - 1,
                         random.NextUnit() * sum) -
        cumulative.begin());
    if (at >= settings.shift_at_s) {
      request.adapter = ShiftedAdapter(request.adapter, settings.adapters);
    }
    request.urgent = random.NextUnit() * rate < settings.urgent_per_s;
    const double mean =
        request.urgent ? settings.urgent_tokens : settings.patient_tokens;
    request.tokens = static_cast<std::uint32_t>(
        std::max(1.0, mean / 2 + Exponential(random, mean / 2)));
    requests.push_back(request);
  }
  return requests;
}

std::string ModelName(std::uint32_t adapter, std::uint32_t teams) {
  return "team-" + std::to_string(adapter % teams) + "/adapter-" +
         std::to_string(adapter) + "@1";
}

}  // namespace amaranthcove::load
