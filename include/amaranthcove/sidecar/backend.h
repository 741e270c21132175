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
struct Work {
  amaranthcove::AttemptId attempt;
  wire::Submit request;
  Time arrival;
  Time deadline;
};

// How the answer to a work ended.
struct WorkEnd {
  std::string error_code;  // Empty after a whole answer.
  std::string message;
  Outcome outcome = Outcome::kCompleted;
  bool engine_crashed = false;
  Duration load_stall{0};  // Waited for the adapter to be loaded.
  Duration queued{0};      // From arrival until it started.
};

// Why a work has not run and never will.
struct WorkRefusal {
  std::string code;
  std::string message;
  Duration retry_after{0};  // 0: trying again here makes no sense.
};

// Takes the answers of a `Backend`. Exactly one of `OnEnd` and `OnRefused`
// follows each `Backend::Submit`, unless the work is cancelled before.
class WorkObserver {
 public:
  virtual ~WorkObserver() = default;

  // The head of the answer, before its first data; once at most.
  virtual void OnHead(const AttemptId& attempt,
                      int status,
                      std::string_view content_type) = 0;
  virtual void OnData(const AttemptId& attempt, std::string_view data) = 0;
  virtual void OnEnd(const AttemptId& attempt, const WorkEnd& end) = 0;
  virtual void OnRefused(const AttemptId& attempt,
                         const WorkRefusal& refusal) = 0;

  // The fingerprint's state changed; tell the entries.
  virtual void OnSuspect(const wire::Suspect& suspect) = 0;

  // A newer incarnation controls the backend server; take no more work.
  virtual void OnSuperseded() = 0;
};

// Runs work on the backend server beside the sidecar.
//
// Thread safety: belongs to the loop's thread. `Submit` may call the observer.
class Backend {
 public:
  virtual ~Backend() = default;

  // Begins to talk to the backend server.
  virtual void Start() = 0;

  // Takes `work` into the queue. Precondition: its attempt is not known here.
  virtual void Submit(Work work) = 0;

  // As `Submit`, while the sidecar is leaving: work that would be new is
  // refused, and what is known of an operation is answered.
  virtual void SubmitWhileLeaving(Work work) = 0;

  // Drops a work; no callback follows if it returns kNotRun or the work is
  // unknown (kUnknown). Work that must not be interrupted goes on.
  virtual Outcome Cancel(const AttemptId& attempt) = 0;

  // Issues an id for a call that must not be repeated, or returns an empty
  // string if this backend server takes none.
  virtual std::string IssueOperation(Time now) = 0;

  // State for an entry; `model` selects whose residency is reported.
  virtual wire::ServerReport Report(std::string_view model, Time now) const = 0;

  // Another process reports a request that crashes backend servers.
  virtual void OnSuspectReport(const wire::Suspect& suspect, Time now) = 0;

  // Queued and running work.
  virtual std::size_t active() const = 0;

  // Whether the backend server has answered.
  virtual bool ready() const = 0;

  // State for the dump.
  virtual nlohmann::json Dump(Time now) const = 0;
};

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_SIDECAR_BACKEND_H_
