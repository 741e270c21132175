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
  // Updates with a shorter remaining lifetime are ignored. Their entries would
  // expire while copies of the updates are still in the network, so the copies
  // would look new and circulate forever.
  Duration min_merged_remaining = std::chrono::seconds(10);
};

enum class SuspectDecision {
  kNormal,    // The request is not a suspect.
  kRunAlone,  // A suspect. No other request may run at the same time.
  kRefused    // The request is quarantined.
};

struct SuspectClassification {
  SuspectDecision decision = SuspectDecision::kNormal;
  Duration remaining{};  // Time until the quarantine ends; 0 unless kRefused.
};

// The state of a fingerprint, as sent to peers.
struct SuspectUpdate {
  Fingerprint fingerprint = 0;
  std::int32_t crashes = 0;
  bool quarantined = false;
  // Time until the entry expires. A time span, because processes have no common
  // clock.
  Duration remaining{};
};

// Requests that were in a batch when a backend server crashed. Every process
// has its own table. Processes exchange updates, which may arrive in any order.
//
// Not thread-safe. Precondition: `now` does not decrease between calls.
class SuspectTable {
 public:
  explicit SuspectTable(const SuspectLimits& limits = {}) : limits_(limits) {}

  // Decides how a request may run.
  SuspectClassification Classify(Fingerprint fingerprint, Time now);

  // Records the crash of a backend server. `batch` contains a fingerprint for
  // each request that was running on it. A request is quarantined only if it
  // was already a suspect and was the only request of the batch. Otherwise all
  // requests become suspects. A single crash is not sufficient evidence,
  // because engines also restart for other reasons. Returns the updates for the
  // peers, one for each distinct fingerprint. If the table is full, the entries
  // that expire first are removed, and quarantines only after all other
  // entries.
  std::vector<SuspectUpdate> ReportCrash(std::span<const Fingerprint> batch,
                                         Time now);

  // Clears a suspect after its request has completed. A quarantine is kept,
  // because the request may have started before the crash that caused it. There
  // is no update for peers; each peer clears its own table after the suspect
  // has run alone once.
  void ReportCompleted(Fingerprint fingerprint, Time now);

  // Merges an update from a peer. Returns true if it changed the table, in
  // which case the caller should forward the update to the other peers. Returns
  // false for a repeated update, so that updates stop circulating.
  bool Merge(const SuspectUpdate& update, Time now);

  std::size_t size() const { return entries_.size(); }

 private:
  // Fingerprints in the order of expiry, then of insertion.
  using ExpiryOrder = std::multimap<Time, Fingerprint>;

  struct Entry {
    std::int32_t crashes = 0;
    bool quarantined = false;
    // The suspect was cleared. The entry is kept so that late updates about the
    // same crashes do not make the request a suspect again.
    bool cleared = false;
    Time expires;
    ExpiryOrder::iterator position;
  };

  // Returns whether an update for a new fingerprint may be added. In a full
  // table it may only replace a suspect by a quarantine. Otherwise it would
  // remove an entry that peers still have; both updates would then look new
  // again and circulate forever.
  bool HasRoomFor(const SuspectUpdate& update) const;
  void Expire(Time now);
  void DropFirst(ExpiryOrder& order);
  // Adds or replaces an entry. If the table is full, first removes the suspect
  // that expires first, or a quarantine if there are no suspects. Quarantines
  // are kept longer because losing one causes further crashes.
  void Store(Fingerprint fingerprint, const Entry& entry);
  void Remove(Fingerprint fingerprint);
  ExpiryOrder& OrderOf(const Entry& entry);

  SuspectLimits limits_;
  std::unordered_map<Fingerprint, Entry> entries_;
  ExpiryOrder quarantined_;
  ExpiryOrder others_;
};

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_SUSPECTS_SUSPECT_TABLE_H_
