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
// but are never forgotten.
struct AttemptLimits {
  std::size_t max_records_per_entry = 4096;
  std::size_t max_records = 65536;
  std::size_t max_entries = 4096;  // Entry incarnations.
  // An entry incarnation without live attempts is forgotten after this time.
  Duration max_idle = std::chrono::hours(1);
  // Time between two calls counts as idle up to this much only, so that a pause
  // of the process forgets nothing while copies wait in its sockets.
  Duration max_idle_step = std::chrono::seconds(10);
};

enum class AdmitDecision {
  kNew,        // Queued now; the caller owns it until it ends.
  kDuplicate,  // A copy of an attempt that is queued, running or finished.
  kRefused     // Does not run.
};

struct AdmitResult {
  AdmitDecision decision = AdmitDecision::kRefused;
  // What is known about the attempt. A refusal may be reported as `not_run`
  // only if this is kNotRun: a copy below the low-water mark may belong to an
  // attempt that ran and was forgotten. kUnknown while queued or running.
  Outcome outcome = Outcome::kUnknown;
};

// What one sidecar remembers of attempts. Guarantees that no attempt is
// admitted twice, and that one that was reported as kNotRun is never admitted
// and `MarkRunning` never permits it.
//
// For each entry incarnation the ledger keeps a low-water mark: attempts below
// it that are not queued or running are refused. Where a bound forces it to
// forget records, it raises the mark above them.
//
// Limit of the guarantee: it ends for an entry incarnation from which nothing
// arrived for `max_idle`, counted while this process was running. A copy that
// arrives later is taken for a new attempt.
//
// Not thread-safe. `now` must not decrease from call to call.
class AttemptLedger {
 public:
  explicit AttemptLedger(const AttemptLimits& limits = {});

  // Decides about a submitted attempt. `low_water_mark` is the entry's promise
  // that no attempt below this number is still to be sent.
  AdmitResult Admit(const AttemptId& id, std::int64_t low_water_mark, Time now);

  // Returns true once, if `id` is queued. Run the attempt only then.
  bool MarkRunning(const AttemptId& id);

  // Refuses an attempt that is queued, or was never admitted. The result is
  // what is known afterwards: kNotRun may be reported to the entry; a running
  // attempt stays running and is kUnknown.
  Outcome Refuse(const AttemptId& id, Time now);

  // As `Refuse`, for a cancellation by the entry. A late copy of an attempt
  // that was unknown is refused.
  Outcome Cancel(const AttemptId& id, Time now);

  // Records that a running attempt ended. `outcome` is what a later duplicate
  // or cancellation is told; not kNotRun. Returns false if it was not running.
  bool Finish(const AttemptId& id, Outcome outcome, Time now);

  // Forgets idle entry incarnations. `Admit`, `Refuse` and `Cancel` do so too.
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
    std::map<std::int64_t, Outcome> ended;  // None below the mark.
    Duration last_use{};                    // On `active_time_`.
    std::list<Key>::iterator position;      // In `by_use_`.
  };
  using Entries = std::map<Key, Entry>;

  void Advance(Time now);
  Entry* Find(const AttemptId& id);
  Entry* FindOrAdd(const AttemptId& id);
  void Use(Entry& entry);
  void RaiseMark(Entry& entry, std::int64_t mark);
  bool HasRoom(const Entry& entry) const;
  bool MakeRoom(Entry& entry);
  Outcome RecordNotRun(Entry& entry, std::int64_t number);
  void ForgetOldest(Entry& entry);

  AttemptLimits limits_;
  Entries entries_;
  std::list<Key> by_use_;  // Least recently used first.
  std::size_t records_ = 0;
  std::size_t live_ = 0;
  Time last_now_{};
  bool started_ = false;
  Duration active_time_{};  // Time that this process was seen to run.
};

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_ATTEMPTS_ATTEMPT_LEDGER_H_
