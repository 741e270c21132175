#ifndef AMARANTHCOVE_BASE_OUTCOME_H_
#define AMARANTHCOVE_BASE_OUTCOME_H_

#include <string_view>

namespace amaranthcove {

// What is known about the effect of a request.
enum class Outcome {
  kNotRun,     // It did not run, and no late copy of it will.
  kCompleted,  // It ran to its end.
  kUnknown     // It may have run.
};

// The name used in answers and frames: "not_run", "completed" or "unknown".
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
