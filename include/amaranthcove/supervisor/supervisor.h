#ifndef AMARANTHCOVE_SUPERVISOR_SUPERVISOR_H_
#define AMARANTHCOVE_SUPERVISOR_SUPERVISOR_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "amaranthcove/base/error.h"
#include "amaranthcove/base/time.h"

namespace amaranthcove {

// Restart backoff of a failed child, and the failure rate at which it is given
// up.
struct RestartPolicy {
  Duration first_delay = std::chrono::milliseconds(100);
  Duration max_delay = std::chrono::seconds(10);
  int max_restarts = 5;  // Maximum number of restarts within `window`.
  Duration window = std::chrono::minutes(1);
};

// Returns the time at which to restart a child, or nothing if it failed more
// than `max_restarts` times within the window. The delay doubles with each
// failure within the window, up to `max_delay`. Preconditions: `failures` holds
// the times of the failures in ascending order, is not empty and ends with the
// current failure. Thread-safe.
std::optional<Time> NextRestart(const RestartPolicy& policy,
                                std::span<const Time> failures);

// Lets a child report its failure. Reports from an earlier run of the child and
// reports after the supervisor is destroyed are ignored. Copies are equivalent.
//
// Thread safety: not thread-safe; all calls must be made on the supervisor's
// thread.
class FailureHandle {
 public:
  // Reports a failure. Only the first report of a run counts. The supervisor
  // handles it in its next `Tick`, so that a child is never stopped from inside
  // its own call. Preconditions: called on the supervisor's thread.
  void Fail(Error error) const;

 private:
  friend class Supervisor;
  struct Report {
    std::optional<Error> error;
    std::function<void()> on_schedule_change;
  };
  explicit FailureHandle(std::weak_ptr<Report> report)
      : report_(std::move(report)) {}

  std::weak_ptr<Report> report_;
};

// A component that a supervisor runs.
struct ChildSpec {
  std::string name;
  // Starts the child. If it returns an error, the child is not running and
  // `stop` is not called.
  std::function<Status(FailureHandle)> start;
  // Stops a started child, whether or not it has failed.
  std::function<void()> stop;
  RestartPolicy policy;
};

// Starts children in order, restarts a failed child with exponential backoff
// and stops the children in reverse order. Once a child fails too often, the
// supervisor stops all children and reports its own failure. Supervisors can be
// nested: the outer child's functions call the inner `Start` and `Stop`, and
// the inner `on_failed` calls the child's handle.
//
// Thread safety: not thread-safe; all calls must be made on one thread.
class Supervisor {
 public:
  struct Callbacks {
    // Called when a child reports a failure, which makes `NextTick` earlier.
    // The owner resets its timer. May be null.
    std::function<void()> on_schedule_change;
    // Called after a child failed too often and all children were stopped. May
    // be null.
    std::function<void(const Error&)> on_failed;
    // Called when a child failed and a restart is scheduled. May be null.
    std::function<void(const std::string& child, const Error&)> on_restart;
  };

  explicit Supervisor(Callbacks callbacks) : callbacks_(std::move(callbacks)) {}
  // Stops the children.
  ~Supervisor();
  Supervisor(const Supervisor&) = delete;
  Supervisor& operator=(const Supervisor&) = delete;

  // Adds a child at the end of the start order. Preconditions: the supervisor
  // is not started.
  void Add(ChildSpec child);

  // Starts the children in order. If one fails, stops those before it and
  // returns its error, prefixed with its name. A failure here is not retried,
  // because it is usually caused by invalid settings. May be called again after
  // `Stop` or a failure.
  Status Start();

  // Stops the running children in reverse order. Idempotent.
  void Stop();

  // Handles reported failures and due restarts. Does nothing after `Stop`. The
  // owner then resets its timer to `NextTick`.
  void Tick(Time now);

  // Returns when `Tick` is due, or nothing if nothing is pending. A time in the
  // past means that it is due at once.
  std::optional<Time> NextTick() const;

 private:
  struct Child {
    ChildSpec spec;
    std::shared_ptr<FailureHandle::Report> report;  // Null if not running.
    std::optional<Time> restart_at;
    std::vector<Time> failures;  // Within the policy's window.
  };

  Status StartChild(Child& child);
  static void StopChild(Child& child);
  // Schedules a restart. Returns false if the child failed too often and the
  // supervisor was stopped.
  bool HandleFailure(Child& child, const Error& error, Time now);

  Callbacks callbacks_;
  bool started_ = false;
  std::vector<Child> children_;
};

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_SUPERVISOR_SUPERVISOR_H_
