#ifndef AMARANTHCOVE_SUSPECTS_SUSPECT_TABLE_H_
#define AMARANTHCOVE_SUSPECTS_SUSPECT_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <span>
#include <unordered_map>
#include <vector>

#include "amaranthcove/base/time.h"
#include "amaranthcove/suspects/fingerprint.h"

namespace amaranthcove {

struct SuspectLimits {
  std::size_t max_entries = 16384;
  Duration max_age = std::chrono::minutes(10);  // Since the last crash.
  // Updates that expire sooner are ignored. They would be forgotten before
  // their copies have left the network, and so circulate for ever.
  Duration min_merged_remaining = std::chrono::seconds(10);
};

enum class SuspectDecision {
  kNormal,    // Nothing is held against the request.
  kRunAlone,  // Suspect: nothing else may run on the engine meanwhile.
  kRefused    // Quarantined.
};

struct SuspectJudgement {
  SuspectDecision decision = SuspectDecision::kNormal;
  Duration remaining{};  // Until the quarantine ends; zero unless kRefused.
};

// What peers tell each other about one fingerprint.
struct SuspectUpdate {
  Fingerprint fingerprint = 0;
  std::int32_t crashes = 0;
  bool quarantined = false;
  Duration remaining{};  // Until it expires; a time span needs no common clock.
};

// Requests that were in a batch when a backend server crashed. Every process
// has its own table; updates spread suspicion and quarantine in any order of
// arrival.
// Not thread-safe. `now` must not decrease from call to call.
class SuspectTable {
 public:
  explicit SuspectTable(const SuspectLimits& limits = {}) : limits_(limits) {}

  SuspectJudgement Judge(Fingerprint fingerprint, Time now);

  // Records the crash of a backend server. `batch` has one fingerprint for each
  // request that was running on it. A request is quarantined only if it was a
  // suspect already and the whole batch; otherwise all become suspect. One
  // crash alone proves nothing, because engines also restart by themselves.
  // Returns the updates for the peers, one for each fingerprint. A full table
  // drops what expires first, quarantines last.
  std::vector<SuspectUpdate> ReportCrash(std::span<const Fingerprint> batch,
                                         Time now);

  // Clears a suspect that ran to its end. A quarantine stays, because the run
  // may have started before the crash that caused it. Peers are not told: each
  // clears its own table at the cost of one solo run.
  void ReportCompleted(Fingerprint fingerprint, Time now);

  // Adopts what a peer knows. Returns true if that was news, which should then
  // be passed on to the other peers; a repeated update is not, so that updates
  // stop circulating.
  bool Merge(const SuspectUpdate& update, Time now);

  std::size_t size() const { return entries_.size(); }

 private:
  // By expiry, and by arrival where that is equal.
  using Order = std::multimap<Time, Fingerprint>;

  struct Entry {
    std::int32_t crashes = 0;
    bool quarantined = false;
    // Kept after clearing, so that late updates about the same crashes do not
    // make it suspect again.
    bool cleared = false;
    Time expires;
    Order::iterator position;
  };

  bool HasRoomFor(const SuspectUpdate& update) const;
  void Expire(Time now);
  void DropFirst(Order& order);
  void Store(Fingerprint fingerprint, const Entry& entry);
  void Remove(Fingerprint fingerprint);
  Order& OrderOf(const Entry& entry);

  SuspectLimits limits_;
  std::unordered_map<Fingerprint, Entry> entries_;
  Order quarantined_;
  Order others_;
};

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_SUSPECTS_SUSPECT_TABLE_H_
