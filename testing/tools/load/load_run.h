#ifndef AMARANTHCOVE_TESTING_TOOLS_LOAD_LOAD_RUN_H_
#define AMARANTHCOVE_TESTING_TOOLS_LOAD_LOAD_RUN_H_

#include <cstdint>
#include <string>
#include <vector>

#include "amaranthcove/base/address.h"
#include "amaranthcove/base/time.h"
#include "amaranthcove/net/event_loop.h"
#include "amaranthcove/net/http_client.h"
#include "testing/tools/load/workload.h"

namespace amaranthcove::load {

// The outcome of one request. Times are since the start of the run; -1 means
// that the event did not happen.
struct Record {
  PlannedRequest planned;
  Duration start{0};
  Duration first_byte{-1};
  Duration end{-1};
  int status = 0;       // 0 if no complete response arrived.
  std::string code;     // Error code of the response, or e.g. "broken".
  std::string outcome;  // "completed", or that of the error; else "unknown".
  std::int64_t load_stall_ms = 0;  // Header X-Load-Stall-Ms.
  std::int64_t queue_ms = 0;       // Header X-Queue-Ms.
};

struct LoadRunSettings {
  std::vector<Address> entries;
  std::uint32_t teams = 4;
  std::string urgent_kind = "counter";
  std::string patient_kind = "report";
  // Calls time out this long after their start.
  Duration call_limit = std::chrono::seconds(60);
};

// Sends a workload to the entries in turn. Each request is sent at its planned
// time, whether or not earlier ones were answered.
//
// Thread safety: not thread-safe; all calls must be made on the loop's thread.
class LoadRun {
 public:
  // Preconditions: `loop` and `client` outlive the run, and
  // `settings.entries` is not empty.
  LoadRun(EventLoop& loop,
          HttpClient& client,
          const LoadRunSettings& settings,
          std::vector<PlannedRequest> workload);

  // Starts the run; stops the loop when every request has ended.
  void Start();

  // Returns one record for each request of the workload, in its order. The
  // records are complete when the loop has stopped.
  const std::vector<Record>& records() const { return records_; }

 private:
  void Send(std::size_t index);
  void OnEnd(std::size_t index, HttpCallEnd end);

  EventLoop& loop_;
  HttpClient& client_;
  const LoadRunSettings settings_;
  std::vector<Record> records_;
  std::vector<HttpResponse> responses_;
  Time run_start_;
  std::size_t ended_count_ = 0;
};

}  // namespace amaranthcove::load

#endif  // AMARANTHCOVE_TESTING_TOOLS_LOAD_LOAD_RUN_H_
