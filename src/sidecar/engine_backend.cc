#include "amaranthcove/sidecar/engine_backend.h"

#include <algorithm>
#include <set>
#include <utility>

#include "amaranthcove/base/hash.h"
#include "amaranthcove/policy/admission.h"
#include "amaranthcove/wire/suspect_codec.h"

namespace amaranthcove {

namespace {

// Low bits of a fencing number, which count commands. The higher bits hold the
// start time of the sidecar in milliseconds.
constexpr int kFenceCounterBits = 20;

// Weight of the newest sample in the moving average of the run time.
constexpr double kServiceTimeWeight = 0.1;

// Delay before the queue is processed again after the engine refused a request.
constexpr Duration kStartRefusedPause = std::chrono::milliseconds(20);

constexpr Duration kUnreadyRetryAfter = std::chrono::seconds(1);

// The single key of `urgent_arrivals_`, which counts all adapters together.
constexpr policy::AdapterKey kAllAdapters = 1;

// Interval between removals of stale adapters from the popularity table.
constexpr Duration kCompactInterval = std::chrono::minutes(1);

constexpr int kHttpOk = 200;

// The error code of a generation whose request was never sent.
constexpr std::string_view kEngineUnreachable = "engine_unreachable";

std::int64_t InitialFence() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(now).count()
         << kFenceCounterBits;
}

policy::AdapterKey AdapterKeyOf(std::string_view model) {
  const policy::AdapterKey key = Hash64(model);
  return key == 0 ? 1 : key;
}

std::string_view ContentTypeOf(const wire::Submit& request) {
  return request.streamed ? "text/event-stream" : "application/json";
}

WorkResult ToWorkResult(const GenerationResult& result) {
  WorkResult end;
  switch (result.end) {
    case GenerationEnd::kComplete:
    case GenerationEnd::kRejected:
    case GenerationEnd::kNotRun:
      return end;
    case GenerationEnd::kDeadline:
      end = {"deadline_exceeded", "The deadline passed while it ran.",
             Outcome::kUnknown};
      return end;
    case GenerationEnd::kWrongAnswer:
      end = {"wrong_answer",
             "The engine answered with another model; nothing of that was "
             "passed on.",
             Outcome::kUnknown};
      return end;
    case GenerationEnd::kEngineRestart:
      end = {"engine_restarted", "The engine restarted while it ran.",
             Outcome::kUnknown};
      end.engine_crashed = true;
      return end;
    case GenerationEnd::kBroken:
      end = {"answer_broken", "The engine's answer broke off.",
             Outcome::kUnknown};
      return end;
  }
  return end;
}

}  // namespace

EngineBackend::EngineBackend(EventLoop& loop,
                             HttpClient& http,
                             WorkObserver& observer,
                             const EngineBackendSettings& settings,
                             Incarnation incarnation)
    : loop_(loop),
      observer_(observer),
      settings_(settings),
      incarnation_(incarnation),
      client_(loop, http, settings.engine, {}),
      fence_(InitialFence()),
      random_{static_cast<std::uint64_t>(incarnation)},
      load_budget_(settings.load_budget, SteadyNow(), random_) {}

EngineBackend::~EngineBackend() {
  loop_.Cancel(poll_timer_);
  loop_.Cancel(queue_timer_);
}

void EngineBackend::Start() {
  Poll();
}

void EngineBackend::Poll() {
  loop_.Cancel(std::exchange(poll_timer_, 0));
  if (const Time now = loop_.Now();
      now - last_compaction_ >= kCompactInterval) {
    last_compaction_ = now;
    popularity_.Compact(now);
  }
  if (!polling_) {
    polling_ = true;
    poll_started_ = loop_.Now();
    client_.FetchState(SteadyNow() + settings_.state_timeout,
                       [this](const Result<EngineState>& state) {
                         polling_ = false;
                         OnState(state);
                       });
  }
  poll_timer_ = loop_.RunAfter(reachable_ ? settings_.poll_interval
                                          : settings_.unreachable_poll_interval,
                               [this] {
                                 poll_timer_ = 0;
                                 Poll();
                               });
}

void EngineBackend::OnUnreachable() {
  if (reachable_) {
    reachable_ = false;
    unreachable_since_ = loop_.Now();
  }
  if (loop_.Now() - unreachable_since_ > settings_.unreachable_timeout) {
    RefuseAllQueued({"backend_not_ready", "The engine does not answer.",
                     kUnreadyRetryAfter});
  }
}

void EngineBackend::RefuseAllQueued(const WorkRefusal& refusal) {
  std::list<Queued> refused;
  refused.swap(queue_);
  for (const Queued& queued : refused) {
    Refuse(queued.work, refusal);
  }
}

void EngineBackend::OnState(const Result<EngineState>& state) {
  if (!state || state->base_model != settings_.base_model) {
    OnUnreachable();
    return;
  }
  reachable_ = true;
  if (boot_id_.empty()) {
    OnFirstState(*state);
  } else if (state->boot_id != boot_id_) {
    ++counters_.engine_restarts;
    OnEngineRestart(*state);
  } else {
    CompareSlots(*state);
  }
  ProcessQueue();
}

void EngineBackend::OnFirstState(const EngineState& state) {
  // A higher fencing number may be adopted only here, before the first command.
  // Later, a number that this incarnation did not issue belongs to a newer one.
  if (state.fence && *state.fence >= fence_) {
    fence_ = *state.fence;
  }
  for (const std::string& stream : state.running) {
    // Started by an earlier incarnation; the answer cannot be delivered.
    client_.Cancel(stream);
  }
  OnEngineRestart(state);
}

void EngineBackend::OnEngineRestart(const EngineState& state) {
  if (!boot_id_.empty()) {
    ReportCrash(boot_id_);
  }
  boot_id_ = state.boot_id;
  batch_size_ = static_cast<std::uint32_t>(state.batch_size);
  slots_.resize(state.slots.size());
  for (std::size_t i = 0; i < slots_.size(); ++i) {
    slots_[i].model = state.slots[i];
  }
  MarkNonResidentStalled();
}

void EngineBackend::CompareSlots(const EngineState& state) {
  for (std::size_t i = 0; i < slots_.size() && i < state.slots.size(); ++i) {
    SlotState& slot = slots_[i];
    // A state requested before a load ended may not include that load.
    const bool may_be_outdated = slot.last_load_change >= poll_started_;
    if (slot.loading || may_be_outdated || slot.model == state.slots[i]) {
      continue;
    }
    // Another process sent a command, or a load took effect after its timeout.
    // Requests running on the slot need no action, because the model of each
    // piece of their answers is verified.
    ++counters_.slot_mismatches;
    slot.model = state.slots[i];
  }
  MarkNonResidentStalled();
}

void EngineBackend::Submit(WorkItem work) {
  const Time now = loop_.Now();
  // A restart takes less than the timeout, so requests are queued meanwhile.
  const bool lost =
      !reachable_ && now - unreachable_since_ > settings_.unreachable_timeout;
  if (boot_id_.empty() || lost) {
    Refuse(work, {"backend_not_ready", "The engine does not answer.",
                  kUnreadyRetryAfter});
    return;
  }
  const wire::Submit& request = work.request;
  const auto fingerprint = static_cast<Fingerprint>(request.fingerprint);
  if (request.run_alone) {
    // The entry knows of a crash on another server that was not reported here.
    suspects_.Merge({fingerprint, 1, false, SuspectLimits().max_age}, now);
  }
  const SuspectClassification classification =
      suspects_.Classify(fingerprint, now);
  if (classification.decision == SuspectDecision::kRefused) {
    Refuse(work,
           {"crashes_server",
            "Requests with this content crash backend servers.", Duration(0)});
    return;
  }
  const Duration wait = ExpectedWait(request.urgent);
  const policy::Admission admission = policy::Admit(
      queue_.size(), settings_.queue_limit, wait, work.deadline - now);
  if (admission != policy::Admission::kAdmit) {
    const bool full = admission == policy::Admission::kQueueFull;
    Refuse(work, {full ? "queue_full" : "deadline_too_short",
                  full ? "The queue is full."
                       : "The expected wait exceeds the deadline.",
                  policy::RetryAfter(wait, random_)});
    return;
  }
  queue_settings_.weights = request.objective == "batch_efficiency"
                                ? policy::BatchWeights()
                                : policy::StallWeights();
  Queued queued;
  queued.work = std::move(work);
  queued.run_alone = queued.work.request.run_alone ||
                     classification.decision == SuspectDecision::kRunAlone;
  queued.adapter = AdapterKeyOf(queued.work.request.model);
  const bool urgent = queued.work.request.urgent;
  popularity_.Record(queued.adapter, now,
                     urgent ? queue_settings_.weights.urgent_record : 1.0);
  if (urgent) {
    urgent_arrivals_.Record(kAllAdapters, now);
  }
  if (!IsResident(queued.work.request.model)) {
    queued.stalled_since = now;
  }
  queue_.push_back(std::move(queued));
  ProcessQueue();
}

bool EngineBackend::IsResident(std::string_view model) const {
  return std::any_of(slots_.begin(), slots_.end(), [&](const SlotState& slot) {
    return !slot.loading && slot.model == model;
  });
}

void EngineBackend::SubmitWhileLeaving(WorkItem work) {
  Refuse(work, {"leaving", "The backend server is leaving.", Duration(0)});
}

Outcome EngineBackend::Cancel(const AttemptId& attempt) {
  const auto queued = std::find_if(
      queue_.begin(), queue_.end(),
      [&](const Queued& entry) { return entry.work.attempt == attempt; });
  if (queued != queue_.end()) {
    queue_.erase(queued);
    return Outcome::kNotRun;
  }
  const auto running = running_.find(attempt);
  if (running != running_.end()) {
    client_.Cancel(running->second.stream_id);
    Unpin(running->second.slot);
    running_.erase(running);
    ProcessQueue();
  }
  return Outcome::kUnknown;
}

void EngineBackend::Unpin(std::size_t slot) {
  // The engine may have fewer slots after a restart.
  if (slot < slots_.size() && slots_[slot].pins > 0) {
    --slots_[slot].pins;
  }
}

std::string EngineBackend::IssueOperation(Time /*now*/) {
  return "";
}

std::vector<policy::Slot> EngineBackend::PolicySlots(Time now) const {
  std::vector<policy::Slot> result(slots_.size());
  for (std::size_t i = 0; i < slots_.size(); ++i) {
    const SlotState& slot = slots_[i];
    if (!slot.model.empty()) {
      result[i].adapter = AdapterKeyOf(slot.model);
      result[i].rate = popularity_.Rate(result[i].adapter, now);
    }
    result[i].loading = slot.loading;
    result[i].pins = slot.pins;
  }
  return result;
}

std::vector<policy::WaitingRequest> EngineBackend::WaitingRequests() const {
  std::vector<policy::WaitingRequest> result;
  result.reserve(queue_.size());
  for (const Queued& queued : queue_) {
    result.push_back({queued.adapter, queued.work.arrival, queued.work.deadline,
                      queued.work.request.urgent, queued.run_alone});
  }
  return result;
}

void EngineBackend::ProcessQueue() {
  const Time now = loop_.Now();
  loop_.Cancel(std::exchange(queue_timer_, 0));
  while (!queue_.empty() && ready() && !superseded_) {
    const std::vector<policy::Slot> slots = PolicySlots(now);
    const std::vector<policy::WaitingRequest> waiting = WaitingRequests();
    policy::EngineView view;
    view.slots = slots;
    view.batch_places = batch_size_;
    view.running = static_cast<std::uint32_t>(running_.size());
    view.alone_running = std::any_of(
        running_.begin(), running_.end(),
        [](const auto& entry) { return entry.second.request.run_alone; });
    view.urgent_rate = urgent_arrivals_.Rate(kAllAdapters, now);
    view.urgent_load_at = load_budget_.NextLoad(true, now);
    view.patient_load_at = load_budget_.NextLoad(false, now);
    const policy::Step step =
        settings_.next_step(waiting, view, popularity_, queue_settings_, now);
    if (!ApplyStep(step, now)) {
      break;
    }
  }
}

bool EngineBackend::ApplyStep(const policy::Step& step, Time now) {
  switch (step.kind) {
    case policy::StepKind::kStart:
      StartRequest(step.request, step.slot, now);
      return true;
    case policy::StepKind::kLoad:
      if (!load_budget_.Take(step.urgent, now)) {
        return false;
      }
      StartLoad(step, now);
      return true;
    case policy::StepKind::kRefuse: {
      const auto entry =
          std::next(queue_.begin(), static_cast<std::ptrdiff_t>(step.request));
      const Queued queued = std::move(*entry);
      queue_.erase(entry);
      Refuse(queued.work,
             {"deadline_exceeded", "The deadline passed before it could start.",
              Duration(0)});
      return true;
    }
    case policy::StepKind::kHold:
      if (step.hold_until != Time::max()) {
        queue_timer_ = loop_.RunAt(step.hold_until, [this] {
          queue_timer_ = 0;
          ProcessQueue();
        });
      }
      return false;
  }
  return false;
}

void EngineBackend::StartRequest(std::size_t index,
                                 std::size_t slot,
                                 Time now) {
  const auto entry =
      std::next(queue_.begin(), static_cast<std::ptrdiff_t>(index));
  Running running;
  running.request = std::move(*entry);
  queue_.erase(entry);
  running.slot = slot;
  running.boot_id = boot_id_;
  running.started = now;
  running.stream_id =
      std::to_string(incarnation_) + "-" + std::to_string(next_stream_++);
  ++slots_[slot].pins;
  ++counters_.started;

  const WorkItem& work = running.request.work;
  GenerationRequest generation;
  generation.path = work.request.path;
  generation.body = work.request.body;
  generation.model = work.request.model;
  generation.boot_id = boot_id_;
  generation.stream_id = running.stream_id;
  generation.priority = work.request.urgent ? 0 : 1;
  generation.streamed = work.request.streamed;
  generation.deadline = work.deadline;
  const AttemptId attempt = work.attempt;
  running_.emplace(attempt, std::move(running));
  client_.Generate(std::move(generation),
                   {[this, attempt](std::string_view data) {
                      OnGenerationData(attempt, data);
                    },
                    [this, attempt](const GenerationResult& result) {
                      OnGenerationEnd(attempt, result);
                    }});
}

void EngineBackend::StartLoad(const policy::Step& step, Time now) {
  const auto waiting = std::find_if(
      queue_.begin(), queue_.end(),
      [&](const Queued& queued) { return queued.adapter == step.adapter; });
  if (waiting == queue_.end()) {
    return;
  }
  const std::string model = waiting->work.request.model;
  SlotState& slot = slots_[step.slot];
  if (!slot.model.empty()) {
    ++counters_.evictions;
    MarkStalled(slot.model, now);
  }
  slot.model = model;
  slot.loading = true;
  slot.last_load_change = now;
  ++counters_.loads;
  client_.Load(model, static_cast<int>(step.slot), NextFence(),
               SteadyNow() + settings_.load_timeout,
               [this, index = step.slot, model, now](const LoadResult& result) {
                 OnLoadEnd(index, model, result, now);
               });
}

void EngineBackend::MarkStalled(const std::string& model, Time now) {
  for (Queued& queued : queue_) {
    if (queued.work.request.model == model && !queued.stalled_since) {
      queued.stalled_since = now;
    }
  }
}

void EngineBackend::MarkNonResidentStalled() {
  const Time now = loop_.Now();
  for (Queued& queued : queue_) {
    if (!queued.stalled_since && !IsResident(queued.work.request.model)) {
      queued.stalled_since = now;
    }
  }
}

void EngineBackend::MarkLoaded(const std::string& model, Time now) {
  for (Queued& queued : queue_) {
    if (queued.work.request.model == model && queued.stalled_since) {
      queued.load_stall += now - *queued.stalled_since;
      queued.stalled_since.reset();
    }
  }
}

void EngineBackend::OnLoadEnd(std::size_t index,
                              const std::string& model,
                              const LoadResult& result,
                              Time started_at) {
  if (index >= slots_.size()) {
    // The engine restarted with fewer slots during the load.
    return;
  }
  const Time now = loop_.Now();
  SlotState& slot = slots_[index];
  slot.loading = false;
  slot.last_load_change = now;
  const bool loaded =
      result.status == LoadStatus::kLoaded && result.boot_id == boot_id_;
  if (loaded) {
    load_budget_.OnLoaded(now - started_at, now);
    load_failures_.erase(model);
    MarkLoaded(model, now);
    ProcessQueue();
    return;
  }
  // No request may start on the slot until the engine's state shows its
  // content.
  slot.model.clear();
  if (result.status == LoadStatus::kStoreBusy) {
    ++counters_.store_busy;
    load_budget_.OnRefused(result.retry_after, now, random_);
  } else if (result.status == LoadStatus::kStaleFence &&
             result.fence > fence_) {
    ++counters_.stale_fences;
    superseded_ = true;
    observer_.OnSuperseded();
    RefuseAllQueued(
        {"leaving", "The backend server has another sidecar.", Duration(0)});
  } else if (result.status == LoadStatus::kStaleFence) {
    // A later command of this incarnation arrived first on another connection.
    // The engine has not loaded anything.
    ++counters_.overtaken_loads;
  } else {
    ++counters_.load_failures;
    load_budget_.OnLoaded(now - started_at, now);
    OnLoadFailure(model);
  }
  Poll();
  ProcessQueue();
}

void EngineBackend::OnLoadFailure(const std::string& model) {
  if (++load_failures_[model] < settings_.max_load_failures) {
    return;
  }
  load_failures_.erase(model);
  for (auto entry = queue_.begin(); entry != queue_.end();) {
    if (entry->work.request.model != model) {
      ++entry;
      continue;
    }
    const Queued queued = std::move(*entry);
    entry = queue_.erase(entry);
    Refuse(queued.work, {"load_failed", "The adapter could not be loaded.",
                         policy::RetryAfter(std::chrono::seconds(1), random_)});
  }
}

void EngineBackend::OnGenerationData(const AttemptId& attempt,
                                     std::string_view data) {
  const auto found = running_.find(attempt);
  if (found == running_.end()) {
    return;
  }
  if (!found->second.head_sent) {
    found->second.head_sent = true;
    observer_.OnHead(attempt, kHttpOk,
                     ContentTypeOf(found->second.request.work.request));
  }
  observer_.OnData(attempt, data);
}

void EngineBackend::OnGenerationEnd(const AttemptId& attempt,
                                    const GenerationResult& result) {
  const auto found = running_.find(attempt);
  if (found == running_.end()) {
    return;
  }
  if (result.end == GenerationEnd::kEngineRestart) {
    // Must precede the removal from `running_`, so that the report includes
    // this request.
    ReportCrash(found->second.boot_id);
  }
  Running running = std::move(found->second);
  running_.erase(found);
  Unpin(running.slot);
  if (result.end == GenerationEnd::kNotRun) {
    OnNotRun(std::move(running), result.code);
  } else {
    FinishRunning(running, result);
  }
  if (result.end == GenerationEnd::kEngineRestart ||
      result.code == kEngineUnreachable) {
    OnUnreachable();
  }
  if (result.end != GenerationEnd::kComplete) {
    Poll();
  }
  ProcessQueue();
}

void EngineBackend::FinishRunning(const Running& running,
                                  const GenerationResult& result) {
  const Time now = loop_.Now();
  const WorkItem& work = running.request.work;
  if (result.end == GenerationEnd::kRejected) {
    observer_.OnHead(work.attempt, result.status, "application/json");
    observer_.OnData(work.attempt, result.body);
  }
  WorkResult end = ToWorkResult(result);
  end.load_stall = running.request.load_stall;
  end.queued = running.started - work.arrival;
  (work.request.urgent ? counters_.urgent_stall_s
                       : counters_.patient_stall_s) +=
      ToSeconds(end.load_stall);
  if (end.error_code.empty()) {
    ++counters_.completed;
    const double took = ToSeconds(now - running.started);
    mean_service_s_ += kServiceTimeWeight * (took - mean_service_s_);
    suspects_.ReportCompleted(
        static_cast<Fingerprint>(work.request.fingerprint), now);
  } else {
    ++counters_.broken;
    if (result.end == GenerationEnd::kWrongAnswer) {
      ++counters_.wrong_answers;
    }
    if (result.end != GenerationEnd::kEngineRestart) {
      // The engine may still be generating an answer that is no longer needed.
      client_.Cancel(running.stream_id);
    }
  }
  observer_.OnEnd(work.attempt, end);
}

void EngineBackend::OnNotRun(Running running, const std::string& code) {
  if (code == "adapter_not_loaded" && running.slot < slots_.size() &&
      !slots_[running.slot].loading) {
    MarkStalled(slots_[running.slot].model, loop_.Now());
    slots_[running.slot].model.clear();
  }
  Queued request = std::move(running.request);
  if (code != kEngineUnreachable &&
      ++request.start_refusals >= settings_.max_start_refusals) {
    Refuse(request.work,
           {"engine_refused", "The engine refused to start it: " + code + ".",
            policy::RetryAfter(std::chrono::seconds(1), random_)});
    return;
  }
  queue_.push_front(std::move(request));
  MarkNonResidentStalled();
  if (queue_timer_ == 0) {
    queue_timer_ = loop_.RunAfter(kStartRefusedPause, [this] {
      queue_timer_ = 0;
      ProcessQueue();
    });
  }
}

void EngineBackend::ReportCrash(const std::string& boot_id) {
  if (reported_crash_boot_id_ == boot_id) {
    return;
  }
  reported_crash_boot_id_ = boot_id;
  std::vector<Fingerprint> batch;
  for (const auto& [attempt, running] : running_) {
    if (running.boot_id == boot_id) {
      batch.push_back(
          static_cast<Fingerprint>(running.request.work.request.fingerprint));
    }
  }
  for (const SuspectUpdate& update :
       suspects_.ReportCrash(batch, loop_.Now())) {
    observer_.OnSuspect(wire::ToWire(update));
  }
}

void EngineBackend::OnSuspectReport(const wire::Suspect& suspect, Time now) {
  suspects_.Merge(wire::FromWire(suspect), now);
}

void EngineBackend::Refuse(const WorkItem& work, const WorkRefusal& refusal) {
  ++counters_.refused;
  observer_.OnRefused(work.attempt, refusal);
}

std::uint32_t EngineBackend::QueuedCount(bool urgent) const {
  return static_cast<std::uint32_t>(
      std::count_if(queue_.begin(), queue_.end(), [&](const Queued& queued) {
        return queued.work.request.urgent == urgent;
      }));
}

Duration EngineBackend::ExpectedWait(bool urgent) const {
  const std::size_t ahead = urgent ? QueuedCount(true) : queue_.size();
  const std::size_t occupied = ahead + running_.size();
  if (batch_size_ == 0 || occupied < batch_size_) {
    return Duration(0);
  }
  const double rounds = static_cast<double>(occupied - batch_size_ + 1) /
                        static_cast<double>(batch_size_);
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(rounds * mean_service_s_));
}

Duration EngineBackend::ExpectedLoadWait(Time now) const {
  std::set<policy::AdapterKey> waiting;
  for (const Queued& queued : queue_) {
    if (queued.stalled_since && queued.work.request.urgent) {
      waiting.insert(queued.adapter);
    }
  }
  // Urgent loads that are already waiting use the same budget first.
  const double backlog_s =
      static_cast<double>(waiting.size()) / load_budget_.Rate(now);
  double slot_s = 0;
  if (std::none_of(slots_.begin(), slots_.end(), [](const SlotState& slot) {
        return slot.pins == 0 && !slot.loading;
      })) {
    slot_s = mean_service_s_ / 2;
  }
  return load_budget_.NextLoad(true, now) - now +
         std::chrono::duration_cast<Duration>(
             std::chrono::duration<double>(backlog_s + slot_s));
}

wire::ServerReport EngineBackend::Report(std::string_view model,
                                         Time now) const {
  wire::ServerReport report;
  report.urgent_queued = static_cast<std::int32_t>(QueuedCount(true));
  report.patient_queued = static_cast<std::int32_t>(QueuedCount(false));
  report.running = static_cast<std::int32_t>(running_.size());
  report.batch_size = static_cast<std::int32_t>(batch_size_);
  report.load_wait_ms = ToMilliseconds(ExpectedLoadWait(now));
  report.expected_wait_ms = ToMilliseconds(ExpectedWait(true));
  report.__set_patient_wait_ms(ToMilliseconds(ExpectedWait(false)));
  report.__isset.resident_models = true;
  for (const SlotState& slot : slots_) {
    if (!slot.model.empty()) {
      report.resident_models.push_back(
          static_cast<std::int64_t>(Hash64(slot.model)));
    }
  }
  if (!model.empty()) {
    report.__set_resident(IsResident(model));
  }
  return report;
}

std::size_t EngineBackend::active() const {
  return queue_.size() + running_.size();
}

nlohmann::json EngineBackend::Dump(Time now) const {
  nlohmann::json slots = nlohmann::json::array();
  for (const SlotState& slot : slots_) {
    slots.push_back({{"model", slot.model},
                     {"loading", slot.loading},
                     {"pins", slot.pins}});
  }
  return {{"kind", "engine"},
          {"address", FormatAddress(settings_.engine)},
          {"boot_id", boot_id_},
          {"superseded", superseded_},
          {"batch_size", batch_size_},
          {"slots", slots},
          {"queued_urgent", QueuedCount(true)},
          {"queued_patient", QueuedCount(false)},
          {"running", running_.size()},
          {"load_rate_per_s", load_budget_.Rate(now)},
          {"counters",
           {{"started", counters_.started},
            {"completed", counters_.completed},
            {"refused", counters_.refused},
            {"broken", counters_.broken},
            {"wrong_answers", counters_.wrong_answers},
            {"loads", counters_.loads},
            {"load_failures", counters_.load_failures},
            {"store_busy", counters_.store_busy},
            {"evictions", counters_.evictions},
            {"slot_mismatches", counters_.slot_mismatches},
            {"engine_restarts", counters_.engine_restarts},
            {"stale_fences", counters_.stale_fences},
            {"overtaken_loads", counters_.overtaken_loads},
            {"urgent_stall_s", counters_.urgent_stall_s},
            {"patient_stall_s", counters_.patient_stall_s}}}};
}

}  // namespace amaranthcove
