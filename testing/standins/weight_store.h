#ifndef AMARANTHCOVE_TESTING_STANDINS_WEIGHT_STORE_H_
#define AMARANTHCOVE_TESTING_STANDINS_WEIGHT_STORE_H_

#include <cstdint>
#include <deque>
#include <memory>

#include "amaranthcove/base/time.h"
#include "amaranthcove/net/event_loop.h"
#include "testing/standins/http_util.h"
#include "testing/standins/standin.h"

namespace amaranthcove::standins {

struct WeightStoreSettings {
  double loads_per_s = 3.0;  // Refill of the token bucket.
  double burst = 2.0;        // Size of the token bucket.
  // Number of concurrent loads that run at full speed. With more, the loads
  // share the total throughput of this many.
  int full_speed_loads = 2;
  Duration load_time = std::chrono::milliseconds(250);
  // Number of requests in flight (waiting and running) up to which loads run at
  // full speed. Above it, load times grow in proportion.
  int in_flight_at_full_speed = 16;
  // Maximum number of waiting requests; further ones are answered with 429.
  int queue_limit = 64;
};

// Simulates the weight store described in section 10.3 of docs/design.md, which
// serves GET /v1/weights/TEAM/ADAPTER/VERSION. POST /_control with
// {"fail_next":N} makes the next N loads fail with 500 after their load time.
// GET /_stats returns counters.
//
// Thread safety: not thread-safe; all calls must be made on the loop's thread.
class WeightStore final : public StandIn {
 public:
  // Preconditions: `loop` outlives the store; `loads_per_s` is above 0.
  WeightStore(EventLoop& loop, const WeightStoreSettings& settings);
  ~WeightStore() override;
  WeightStore(const WeightStore&) = delete;
  WeightStore& operator=(const WeightStore&) = delete;

  void Handle(HttpRequest request,
              std::unique_ptr<HttpResponder> responder) override;

 private:
  struct Load {
    std::string path;
    std::unique_ptr<HttpResponder> responder;
  };

  void Enqueue(Load load);
  void StartReadyLoads();
  void RefillTokens(Time now);
  Duration LoadTime() const;
  void StartLoad(Load load, Time now);
  void FinishLoad(Load& load);
  void CountStart(Time now);
  Json Stats() const;

  EventLoop& loop_;
  const WeightStoreSettings settings_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  double tokens_;
  Time refilled_at_;
  TimerId refill_timer_ = 0;
  std::deque<Load> queue_;
  int running_loads_ = 0;
  std::deque<Time> starts_in_last_second_;
  std::int64_t fail_next_ = 0;
  std::int64_t loads_ = 0;
  std::int64_t failures_ = 0;
  std::int64_t rejections_ = 0;
  std::size_t max_in_flight_ = 0;
  std::size_t peak_loads_in_one_second_ = 0;
};

}  // namespace amaranthcove::standins

#endif  // AMARANTHCOVE_TESTING_STANDINS_WEIGHT_STORE_H_
