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

// When a failed child is started again, and how many failures are too many.
struct RestartPolicy {
  Duration first_delay = std::chrono::milliseconds(100);
  Duration max_delay = std::chrono::seconds(10);
  int max_restarts = 5;  // Within `window`.
  Duration window = std::chrono::minutes(1);
};

// The time at which to start a child again that failed at `failures`, in
// order, the last of which is the present one; nothing if it has failed more
// than `max_restarts` times within the window. The delay doubles with each
// failure within the window. Preconditions: `failures` is not empty.
// Thread-safe.
std::optional<Time> NextRestart(const RestartPolicy& policy,
                                std::span<const Time> failures);

// By which a child reports its failure. Reports of an earlier run of the child
// and reports after the supervisor is gone are ignored. Copies are equivalent.
class FailureHandle {
 public:
  // Reports a failure. The supervisor acts on it in its next `Tick`, so that no
  // child is stopped from inside its own call. Preconditions: called on the
  // supervisor's thread.
  void Fail(Error error) const;

 private:
  friend class Supervisor;
  struct Report {
    std::optional<Error> error;
    std::function<void()> on_change;
  };
  explicit FailureHandle(std::weak_ptr<Report> report)
      : report_(std::move(report)) {}

  std::weak_ptr<Report> report_;
};

// A component that a supervisor runs.
struct ChildSpec {
  std::string name;
  // Starts the child. After an error it counts as not started, and `stop` is
  // not called.
  std::function<Status(FailureHandle)> start;
  // Stops a started child, failed or not.
  std::function<void()> stop;
  RestartPolicy policy;
};

// Starts children in order, starts a failed child again after a delay that
// grows, and stops them in reverse order. A child that fails too often fails
// the supervisor. A supervisor can be the child of another: its `Start` and
// `Stop` become the child's functions and its `on_failed` calls the handle.
//
// Thread safety: none; all calls are made on one thread.
class Supervisor {
 public:
  struct Callbacks {
    // `NextTick` has become earlier; the owner sets its timer. May be null.
    std::function<void()> on_change;
    // A child failed too often and all children are stopped. May be null.
    std::function<void(const Error&)> on_failed;
    // A child failed and will be started again. May be null.
    std::function<void(const std::string& child, const Error&)> on_restart;
  };

  explicit Supervisor(Callbacks callbacks) : callbacks_(std::move(callbacks)) {}
  // Stops the children.
  ~Supervisor();
  Supervisor(const Supervisor&) = delete;
  Supervisor& operator=(const Supervisor&) = delete;

  // Adds a child at the end of the order. Preconditions: not started.
  void Add(ChildSpec child);

  // Starts the children in order. If one fails, those before it are stopped and
  // its error is returned with its name: a first start that fails is usually a
  // mistake in the settings, which waiting does not mend. May be called again
  // after `Stop` or a failure.
  Status Start();

  // Stops the children in reverse order. Does nothing if they are stopped.
  void Stop();

  // Handles reported failures and due restarts. Does nothing after `Stop`.
  void Tick(Time now);

  // When `Tick` is due: a time in the past means at once, nothing means that
  // nothing is pending.
  std::optional<Time> NextTick() const;

 private:
  struct Child {
    ChildSpec spec;
    std::shared_ptr<FailureHandle::Report> report;  // Null unless running.
    std::optional<Time> restart_at;
    std::vector<Time> failures;  // Within the policy's window.
  };

  Status StartChild(Child& child);
  static void StopChild(Child& child);
  // Returns false if the supervisor gave up.
  bool HandleFailure(Child& child, const Error& error, Time now);

  Callbacks callbacks_;
  bool started_ = false;
  std::vector<Child> children_;
};

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_SUPERVISOR_SUPERVISOR_H_
