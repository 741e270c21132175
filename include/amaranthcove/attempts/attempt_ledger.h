#ifndef AMARANTHCOVE_ATTEMPTS_ATTEMPT_LEDGER_H_
#define AMARANTHCOVE_ATTEMPTS_ATTEMPT_LEDGER_H_

#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <string>
#include <utility>

#include "amaranthcove/base/ids.h"
#include "amaranthcove/base/outcome.h"
#include "amaranthcove/base/time.h"

namespace amaranthcove {

// Bounds of an `AttemptLedger`. Queued and running attempts count as records
// but are never dropped.
struct AttemptLimits {
  std::size_t max_records_per_entry = 4096;
  std::size_t max_records = 65536;
  std::size_t max_entries = 4096;  // Entry incarnations.
  // An entry incarnation without live attempts is dropped after this time.
  Duration max_idle = std::chrono::hours(1);
  // The time between two calls counts as idle only up to this limit. Otherwise
  // a pause of the process would drop entries whose copies of attempts still
  // wait in its sockets.
  Duration max_idle_step = std::chrono::seconds(10);
};

enum class AdmitDecision {
  kNew,        // Queued now; the caller is responsible for it until it ends.
  kDuplicate,  // A copy of an attempt that is queued, running or finished.
  kRefused     // This copy of the attempt must not run.
};

struct AdmitResult {
  AdmitDecision decision = AdmitDecision::kRefused;
  // The known outcome of the attempt; kUnknown while it is queued or running. A
  // refusal may be reported as `not_run` only if this is kNotRun, since a copy
  // below the low-water mark may belong to an attempt that ran and whose record
  // was dropped.
  Outcome outcome = Outcome::kUnknown;
};

// The record of the attempts that one sidecar received. Guarantees that no
// attempt is admitted twice, and that an attempt reported as kNotRun is not
// admitted later and `MarkRunning` returns false for it.
//
// For each entry incarnation the ledger keeps a low-water mark: attempts below
// it that are not queued or running are refused. When a bound requires records
// to be dropped, the mark is raised above them.
//
// The guarantee ends for an entry incarnation from which nothing arrived for
// `max_idle`, counted while this process was running. A copy that arrives later
// is admitted as a new attempt.
//
// Not thread-safe. `now` must not decrease from call to call.
class AttemptLedger {
 public:
  explicit AttemptLedger(const AttemptLimits& limits = {});

  // Decides whether a submitted attempt may run, and queues it if so.
  // `low_water_mark` is the entry's guarantee that it will send no attempt with
  // a lower number.
  AdmitResult Admit(const AttemptId& id, std::int64_t low_water_mark, Time now);

  // Marks a queued attempt as running. Returns false if it is not queued; the
  // attempt must not run then.
  bool MarkRunning(const AttemptId& id);

  // Refuses an attempt that is queued or was never admitted. Returns the known
  // outcome of the attempt: kNotRun may be reported to the entry. A running
  // attempt continues to run, and the result is kUnknown.
  Outcome Refuse(const AttemptId& id, Time now);

  // As `Refuse`, for a cancellation by the entry. If the attempt was not
  // received yet, a late copy of it is refused.
  Outcome Cancel(const AttemptId& id, Time now);

  // Records that a running attempt ended. Later duplicates and cancellations
  // return `outcome`. Returns false if the attempt was not running.
  // Precondition: `outcome` is not kNotRun.
  bool Finish(const AttemptId& id, Outcome outcome, Time now);

  // Drops idle entry incarnations, as all calls with `now` do.
  void Expire(Time now);

  std::size_t entries() const { return entries_.size(); }
  std::size_t records() const { return records_; }
  std::size_t live() const { return live_; }

 private:
  using Key = std::pair<std::string, Incarnation>;
  enum class LiveState { kQueued, kRunning };

  struct Entry {
    std::int64_t low_water_mark = 0;
    std::map<std::int64_t, LiveState> live;
    std::map<std::int64_t, Outcome> ended;  // Only at or above the mark.
    Duration last_use{};                    // A value of `active_time_`.
    std::list<Key>::iterator position;      // In `by_use_`.
  };
  using Entries = std::map<Key, Entry>;

  void Advance(Time now);
  Entry* Find(const AttemptId& id);
  Entry* FindOrAdd(const AttemptId& id);
  void Touch(Entry& entry);
  void RaiseMark(Entry& entry, std::int64_t mark);
  bool HasRoom(const Entry& entry) const;
  bool MakeRoom(Entry& entry);
  Outcome RecordNotRun(Entry& entry, std::int64_t number);
  void DropOldestEnded(Entry& entry);

  AttemptLimits limits_;
  Entries entries_;
  std::list<Key> by_use_;  // Least recently used first.
  std::size_t records_ = 0;
  std::size_t live_ = 0;
  Time last_now_{};
  bool started_ = false;
  // The sum of the times between calls, each limited to `max_idle_step`.
  Duration active_time_{};
};

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_ATTEMPTS_ATTEMPT_LEDGER_H_
