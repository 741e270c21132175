#ifndef AMARANTHCOVE_SIDECAR_PLAIN_BACKEND_H_
#define AMARANTHCOVE_SIDECAR_PLAIN_BACKEND_H_

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "amaranthcove/net/event_loop.h"
#include "amaranthcove/net/http_client.h"
#include "amaranthcove/operations/operation_table.h"
#include "amaranthcove/policy/random.h"
#include "amaranthcove/sidecar/backend.h"

namespace amaranthcove {

struct PlainBackendSettings {
  Address server;
  std::string instance;
  std::string team;
  std::string service;
  std::size_t queue_limit = 256;
  std::size_t max_running = 64;
  // Timeout of an operation. Independent of the caller's deadline, so that a
  // caller that repeats the call after its deadline can still get the answer.
  Duration operation_timeout = std::chrono::seconds(60);
};

// Counts since the start of the process.
struct PlainBackendCounters {
  std::uint64_t calls = 0;
  std::uint64_t completed = 0;
  std::uint64_t refused = 0;
  std::uint64_t broken = 0;
  std::uint64_t operations_issued = 0;
  std::uint64_t operations_run = 0;
  std::uint64_t operations_joined = 0;
  std::uint64_t operations_replayed = 0;
  std::uint64_t operations_unknown = 0;
};

// Runs calls on the plain service beside the sidecar. Calls that must not be
// repeated run as operations, at most once per operation id.
//
// Thread safety: not thread-safe; all calls must be made on the loop's thread.
class PlainBackend : public Backend {
 public:
  // Preconditions: `loop`, `http` and `observer` outlive the object.
  PlainBackend(EventLoop& loop,
               HttpClient& http,
               WorkObserver& observer,
               const PlainBackendSettings& settings,
               Incarnation incarnation);

  void Start() override {}
  void Submit(WorkItem work) override;
  void SubmitWhileLeaving(WorkItem work) override;
  Outcome Cancel(const AttemptId& attempt) override;
  std::string IssueOperation(Time now) override;
  wire::ServerReport Report(std::string_view model, Time now) const override;
  void OnSuspectReport(const wire::Suspect&, Time) override {}
  std::size_t active() const override;
  bool ready() const override { return true; }
  nlohmann::json Dump(Time now) const override;

  const PlainBackendCounters& counters() const { return counters_; }

 private:
  // An operation in progress and the attempts that wait for its answer.
  struct Execution {
    std::vector<AttemptId> waiters;
    Time started_at;
  };

  void SubmitOperation(const WorkItem& work);
  void RunOperation(const WorkItem& work);
  void OnOperationEnd(const std::string& id,
                      HttpCallEnd end,
                      const HttpResponse& response);
  void AnswerOperation(const AttemptId& attempt, const BeginResult& result);
  void RunQueued();
  void RunCall(const WorkItem& work);
  void OnCallEnd(const AttemptId& attempt,
                 Time started_at,
                 HttpCallEnd end,
                 const HttpResponse& response);
  void SendAnswer(const AttemptId& attempt,
                  int status,
                  std::string_view content_type,
                  std::string_view body);
  void Refuse(const AttemptId& attempt, const WorkRefusal& refusal);

  EventLoop& loop_;
  HttpClient& http_;
  WorkObserver& observer_;
  const PlainBackendSettings settings_;
  PlainBackendCounters counters_;
  policy::Random random_;
  OperationTable operations_;
  std::map<std::string, Execution> executions_;  // By operation id.
  std::deque<WorkItem> queue_;
  std::map<AttemptId, HttpCallId> running_;
};

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_SIDECAR_PLAIN_BACKEND_H_
