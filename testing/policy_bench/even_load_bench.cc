// Prints how evenly routers load engines by old reports.
//
// usage: even_load_bench

#include <cstdio>
#include <initializer_list>

#include "testing/policy_bench/even_load_replay.h"

namespace {

using amaranthcove::policy_bench::EvenLoadResult;
using amaranthcove::policy_bench::EvenLoadScenario;
using amaranthcove::policy_bench::ReplayEvenLoad;

void PrintRow(EvenLoadScenario scenario) {
  scenario.expects_arrivals = false;
  const EvenLoadResult without = ReplayEvenLoad(scenario);
  scenario.expects_arrivals = true;
  const EvenLoadResult with = ReplayEvenLoad(scenario);
  std::printf("| %d | %.0f ms | %s | %.2f | %.2f | %.2f%% | %.2f%% |\n",
              scenario.routers, scenario.report_ms,
              scenario.slowness > 1 ? "a quarter twice as slow" : "equal",
              without.overload_ratio, with.overload_ratio,
              without.late_share * 100, with.late_share * 100);
}

}  // namespace

int main() {
  std::printf(
      "| routers | age of reports | engines | overload ratio with jitter | "
      "with "
      "expected arrivals | late with jitter | with expected arrivals |\n"
      "|---|---|---|---|---|---|---|\n");
  for (const double slowness : {1.0, 2.0}) {
    for (const int routers : {1, 10, 49, 300}) {
      for (const double report_ms : {50.0, 250.0, 1000.0}) {
        EvenLoadScenario scenario;
        scenario.routers = routers;
        scenario.report_ms = report_ms;
        scenario.slowness = slowness;
        PrintRow(scenario);
      }
    }
  }
  return 0;
}
