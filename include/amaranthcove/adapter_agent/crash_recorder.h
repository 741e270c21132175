#ifndef AMARANTHCOVE_ADAPTER_AGENT_CRASH_RECORDER_H_
#define AMARANTHCOVE_ADAPTER_AGENT_CRASH_RECORDER_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <span>
#include <vector>

#include "amaranthcove/base/time.h"
#include "amaranthcove/suspects/crash_cause.h"

namespace amaranthcove {

// A crash of the agent's engine.
struct RecordedCrash {
  std::int64_t engine_started_at_ms = 0;
  Time recorded;  // When the agent noticed the crash.
  EngineCrash crash;
};

// Puts the requests that routers have lost at an engine together with the
// crashes of the engine, which its agent notices. A lost request alone is no
// sign of a crash: connections break for other reasons.
//
// Thread safety: none. Precondition: `now` does not decrease between calls.
class CrashRecorder {
 public:
  // A request is attributed to a crash that is noticed up to this time before
  // or after the request was reported as lost.
  static constexpr Duration kMatchWindow = std::chrono::seconds(1);

  // Crashes are kept for this time, for routers that start later.
  static constexpr Duration kLifetime = std::chrono::minutes(10);

  // Bounds of what is kept and reported.
  static constexpr std::size_t kMaxCrashes = 8;
  static constexpr std::size_t kMaxRequests = 12;  // For each crash.
  static constexpr std::size_t kMaxParts = 16;     // For each request.

  // Records a request that a router has lost. Routers repeat their reports;
  // known ones have no effect. Returns whether a crash changed.
  bool OnLost(LostRequest request, Time now);

  // Records a crash of the engine that was started at `engine_started_at_ms`.
  // Returns whether requests are known that may have caused it.
  bool OnCrash(std::int64_t engine_started_at_ms, Time now);

  // Records that an engine has begun to answer a request with `part`, so that
  // it is not the cause of the crashes so far. Returns whether a crash changed.
  bool OnBegun(PartId part);

  // Returns the crashes that may have been caused by a request.
  std::vector<RecordedCrash> Crashes(Time now);

 private:
  struct Lost {
    LostRequest request;
    Time at;
  };

  void Expire(Time now);
  static bool Add(RecordedCrash& crash, const LostRequest& request);

  std::deque<Lost> lost_;              // In the order of time.
  std::deque<RecordedCrash> crashes_;  // In the order of time.
};

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_ADAPTER_AGENT_CRASH_RECORDER_H_
