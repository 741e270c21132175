#ifndef AMARANTHCOVE_SUSPECTS_CRASH_TABLE_H_
#define AMARANTHCOVE_SUSPECTS_CRASH_TABLE_H_

#include <cstdint>
#include <map>
#include <span>
#include <utility>
#include <vector>

#include "amaranthcove/base/address.h"
#include "amaranthcove/base/time.h"
#include "amaranthcove/suspects/crash_cause.h"

namespace amaranthcove {

// A part that has not crashed a server since a crash was attributed to requests
// with it.
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

  // Adds a crash that `agent` has reported, or replaces what it had reported
  // before. Returns whether that changes the causes.
  bool Put(const Address& agent, ServerCrash crash, Time now);

  // Adds a request that was lost in the crash `id`, which this process has
  // noticed itself. Returns whether that changes the causes.
  bool AddOwn(std::uint64_t id, LostRequest request, Time now);

  // Records that `parts` have not crashed the server that answers them. Returns
  // the parts that this clears, once for each crash.
  std::vector<ClearedPart> RecordSound(std::span<const PartId> parts, Time now);

  // Returns the cause that a request with `parts` holds, or null if there is
  // none. The pointer is valid until the next call that is not const.
  const CrashCause* FindCause(std::span<const PartId> parts, Time now);

  std::span<const CrashCause> causes() const { return causes_; }
  std::size_t size() const { return crashes_.size(); }

 private:
  void Expire(Time now);
  // Returns the crashes, with what several agents reported of one put together.
  std::vector<ServerCrash> MergedCrashes() const;
  // Derives the causes again. Returns whether they have changed.
  bool UpdateCauses(Time now);

  // Agent and id. The agent is empty for crashes that this process has noticed.
  using CrashKey = std::pair<Address, std::uint64_t>;

  std::map<CrashKey, ServerCrash> crashes_;
  SoundParts sound_;
  std::vector<CrashCause> causes_;
};

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_SUSPECTS_CRASH_TABLE_H_
