#ifndef AMARANTHCOVE_TESTING_TOOLS_LOAD_SUMMARY_H_
#define AMARANTHCOVE_TESTING_TOOLS_LOAD_SUMMARY_H_

#include <span>

#include <nlohmann/json.hpp>

#include "testing/tools/load/load_run.h"

namespace amaranthcove::load {

struct SummarySettings {
  Duration urgent_deadline{0};
  Duration patient_deadline{0};
};

// Figures of a run, for urgent and patient requests: latency, load stall and
// wait in the queue (median, 95th, 99th, total, in seconds), share stalled,
// refusals by code, deadlines missed, tokens answered in time. A request that
// was refused or expired after its start counts its whole latency as stall,
// because its answer does not say how long it waited for its adapter.
nlohmann::json Summarise(std::span<const Record> records,
                         const SummarySettings& settings);

// One array for each request: [start, first byte, end (s), urgent, adapter,
// tokens, status, code, outcome, load stall, queue (s)].
nlohmann::json ToJson(std::span<const Record> records);

}  // namespace amaranthcove::load

#endif  // AMARANTHCOVE_TESTING_TOOLS_LOAD_SUMMARY_H_
