#include "testing/tools/load/summary.h"

#include <algorithm>
#include <map>
#include <string>
#include <vector>

namespace amaranthcove::load {

namespace {

constexpr int kHttpOk = 200;

double MillisecondsToSeconds(std::int64_t value) {
  return static_cast<double>(value) / 1000;
}

// Returns the load stall in seconds; the whole latency of a failed request.
double StallOf(const Record& record) {
  return record.status == kHttpOk ? MillisecondsToSeconds(record.load_stall_ms)
                                  : ToSeconds(record.end - record.start);
}

nlohmann::json Distribution(std::vector<double> values) {
  std::sort(values.begin(), values.end());
  const auto quantile = [&](double q) {
    return values.empty() ? 0.0
                          : values[static_cast<std::size_t>(
                                q * static_cast<double>(values.size() - 1))];
  };
  double total = 0;
  for (const double value : values) {
    total += value;
  }
  return {{"median", quantile(0.5)},
          {"p95", quantile(0.95)},
          {"p99", quantile(0.99)},
          {"total", total}};
}

nlohmann::json SummariseKind(std::span<const Record> records,
                             bool urgent,
                             Duration deadline) {
  std::vector<double> latency;
  std::vector<double> stall;
  std::vector<double> queue;
  std::map<std::string, int> errors;
  double answered_stall = 0;
  int stalled = 0;
  int missed = 0;
  std::int64_t useful_tokens = 0;
  for (const Record& record : records) {
    if (record.planned.urgent != urgent) {
      continue;
    }
    const Duration elapsed = record.end - record.start;
    stall.push_back(StallOf(record));
    stalled += stall.back() > 0 ? 1 : 0;
    const bool in_time = record.status == kHttpOk && elapsed <= deadline;
    missed += in_time ? 0 : 1;
    if (record.status != kHttpOk) {
      ++errors[record.code];
      continue;
    }
    latency.push_back(ToSeconds(elapsed));
    queue.push_back(MillisecondsToSeconds(record.queue_ms));
    answered_stall += stall.back();
    useful_tokens += in_time ? record.planned.tokens : 0;
  }
  return {{"requests", stall.size()},
          {"latency_s", Distribution(std::move(latency))},
          {"queue_s", Distribution(std::move(queue))},
          {"stall_s", Distribution(stall)},
          {"answered_stall_s", answered_stall},
          {"stalled", stalled},
          {"missed", missed},
          {"useful_tokens", useful_tokens},
          {"errors", errors}};
}

}  // namespace

nlohmann::json Summarise(std::span<const Record> records,
                         const SummarySettings& settings) {
  return {
      {"urgent", SummariseKind(records, true, settings.urgent_deadline)},
      {"patient", SummariseKind(records, false, settings.patient_deadline)}};
}

nlohmann::json ToJson(std::span<const Record> records) {
  nlohmann::json all = nlohmann::json::array();
  for (const Record& record : records) {
    all.push_back({ToSeconds(record.start), ToSeconds(record.first_byte),
                   ToSeconds(record.end), record.planned.urgent,
                   record.planned.adapter, record.planned.tokens, record.status,
                   record.code, record.outcome, StallOf(record),
                   MillisecondsToSeconds(record.queue_ms)});
  }
  return all;
}

}  // namespace amaranthcove::load
