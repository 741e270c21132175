#include "testing/policy_bench/replay.h"

#include <algorithm>
#include <string>

#include "amaranthcove/base/hash.h"
#include "amaranthcove/policy/admission.h"

namespace amaranthcove::policy_bench {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kQueueLimit = 256;
constexpr std::size_t kStoreQueueLimit = 64;
constexpr Duration kStoreInterval = std::chrono::microseconds(333333);
constexpr Duration kBaseLoadTime = milliseconds(250);

void Append(std::vector<double>& to, const std::vector<double>& from) {
  to.insert(to.end(), from.begin(), from.end());
}

}  // namespace

void Metrics::Add(const Metrics& other) {
  Append(urgent_stalls, other.urgent_stalls);
  Append(patient_stalls, other.patient_stalls);
  Append(urgent_waits, other.urgent_waits);
  steady_stall += other.steady_stall;
  after_stall += other.after_stall;
  loads += other.loads;
  refused_loads += other.refused_loads;
  peak_loads_10s = std::max(peak_loads_10s, other.peak_loads_10s);
  steady_peak_10s = std::max(steady_peak_10s, other.steady_peak_10s);
  seconds += other.seconds;
  used_place_s += other.used_place_s;
  active_place_s += other.active_place_s;
  total_place_s += other.total_place_s;
  useful_place_s += other.useful_place_s;
  refused += other.refused;
  expired += other.expired;
  missed += other.missed;
}

Replay::Replay(const Scenario& scenario,
               const Trace& trace,
               const PolicyTable& policy,
               std::uint64_t seed)
    : scenario_(scenario),
      trace_(trace),
      policy_(policy),
      stalls_(trace.requests.size()),
      stall_since_(trace.requests.size()),
      start_times_(trace.requests.size()),
      load_start_times_(std::size_t{scenario.engines} * scenario.slots),
      random_{seed} {
  const Time start = trace.requests.front().arrival;
  now_ = start;
  end_ = start + std::chrono::duration_cast<Duration>(
                     std::chrono::duration<double>(scenario.length_s));
  policy::LoadBudgetSettings budget;
  budget.engines = scenario.engines;
  engines_.resize(scenario.engines);
  for (std::size_t e = 0; e < scenario.engines; ++e) {
    servers_.push_back({.name_hash = Hash64("engine-" + std::to_string(e))});
    engines_[e].slots.resize(scenario.slots);
    engines_[e].last_used.resize(scenario.slots);
    engines_[e].budget.emplace(budget, start, random_);
    engines_[e].place_s_counted_until = start;
  }
  entries_.resize(scenario.entries);
  for (Entry& entry : entries_) {
    entry.reports.resize(scenario.engines);
    entry.replicas.assign(scenario.adapters, 1);
    entry.random = {random_.Next()};
  }
  keys_.reserve(scenario.adapters);
  for (std::uint32_t i = 0; i < scenario.adapters; ++i) {
    keys_.emplace_back(AdapterKeyOf(i), i);
  }
  std::sort(keys_.begin(), keys_.end());
}

std::uint32_t Replay::AdapterIndex(policy::AdapterKey key) const {
  return std::lower_bound(keys_.begin(), keys_.end(),
                          std::pair(key, std::uint32_t{0}))
      ->second;
}

void Replay::Schedule(Time at,
                      EventKind kind,
                      std::size_t engine,
                      std::size_t index,
                      std::size_t slot) {
  events_.push({at, next_event_number_++, kind, engine, index, slot});
}

Metrics Replay::Run() {
  for (std::size_t i = 0; i < trace_.requests.size(); ++i) {
    Schedule(trace_.requests[i].arrival, EventKind::kArrival, 0, i);
  }
  while (!events_.empty()) {
    const Event event = events_.top();
    events_.pop();
    now_ = event.at;
    Handle(event);
  }
  const Time shift =
      end_ - std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
                 scenario_.length_s - scenario_.shift_at_s));
  for (std::size_t i = 0; i < trace_.requests.size(); ++i) {
    const TraceRequest& request = trace_.requests[i];
    const double stall = ToSeconds(stalls_[i]);
    if (!request.urgent) {
      metrics_.patient_stalls.push_back(stall);
      continue;
    }
    metrics_.urgent_stalls.push_back(stall);
    if (start_times_[i]) {
      metrics_.urgent_waits.push_back(
          ToSeconds(*start_times_[i] - request.arrival));
    }
    const Duration after = request.arrival - shift;
    if (after >= seconds(-120) && after < seconds(0)) {
      metrics_.steady_stall += stall;
    } else if (after >= seconds(60) && after < seconds(180)) {
      metrics_.after_stall += stall;
    }
  }
  for (std::size_t i = 0, first = 0; i < load_request_times_.size(); ++i) {
    while (load_request_times_[i] - load_request_times_[first] > seconds(10)) {
      ++first;
    }
    const auto count = static_cast<double>(i - first + 1);
    metrics_.peak_loads_10s = std::max(metrics_.peak_loads_10s, count);
    if (load_request_times_[first] - trace_.requests.front().arrival >
        seconds(120)) {
      metrics_.steady_peak_10s = std::max(metrics_.steady_peak_10s, count);
    }
  }
  metrics_.seconds = scenario_.length_s;
  metrics_.total_place_s =
      scenario_.length_s * scenario_.engines * scenario_.places;
  return std::move(metrics_);
}

void Replay::Handle(const Event& event) {
  switch (event.kind) {
    case EventKind::kArrival:
      OnArrival(event.index);
      break;
    case EventKind::kFinish:
      OnFinish(event);
      break;
    case EventKind::kLoaded:
      OnLoadEnd(event);
      break;
    case EventKind::kWake:
      if (engines_[event.engine].wake_at == event.at) {
        engines_[event.engine].wake_at = Time::max();
        RunSteps(event.engine);
      }
      break;
  }
}

// Adds the place-seconds since the last call, up to the end of the trace.
void Replay::UpdatePlaceSeconds(Engine& engine) {
  const Time until = std::min(now_, end_);
  if (until > engine.place_s_counted_until) {
    const double span = ToSeconds(until - engine.place_s_counted_until);
    metrics_.used_place_s += span * engine.running;
    metrics_.active_place_s += engine.running > 0 ? span * scenario_.places : 0;
    engine.place_s_counted_until = until;
  }
}

Duration Replay::EstimatedWait(const Engine& engine, bool urgent) const {
  const auto ahead = static_cast<std::size_t>(std::count_if(
      engine.queue.begin(), engine.queue.end(),
      [&](const policy::WaitingRequest& r) { return !urgent || r.urgent; }));
  if (engine.running + ahead < scenario_.places) {
    return Duration(0);
  }
  // Mean service time. A full batch finishes a request every `mean_s / places`.
  const double mean_s =
      (scenario_.urgent_per_s * scenario_.urgent_service_s +
       scenario_.patient_per_s * scenario_.patient_service_s) /
      (scenario_.urgent_per_s + scenario_.patient_per_s);
  const double completions_needed =
      static_cast<double>(engine.running + ahead + 1) -
      static_cast<double>(scenario_.places);
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
      completions_needed * mean_s / scenario_.places));
}

void Replay::OnArrival(std::size_t index) {
  const TraceRequest& request = trace_.requests[index];
  const policy::AdapterKey key = AdapterKeyOf(request.adapter);
  const std::size_t e = policy_.choose(*this, index);
  Entry& entry = entries_[request.entry];
  ++entry.reports[e].unreported;
  Engine& engine = engines_[e];
  if (policy::Admit(engine.queue.size(), kQueueLimit,
                    EstimatedWait(engine, request.urgent),
                    request.deadline) != policy::Admission::kAdmit) {
    ++metrics_.refused;
    SendReport(e, request.entry);
    return;
  }
  engine.popularity.Record(
      key, now_, request.urgent ? scenario_.weights.urgent_record : 1.0);
  if (request.urgent) {
    engine.urgent_rate.Record(now_);
  }
  const bool resident = std::any_of(
      engine.slots.begin(), engine.slots.end(), [&](const policy::Slot& slot) {
        return slot.adapter == key && !slot.loading;
      });
  const bool known = std::any_of(
      engine.queue.begin(), engine.queue.end(),
      [&](const policy::WaitingRequest& r) { return r.adapter == key; });
  if (!resident) {
    stall_since_[index] = now_;
    if (!known) {
      engine.load_demand.Record(now_);
    }
  }
  if (policy_.shares_by_demand) {
    double total = 0;
    for (const Report& report : entry.reports) {
      total += report.load_demand;
    }
    const double own_demand = engine.load_demand.Rate(now_);
    policy::LoadBudgetSettings settings;
    settings.engines = scenario_.engines;
    engine.budget->SetShare(
        policy::DemandShare(own_demand, std::max(own_demand, total), settings),
        now_);
  }
  engine.queue.push_back({.adapter = key,
                          .arrival = now_,
                          .deadline = now_ + request.deadline,
                          .urgent = request.urgent});
  engine.queue_index.push_back(index);
  RunSteps(e);
}

void Replay::EndStall(std::size_t index) {
  if (stall_since_[index]) {
    stalls_[index] += now_ - *stall_since_[index];
    stall_since_[index].reset();
  }
}

void Replay::RemoveWaiting(Engine& engine, std::size_t at) {
  const auto offset = static_cast<std::ptrdiff_t>(at);
  engine.queue.erase(engine.queue.begin() + offset);
  engine.queue_index.erase(engine.queue_index.begin() + offset);
}

void Replay::RunSteps(std::size_t e) {
  Engine& engine = engines_[e];
  while (true) {
    const policy::Step step = policy_.next(*this, e);
    switch (step.kind) {
      case policy::StepKind::kStart:
        Start(e, step);
        break;
      case policy::StepKind::kLoad:
        Load(e, step);
        break;
      case policy::StepKind::kRefuse:
        EndStall(engine.queue_index[step.request]);
        ++metrics_.expired;
        RemoveWaiting(engine, step.request);
        break;
      case policy::StepKind::kHold:
        // A wake event at another time than `wake_at` is ignored.
        if (step.hold_until < engine.wake_at) {
          engine.wake_at = std::max(step.hold_until, now_ + milliseconds(1));
          Schedule(engine.wake_at, EventKind::kWake, e);
        }
        return;
    }
  }
}

void Replay::Start(std::size_t e, const policy::Step& step) {
  Engine& engine = engines_[e];
  UpdatePlaceSeconds(engine);
  const std::size_t index = engine.queue_index[step.request];
  start_times_[index] = now_;
  EndStall(index);
  RemoveWaiting(engine, step.request);
  ++engine.running;
  ++engine.slots[step.slot].pins;
  engine.last_used[step.slot] = now_;
  Schedule(now_ + trace_.requests[index].service, EventKind::kFinish, e, index,
           step.slot);
}

void Replay::OnFinish(const Event& event) {
  Engine& engine = engines_[event.engine];
  UpdatePlaceSeconds(engine);
  --engine.running;
  --engine.slots[event.slot].pins;
  engine.last_used[event.slot] = now_;
  const TraceRequest& request = trace_.requests[event.index];
  if (now_ > request.arrival + request.deadline) {
    ++metrics_.missed;
  } else if (now_ <= end_) {
    metrics_.useful_place_s += ToSeconds(request.service);
  }
  SendReport(event.engine, request.entry);
  RunSteps(event.engine);
}

void Replay::SendReport(std::size_t e, std::uint32_t entry) {
  Engine& engine = engines_[e];
  Report& report = entries_[entry].reports[e];
  report.at = now_;
  report.load =
      engine.running + static_cast<std::uint32_t>(engine.queue.size());
  report.urgent_wait = EstimatedWait(engine, true);
  report.patient_wait = EstimatedWait(engine, false);
  report.load_wait =
      kBaseLoadTime + (engine.budget->NextLoad(true, now_) - now_);
  report.load_demand = engine.load_demand.Rate(now_);
  report.unreported = 0;
  report.resident.clear();
  for (const policy::Slot& slot : engine.slots) {
    if (slot.adapter != 0) {
      report.resident.push_back(slot.adapter);
    }
  }
}

// Requests a load from the weight store of section 1: 3 loads per second, 2 at
// once, 64 queued, 0.25 s each and proportionally longer beyond 16 in flight.
// Returns the end of the load, or nothing if the store refuses it.
std::optional<Time> Replay::StartStoreLoad() {
  std::erase_if(load_ends_, [this](Time end) { return end <= now_; });
  const Time earliest = store_free_at_ - kStoreInterval;
  const Time start = std::max(now_, earliest);
  if ((start - now_) / kStoreInterval >=
      static_cast<std::int64_t>(kStoreQueueLimit)) {
    return std::nullopt;
  }
  store_free_at_ = std::max(store_free_at_, now_) + kStoreInterval;
  const auto started = static_cast<double>(std::count_if(
      load_ends_.begin(), load_ends_.end(),
      [&](Time end) { return end - kBaseLoadTime <= start && end > start; }));
  const double slowdown = std::max(1.0, (started + 1) / 16);
  const Time end =
      start +
      std::chrono::duration_cast<Duration>(
          std::chrono::duration<double>(ToSeconds(kBaseLoadTime) * slowdown));
  load_ends_.push_back(end);
  return end;
}

void Replay::Load(std::size_t e, const policy::Step& step) {
  Engine& engine = engines_[e];
  ++metrics_.loads;
  load_request_times_.push_back(now_);
  if (policy_.uses_budget) {
    engine.budget->Take(step.urgent, now_);
  }
  const std::optional<Time> end = StartStoreLoad();
  if (!end) {
    ++metrics_.refused_loads;
    engine.no_load_until = now_ + seconds(1);
    engine.budget->OnRefused(seconds(1), now_, random_);
    return;
  }
  policy::Slot& slot = engine.slots[step.slot];
  for (std::size_t i = 0; i < engine.queue.size(); ++i) {
    if (slot.adapter != 0 && engine.queue[i].adapter == slot.adapter) {
      stall_since_[engine.queue_index[i]] = now_;
    }
  }
  slot.adapter = step.adapter;
  slot.loading = true;
  load_start_times_[e * scenario_.slots + step.slot] = now_;
  Schedule(*end, EventKind::kLoaded, e, 0, step.slot);
}

void Replay::OnLoadEnd(const Event& event) {
  Engine& engine = engines_[event.engine];
  policy::Slot& slot = engine.slots[event.slot];
  slot.loading = false;
  engine.last_used[event.slot] = now_;
  const Time started =
      load_start_times_[event.engine * scenario_.slots + event.slot];
  engine.budget->OnLoaded(now_ - started, now_);
  for (std::size_t i = 0; i < engine.queue.size(); ++i) {
    if (engine.queue[i].adapter == slot.adapter) {
      EndStall(engine.queue_index[i]);
    }
  }
  RunSteps(event.engine);
}

}  // namespace amaranthcove::policy_bench
