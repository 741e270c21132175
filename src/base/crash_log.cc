#include "amaranthcove/base/crash_log.h"

#include <execinfo.h>
#include <signal.h>
#include <unistd.h>

#include <array>
#include <cstddef>
#include <string_view>

namespace amaranthcove {

namespace {

constexpr std::size_t kMaxFrames = 48;

// Handlers have a stack of their own, because the fault may be a full stack.
constexpr std::size_t kStackBytes = 64 << 10;

volatile sig_atomic_t crash_descriptor = STDERR_FILENO;

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
  // There is nobody left to tell of a failed write.
  [[maybe_unused]] const ssize_t written =
      write(crash_descriptor, text.data(), text.size());
}

// Calls async-signal-safe functions only; `backtrace` is one after its first
// call.
void OnCrash(int number) {
  WriteText("event=crash signal=");
  WriteText(SignalName(number));
  WriteText(" stack follows\n");
  std::array<void*, kMaxFrames> frames{};
  const int count = backtrace(frames.data(), static_cast<int>(frames.size()));
  backtrace_symbols_fd(frames.data(), count, crash_descriptor);
  signal(number, SIG_DFL);
  raise(number);
}

}  // namespace

void InstallCrashLog(int descriptor) {
  crash_descriptor = descriptor;
  std::array<void*, 1> first{};
  backtrace(first.data(), static_cast<int>(first.size()));
  static std::array<char, kStackBytes> stack;
  stack_t own_stack{};
  own_stack.ss_sp = stack.data();
  own_stack.ss_size = stack.size();
  sigaltstack(&own_stack, nullptr);
  struct sigaction action {};
  action.sa_handler = &OnCrash;
  action.sa_flags = SA_ONSTACK | SA_NODEFER;
  sigemptyset(&action.sa_mask);
  for (const int number : {SIGSEGV, SIGBUS, SIGFPE, SIGILL, SIGABRT}) {
    sigaction(number, &action, nullptr);
  }
}

}  // namespace amaranthcove
