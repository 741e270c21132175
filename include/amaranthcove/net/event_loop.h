#ifndef AMARANTHCOVE_NET_EVENT_LOOP_H_
#define AMARANTHCOVE_NET_EVENT_LOOP_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <span>
#include <unordered_map>
#include <utility>

#include "amaranthcove/base/error.h"
#include "amaranthcove/base/time.h"

struct st_h2o_evloop_t;
struct st_h2o_socket_t;

namespace amaranthcove {

// Identifies a timer of an `EventLoop`; 0 is never a valid id.
using TimerId = std::uint64_t;

// The event loop of a process. Uses h2o's event loop for sockets, but has its
// own timers on the steady clock, because h2o's timers follow the wall clock.
//
// Thread safety: a loop and everything attached to it belong to the thread that
// calls `Run`. Callbacks run on that thread, never inside the call that
// registers them.
class EventLoop {
 public:
  using Callback = std::function<void()>;

  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  // Returns the current steady time. It is not cached per round, because events
  // handled after a long wait or a suspension of the process would see a stale
  // time.
  Time Now() const { return SteadyNow(); }

  // Calls `callback` once, as soon as possible after `when`. If `when` is in
  // the past, the callback runs in the next round.
  TimerId RunAt(Time when, Callback callback);

  // Calls `callback` once, `delay` from now. `delay` may be zero.
  TimerId RunAfter(Duration delay, Callback callback);

  // Cancels a timer. Unknown and zero ids and timers that have run are ignored.
  void Cancel(TimerId timer);

  // Calls `handler` in the loop whenever one of `signals` arrives, and blocks
  // their default handling. Precondition: called at most once. Errors:
  // kUnavailable if the system call fails.
  Status HandleSignals(std::span<const int> signals,
                       std::function<void(int)> handler);

  // Calls `callback` in each round, after the events of sockets. It must not
  // write to sockets or close them by h2o.
  TimerId AddRoundHook(Callback callback);
  void RemoveRoundHook(TimerId hook);

  // Handles events until `Stop` is called.
  void Run();

  // Makes `Run` return after the current round.
  void Stop() { stopped_ = true; }

  // Handles one round of events. Waits up to `max_wait`, but at most 1 s, for
  // the first event.
  void RunOnce(Duration max_wait);

  // Returns h2o's event loop, for the sockets of this component.
  st_h2o_evloop_t* native() const { return loop_; }

 private:
  using TimerKey = std::pair<Time, TimerId>;
  struct TimerHook;

  void RunDueTimers();
  static void OnSignalReadable(st_h2o_socket_t* socket, const char* error);

  st_h2o_evloop_t* loop_;
  std::unique_ptr<TimerHook> timer_hook_;
  Time now_;
  bool stopped_ = false;
  TimerId next_timer_ = 1;
  std::map<TimerKey, Callback> timers_;
  std::unordered_map<TimerId, Time> timer_times_;
  std::map<TimerId, Callback> round_hooks_;
  std::function<void(int)> signal_handler_;
  st_h2o_socket_t* signal_socket_ = nullptr;
};

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_NET_EVENT_LOOP_H_
