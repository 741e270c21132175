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

// Puts the requests that routers have lost at an engine together with the
// crashes of the engine, which its agent notices. A lost request alone is no
// sign of a crash: connections break for other reasons. Keeps crashes of plain
// servers too, which routers notice themselves and tell all others this way.
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
  static constexpr std::size_t kMaxLost = 256;
  static constexpr std::size_t kMaxCrashes = 8;    // Of each kind.
  static constexpr std::size_t kMaxRequests = 24;  // For each crash.
  static constexpr std::size_t kMaxParts = 16;     // For each request.

  // Records a request that a router has lost. Routers repeat their reports;
  // known ones have no effect. Returns whether a crash changed.
  bool OnLost(LostRequest request, Time now);

  // Records the crash `id` of the engine. Returns whether requests are known
  // that may have caused it.
  bool OnCrash(std::uint64_t id, Time now);

  // Records a request that was lost in the crash `id` of a plain server.
  // Returns whether a crash changed.
  bool OnPlainCrash(std::uint64_t id, LostRequest request, Time now);

  // Records that `part` has not crashed the server that answers it, so that it
  // is not the cause of the crashes so far. Returns whether a crash changed.
  bool OnSound(PartId part);

  // Returns the crashes that may have been caused by a request.
  std::vector<ServerCrash> Crashes(Time now);

 private:
  struct RecordedCrash {
    Time recorded;  // When it was noticed.
    ServerCrash crash;
  };
  struct Lost {
    LostRequest request;
    Time at;
  };

  void Expire(Time now);
  static bool Add(RecordedCrash& crash, LostRequest request);

  // All in the order of time.
  std::deque<Lost> lost_;
  std::deque<RecordedCrash> crashes_;  // Of the engine.
  std::deque<RecordedCrash> plain_crashes_;
};

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_ADAPTER_AGENT_CRASH_RECORDER_H_
