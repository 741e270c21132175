#include "amaranthcove/net/event_loop.h"

#include <signal.h>
#include <sys/signalfd.h>
#include <unistd.h>

#include <algorithm>
#include <vector>

#include "amaranthcove/base/crash_log.h"
#include "src/net/h2o_headers.h"

namespace amaranthcove {

namespace {

// Maximum duration of one wait, so that h2o's own timeouts are also processed.
constexpr Duration kMaxWait = std::chrono::seconds(1);

}  // namespace

namespace internal {

void KeepUntilExit(void* memory) {
  // Never destroyed, so that the memory is still reachable for the leak checker
  // at exit.
  static auto* kept = new std::vector<void*>();
  kept->push_back(memory);
}

}  // namespace internal

// Runs the due timers as a callback of h2o, which then handles the sockets that
// they made pending. Otherwise h2o would free a socket that one timer has
// written to and another has closed, and use it afterwards.
struct EventLoop::TimerHook {
  explicit TimerHook(EventLoop& event_loop) : loop(&event_loop) {
    h2o_timeout_init(loop->loop_, &timeout, 0);
    entry.cb = &TimerHook::OnDue;
  }

  ~TimerHook() { h2o_timeout_dispose(loop->loop_, &timeout); }

  TimerHook(const TimerHook&) = delete;
  TimerHook& operator=(const TimerHook&) = delete;

  void Run() {
    h2o_timeout_link(loop->loop_, &timeout, &entry);
    h2o_timeout_run(loop->loop_, &timeout, h2o_now(loop->loop_));
  }

  static void OnDue(h2o_timeout_entry_t* entry) {
    SetCrashActivity("timers");
    reinterpret_cast<TimerHook*>(entry)->loop->RunDueTimers();
    SetCrashActivity("sockets_used_by_timers");
  }

  h2o_timeout_entry_t entry = {};  // First, so that `OnDue` finds the hook.
  h2o_timeout_t timeout = {};
  EventLoop* loop;
};

EventLoop::EventLoop()
    : loop_(h2o_evloop_create()),
      timer_hook_(std::make_unique<TimerHook>(*this)),
      now_(SteadyNow()) {
  signal(SIGPIPE, SIG_IGN);
}

EventLoop::~EventLoop() {
  timer_hook_.reset();
  if (signal_socket_ != nullptr) {
    h2o_socket_close(signal_socket_);
  }
  internal::KeepUntilExit(loop_);
}

TimerId EventLoop::RunAt(Time when, Callback callback) {
  const TimerId timer = next_timer_++;
  timers_.emplace(TimerKey(when, timer), std::move(callback));
  timer_times_.emplace(timer, when);
  return timer;
}

TimerId EventLoop::RunAfter(Duration delay, Callback callback) {
  return RunAt(SteadyNow() + delay, std::move(callback));
}

void EventLoop::Cancel(TimerId timer) {
  const auto found = timer_times_.find(timer);
  if (found == timer_times_.end()) {
    return;
  }
  timers_.erase(TimerKey(found->second, timer));
  timer_times_.erase(found);
}

TimerId EventLoop::AddRoundHook(Callback callback) {
  const TimerId hook = next_timer_++;
  round_hooks_.emplace(hook, std::move(callback));
  return hook;
}

void EventLoop::RemoveRoundHook(TimerId hook) {
  round_hooks_.erase(hook);
}

Status EventLoop::HandleSignals(std::span<const int> signals,
                                std::function<void(int)> handler) {
  sigset_t set;
  sigemptyset(&set);
  for (const int number : signals) {
    sigaddset(&set, number);
  }
  sigprocmask(SIG_BLOCK, &set, nullptr);
  const int fd = signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC);
  if (fd < 0) {
    return MakeError(ErrorCode::kUnavailable, "signalfd failed");
  }
  signal_handler_ = std::move(handler);
  signal_socket_ =
      h2o_evloop_socket_create(loop_, fd, H2O_SOCKET_FLAG_DONT_READ);
  signal_socket_->data = this;
  h2o_socket_read_start(signal_socket_, &EventLoop::OnSignalReadable);
  return {};
}

void EventLoop::OnSignalReadable(st_h2o_socket_t* socket, const char* error) {
  if (error != nullptr) {
    return;
  }
  auto* loop = static_cast<EventLoop*>(socket->data);
  signalfd_siginfo info{};
  while (read(h2o_socket_get_fd(socket), &info, sizeof(info)) ==
         static_cast<ssize_t>(sizeof(info))) {
    loop->signal_handler_(static_cast<int>(info.ssi_signo));
  }
}

void EventLoop::Run() {
  stopped_ = false;
  while (!stopped_) {
    RunOnce(kMaxWait);
  }
}

void EventLoop::RunOnce(Duration max_wait) {
  Duration wait = std::min(max_wait, kMaxWait);
  if (!timers_.empty()) {
    const Duration until_first = timers_.begin()->first.first - SteadyNow();
    wait = std::clamp(until_first, Duration::zero(), wait);
  }
  // Rounded up, so that the loop does not spin during the last millisecond.
  const auto wait_ms = std::chrono::ceil<std::chrono::milliseconds>(wait);
  SetCrashActivity("sockets");
  h2o_evloop_run(loop_, static_cast<std::int32_t>(wait_ms.count()));
  now_ = SteadyNow();
  for (const auto& [hook, callback] : round_hooks_) {
    callback();
  }
  if (timers_.empty() || timers_.begin()->first.first > now_) {
    return;
  }
  timer_hook_->Run();
}

void EventLoop::RunDueTimers() {
  // Timers added by a callback run in the next round at the earliest.
  const TimerId first_new = next_timer_;
  auto next = timers_.begin();
  while (next != timers_.end() && next->first.first <= now_) {
    if (next->first.second >= first_new) {
      ++next;
      continue;
    }
    Callback callback = std::move(next->second);
    timer_times_.erase(next->first.second);
    timers_.erase(next);
    callback();
    next = timers_.begin();
  }
}

}  // namespace amaranthcove
