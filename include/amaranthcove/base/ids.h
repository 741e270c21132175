#ifndef AMARANTHCOVE_BASE_IDS_H_
#define AMARANTHCOVE_BASE_IDS_H_

#include <compare>
#include <cstdint>
#include <string>

namespace amaranthcove {

// Identifies one run of a process: 63 random bits drawn at its start, so a
// restarted process never takes the ids of its predecessor for its own.
using Incarnation = std::int64_t;

// Draws an incarnation from the system's random source; never 0. Thread-safe.
Incarnation NewIncarnation();

// Identifies one try of one request. An entry numbers its tries from 1 within
// its incarnation and never reuses a number.
struct AttemptId {
  std::string instance;  // The entry instance that made the try.
  Incarnation incarnation = 0;
  std::int64_t number = 0;

  auto operator<=>(const AttemptId&) const =
      default;  // NOLINT(modernize-use-nullptr)
};

// "INSTANCE/INCARNATION/NUMBER" for logs and dumps. Thread-safe.
std::string FormatAttemptId(const AttemptId& id);

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_BASE_IDS_H_
