#include "testing/policy_bench/even_load_replay.h"

#include <algorithm>
#include <deque>
#include <queue>
#include <random>
#include <vector>

#include "amaranthcove/backend_choice/backend_choice.h"
#include "amaranthcove/base/hash.h"

namespace amaranthcove::policy_bench {

namespace {

constexpr int kBatch = 24;
constexpr double kRequestMs = 500;  // At an engine of usual pace.
constexpr double kStepMs = 1;
constexpr double kSampleMs = 20;
constexpr double kReportDelayMs = 20;
constexpr double kRateAverageMs = 500;

// A request at an engine.
struct Request {
  std::size_t router = 0;
  double arrived_ms = 0;
};

struct Engine {
  double slowness = 1;
  std::deque<Request> waiting;
  // End and router of each running request, the earliest end first.
  std::priority_queue<std::pair<double, std::size_t>,
                      std::vector<std::pair<double, std::size_t>>,
                      std::greater<>>
      running;
  std::vector<int> of_router;  // Requests here.
  double arrivals_per_ms = 0;  // Moving average over all routers.
  // The last report.
  double reported_ms = 0;
  std::vector<int> reported_of_router;
  int reported = 0;
  double reported_per_ms = 0;

  int requests() const {
    return static_cast<int>(waiting.size() + running.size());
  }
};

class Fleet {
 public:
  explicit Fleet(const EvenLoadScenario& scenario)
      : scenario_(scenario), random_(scenario.seed) {
    pace_.request_ms = kRequestMs;
    for (int i = 0; i < scenario.engines; ++i) {
      Engine engine;
      engine.slowness = i % 4 == 3 ? scenario.slowness : 1;
      engine.of_router.resize(static_cast<std::size_t>(scenario.routers));
      engine.reported_of_router = engine.of_router;
      // The engines report at different moments.
      engine.reported_ms = -scenario.report_ms * unit_(random_);
      capacity_per_ms_ += kBatch / (kRequestMs * engine.slowness);
      engines_.push_back(std::move(engine));
    }
  }

  EvenLoadResult Run() {
    const double end_ms = scenario_.seconds * 1000;
    for (; now_ms_ < end_ms; now_ms_ += kStepMs) {
      const bool burst = now_ms_ > end_ms / 3 && now_ms_ < 2 * end_ms / 3;
      const double per_ms =
          capacity_per_ms_ * (burst ? scenario_.burst_load : scenario_.load);
      Step(std::poisson_distribution<int>(per_ms * kStepMs)(random_));
      if (now_ms_ >= kRequestMs && now_ms_ - sampled_ms_ >= kSampleMs) {
        Sample();
      }
    }
    return {ratio_sum_ / samples_, late_ / std::max(begun_, 1.0)};
  }

 private:
  void Step(int arrivals) {
    for (Engine& engine : engines_) {
      while (!engine.running.empty() && engine.running.top().first <= now_ms_) {
        --engine.of_router[engine.running.top().second];
        engine.running.pop();
      }
      StartWaiting(engine);
      engine.arrivals_per_ms *= 1 - kStepMs / kRateAverageMs;
      if (now_ms_ - engine.reported_ms >= scenario_.report_ms) {
        engine.reported_ms = now_ms_;
        engine.reported = engine.requests();
        engine.reported_of_router = engine.of_router;
        engine.reported_per_ms = engine.arrivals_per_ms;
      }
    }
    for (int i = 0; i < arrivals; ++i) {
      Place(random_() % static_cast<std::size_t>(scenario_.routers));
    }
  }

  void StartWaiting(Engine& engine) {
    while (!engine.waiting.empty() && engine.running.size() < kBatch) {
      const Request& request = engine.waiting.front();
      begun_ += 1;
      late_ += now_ms_ - request.arrived_ms > kRequestMs / 2 ? 1 : 0;
      engine.running.emplace(now_ms_ + kRequestMs * engine.slowness,
                             request.router);
      engine.waiting.pop_front();
    }
  }

  void Place(std::size_t router) {
    std::vector<EngineCandidate> candidates;
    for (const Engine& engine : engines_) {
      EngineCandidate candidate;
      candidate.place = AdapterPlace::kResident;
      candidate.batch_size = kBatch;
      candidate.slowness = engine.slowness;
      // A router knows its own requests without delay.
      candidate.requests = engine.reported - engine.reported_of_router[router] +
                           engine.of_router[router];
      candidate.running = std::min(*candidate.requests, kBatch);
      candidate.unread_prompt_tokens = 0;
      if (scenario_.expects_arrivals) {
        const double others = 1 - 1.0 / scenario_.routers;
        candidate.expected_arrivals =
            engine.reported_per_ms * others *
            (now_ms_ - engine.reported_ms + kReportDelayMs);
      }
      candidate.jitter = unit_(random_);
      candidates.push_back(candidate);
    }
    RequestGoal goal;
    goal.target_latency_ms = 800;
    Engine& chosen = engines_[*ChooseEngine(candidates, pace_, goal)];
    chosen.waiting.push_back({router, now_ms_});
    ++chosen.of_router[router];
    chosen.arrivals_per_ms += 1 / kRateAverageMs;
    StartWaiting(chosen);
  }

  void Sample() {
    sampled_ms_ = now_ms_;
    std::vector<double> loads;
    double sum = 0;
    for (const Engine& engine : engines_) {
      loads.push_back(engine.requests() * engine.slowness);
      sum += loads.back();
    }
    std::sort(loads.begin(), loads.end());
    const double mean = sum / static_cast<double>(loads.size());
    if (mean > 0) {
      ratio_sum_ += loads[loads.size() * 95 / 100] / mean;
      samples_ += 1;
    }
  }

  const EvenLoadScenario scenario_;
  std::mt19937_64 random_;
  std::uniform_real_distribution<double> unit_{0, 1};
  EnginePace pace_;
  std::vector<Engine> engines_;
  double capacity_per_ms_ = 0;
  double now_ms_ = 0;
  double sampled_ms_ = 0;
  double ratio_sum_ = 0;
  double samples_ = 0;
  double begun_ = 0;
  double late_ = 0;
};

}  // namespace

EvenLoadResult ReplayEvenLoad(const EvenLoadScenario& scenario) {
  return Fleet(scenario).Run();
}

}  // namespace amaranthcove::policy_bench
