// policy_bench cost | replay [LENGTH_S [SEED_OFFSET]]
//
// `cost` prints the cost of each decision; `replay` compares policies on
// generated traces with fixed seeds.

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <string_view>
#include <vector>

#include "testing/policy_bench/decision_cost.h"
#include "testing/policy_bench/policies.h"

namespace amaranthcove::policy_bench {

namespace {

// The policies were tuned on these seeds; SEED_OFFSET gives fresh traces.
constexpr std::uint64_t kSeeds[] = {11, 22, 33, 44};

double Quantile(const std::vector<double>& sorted, double q) {
  if (sorted.empty()) {
    return 0;
  }
  const double at = q * static_cast<double>(sorted.size() - 1);
  return sorted[static_cast<std::size_t>(at)];
}

double Sum(const std::vector<double>& values) {
  double sum = 0;
  for (const double value : values) {
    sum += value;
  }
  return sum;
}

double ShareStalled(const std::vector<double>& values) {
  const auto stalled = std::count_if(values.begin(), values.end(),
                                     [](double v) { return v > 0; });
  return 100.0 * static_cast<double>(stalled) /
         static_cast<double>(values.size());
}

struct Row {
  const char* name;
  std::function<double(const Metrics&)> value;
};

std::vector<Row> Rows() {
  constexpr double kSeedCount = std::size(kSeeds);
  using F = const Metrics&;
  return {
      {"urgent stall median, s",
       [](F f) { return Quantile(f.urgent_stalls, 0.5); }},
      {"urgent stall 95th, s",
       [](F f) { return Quantile(f.urgent_stalls, 0.95); }},
      {"urgent stall 99th, s",
       [](F f) { return Quantile(f.urgent_stalls, 0.99); }},
      {"urgent stall total, s/seed",
       [](F f) { return Sum(f.urgent_stalls) / kSeedCount; }},
      {"urgent stalled, %", [](F f) { return ShareStalled(f.urgent_stalls); }},
      {"urgent wait 95th, s",
       [](F f) { return Quantile(f.urgent_waits, 0.95); }},
      {"patient stall median, s",
       [](F f) { return Quantile(f.patient_stalls, 0.5); }},
      {"patient stall 95th, s",
       [](F f) { return Quantile(f.patient_stalls, 0.95); }},
      {"patient stall 99th, s",
       [](F f) { return Quantile(f.patient_stalls, 0.99); }},
      {"patient stall total, s/seed",
       [](F f) { return Sum(f.patient_stalls) / kSeedCount; }},
      {"patient stalled, %",
       [](F f) { return ShareStalled(f.patient_stalls); }},
      {"stall after/before shift",
       [](F f) { return f.after_stall / std::max(f.steady_stall, 1e-9); }},
      {"loads/s", [](F f) { return f.loads / f.seconds; }},
      {"most loads in 10 s", [](F f) { return f.peak_loads_10s; }},
      {"the same after 120 s", [](F f) { return f.steady_peak_10s; }},
      {"loads refused/seed", [](F f) { return f.refused_loads / kSeedCount; }},
      {"batch fullness (active), %",
       [](F f) { return 100 * f.used_place_s / f.active_place_s; }},
      {"places used, %",
       [](F f) { return 100 * f.used_place_s / f.total_place_s; }},
      {"useful share, %",
       [](F f) { return 100 * f.useful_place_s / f.total_place_s; }},
      {"refused/seed", [](F f) { return f.refused / kSeedCount; }},
      {"expired in queue/seed", [](F f) { return f.expired / kSeedCount; }},
      {"finished late/seed", [](F f) { return f.missed / kSeedCount; }},
  };
}

void Compare(const Scenario& scenario, std::uint64_t seed_offset) {
  const PolicyTable* const policies[] = {
      &kLeastLoaded, &kHashing, &kStaticShare, &kDemandShare, &kClairvoyant};
  std::vector<Metrics> metrics(std::size(policies));
  for (const std::uint64_t tuning_seed : kSeeds) {
    const std::uint64_t seed = tuning_seed + seed_offset;
    const Trace trace = MakeTrace(scenario, seed);
    for (std::size_t p = 0; p < metrics.size(); ++p) {
      metrics[p].Add(Replay(scenario, trace, *policies[p], seed).Run());
    }
  }
  std::printf("\n%s: %u engines, %u slots, %.0f s, %zu seeds\n%-28s",
              scenario.name, scenario.engines, scenario.slots,
              scenario.length_s, std::size(kSeeds), "");
  for (std::size_t p = 0; p < metrics.size(); ++p) {
    std::sort(metrics[p].urgent_stalls.begin(), metrics[p].urgent_stalls.end());
    std::sort(metrics[p].urgent_waits.begin(), metrics[p].urgent_waits.end());
    std::sort(metrics[p].patient_stalls.begin(),
              metrics[p].patient_stalls.end());
    std::printf(" %12s", policies[p]->name);
  }
  std::printf("\n");
  for (const Row& row : Rows()) {
    std::printf("%-28s", row.name);
    for (const Metrics& f : metrics) {
      std::printf(" %12.2f", row.value(f));
    }
    std::printf("\n");
  }
}

void CompareAll(double length_s, std::uint64_t seed_offset) {
  Scenario stalls;
  stalls.name = "vratovrazka (stalls)";
  stalls.weights = policy::StallWeights();
  Scenario batch;
  batch.name = "holzverbindung (batch_efficiency)";
  batch.engines = 12;
  batch.patient_per_s = 3;
  batch.weights = policy::BatchWeights();
  for (Scenario* scenario : {&stalls, &batch}) {
    scenario->length_s = length_s;
    scenario->shift_at_s = length_s / 2;
    Compare(*scenario, seed_offset);
  }
}

}  // namespace

}  // namespace amaranthcove::policy_bench

int main(int argc, char** argv) {
  const std::string_view mode = argc > 1 ? argv[1] : "";
  if (mode == "cost") {
    amaranthcove::policy_bench::PrintDecisionCosts();
    return 0;
  }
  if (mode == "replay") {
    const double length_s = argc > 2 ? std::strtod(argv[2], nullptr) : 900;
    const std::uint64_t seed_offset =
        argc > 3 ? std::strtoull(argv[3], nullptr, 10) : 0;
    amaranthcove::policy_bench::CompareAll(length_s, seed_offset);
    return 0;
  }
  std::fprintf(stderr,
               "usage: policy_bench cost | replay [LENGTH_S [SEED_OFFSET]]\n");
  return 2;
}
