#ifndef AMARANTHCOVE_RETRY_BUDGET_RETRY_BUDGET_H_
#define AMARANTHCOVE_RETRY_BUDGET_RETRY_BUDGET_H_

#include <cstddef>
#include <cstdint>
#include <deque>

#include "amaranthcove/base/time.h"

namespace amaranthcove {

// Limits on the retries for one service, over all instances together.
struct RetryBudgetLimits {
  double ratio = 0.1;  // Retries per request in the window.
  double extra = 20;   // Retries per window in addition to the ratio.
  Duration window = std::chrono::seconds(10);
};

// The share of one instance in the retry budget of one service.
//
// The instances share no counter. Each one may spend the ratio of its own
// requests and an equal part of the extra, so the total stays within the limits
// however the requests are distributed. Only three quarters of that are spent,
// because the instances may briefly disagree about their number. The part of
// the extra has a minimum, with which the total may exceed the limits in a
// large deployment.
//
// Thread safety: none.
class RetryBudget {
 public:
  explicit RetryBudget(const RetryBudgetLimits& limits) : limits_(limits) {}

  // Counts a request of a caller.
  void AddRequest(Time now);

  // Returns whether a retry is within the share of this instance, one of
  // `instances`, and counts the retry if so. Precondition: `instances` is
  // positive.
  bool TrySpend(std::size_t instances, Time now);

 private:
  // Counts for a fraction of the window. The memory for them does not grow with
  // the load.
  struct Span {
    std::int64_t index = 0;
    int requests = 0;
    int retries = 0;
  };

  Span& Current(Time now);

  RetryBudgetLimits limits_;
  std::deque<Span> spans_;
};

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_RETRY_BUDGET_RETRY_BUDGET_H_
