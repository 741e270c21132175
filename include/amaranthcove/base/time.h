#ifndef AMARANTHCOVE_BASE_TIME_H_
#define AMARANTHCOVE_BASE_TIME_H_

#include <chrono>
#include <cstdint>
#include <string>

namespace amaranthcove {

// Durations and points in time, in microseconds. `Time` comes from the steady
// clock, so adjustments of the wall clock have no effect on decisions.
// Functions that make decisions should take the current time as an argument
// instead of reading the clock.
using Duration = std::chrono::microseconds;
using Time = std::chrono::time_point<std::chrono::steady_clock, Duration>;

// Reads the steady clock. Thread-safe.
inline Time SteadyNow() {
  return std::chrono::time_point_cast<Duration>(
      std::chrono::steady_clock::now());
}

// Returns `duration` in milliseconds, rounded towards zero. Thread-safe.
inline std::int64_t ToMilliseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

// Returns `duration` in seconds. Thread-safe.
inline double ToSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

// Formats `duration` as seconds with three decimals. Precondition: `duration`
// is not negative. Thread-safe.
std::string FormatSeconds(Duration duration);

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_BASE_TIME_H_
