#ifndef AMARANTHCOVE_BASE_TIME_H_
#define AMARANTHCOVE_BASE_TIME_H_

#include <chrono>
#include <cstdint>

namespace amaranthcove {

// Spans and points in time. `Time` is read from the steady clock, so a step of
// the wall clock changes no decision. Functions that decide take the present
// time as an argument; only the event loop and `main` read the clock.
using Duration = std::chrono::microseconds;
using Time = std::chrono::time_point<std::chrono::steady_clock, Duration>;

// Reads the steady clock. Thread-safe.
inline Time SteadyNow() {
  return std::chrono::time_point_cast<Duration>(
      std::chrono::steady_clock::now());
}

// Whole milliseconds of `duration`, rounded towards zero.
inline std::int64_t ToMilliseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

// `duration` in seconds.
inline double ToSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_BASE_TIME_H_
