#ifndef AMARANTHCOVE_SIDECAR_BACKEND_H_
#define AMARANTHCOVE_SIDECAR_BACKEND_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

#include "amaranthcove/base/ids.h"
#include "amaranthcove/base/outcome.h"
#include "amaranthcove/base/time.h"
#include "amaranthcove/wire/codec.h"

namespace amaranthcove {

// An attempt that the sidecar has admitted.
struct WorkItem {
  amaranthcove::AttemptId attempt;
  wire::Submit request;
  Time arrival;
  Time deadline;
};

// How the answer to a work item ended.
struct WorkResult {
  std::string error_code;  // Empty if the answer is complete.
  std::string message;
  Outcome outcome = Outcome::kCompleted;
  bool engine_crashed = false;
  Duration load_stall{0};  // Time spent waiting for the adapter to load.
  Duration queued{0};      // Time from arrival to start.
};

// Why a work item was refused. It has not run and will not run.
struct WorkRefusal {
  std::string code;
  std::string message;
  Duration retry_after{0};  // 0: a retry on this server cannot succeed.
};

// Receives the answers of a `Backend`. Each submitted item gets exactly one
// call of `OnEnd` or `OnRefused`, unless it is cancelled before. All methods
// are called on the loop's thread.
class WorkObserver {
 public:
  virtual ~WorkObserver() = default;

  // Called at most once, before the first `OnData`.
  virtual void OnHead(const AttemptId& attempt,
                      int status,
                      std::string_view content_type) = 0;
  // Called for each piece of the body, in order. `data` is valid only during
  // the call.
  virtual void OnData(const AttemptId& attempt, std::string_view data) = 0;
  virtual void OnEnd(const AttemptId& attempt, const WorkResult& end) = 0;
  virtual void OnRefused(const AttemptId& attempt,
                         const WorkRefusal& refusal) = 0;

  // Called when the suspect state of a fingerprint has changed, so that it can
  // be sent to the entries.
  virtual void OnSuspect(const wire::Suspect& suspect) = 0;

  // Called when a newer incarnation of the sidecar controls the backend server.
  // The sidecar must not accept further work.
  virtual void OnSuperseded() = 0;
};

// Runs work items on the backend server beside the sidecar.
//
// Thread safety: not thread-safe; all calls must be made on the loop's thread.
// `Submit` and `SubmitWhileLeaving` may call the observer before they return.
class Backend {
 public:
  virtual ~Backend() = default;

  // Starts communication with the backend server.
  virtual void Start() = 0;

  // Queues or refuses `work`. Precondition: no item with its attempt id was
  // submitted before.
  virtual void Submit(WorkItem work) = 0;

  // Handles `work` while the sidecar is leaving: refuses new work, but answers
  // an operation that was started before. Same precondition as `Submit`.
  virtual void SubmitWhileLeaving(WorkItem work) = 0;

  // Cancels a work item; no callback for it follows. Returns kNotRun if it was
  // still queued, else kUnknown. An operation in progress is not interrupted.
  virtual Outcome Cancel(const AttemptId& attempt) = 0;

  // Issues an operation id for a call that must not be repeated. Returns an
  // empty string if none can be issued or the backend server does not support
  // operations.
  virtual std::string IssueOperation(Time now) = 0;

  // Returns the load report for an entry. It states whether `model` is
  // resident, unless `model` is empty.
  virtual wire::ServerReport Report(std::string_view model, Time now) const = 0;

  // Called when another process reports a request suspected of crashing
  // backend servers.
  virtual void OnSuspectReport(const wire::Suspect& suspect, Time now) = 0;

  // Returns the number of queued and running items.
  virtual std::size_t active() const = 0;

  // Returns whether the backend server can be used. An engine is ready while it
  // answers requests for its state.
  virtual bool ready() const = 0;

  // Returns the state for the process's state dump.
  virtual nlohmann::json Dump(Time now) const = 0;
};

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_SIDECAR_BACKEND_H_
