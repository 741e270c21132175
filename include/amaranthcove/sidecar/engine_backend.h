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

// The decision that orders a sidecar's queue; benches replace it.
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
  // Between looks at the engine's state, and while it does not answer.
  Duration poll_interval = std::chrono::seconds(1);
  Duration unreachable_poll_interval = std::chrono::milliseconds(50);
  // Queued work is refused when the engine has not answered for this time, so
  // that entries try other servers.
  Duration unreachable_limit = std::chrono::milliseconds(500);
  Duration state_limit = std::chrono::seconds(1);
  // Time for one load; a load takes 0.25 s unless the weight store is crowded.
  Duration load_limit = std::chrono::seconds(20);
  // Failed loads of one adapter in a row after which its requests are refused.
  int max_load_failures = 3;
  // Times that the engine may refuse to start one request before the request
  // is refused.
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
  std::uint64_t stale_fences = 0;     // A newer incarnation commands.
  std::uint64_t overtaken_loads = 0;  // By a later command of its own.
  double urgent_stall_s = 0;
  double patient_stall_s = 0;
};

// Runs generations on the model engine beside the sidecar: owns the queue and
// the engine's adapter slots, commands loads and evictions, and verifies the
// answers.
//
// Thread safety: belongs to the loop's thread.
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
  void Submit(Work work) override;
  void SubmitWhileLeaving(Work work) override;
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
    Work work;
    policy::AdapterKey adapter = 0;
    int start_refusals = 0;
    bool run_alone = false;
    // Since when it has been waiting for its adapter to be resident.
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

  // One slot as commanded and confirmed.
  struct SlotState {
    std::string model;  // Empty: holds nothing that may be used.
    bool loading = false;
    std::uint32_t pins = 0;
    Time commanded;  // When the last load began or ended.
  };

  void Poll();
  void OnUnreachable();
  void RefuseQueue(const WorkRefusal& refusal);
  void OnState(const Result<EngineState>& state);
  void OnFirstState(const EngineState& state);
  void OnEngineRestart(const EngineState& state);
  void CompareSlots(const EngineState& state);
  void Pump();
  bool ApplyStep(const policy::Step& step, Time now);
  void StartRequest(std::size_t index, std::size_t slot, Time now);
  void StartLoad(const policy::Step& step, Time now);
  void OnLoadEnd(std::size_t slot,
                 const std::string& model,
                 const LoadResult& result,
                 Time began);
  void OnLoadFailure(const std::string& model);
  void OnGenerationData(const AttemptId& attempt, std::string_view data);
  void OnGenerationEnd(const AttemptId& attempt,
                       const GenerationResult& result);
  void FinishRunning(const Running& running, const GenerationResult& result);
  void OnNotRun(Running running, const std::string& code);
  void ReportCrash(const std::string& boot_id);
  void Refuse(const Work& work, const WorkRefusal& refusal);
  std::vector<policy::Slot> PolicySlots(Time now) const;
  std::vector<policy::WaitingRequest> WaitingRequests() const;
  Duration ExpectedWait(bool urgent) const;
  // For an urgent load that is asked for now, without its duration.
  Duration ExpectedLoadWait(Time now) const;
  std::uint32_t QueuedCount(bool urgent) const;
  std::int64_t NextFence() { return ++fence_; }
  bool IsResident(std::string_view model) const;
  void MarkStalled(const std::string& model, Time now);
  // Begins the stall of queued requests whose adapter is not resident.
  void MarkNotResident();
  void MarkLoaded(const std::string& model, Time now);
  void Unpin(std::size_t slot);

  EventLoop& loop_;
  WorkObserver& observer_;
  const EngineBackendSettings settings_;
  const Incarnation incarnation_;
  EngineClient client_;
  EngineBackendCounters counters_;

  // False until the engine has told its state, and again from a connection
  // failure or restart until it has told its new state. Queued work waits.
  bool reachable_ = false;
  Time unreachable_since_;
  std::string boot_id_;
  std::string crashed_boot_;  // The last boot whose crash was reported.
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
  double mean_service_s_ = 1.0;  // Moving average of a request's run time.

  Time compacted_;
  TimerId poll_timer_ = 0;
  TimerId pump_timer_ = 0;
  Time poll_began_;
  bool polling_ = false;
};

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_SIDECAR_ENGINE_BACKEND_H_
