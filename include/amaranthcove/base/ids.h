#ifndef AMARANTHCOVE_BASE_IDS_H_
#define AMARANTHCOVE_BASE_IDS_H_

#include <compare>
#include <cstdint>
#include <string>

namespace amaranthcove {

// Identifies one run of a process by a random 63-bit number chosen at its
// start, so that a restarted process does not mistake ids of an earlier run for
// its own.
using Incarnation = std::int64_t;

// Returns a random incarnation, which is never 0. Thread-safe.
Incarnation NewIncarnation();

// Identifies one attempt of one request. An entry numbers its attempts from 1
// within its incarnation and never reuses a number.
struct AttemptId {
  std::string instance;  // The entry instance that made the attempt.
  Incarnation incarnation = 0;
  std::int64_t number = 0;

  auto operator<=>(const AttemptId&) const =
      default;  // NOLINT(modernize-use-nullptr)
};

// Returns "INSTANCE/INCARNATION/NUMBER", for logs and dumps. Thread-safe.
std::string FormatAttemptId(const AttemptId& id);

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_BASE_IDS_H_
