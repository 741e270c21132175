#include "amaranthcove/base/crash_log.h"

#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <string>

#include <CppUTest/TestHarness.h>

namespace amaranthcove {

namespace {

// Raises signal `number` in a child process. Returns the output of the child
// and sets `status` to its wait status.
std::string CrashChild(int number, int& status) {
  std::array<int, 2> pipe_ends{};
  CHECK_EQUAL(0, pipe(pipe_ends.data()));
  const pid_t child = fork();
  if (child == 0) {
    InstallCrashLog(pipe_ends[1]);
    SetCrashActivity("timers");
    raise(number);
    _exit(0);
  }
  close(pipe_ends[1]);
  std::string text;
  std::array<char, 4096> buffer{};
  for (;;) {
    const ssize_t size = read(pipe_ends[0], buffer.data(), buffer.size());
    if (size <= 0) {
      break;
    }
    text.append(buffer.data(), static_cast<std::size_t>(size));
  }
  close(pipe_ends[0]);
  waitpid(child, &status, 0);
  return text;
}

}  // namespace

TEST_GROUP(CrashLog){};

// Guards against a crash that leaves no readable stack trace, and against a
// handler that lets the process continue.
TEST(CrashLog, WritesSignalAndStack) {
  for (const int number : {SIGSEGV, SIGABRT}) {
    int status = 0;
    const std::string text = CrashChild(number, status);
    STRCMP_CONTAINS("event=crash signal=SIG", text.c_str());
    STRCMP_CONTAINS(" activity=timers ", text.c_str());
    // Names, not only offsets.
    STRCMP_CONTAINS("RunAllTests", text.c_str());
    STRCMP_CONTAINS("base_test", text.c_str());
    CHECK(WIFSIGNALED(status));
    CHECK_EQUAL(number, WTERMSIG(status));
  }
}

}  // namespace amaranthcove
