#include "amaranthcove/log/log.h"

#include <unistd.h>

#include <cstdio>
#include <filesystem>
#include <iterator>
#include <thread>

#include <CppUTest/TestHarness.h>

namespace amaranthcove {
namespace {

std::ptrdiff_t ThreadCount() {
  return std::distance(std::filesystem::directory_iterator("/proc/self/task"),
                       std::filesystem::directory_iterator());
}

// Runs `body` and returns what it wrote to stderr.
template <typename Body>
std::string CaptureStderr(Body body) {
  std::FILE* file = std::tmpfile();
  const int saved = dup(STDERR_FILENO);
  dup2(fileno(file), STDERR_FILENO);
  body();
  dup2(saved, STDERR_FILENO);
  close(saved);
  std::rewind(file);
  std::string text(4096, '\0');
  text.resize(std::fread(text.data(), 1, text.size(), file));
  static_cast<void>(std::fclose(file));
  return text;
}

}  // namespace

TEST_GROUP(Log){};

// Guards against text from callers that forges log lines, against writing
// events below the level, and against keeping log4cplus's pool of four threads
// in a process that has one thread.
TEST(Log, WritesOneLinePerEvent) {
  const std::string text = CaptureStderr([&] {
    Log(LogLevel::kError, "early", "without set-up");
    const Logging logging(LogLevel::kInfo);
    // log4cplus ends its surplus threads asynchronously. If it keeps them, this
    // loop runs into the time limit of scripts/test.
    while (ThreadCount() > 2) {
      std::this_thread::yield();
    }
    Log(LogLevel::kDebug, "entry", "hidden");
    Log(LogLevel::kWarn, "entry", "first\nERROR entry forged");
  });
  STRCMP_EQUAL("Z WARN  entry first\\x0aERROR entry forged\n",
               text.substr(text.find('Z')).c_str());
  CHECK_EQUAL(std::string("2026-01-31T12:00:00.123Z").size(),
              text.find('Z') + 1);
}

}  // namespace amaranthcove
