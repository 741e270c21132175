#include "testing/standins/weight_store.h"

#include <algorithm>
#include <utility>

namespace amaranthcove::standins {

namespace {

constexpr std::string_view kWeightsPath = "/v1/weights/";

}  // namespace

WeightStore::WeightStore(EventLoop& loop, const WeightStoreSettings& settings)
    : loop_(loop),
      settings_(settings),
      tokens_(settings.burst),
      refilled_at_(SteadyNow()) {}

WeightStore::~WeightStore() {
  loop_.Cancel(refill_timer_);
}

void WeightStore::Handle(HttpRequest request,
                         std::unique_ptr<HttpResponder> responder) {
  const Target target = ParseTarget(request.path);
  if (target.path == "/_stats") {
    SendJson(*responder, 200, Stats());
  } else if (target.path == "/_control") {
    const auto control = ParseObject(request.body);
    if (!control.has_value()) {
      SendError(*responder, 400, "bad_request", "the body is no JSON object");
      return;
    }
    fail_next_ = NumberAt(*control, "fail_next", fail_next_);
    SendJson(*responder, 200, Stats());
  } else if (request.method == "GET" && target.path.starts_with(kWeightsPath)) {
    Enqueue({target.path, std::move(responder)});
  } else {
    SendError(*responder, 404, "not_found", "no such path");
  }
}

void WeightStore::Enqueue(Load load) {
  if (queue_.size() >= static_cast<std::size_t>(settings_.queue_limit)) {
    ++rejections_;
    SendError(*load.responder, 429, "store_busy", "the queue is full",
              {{"retry-after", "5"}});
    return;
  }
  queue_.push_back(std::move(load));
  max_in_flight_ = std::max(
      max_in_flight_, queue_.size() + static_cast<std::size_t>(running_loads_));
  StartReadyLoads();
}

void WeightStore::StartReadyLoads() {
  const Time now = SteadyNow();
  RefillTokens(now);
  while (!queue_.empty() && tokens_ >= 1) {
    tokens_ -= 1;
    Load load = std::move(queue_.front());
    queue_.pop_front();
    StartLoad(std::move(load), now);
  }
  if (queue_.empty() || refill_timer_ != 0) {
    return;
  }
  const double wait_s = (1 - tokens_) / settings_.loads_per_s;
  const Duration wait(static_cast<std::int64_t>(wait_s * 1e6) + 1);
  refill_timer_ = loop_.RunAfter(wait, [this] {
    refill_timer_ = 0;
    StartReadyLoads();
  });
}

void WeightStore::RefillTokens(Time now) {
  const double gained = ToSeconds(now - refilled_at_) * settings_.loads_per_s;
  tokens_ = std::min(settings_.burst, tokens_ + gained);
  refilled_at_ = now;
}

Duration WeightStore::LoadTime() const {
  const double in_flight = static_cast<double>(queue_.size()) + running_loads_;
  const double congestion_factor =
      std::max(1.0, in_flight / settings_.in_flight_at_full_speed);
  const double sharing_factor = std::max(
      1.0, static_cast<double>(running_loads_) / settings_.full_speed_loads);
  return Duration(static_cast<std::int64_t>(
      static_cast<double>(settings_.load_time.count()) * congestion_factor *
      sharing_factor));
}

void WeightStore::StartLoad(Load load, Time now) {
  ++running_loads_;
  CountStart(now);
  auto shared = std::make_shared<Load>(std::move(load));
  loop_.RunAfter(LoadTime(), [this, shared, alive = std::weak_ptr(alive_)] {
    if (!alive.expired()) {
      FinishLoad(*shared);
    }
  });
}

void WeightStore::FinishLoad(Load& load) {
  --running_loads_;
  if (fail_next_ > 0) {
    --fail_next_;
    ++failures_;
    SendError(*load.responder, 500, "load_failed", "told to fail");
    return;
  }
  ++loads_;
  SendJson(*load.responder, 200,
           {{"weights", load.path.substr(kWeightsPath.size())}});
}

void WeightStore::CountStart(Time now) {
  starts_in_last_second_.push_back(now);
  while (starts_in_last_second_.front() <= now - std::chrono::seconds(1)) {
    starts_in_last_second_.pop_front();
  }
  peak_loads_in_one_second_ =
      std::max(peak_loads_in_one_second_, starts_in_last_second_.size());
}

Json WeightStore::Stats() const {
  return {
      {"loads", loads_},
      {"failures", failures_},
      {"rejections", rejections_},
      {"waiting", queue_.size()},
      {"in_flight", queue_.size() + static_cast<std::size_t>(running_loads_)},
      {"max_in_flight", max_in_flight_},
      {"peak_loads_in_one_second", peak_loads_in_one_second_}};
}

}  // namespace amaranthcove::standins
