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

// Summarises a run, separately for urgent and patient requests: latency, load
// stall and wait in the queue (median, 95th and 99th percentile and total, in
// seconds), number of stalled requests, errors by code, missed deadlines and
// tokens answered in time. A request that failed counts its whole latency as
// stall, because its response does not contain the wait for its adapter.
nlohmann::json Summarise(std::span<const Record> records,
                         const SummarySettings& settings);

// Returns an array with one array for each request: [start, first byte, end,
// urgent, adapter, tokens, status, code, outcome, load stall, wait in the
// queue], with times in seconds.
nlohmann::json ToJson(std::span<const Record> records);

}  // namespace amaranthcove::load

#endif  // AMARANTHCOVE_TESTING_TOOLS_LOAD_SUMMARY_H_
