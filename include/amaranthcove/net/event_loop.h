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

// Names a timer of an `EventLoop`; 0 names none.
using TimerId = std::uint64_t;

// The one event loop of a process. It drives h2o's evloop for sockets and keeps
// its own timers on the steady clock, because h2o's timers follow the wall
// clock.
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

  // The steady time. Socket events of a round that began with a long wait, or
  // before the process was frozen, must not see the time before it.
  Time Now() const { return SteadyNow(); }

  // Calls `callback` once, at `when` or soon after. A time in the past means
  // the next round.
  TimerId RunAt(Time when, Callback callback);

  // Calls `callback` once, `delay` from now. `delay` may be zero.
  TimerId RunAfter(Duration delay, Callback callback);

  // Drops a timer. Unknown, past and zero ids are ignored.
  void Cancel(TimerId timer);

  // Calls `handler` in the loop whenever one of `signals` arrives.
  // Precondition: called once at most. Errors: kUnavailable from the system.
  Status HandleSignals(std::span<const int> signals,
                       std::function<void(int)> handler);

  // Handles events until `Stop` is called.
  void Run();

  // Makes `Run` return after the current round.
  void Stop() { stopped_ = true; }

  // Handles one round of events; waits up to `max_wait` for the first.
  void RunOnce(Duration max_wait);

  // h2o's loop, for the sockets of this component.
  st_h2o_evloop_t* native() const { return loop_; }

 private:
  using TimerKey = std::pair<Time, TimerId>;

  void RunDueTimers();
  static void OnSignalReadable(st_h2o_socket_t* socket, const char* error);

  st_h2o_evloop_t* loop_;
  Time now_;
  bool stopped_ = false;
  TimerId next_timer_ = 1;
  std::map<TimerKey, Callback> timers_;
  std::unordered_map<TimerId, Time> timer_times_;
  std::function<void(int)> signal_handler_;
  st_h2o_socket_t* signal_socket_ = nullptr;
};

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_NET_EVENT_LOOP_H_
