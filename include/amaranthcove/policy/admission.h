#ifndef AMARANTHCOVE_POLICY_ADMISSION_H_
#define AMARANTHCOVE_POLICY_ADMISSION_H_

#include <cstddef>
#include <cstdint>

#include "amaranthcove/base/time.h"
#include "amaranthcove/policy/random.h"

namespace amaranthcove::policy {

enum class Admission : std::uint8_t {
  kAdmit,
  kQueueFull,      // The queue holds `queue_limit` requests.
  kDeadlineMissed  // The estimated wait exceeds the remaining deadline.
};

// Whether a sidecar takes a request into its queue.
Admission Admit(std::size_t queued,
                std::size_t queue_limit,
                Duration estimated_wait,
                Duration remaining_deadline);

struct RetryBudgetSettings {
  double ratio = 0.1;  // Retries for each first attempt.
  double burst = 3.0;
};

// Limits an entry's retries to a share of its first attempts plus a burst.
// Not thread-safe.
class RetryBudget {
 public:
  explicit RetryBudget(RetryBudgetSettings settings = {});

  void OnFirstAttempt();

  // Pays for one retry; false if there is none left.
  bool TakeRetry();

 private:
  RetryBudgetSettings settings_;
  double tokens_;
};

struct BackoffSettings {
  Duration base = std::chrono::milliseconds(20);
  Duration maximum = std::chrono::seconds(2);
};

// Pause before retry number `retry` (from 0): uniform between 0 and
// min(maximum, base * 2^retry).
Duration BackoffDelay(std::uint32_t retry,
                      const BackoffSettings& settings,
                      Random& random);

// Value of `Retry-After`: between 1 and 2 times `estimated_wait`, and between 1
// and 2 s if that is less than 1 s, so that rejected callers spread out.
Duration RetryAfter(Duration estimated_wait, Random& random);

}  // namespace amaranthcove::policy

#endif  // AMARANTHCOVE_POLICY_ADMISSION_H_
