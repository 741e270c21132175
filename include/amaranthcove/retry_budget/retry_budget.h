#ifndef AMARANTHCOVE_RETRY_BUDGET_RETRY_BUDGET_H_
#define AMARANTHCOVE_RETRY_BUDGET_RETRY_BUDGET_H_

#include <cstddef>
#include <cstdint>
#include <deque>

#include "amaranthcove/base/time.h"

namespace amaranthcove {

// What the whole deployment may send again, for one service.
struct RetryBudgetLimits {
  double ratio = 0.1;  // Of the requests of the window.
  double extra = 20;   // Beyond the ratio, over all instances.
  Duration window = std::chrono::seconds(10);
};

// The share of one instance in the retry budget of one service.
//
// Instances share no counter. Each spends the ratio of its own requests and an
// equal part of the extra, so that the sum keeps the limits however requests
// are divided. Only three quarters are spent, because instances may disagree
// about their number for a moment.
//
// Thread safety: none.
class RetryBudget {
 public:
  explicit RetryBudget(const RetryBudgetLimits& limits) : limits_(limits) {}

  // Counts a request of a caller.
  void AddRequest(Time now);

  // Whether another send is within the budget of one of `instances` instances;
  // counts it if so. Precondition: `instances` is positive.
  bool TrySpend(std::size_t instances, Time now);

 private:
  // Counts of equal spans, so that the memory does not grow with the load.
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
