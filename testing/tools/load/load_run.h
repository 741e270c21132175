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

// What became of one request. Times are since the start of the run; a time of
// -1 means that it did not happen.
struct Record {
  PlannedRequest planned;
  Duration start{0};
  Duration first_byte{-1};
  Duration end{-1};
  int status = 0;    // 0: no whole answer.
  std::string code;  // Of an error answer, or "broken", "timed_out", ...
  std::string outcome;
  std::int64_t load_stall_ms = 0;  // As the answer's headers say.
  std::int64_t queue_ms = 0;
};

struct LoadRunSettings {
  std::vector<Address> entries;
  std::uint32_t teams = 4;
  std::string urgent_kind = "counter";
  std::string patient_kind = "report";
  // Calls are given up this long after their start.
  Duration call_limit = std::chrono::seconds(60);
};

// Sends a workload to the entries in turn, each request at its planned time
// whether or not earlier ones were answered.
//
// Thread safety: belongs to the loop's thread.
class LoadRun {
 public:
  // Preconditions: `loop` and `client` outlive the run.
  LoadRun(EventLoop& loop,
          HttpClient& client,
          const LoadRunSettings& settings,
          std::vector<PlannedRequest> workload);

  // Starts the run; stops the loop when every request has ended.
  void Start();

  // One record for each planned request, in its order.
  const std::vector<Record>& records() const { return records_; }

 private:
  void Send(std::size_t index);
  void OnEnd(std::size_t index, HttpCallEnd end);

  EventLoop& loop_;
  HttpClient& client_;
  const LoadRunSettings settings_;
  std::vector<Record> records_;
  std::vector<HttpResponse> answers_;
  Time started_;
  std::size_t ended_ = 0;
};

}  // namespace amaranthcove::load

#endif  // AMARANTHCOVE_TESTING_TOOLS_LOAD_LOAD_RUN_H_
