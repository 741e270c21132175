#include "amaranthcove/base/crash_log.h"

#include <execinfo.h>
#include <signal.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <cstddef>
#include <string_view>

namespace amaranthcove {

namespace {

constexpr std::size_t kMaxStackFrames = 48;

// Size of the alternate signal stack. The handlers need one because the fault
// may be a stack overflow.
constexpr std::size_t kSignalStackBytes = 64 << 10;

volatile sig_atomic_t crash_descriptor = STDERR_FILENO;
std::atomic<const char*> crash_activity = "start";
static_assert(std::atomic<const char*>::is_always_lock_free);

std::string_view SignalName(int number) {
  switch (number) {
    case SIGSEGV:
      return "SIGSEGV";
    case SIGBUS:
      return "SIGBUS";
    case SIGFPE:
      return "SIGFPE";
    case SIGILL:
      return "SIGILL";
    default:
      return "SIGABRT";
  }
}

void WriteText(std::string_view text) {
  // A failed write cannot be reported anywhere.
  [[maybe_unused]] const ssize_t written =
      write(crash_descriptor, text.data(), text.size());
}

// Calls only async-signal-safe functions. `backtrace` is async-signal-safe
// after its first call, which `InstallCrashLog` makes.
void OnCrash(int number) {
  WriteText("event=crash signal=");
  WriteText(SignalName(number));
  WriteText(" activity=");
  WriteText(crash_activity.load());
  WriteText(" stack follows\n");
  std::array<void*, kMaxStackFrames> frames{};
  const int count = backtrace(frames.data(), static_cast<int>(frames.size()));
  backtrace_symbols_fd(frames.data(), count, crash_descriptor);
  signal(number, SIG_DFL);
  raise(number);
}

}  // namespace

void SetCrashActivity(const char* activity) {
  crash_activity.store(activity);
}

void InstallCrashLog(int descriptor) {
  crash_descriptor = descriptor;
  std::array<void*, 1> first{};
  backtrace(first.data(), static_cast<int>(first.size()));
  static std::array<char, kSignalStackBytes> stack;
  stack_t alternate_stack{};
  alternate_stack.ss_sp = stack.data();
  alternate_stack.ss_size = stack.size();
  sigaltstack(&alternate_stack, nullptr);
  struct sigaction action {};
  action.sa_handler = &OnCrash;
  action.sa_flags = SA_ONSTACK | SA_NODEFER;
  sigemptyset(&action.sa_mask);
  for (const int number : {SIGSEGV, SIGBUS, SIGFPE, SIGILL, SIGABRT}) {
    sigaction(number, &action, nullptr);
  }
}

}  // namespace amaranthcove
