#include "amaranthcove/attempts/attempt_ledger.h"

#include <algorithm>
#include <iterator>
#include <limits>

namespace amaranthcove {

namespace {

std::int64_t NextNumber(std::int64_t number) {
  return number == std::numeric_limits<std::int64_t>::max() ? number
                                                            : number + 1;
}

}  // namespace

AttemptLedger::AttemptLedger(const AttemptLimits& limits) : limits_(limits) {}

AdmitResult AttemptLedger::Admit(const AttemptId& id,
                                 std::int64_t low_water_mark,
                                 Time now) {
  Advance(now);
  Entry* const entry = FindOrAdd(id);
  if (entry == nullptr) {
    return {AdmitDecision::kRefused, Outcome::kUnknown};
  }
  RaiseMark(*entry, low_water_mark);
  if (entry->live.count(id.number) != 0) {
    return {AdmitDecision::kDuplicate, Outcome::kUnknown};
  }
  const auto ended = entry->ended.find(id.number);
  if (ended != entry->ended.end()) {
    const bool ran = ended->second != Outcome::kNotRun;
    return {ran ? AdmitDecision::kDuplicate : AdmitDecision::kRefused,
            ended->second};
  }
  if (id.number < entry->low_water_mark) {
    return {AdmitDecision::kRefused, Outcome::kUnknown};
  }
  if (!MakeRoom(*entry)) {
    return {AdmitDecision::kRefused, RecordNotRun(*entry, id.number)};
  }
  entry->live.emplace(id.number, LiveState::kQueued);
  ++records_;
  ++live_;
  return {AdmitDecision::kNew, Outcome::kUnknown};
}

bool AttemptLedger::MarkRunning(const AttemptId& id) {
  Entry* const entry = Find(id);
  if (entry == nullptr) {
    return false;
  }
  const auto live = entry->live.find(id.number);
  if (live == entry->live.end() || live->second != LiveState::kQueued) {
    return false;
  }
  live->second = LiveState::kRunning;
  return true;
}

Outcome AttemptLedger::Refuse(const AttemptId& id, Time now) {
  Advance(now);
  Entry* const entry = FindOrAdd(id);
  if (entry == nullptr) {
    return Outcome::kUnknown;
  }
  const auto live = entry->live.find(id.number);
  if (live != entry->live.end()) {
    if (live->second == LiveState::kRunning) {
      return Outcome::kUnknown;
    }
    entry->live.erase(live);
    --live_;
    --records_;
    return RecordNotRun(*entry, id.number);
  }
  const auto ended = entry->ended.find(id.number);
  if (ended != entry->ended.end()) {
    return ended->second;
  }
  if (id.number < entry->low_water_mark) {
    return Outcome::kUnknown;
  }
  return RecordNotRun(*entry, id.number);
}

Outcome AttemptLedger::Cancel(const AttemptId& id, Time now) {
  return Refuse(id, now);
}

bool AttemptLedger::Finish(const AttemptId& id, Outcome outcome, Time now) {
  Advance(now);
  Entry* const entry = Find(id);
  if (entry == nullptr) {
    return false;
  }
  const auto live = entry->live.find(id.number);
  if (live == entry->live.end() || live->second != LiveState::kRunning) {
    return false;
  }
  Touch(*entry);
  entry->live.erase(live);
  --live_;
  if (id.number < entry->low_water_mark) {
    --records_;
  } else {
    entry->ended.emplace(id.number, outcome);
  }
  return true;
}

void AttemptLedger::Expire(Time now) {
  Advance(now);
}

// Adds to the active time and drops idle entry incarnations.
void AttemptLedger::Advance(Time now) {
  if (started_) {
    active_time_ += std::min(now - last_now_, limits_.max_idle_step);
  }
  started_ = true;
  last_now_ = now;
  auto next = by_use_.begin();
  while (next != by_use_.end()) {
    const auto entry = entries_.find(*next);
    if (active_time_ - entry->second.last_use <= limits_.max_idle) {
      return;
    }
    if (!entry->second.live.empty()) {
      ++next;
      continue;
    }
    records_ -= entry->second.ended.size();
    entries_.erase(entry);
    next = by_use_.erase(next);
  }
}

AttemptLedger::Entry* AttemptLedger::Find(const AttemptId& id) {
  const auto found = entries_.find(Key(id.instance, id.incarnation));
  return found == entries_.end() ? nullptr : &found->second;
}

// Returns null if the maximum number of entry incarnations is reached. None is
// dropped for a new one, because late copies of its attempts would be admitted
// again.
AttemptLedger::Entry* AttemptLedger::FindOrAdd(const AttemptId& id) {
  Entry* found = Find(id);
  if (found == nullptr) {
    if (entries_.size() >= limits_.max_entries) {
      return nullptr;
    }
    const Key key(id.instance, id.incarnation);
    found = &entries_[key];
    found->position = by_use_.insert(by_use_.end(), key);
  }
  Touch(*found);
  return found;
}

void AttemptLedger::Touch(Entry& entry) {
  entry.last_use = active_time_;
  by_use_.splice(by_use_.end(), by_use_, entry.position);
}

void AttemptLedger::RaiseMark(Entry& entry, std::int64_t mark) {
  if (mark <= entry.low_water_mark) {
    return;
  }
  entry.low_water_mark = mark;
  const auto end = entry.ended.lower_bound(mark);
  records_ -= static_cast<std::size_t>(std::distance(entry.ended.begin(), end));
  entry.ended.erase(entry.ended.begin(), end);
}

bool AttemptLedger::HasRoom(const Entry& entry) const {
  return records_ < limits_.max_records &&
         entry.live.size() + entry.ended.size() < limits_.max_records_per_entry;
}

// Drops records of ended attempts until one more record fits: first of this
// entry incarnation if its own bound is reached, then of the least recently
// used ones. Returns whether there is room.
bool AttemptLedger::MakeRoom(Entry& entry) {
  const std::size_t own = entry.live.size() + entry.ended.size();
  if (own >= limits_.max_records_per_entry && !entry.ended.empty()) {
    DropOldestEnded(entry);
  }
  for (auto key = by_use_.begin();
       key != by_use_.end() && records_ >= limits_.max_records; ++key) {
    Entry& other = entries_.at(*key);
    if (!other.ended.empty()) {
      DropOldestEnded(other);
    }
  }
  return HasRoom(entry);
}

// Ensures that an attempt that has not run is refused from now on, either by a
// record or, if there is no room for one, by raising the mark. Returns kNotRun.
Outcome AttemptLedger::RecordNotRun(Entry& entry, std::int64_t number) {
  if (number < entry.low_water_mark) {
    return Outcome::kNotRun;
  }
  if (!MakeRoom(entry)) {
    RaiseMark(entry, NextNumber(number));
  } else if (number >= entry.low_water_mark) {
    entry.ended.emplace(number, Outcome::kNotRun);
    ++records_;
  }
  return Outcome::kNotRun;
}

void AttemptLedger::DropOldestEnded(Entry& entry) {
  RaiseMark(entry, NextNumber(entry.ended.begin()->first));
}

}  // namespace amaranthcove
