#include "testing/policy_bench/trace.h"

#include <algorithm>
#include <cmath>
#include <string>
#include <utility>

#include "amaranthcove/base/hash.h"
#include "amaranthcove/policy/random.h"

namespace amaranthcove::policy_bench {

namespace {

constexpr Time kStart{std::chrono::hours(1)};
constexpr std::uint32_t kShiftedAdapters = 40;

Duration Seconds(double seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
}

double Exponential(policy::Random& random, double mean) {
  return -mean * std::log(1 - random.NextUnit());
}

}  // namespace

policy::AdapterKey AdapterKeyOf(std::uint32_t adapter) {
  return Hash64("team/adapter-" + std::to_string(adapter) + "@1");
}

Trace MakeTrace(const Scenario& scenario, std::uint64_t seed) {
  policy::Random random{seed};
  std::vector<double> cumulative(scenario.adapters);
  double sum = 0;
  for (std::uint32_t i = 0; i < scenario.adapters; ++i) {
    sum += std::pow(i + 1, -scenario.zipf);
    cumulative[i] = sum;
  }
  Trace trace;
  trace.arrivals.resize(scenario.adapters);
  const double rate = scenario.urgent_per_s + scenario.patient_per_s;
  double at = 0;
  while ((at += Exponential(random, 1 / rate)) < scenario.length_s) {
    const auto place = std::lower_bound(cumulative.begin(), cumulative.end(),
                                        random.NextUnit() * sum);
    auto adapter = static_cast<std::uint32_t>(place - cumulative.begin());
    if (at >= scenario.shift_at_s) {
      const std::uint32_t cold = scenario.adapters / 2;
      if (adapter < kShiftedAdapters) {
        adapter += cold;
      } else if (adapter >= cold && adapter < cold + kShiftedAdapters) {
        adapter -= cold;
      }
    }
    TraceRequest request;
    request.urgent = random.NextUnit() * rate < scenario.urgent_per_s;
    request.arrival = kStart + Seconds(at);
    // Half of the service time is fixed, so that every request takes some time.
    const double mean =
        request.urgent ? scenario.urgent_service_s : scenario.patient_service_s;
    request.service = Seconds(mean / 2 + Exponential(random, mean / 2));
    request.deadline = Seconds(request.urgent ? 10 : 300);
    request.adapter = adapter;
    request.entry =
        static_cast<std::uint32_t>(random.NextBelow(scenario.entries));
    trace.arrivals[adapter].push_back(request.arrival);
    trace.requests.push_back(request);
  }
  return trace;
}

}  // namespace amaranthcove::policy_bench
