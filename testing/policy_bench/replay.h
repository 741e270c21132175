#ifndef AMARANTHCOVE_TESTING_POLICY_BENCH_REPLAY_H_
#define AMARANTHCOVE_TESTING_POLICY_BENCH_REPLAY_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <queue>
#include <span>
#include <vector>

#include "amaranthcove/policy/load_budget.h"
#include "amaranthcove/policy/placement.h"
#include "amaranthcove/policy/popularity.h"
#include "amaranthcove/policy/queue.h"
#include "amaranthcove/policy/random.h"
#include "testing/policy_bench/trace.h"

namespace amaranthcove::policy_bench {

class Replay;

// The functions and options of a policy. `Replay` runs every policy in the same
// way.
struct PolicyTable {
  const char* name;
  // Returns the engine for request `index` of the trace.
  std::size_t (*choose)(Replay& replay, std::size_t index);
  // Returns the next step of an engine.
  policy::Step (*next)(Replay& replay, std::size_t engine);
  bool uses_budget;       // Each load takes a token from the load budget.
  bool shares_by_demand;  // The budget's share follows the load demand.
};

// The state of an engine that an entry received with its last response.
struct Report {
  std::optional<Time> at;  // No value before the first response.
  std::uint32_t load = 0;  // Running and waiting requests.
  Duration urgent_wait{0};
  Duration patient_wait{0};
  Duration load_wait{0};
  double load_demand = 0;
  std::vector<policy::AdapterKey> resident;
  std::uint32_t unreported = 0;  // Requests sent since the report.
};

// The state of a simulated engine and its sidecar.
struct Engine {
  std::vector<policy::Slot> slots;
  std::vector<Time> last_used;  // For each slot; used by LRU.
  std::vector<policy::WaitingRequest> queue;
  std::vector<std::size_t> queue_index;  // Trace index of each queued request.
  std::uint32_t running = 0;
  Time no_load_until{};  // End of the pause after a refused load.
  policy::PopularityTable popularity{};
  policy::DecayedRate urgent_rate{};
  policy::DecayedRate load_demand{};
  std::optional<policy::LoadBudget> budget{};
  Time wake_at = Time::max();    // Time of the only valid wake event.
  Time place_s_counted_until{};  // Place-seconds are counted up to this time.
};

// The state of a simulated entry.
struct Entry {
  std::vector<Report> reports;  // For each engine.
  policy::PopularityTable popularity{};
  std::vector<std::uint32_t> replicas;  // For each adapter.
  policy::Random random{};
};

// Results of a replay, or the sum of several. Times are in seconds. A
// place-second is one batch place of an engine for one second.
struct Metrics {
  std::vector<double> urgent_stalls;  // One for each request.
  std::vector<double> patient_stalls;
  std::vector<double> urgent_waits;  // From the arrival to the start.
  double steady_stall = 0;  // Urgent, total in the 120 s before the shift.
  double after_stall = 0;   // Urgent, total from 60 s to 180 s after it.
  double loads = 0;         // Requested from the weight store.
  double refused_loads = 0;
  double peak_loads_10s = 0;   // Most loads requested within 10 s.
  double steady_peak_10s = 0;  // The same after the first 120 s.
  double seconds = 0;          // Length of the traces.
  double used_place_s = 0;     // Places with a running request.
  double active_place_s = 0;   // All places while their engine runs a request.
  double total_place_s = 0;    // All places during the trace.
  double useful_place_s = 0;   // Used by requests that met their deadline.
  double refused = 0;          // Requests refused at admission.
  double expired = 0;          // Requests whose deadline passed in the queue.
  double missed = 0;           // Requests that finished after their deadline.

  // Adds sums and samples of `other`, and keeps the larger peaks.
  void Add(const Metrics& other);
};

// Simulates entries, engines and the weight store on a trace, as a sequence of
// events. The result depends only on the arguments.
//
// Thread safety: may be used by one thread only.
class Replay {
 public:
  // Preconditions: `scenario`, `trace` and `policy` outlive the replay, and the
  // trace is not empty.
  Replay(const Scenario& scenario,
         const Trace& trace,
         const PolicyTable& policy,
         std::uint64_t seed);

  // Runs all events of the trace and returns the results. Call only once.
  Metrics Run();

  const Scenario& scenario() const { return scenario_; }
  const Trace& trace() const { return trace_; }
  std::vector<Engine>& engines() { return engines_; }
  std::vector<Entry>& entries() { return entries_; }
  std::span<const policy::PlacementServer> servers() const { return servers_; }
  // Returns the index of the adapter with this key, which must exist.
  std::uint32_t AdapterIndex(policy::AdapterKey key) const;
  Time now() const { return now_; }

  // Returns the estimated wait for a batch place. Of the requests in the queue,
  // an urgent request waits only for the urgent ones.
  Duration EstimatedWait(const Engine& engine, bool urgent) const;

 private:
  enum class EventKind : std::uint8_t { kArrival, kFinish, kLoaded, kWake };

  struct Event {
    Time at;
    std::uint64_t number;
    EventKind kind;
    std::size_t engine;
    std::size_t index;
    std::size_t slot;
    bool operator>(const Event& other) const {
      return at != other.at ? at > other.at : number > other.number;
    }
  };

  void Schedule(Time at,
                EventKind kind,
                std::size_t engine,
                std::size_t index = 0,
                std::size_t slot = 0);
  void Handle(const Event& event);
  void OnArrival(std::size_t index);
  void OnFinish(const Event& event);
  void OnLoadEnd(const Event& event);
  void RunSteps(std::size_t engine);
  void Start(std::size_t engine, const policy::Step& step);
  void Load(std::size_t engine, const policy::Step& step);
  void UpdatePlaceSeconds(Engine& engine);
  void SendReport(std::size_t engine, std::uint32_t entry);
  void EndStall(std::size_t index);
  void RemoveWaiting(Engine& engine, std::size_t at);
  std::optional<Time> StartStoreLoad();

  const Scenario& scenario_;
  const Trace& trace_;
  const PolicyTable& policy_;
  std::vector<policy::PlacementServer> servers_;
  std::vector<Engine> engines_;
  std::vector<Entry> entries_;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::uint64_t next_event_number_ = 0;
  std::vector<Duration> stalls_;  // For each request.
  std::vector<std::optional<Time>> stall_since_;
  std::vector<std::optional<Time>> start_times_;
  std::vector<Time> load_start_times_;  // At index engine * slots + slot.
  std::vector<Time> load_request_times_;
  std::vector<Time> load_ends_;  // Of the loads in progress or queued.
  // Virtual time of the store's rate limit; a load may start one interval
  // earlier.
  Time store_free_at_{};
  Time now_{};
  Time end_{};
  policy::Random random_;
  // Key and index of each adapter, sorted by key.
  std::vector<std::pair<policy::AdapterKey, std::uint32_t>> keys_;
  Metrics metrics_;
};

}  // namespace amaranthcove::policy_bench

#endif  // AMARANTHCOVE_TESTING_POLICY_BENCH_REPLAY_H_
