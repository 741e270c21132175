#ifndef AMARANTHCOVE_BASE_OUTCOME_H_
#define AMARANTHCOVE_BASE_OUTCOME_H_

#include <string_view>

namespace amaranthcove {

// What is known about the execution of a request.
enum class Outcome {
  kNotRun,     // It did not run, and no delayed copy of it will run.
  kCompleted,  // It ran to completion.
  kUnknown     // It may have run.
};

// Returns the name used in answers and frames: "not_run", "completed" or
// "unknown". Thread-safe.
constexpr std::string_view OutcomeName(Outcome outcome) {
  switch (outcome) {
    case Outcome::kNotRun:
      return "not_run";
    case Outcome::kCompleted:
      return "completed";
    case Outcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_BASE_OUTCOME_H_
