#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/MemoryLeakDetector.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>

#ifdef __SANITIZE_ADDRESS__
// Overwrites freed memory, so that its use is also noticed in libraries that
// are not instrumented.
extern "C" const char* __asan_default_options() {
  return "max_free_fill_size=4096:free_fill_byte=221";
}
#endif

int main(int argc, char** argv) {
  // The sanitizer build finds leaks; CppUTest's own detector reports memory
  // that libraries keep until the process ends.
  MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
  // Otherwise the detector would go on reading the list that it keeps within
  // memory that was allocated before and is freed later.
  MemoryLeakWarningPlugin::getGlobalDetector()->clearAllAccounting(
      mem_leak_period_all);
  return CommandLineTestRunner::RunAllTests(argc, argv);
}
