#ifndef AMARANTHCOVE_SUSPECTS_CRASH_TABLE_H_
#define AMARANTHCOVE_SUSPECTS_CRASH_TABLE_H_

#include <cstdint>
#include <map>
#include <span>
#include <tuple>
#include <vector>

#include "amaranthcove/base/address.h"
#include "amaranthcove/base/time.h"
#include "amaranthcove/suspects/crash_cause.h"

namespace amaranthcove {

// Identifies a crash: the agent that reported it, and the start of the engine
// that crashed.
struct CrashKey {
  Address agent;
  std::int64_t engine_started_at_ms = 0;

  bool operator<(const CrashKey& other) const {
    return std::tie(agent, engine_started_at_ms) <
           std::tie(other.agent, other.engine_started_at_ms);
  }
};

// A part that began although a crash was attributed to requests with it.
struct ClearedPart {
  Address agent;  // Reported the crash.
  PartId part = 0;
};

// The crashes of engines that a router knows, and the causes that follow from
// them. Crashes are kept when their agent no longer reports them, because the
// agent may have been restarted.
//
// Thread safety: none. Precondition: `now` does not decrease between calls.
class CrashTable {
 public:
  // Crashes are dropped after this time, and the oldest ones above this number.
  static constexpr Duration kLifetime = std::chrono::minutes(10);
  static constexpr std::size_t kMaxCrashes = 64;

  // Adds a crash, or replaces what was known of it. Returns whether that
  // changes the causes.
  bool Put(const CrashKey& key, EngineCrash crash, Time now);

  // Records that an engine began to answer a request with `parts`. Returns the
  // parts that this clears, once for each crash.
  std::vector<ClearedPart> RecordBegun(std::span<const PartId> parts, Time now);

  // Returns the cause that a request with `parts` holds, or null if there is
  // none. The pointer is valid until the next call that is not const.
  const CrashCause* FindCause(std::span<const PartId> parts, Time now);

  std::span<const CrashCause> causes() const { return causes_; }
  std::size_t size() const { return crashes_.size(); }

 private:
  void Expire(Time now);
  // Derives the causes again. Returns whether they have changed.
  bool UpdateCauses(Time now);

  std::map<CrashKey, EngineCrash> crashes_;
  BegunParts begun_;
  std::vector<CrashCause> causes_;
};

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_SUSPECTS_CRASH_TABLE_H_
