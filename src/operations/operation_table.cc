#include "amaranthcove/operations/operation_table.h"

#include <utility>

#include <openssl/crypto.h>

namespace amaranthcove {

namespace {

std::size_t StoredBytes(const OperationAnswer& answer) {
  return answer.content_type.size() + answer.body.size();
}

}  // namespace

OperationTable::OperationTable(std::string instance,
                               Incarnation incarnation,
                               std::string key,
                               const OperationLimits& limits)
    : instance_(std::move(instance)),
      incarnation_(incarnation),
      key_(std::move(key)),
      limits_(limits) {}

Result<std::string> OperationTable::Issue(Time now) {
  Expire(now);
  if (!EvictIfFull()) {
    return MakeError(ErrorCode::kResourceExhausted,
                     "all " + std::to_string(entries_.size()) +
                         " operations of the table are running");
  }
  OperationId id{instance_, incarnation_, next_sequence_++, ""};
  id.tag = OperationTag(id, key_);
  Entry& entry = entries_[id.sequence];
  entry.since = now;
  entry.position = issued_.insert(issued_.end(), id.sequence);
  return FormatOperationId(id);
}

BeginResult OperationTable::Begin(std::string_view id,
                                  std::uint64_t request_hash,
                                  Time now) {
  Expire(now);
  const Lookup found = Find(id);
  if (found.kind == Lookup::Kind::kForged) {
    return {BeginDecision::kForged, Outcome::kNotRun, std::nullopt};
  }
  if (found.kind == Lookup::Kind::kLost) {
    return {BeginDecision::kLost, Outcome::kUnknown, std::nullopt};
  }
  Entry& entry = *found.entry;
  if (entry.state == State::kRetired) {
    return {BeginDecision::kRetired, Outcome::kNotRun, std::nullopt};
  }
  if (entry.state == State::kIssued) {
    issued_.erase(entry.position);
    entry.state = State::kRunning;
    entry.since = now;
    entry.request_hash = request_hash;
    return {BeginDecision::kRun, Outcome::kUnknown, std::nullopt};
  }
  if (entry.request_hash != request_hash) {
    return {BeginDecision::kMismatch, entry.outcome, std::nullopt};
  }
  if (entry.state == State::kRunning) {
    return {BeginDecision::kRunning, Outcome::kUnknown, std::nullopt};
  }
  return {BeginDecision::kDone, entry.outcome, entry.answer};
}

bool OperationTable::Complete(std::string_view id,
                              OperationAnswer answer,
                              Time now) {
  const Lookup found = Find(id);
  if (found.entry == nullptr || found.entry->state != State::kRunning) {
    return false;
  }
  answer_bytes_ += StoredBytes(answer);
  found.entry->answer = std::move(answer);
  answers_.push_back(found.sequence);
  Finish(found, State::kDone, Outcome::kCompleted, now);
  EnforceAnswerLimit();
  Expire(now);
  return true;
}

bool OperationTable::CompleteUnknown(std::string_view id, Time now) {
  const Lookup found = Find(id);
  if (found.entry == nullptr || found.entry->state != State::kRunning) {
    return false;
  }
  Finish(found, State::kDone, Outcome::kUnknown, now);
  Expire(now);
  return true;
}

Outcome OperationTable::Retire(std::string_view id, Time now) {
  Expire(now);
  const Lookup found = Find(id);
  if (found.kind != Lookup::Kind::kKnown) {
    return found.kind == Lookup::Kind::kForged ? Outcome::kNotRun
                                               : Outcome::kUnknown;
  }
  if (found.entry->state == State::kIssued) {
    issued_.erase(found.entry->position);
    Finish(found, State::kRetired, Outcome::kNotRun, now);
  }
  return found.entry->outcome;
}

void OperationTable::Expire(Time now) {
  while (!issued_.empty() &&
         now - entries_.at(issued_.front()).since > limits_.max_issued_age) {
    EvictOldest(issued_);
  }
  while (!ended_.empty() &&
         now - entries_.at(ended_.front()).since > limits_.max_ended_age) {
    EvictOldest(ended_);
  }
}

std::size_t OperationTable::running() const {
  return entries_.size() - issued_.size() - ended_.size();
}

// An id that names another instance or incarnation cannot be verified here. It
// counts as lost, because the sidecar that issued it may have run it.
OperationTable::Lookup OperationTable::Find(std::string_view id) {
  const Result<OperationId> parsed = ParseOperationId(id);
  if (!parsed) {
    return {Lookup::Kind::kForged, 0, nullptr};
  }
  if (parsed->instance != instance_ || parsed->incarnation != incarnation_) {
    return {Lookup::Kind::kLost, 0, nullptr};
  }
  const std::string tag = OperationTag(*parsed, key_);
  // Parsing ensures that both tags have the same length.
  if (CRYPTO_memcmp(tag.data(), parsed->tag.data(), tag.size()) != 0) {
    return {Lookup::Kind::kForged, 0, nullptr};
  }
  const auto entry = entries_.find(parsed->sequence);
  if (entry == entries_.end()) {
    return {Lookup::Kind::kLost, parsed->sequence, nullptr};
  }
  return {Lookup::Kind::kKnown, parsed->sequence, &entry->second};
}

bool OperationTable::EvictIfFull() {
  if (entries_.size() < limits_.max_entries) {
    return true;
  }
  Sequences& candidates = issued_.size() >= ended_.size() ? issued_ : ended_;
  if (candidates.empty()) {
    return false;
  }
  EvictOldest(candidates);
  return true;
}

void OperationTable::Finish(const Lookup& found,
                            State state,
                            Outcome outcome,
                            Time now) {
  Entry& entry = *found.entry;
  entry.state = state;
  entry.since = now;
  entry.outcome = outcome;
  entry.position = ended_.insert(ended_.end(), found.sequence);
}

void OperationTable::EvictOldest(Sequences& sequences) {
  const std::int64_t sequence = sequences.front();
  sequences.pop_front();
  Entry& entry = entries_.at(sequence);
  if (entry.answer) {
    // Answers are stored in the order in which operations end, so this one is
    // the oldest.
    answers_.pop_front();
    EvictAnswer(entry);
  }
  entries_.erase(sequence);
}

void OperationTable::EvictAnswer(Entry& entry) {
  answer_bytes_ -= StoredBytes(*entry.answer);
  entry.answer.reset();
}

void OperationTable::EnforceAnswerLimit() {
  while (answer_bytes_ > limits_.max_answer_bytes) {
    Entry& entry = entries_.at(answers_.front());
    answers_.pop_front();
    EvictAnswer(entry);
  }
}

}  // namespace amaranthcove
