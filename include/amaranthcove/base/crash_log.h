#ifndef AMARANTHCOVE_BASE_CRASH_LOG_H_
#define AMARANTHCOVE_BASE_CRASH_LOG_H_

namespace amaranthcove {

// Installs handlers for SIGSEGV, SIGBUS, SIGFPE, SIGILL and SIGABRT. A handler
// writes "event=crash" with the signal and the stack, as module offsets for
// `addr2line`, to `descriptor`; the process then terminates by that signal.
// Replaces earlier handlers of these signals. Preconditions: called once,
// before other threads start; `descriptor` stays open.
void InstallCrashLog(int descriptor);

// States what the process does from now on, for the line that a crash writes.
// Precondition: `activity` is a string literal. Thread-safe.
void SetCrashActivity(const char* activity);

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_BASE_CRASH_LOG_H_
