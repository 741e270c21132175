#include "amaranthcove/suspects/suspect_table.h"

#include <algorithm>
#include <limits>
#include <set>

namespace amaranthcove {

SuspectClassification SuspectTable::Classify(Fingerprint fingerprint,
                                             Time now) {
  Expire(now);
  const auto found = entries_.find(fingerprint);
  if (found == entries_.end() || found->second.cleared) {
    return {SuspectDecision::kNormal, Duration::zero()};
  }
  if (!found->second.quarantined) {
    return {SuspectDecision::kRunAlone, Duration::zero()};
  }
  return {SuspectDecision::kRefused, found->second.expires - now};
}

std::vector<SuspectUpdate> SuspectTable::ReportCrash(
    std::span<const Fingerprint> batch,
    Time now) {
  Expire(now);
  const std::set<Fingerprint> distinct(batch.begin(), batch.end());
  std::vector<SuspectUpdate> updates;
  for (const Fingerprint fingerprint : distinct) {
    const auto found = entries_.find(fingerprint);
    Entry entry = found == entries_.end() ? Entry{} : found->second;
    const bool was_suspect = entry.crashes > 0 && !entry.cleared;
    const bool is_confirmed = was_suspect && batch.size() == 1;
    if (entry.crashes < std::numeric_limits<std::int32_t>::max()) {
      ++entry.crashes;
    }
    entry.cleared = false;
    // A crash of a larger batch is not sufficient evidence to extend a
    // quarantine.
    if (!entry.quarantined || is_confirmed) {
      entry.expires = now + limits_.max_age;
    }
    entry.quarantined = entry.quarantined || is_confirmed;
    Store(fingerprint, entry);
    updates.push_back(
        {fingerprint, entry.crashes, entry.quarantined, entry.expires - now});
  }
  return updates;
}

void SuspectTable::ReportCompleted(Fingerprint fingerprint, Time now) {
  Expire(now);
  const auto found = entries_.find(fingerprint);
  if (found != entries_.end() && !found->second.quarantined) {
    found->second.cleared = true;
  }
}

bool SuspectTable::Merge(const SuspectUpdate& update, Time now) {
  Expire(now);
  const Duration remaining = std::min(update.remaining, limits_.max_age);
  if (remaining < limits_.min_merged_remaining || update.crashes < 1) {
    return false;
  }
  const auto found = entries_.find(update.fingerprint);
  if (found == entries_.end() && !HasRoomFor(update)) {
    return false;
  }
  Entry entry = found == entries_.end() ? Entry{} : found->second;
  const bool more_crashes = update.crashes > entry.crashes;
  const bool new_quarantine = update.quarantined && !entry.quarantined;
  if (!more_crashes && !new_quarantine) {
    return false;
  }
  entry.cleared = false;
  entry.crashes = std::max(entry.crashes, update.crashes);
  // As with local crashes, only a quarantine extends a quarantine.
  if (!entry.quarantined || update.quarantined) {
    entry.expires = std::max(entry.expires, now + remaining);
  }
  entry.quarantined = entry.quarantined || update.quarantined;
  Store(update.fingerprint, entry);
  return true;
}

bool SuspectTable::HasRoomFor(const SuspectUpdate& update) const {
  return entries_.size() < limits_.max_entries ||
         (update.quarantined && !others_.empty());
}

void SuspectTable::Expire(Time now) {
  for (ExpiryOrder* const order : {&quarantined_, &others_}) {
    while (!order->empty() && order->begin()->first <= now) {
      DropFirst(*order);
    }
  }
}

void SuspectTable::DropFirst(ExpiryOrder& order) {
  entries_.erase(order.begin()->second);
  order.erase(order.begin());
}

void SuspectTable::Store(Fingerprint fingerprint, const Entry& entry) {
  Remove(fingerprint);
  if (entries_.size() >= limits_.max_entries) {
    DropFirst(others_.empty() ? quarantined_ : others_);
  }
  Entry& stored = entries_.emplace(fingerprint, entry).first->second;
  stored.position = OrderOf(entry).emplace(entry.expires, fingerprint);
}

void SuspectTable::Remove(Fingerprint fingerprint) {
  const auto found = entries_.find(fingerprint);
  if (found == entries_.end()) {
    return;
  }
  OrderOf(found->second).erase(found->second.position);
  entries_.erase(found);
}

SuspectTable::ExpiryOrder& SuspectTable::OrderOf(const Entry& entry) {
  return entry.quarantined ? quarantined_ : others_;
}

}  // namespace amaranthcove
