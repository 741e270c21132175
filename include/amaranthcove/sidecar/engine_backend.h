#ifndef AMARANTHCOVE_SIDECAR_ENGINE_BACKEND_H_
#define AMARANTHCOVE_SIDECAR_ENGINE_BACKEND_H_

#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "amaranthcove/engine_client/engine_client.h"
#include "amaranthcove/net/event_loop.h"
#include "amaranthcove/net/http_client.h"
#include "amaranthcove/policy/load_budget.h"
#include "amaranthcove/policy/popularity.h"
#include "amaranthcove/policy/queue.h"
#include "amaranthcove/sidecar/backend.h"
#include "amaranthcove/suspects/suspect_table.h"

namespace amaranthcove {

// A scheduling policy for the sidecar's queue. Benchmarks replace it.
using NextStepFunction =
    policy::Step (*)(std::span<const policy::WaitingRequest> requests,
                     const policy::EngineView& engine,
                     const policy::PopularityTable& popularity,
                     const policy::QueueSettings& settings,
                     Time now);

struct EngineBackendSettings {
  Address engine;
  std::string base_model;
  std::size_t queue_limit = 256;
  policy::LoadBudgetSettings load_budget;
  NextStepFunction next_step = &policy::NextStep;
  // Intervals between requests for the engine's state, while it answers and
  // while it does not.
  Duration poll_interval = std::chrono::seconds(1);
  Duration unreachable_poll_interval = std::chrono::milliseconds(50);
  // Queued requests are refused when the engine has not answered for this
  // time, so that entries try other servers.
  Duration unreachable_timeout = std::chrono::milliseconds(500);
  // Timeout of a request for the engine's state.
  Duration state_timeout = std::chrono::seconds(1);
  // Timeout of one load. A load takes 0.25 s unless the weight store is
  // overloaded.
  Duration load_timeout = std::chrono::seconds(20);
  // Number of consecutive failed loads of an adapter after which its queued
  // requests are refused.
  int max_load_failures = 3;
  // Number of times that the engine may refuse to start a request before the
  // sidecar refuses it.
  int max_start_refusals = 5;
};

// Counts since the start of the process.
struct EngineBackendCounters {
  std::uint64_t started = 0;
  std::uint64_t completed = 0;
  std::uint64_t refused = 0;
  std::uint64_t broken = 0;
  std::uint64_t wrong_answers = 0;
  std::uint64_t loads = 0;
  std::uint64_t load_failures = 0;
  std::uint64_t store_busy = 0;
  std::uint64_t evictions = 0;
  std::uint64_t slot_mismatches = 0;
  std::uint64_t engine_restarts = 0;
  // Loads rejected because a newer incarnation has issued a higher fencing
  // number.
  std::uint64_t stale_fences = 0;
  // Loads rejected because a later load command of this process arrived first.
  std::uint64_t overtaken_loads = 0;
  double urgent_stall_s = 0;
  double patient_stall_s = 0;
};

// Runs generations on the model engine beside the sidecar. Manages the request
// queue and the engine's adapter slots, loads and evicts adapters, and verifies
// the answers.
//
// Thread safety: not thread-safe; all calls must be made on the loop's thread.
class EngineBackend : public Backend {
 public:
  // Preconditions: `loop`, `http` and `observer` outlive the object.
  EngineBackend(EventLoop& loop,
                HttpClient& http,
                WorkObserver& observer,
                const EngineBackendSettings& settings,
                Incarnation incarnation);
  ~EngineBackend() override;

  void Start() override;
  void Submit(WorkItem work) override;
  void SubmitWhileLeaving(WorkItem work) override;
  Outcome Cancel(const AttemptId& attempt) override;
  std::string IssueOperation(Time now) override;
  wire::ServerReport Report(std::string_view model, Time now) const override;
  void OnSuspectReport(const wire::Suspect& suspect, Time now) override;
  std::size_t active() const override;
  bool ready() const override { return reachable_; }
  nlohmann::json Dump(Time now) const override;

  const EngineBackendCounters& counters() const { return counters_; }

 private:
  struct Queued {
    WorkItem work;
    policy::AdapterKey adapter = 0;
    int start_refusals = 0;
    bool run_alone = false;
    // When the request began to wait for its adapter to become resident; unset
    // while the adapter is resident.
    std::optional<Time> stalled_since;
    Duration load_stall{0};
  };

  struct Running {
    Queued request;
    std::string stream_id;
    std::string boot_id;
    std::size_t slot = 0;
    Time started;
    bool head_sent = false;
  };

  // The expected state of one adapter slot of the engine.
  struct SlotState {
    std::string model;  // Empty if the slot holds no usable adapter.
    bool loading = false;
    std::uint32_t pins = 0;  // Requests running on the slot.
    Time last_load_change;   // When the last load started or ended.
  };

  void Poll();
  void OnUnreachable();
  void RefuseAllQueued(const WorkRefusal& refusal);
  void OnState(const Result<EngineState>& state);
  void OnFirstState(const EngineState& state);
  void OnEngineRestart(const EngineState& state);
  void CompareSlots(const EngineState& state);
  void ProcessQueue();
  bool ApplyStep(const policy::Step& step, Time now);
  void StartRequest(std::size_t index, std::size_t slot, Time now);
  void StartLoad(const policy::Step& step, Time now);
  void OnLoadEnd(std::size_t slot,
                 const std::string& model,
                 const LoadResult& result,
                 Time started_at);
  void OnLoadFailure(const std::string& model);
  void OnGenerationData(const AttemptId& attempt, std::string_view data);
  void OnGenerationEnd(const AttemptId& attempt,
                       const GenerationResult& result);
  void FinishRunning(const Running& running, const GenerationResult& result);
  void OnNotRun(Running running, const std::string& code);
  void ReportCrash(const std::string& boot_id);
  void Refuse(const WorkItem& work, const WorkRefusal& refusal);
  std::vector<policy::Slot> PolicySlots(Time now) const;
  std::vector<policy::WaitingRequest> WaitingRequests() const;
  Duration ExpectedWait(bool urgent) const;
  // Returns the expected wait before an urgent load requested at `now` starts,
  // without the duration of the load itself.
  Duration ExpectedLoadWait(Time now) const;
  std::uint32_t QueuedCount(bool urgent) const;
  std::int64_t NextFence() { return ++fence_; }
  bool IsResident(std::string_view model) const;
  void MarkStalled(const std::string& model, Time now);
  // Marks the queued requests whose adapter is not resident as stalled.
  void MarkNonResidentStalled();
  void MarkLoaded(const std::string& model, Time now);
  void Unpin(std::size_t slot);

  EventLoop& loop_;
  WorkObserver& observer_;
  const EngineBackendSettings settings_;
  const Incarnation incarnation_;
  EngineClient client_;
  EngineBackendCounters counters_;

  // False until the engine's state has been received, and again after a
  // connection failure or restart until its new state has been received. No
  // queued request starts meanwhile.
  bool reachable_ = false;
  Time unreachable_since_;
  std::string boot_id_;
  // The boot id of the last crash that was reported.
  std::string reported_crash_boot_id_;
  std::uint32_t batch_size_ = 0;
  std::vector<SlotState> slots_;
  std::int64_t fence_;
  bool superseded_ = false;
  std::list<Queued> queue_;
  std::map<AttemptId, Running> running_;
  std::unordered_map<std::string, int> load_failures_;
  std::uint64_t next_stream_ = 1;

  policy::Random random_;
  policy::PopularityTable popularity_;
  policy::PopularityTable urgent_arrivals_;
  policy::LoadBudget load_budget_;
  policy::QueueSettings queue_settings_;
  SuspectTable suspects_;
  // Moving average of the run time of a request, in seconds.
  double mean_service_s_ = 1.0;

  Time last_compaction_;
  TimerId poll_timer_ = 0;
  TimerId queue_timer_ = 0;
  Time poll_started_;
  bool polling_ = false;
};

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_SIDECAR_ENGINE_BACKEND_H_
