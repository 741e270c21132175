#ifndef AMARANTHCOVE_BASE_CRASH_LOG_H_
#define AMARANTHCOVE_BASE_CRASH_LOG_H_

namespace amaranthcove {

// From now on a process that is ended by a fault of its own (SIGSEGV, SIGBUS,
// SIGFPE, SIGILL, SIGABRT) first writes "event=crash" with the signal and the
// stack, as module offsets for `addr2line`, to `descriptor`; it then ends by
// that signal. Replaces earlier handlers of these signals. Call once, before
// other threads start. Preconditions: `descriptor` stays open.
void InstallCrashLog(int descriptor);

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_BASE_CRASH_LOG_H_
