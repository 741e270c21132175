#ifndef AMARANTHCOVE_POLICY_ADMISSION_H_
#define AMARANTHCOVE_POLICY_ADMISSION_H_

#include <cstddef>
#include <cstdint>

#include "amaranthcove/base/time.h"
#include "amaranthcove/policy/random.h"

namespace amaranthcove::policy {

// The decision on whether a request may be queued.
enum class Admission : std::uint8_t {
  kAdmit,
  kQueueFull,      // The queue contains `queue_limit` requests.
  kDeadlineMissed  // The estimated wait exceeds the remaining deadline.
};

// Decides whether a sidecar adds a request to its queue, which contains
// `queued` requests. Thread-safe.
Admission Admit(std::size_t queued,
                std::size_t queue_limit,
                Duration estimated_wait,
                Duration remaining_deadline);

struct RetryBudgetSettings {
  double ratio = 0.1;  // Tokens that each first attempt adds.
  double burst = 3.0;  // Maximum and initial number of tokens.
};

// Limits the retries of an entry to a fraction of its first attempts plus a
// burst. A retry costs one token. Not thread-safe.
class RetryBudget {
 public:
  explicit RetryBudget(RetryBudgetSettings settings = {});

  // Adds the tokens of a first attempt.
  void OnFirstAttempt();

  // Takes one token for a retry. Returns false if there is none left.
  bool TakeRetry();

 private:
  RetryBudgetSettings settings_;
  double tokens_;
};

struct BackoffSettings {
  Duration base = std::chrono::milliseconds(20);
  Duration maximum = std::chrono::seconds(2);
};

// Returns the delay before retry number `retry`, counted from 0. It is
// uniformly distributed between 0 and min(maximum, base * 2^retry). Thread-safe
// apart from `random`.
Duration BackoffDelay(std::uint32_t retry,
                      const BackoffSettings& settings,
                      Random& random);

// Returns the value of `Retry-After`: between 1 and 2 times `estimated_wait`,
// but at least between 1 and 2 s. It is random so that rejected callers do not
// retry at the same time. Thread-safe apart from `random`.
Duration RetryAfter(Duration estimated_wait, Random& random);

}  // namespace amaranthcove::policy

#endif  // AMARANTHCOVE_POLICY_ADMISSION_H_
