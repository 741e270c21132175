#ifndef AMARANTHCOVE_ENTRY_CALL_H_
#define AMARANTHCOVE_ENTRY_CALL_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>

#include "amaranthcove/entry/call_plan.h"
#include "amaranthcove/entry/explain.h"
#include "amaranthcove/entry/operation_issuer.h"
#include "amaranthcove/entry/server_chooser.h"
#include "amaranthcove/entry/sidecar_links.h"
#include "amaranthcove/net/event_loop.h"
#include "amaranthcove/net/http_server.h"
#include "amaranthcove/policy/admission.h"
#include "amaranthcove/suspects/suspect_table.h"

namespace amaranthcove {

// Counters of all calls of an entry since process start.
struct CallCounters {
  std::uint64_t received = 0;
  std::uint64_t refused_early = 0;  // Before any attempt was sent.
  std::uint64_t completed = 0;
  std::uint64_t failed_not_run = 0;
  std::uint64_t failed_unknown = 0;
  std::uint64_t attempts = 0;
  std::uint64_t retries = 0;
  std::uint64_t retries_denied = 0;
  std::uint64_t callers_gone = 0;
  std::uint64_t broken_after_start = 0;
  std::uint64_t relayed_chunks = 0;
  std::uint64_t relayed_bytes = 0;
  std::uint64_t urgent_calls = 0;
  std::uint64_t patient_calls = 0;
  double urgent_stall_s = 0;
  double patient_stall_s = 0;
};

// State shared by the calls of an entry. Must outlive them.
struct CallContext {
  EventLoop& loop;
  const Catalogue& catalogue;
  const InstanceDirectory& directory;
  SidecarLinks& links;
  ServerChooser& chooser;
  OperationIssuer& issuer;
  SuspectTable& suspects;
  policy::RetryBudget& retry_budget;
  policy::Random& random;
  ExplainLog& explain;
  CallCounters& counters;
};

// Handles one request of a caller from its plan to the end of the response:
// chooses a backend server, relays the response, retries on another server
// where that is safe, and reports the outcome. An error response says `not_run`
// only if no attempt can have run.
//
// Thread safety: not thread-safe; all calls must be made on the loop's thread.
class Call : public AttemptObserver {
 public:
  // `context` must outlive the call. `on_done` is called at most once, when the
  // response has ended, and may destroy the call.
  Call(CallContext& context,
       HttpRequest request,
       CallPlan plan,
       std::string request_id,
       std::unique_ptr<HttpResponder> responder,
       std::function<void()> on_done);
  ~Call() override;
  Call(const Call&) = delete;
  Call& operator=(const Call&) = delete;

  // Starts the call. Must be called once. May call `on_done` before it returns.
  void Start();

  // AttemptObserver:
  void OnChunk(const wire::Chunk& chunk) override;
  void OnRefused(const wire::Refused& refused) override;
  void OnEnd(const wire::AnswerEnd& end) override;
  void OnLost(std::string_view code) override;

 private:
  void RequestOperationId();
  void OnOperationIdIssued(const std::string& id);
  void Dispatch();
  void DispatchOperation();
  void Send(const std::string& instance, const Address& address);
  wire::Submit MakeSubmit();
  bool ProvesNotRun(std::string_view code) const;
  bool MayRetry(std::string_view code) const;
  void RetryOrFail(ApiError error);
  void RelayChunk(const wire::Chunk& chunk);
  void FinishResponse(const wire::AnswerEnd& end);
  void Fail(ApiError error);
  void OnDeadline();
  void OnCallerGone();
  void Explain(std::string_view event, nlohmann::json fields);
  void Done();

  CallContext& context_;
  HttpRequest request_;
  CallPlan plan_;
  const std::string request_id_;
  std::unique_ptr<HttpResponder> responder_;
  std::function<void()> on_done_;

  Time deadline_;
  TimerId deadline_timer_ = 0;
  TimerId retry_timer_ = 0;
  std::optional<AttemptId> attempt_;
  std::string attempt_instance_;  // Target of the current attempt.
  Time attempt_sent_at_;          // When the current attempt was sent.
  std::set<std::string> tried_instances_;
  int attempts_ = 0;
  int replans_ = 0;
  bool may_have_run_ = false;      // An attempt ended with an unknown outcome.
  bool response_started_ = false;  // A streamed response was begun.
  int status_ = 0;
  std::string content_type_;
  std::string collected_body_;
  // Set to false by the destructor, for callbacks that cannot be cancelled.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_ENTRY_CALL_H_
