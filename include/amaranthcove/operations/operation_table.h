#ifndef AMARANTHCOVE_OPERATIONS_OPERATION_TABLE_H_
#define AMARANTHCOVE_OPERATIONS_OPERATION_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <list>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "amaranthcove/base/error.h"
#include "amaranthcove/base/ids.h"
#include "amaranthcove/base/outcome.h"
#include "amaranthcove/base/time.h"
#include "amaranthcove/operations/operation_id.h"

namespace amaranthcove {

// Limits of an `OperationTable`. Running operations count as entries but are
// never evicted.
struct OperationLimits {
  std::size_t max_entries = 65536;
  std::size_t max_answer_bytes = std::size_t{32} << 20;
  Duration max_issued_age = std::chrono::minutes(10);  // Since `Issue`.
  Duration max_ended_age = std::chrono::hours(1);      // Since done or retired.
};

// The response of the backend server, as stored for repeated calls.
struct OperationAnswer {
  int status = 0;
  std::string content_type;
  std::string body;

  bool operator==(const OperationAnswer&) const = default;
};

enum class BeginDecision {
  kRun,       // The caller must run it and then complete it.
  kRunning,   // It is running; wait for that execution.
  kDone,      // It has run.
  kMismatch,  // The id was used for a different request.
  kLost,      // Issued by another incarnation, or evicted.
  kRetired,   // Retired before it began.
  kForged     // Malformed, or the tag is invalid.
};

struct BeginResult {
  BeginDecision decision = BeginDecision::kLost;
  // What is known about the operation. With kMismatch, about the first request
  // under this id. kUnknown with kRun, kRunning and kLost.
  Outcome outcome = Outcome::kUnknown;
  // Only with kDone and kCompleted. Absent if it was evicted because of
  // `max_answer_bytes`.
  std::optional<OperationAnswer> answer;
};

// Tracks the operations of one sidecar incarnation, whose states are issued ->
// running -> done, or issued -> retired. Guarantees that `Begin` returns kRun
// at most once for each id, and never after kNotRun was reported for the id.
// The owner manages the callers that wait for a running operation.
//
// Not thread-safe. `now` must not decrease from call to call.
class OperationTable {
 public:
  // `key` signs the ids: at least 16 random bytes, generated at process start.
  // `instance` consists of letters, digits, '-', '_' and '.'. `incarnation` is
  // positive.
  OperationTable(std::string instance,
                 Incarnation incarnation,
                 std::string key,
                 const OperationLimits& limits = {});

  // Returns a new operation id. A full table evicts its oldest issued or its
  // oldest ended operation, whichever kind is more numerous, so that neither a
  // flood of new ids nor a long history displaces the other. Errors:
  // kResourceExhausted if the table is full of running operations.
  Result<std::string> Issue(Time now);

  // Decides how to handle a call with the operation id `id`. `request_hash` is
  // a hash of the call's method, path and body.
  BeginResult Begin(std::string_view id, std::uint64_t request_hash, Time now);

  // Stores the answer of a running operation. Evicts the oldest answers while
  // `max_answer_bytes` is exceeded; their operations stay done and kCompleted.
  // Returns false, and changes nothing, if `id` is not running.
  bool Complete(std::string_view id, OperationAnswer answer, Time now);

  // Records that the answer of a running operation is lost. Returns false, and
  // changes nothing, if `id` is not running.
  bool CompleteUnknown(std::string_view id, Time now);

  // Retires an operation that has not begun. kNotRun means that it has not run
  // and never will; otherwise the result is what is known about it.
  Outcome Retire(std::string_view id, Time now);

  // Evicts operations that exceed their maximum age. The other methods with a
  // `now` parameter do so too, except `Complete` and `CompleteUnknown` if they
  // return false.
  void Expire(Time now);

  std::size_t size() const { return entries_.size(); }
  std::size_t running() const;
  std::size_t answer_bytes() const { return answer_bytes_; }

 private:
  enum class State { kIssued, kRunning, kDone, kRetired };
  using Sequences = std::list<std::int64_t>;

  struct Entry {
    State state = State::kIssued;
    Time since;  // When `state` was entered.
    std::uint64_t request_hash = 0;
    Outcome outcome = Outcome::kUnknown;
    std::optional<OperationAnswer> answer;
    Sequences::iterator position;  // In `issued_` or `ended_`; not if running.
  };

  // The result of looking up an id. `entry` is set for kKnown only.
  struct Lookup {
    enum class Kind { kKnown, kLost, kForged } kind = Kind::kForged;
    std::int64_t sequence = 0;
    Entry* entry = nullptr;
  };

  Lookup Find(std::string_view id);
  bool EvictIfFull();
  void Finish(const Lookup& found, State state, Outcome outcome, Time now);
  void EvictOldest(Sequences& sequences);
  void EvictAnswer(Entry& entry);
  void EnforceAnswerLimit();

  std::string instance_;
  Incarnation incarnation_;
  std::string key_;
  OperationLimits limits_;
  std::int64_t next_sequence_ = 1;
  std::size_t answer_bytes_ = 0;
  std::unordered_map<std::int64_t, Entry> entries_;
  Sequences issued_;   // Oldest first.
  Sequences ended_;    // Done and retired, oldest first.
  Sequences answers_;  // Operations with a stored answer, oldest first.
};

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_OPERATIONS_OPERATION_TABLE_H_
