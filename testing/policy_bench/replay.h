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

// A policy as a function table; the driver is the same for all.
struct PolicyTable {
  const char* name;
  // The engine for request `index` of the trace.
  std::size_t (*choose)(Replay& replay, std::size_t index);
  // The next step of an engine.
  policy::Step (*next)(Replay& replay, std::size_t engine);
  bool uses_budget;
  bool shares_by_demand;
};

// What an entry knows of an engine from its last response.
struct Report {
  std::optional<Time> at;
  std::uint32_t load = 0;  // Running and waiting requests.
  Duration urgent_wait{0};
  Duration patient_wait{0};
  Duration load_wait{0};
  double load_demand = 0;
  std::vector<policy::AdapterKey> resident;
  std::uint32_t unreported = 0;
};

struct Engine {
  std::vector<policy::Slot> slots;
  std::vector<Time> last_used;  // Of each slot, for LRU.
  std::vector<policy::WaitingRequest> queue;
  std::vector<std::size_t> queue_index;  // Trace index of each.
  std::uint32_t running = 0;
  Time quiet_until{};  // After a refused load.
  policy::PopularityTable popularity{};
  policy::DecayedRate urgent_rate{};
  policy::DecayedRate load_demand{};
  std::optional<policy::LoadBudget> budget{};
  Time wake_at = Time::max();  // Of the one valid wake event.
  Time changed_at{};           // For `busy` and `active`.
};

struct Entry {
  std::vector<Report> reports;  // Of each engine.
  policy::PopularityTable popularity{};
  std::vector<std::uint32_t> replicas;  // Of each adapter.
  policy::Random random{};
};

struct Figures {
  std::vector<double> urgent_stalls;  // Seconds, one for each request.
  std::vector<double> patient_stalls;
  std::vector<double> urgent_waits;  // Until the start.
  double steady_stall = 0;  // Urgent, total in the 120 s before the shift.
  double after_stall = 0;   // Urgent, total from 60 s to 180 s after it.
  double loads = 0;
  double refused_loads = 0;
  double peak_loads_10s = 0;   // Most loads asked for within 10 s.
  double steady_peak_10s = 0;  // The same after the first 120 s.
  double seconds = 0;
  double busy_s = 0;    // Place-seconds used.
  double active_s = 0;  // Place-seconds of engines that ran anything.
  double all_s = 0;     // Place-seconds until the end of the trace.
  double useful_s = 0;  // Place-seconds of requests that met their deadline.
  double refused = 0;   // At admission.
  double expired = 0;   // In the queue.
  double missed = 0;    // Finished after the deadline.

  void Add(const Figures& other);
};

class Replay {
 public:
  Replay(const Scenario& scenario,
         const Trace& trace,
         const PolicyTable& policy,
         std::uint64_t seed);

  Figures Run();

  const Scenario& scenario() const { return scenario_; }
  const Trace& trace() const { return trace_; }
  std::vector<Engine>& engines() { return engines_; }
  std::vector<Entry>& entries() { return entries_; }
  std::span<const policy::PlacementServer> servers() const { return servers_; }
  std::uint32_t AdapterIndex(policy::AdapterKey key) const;
  Time now() const { return now_; }

  // Estimated wait for a batch place.
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

  void Push(Time at,
            EventKind kind,
            std::size_t engine,
            std::size_t index = 0,
            std::size_t slot = 0);
  void Handle(const Event& event);
  void Arrive(std::size_t index);
  void Finish(const Event& event);
  void Loaded(const Event& event);
  void Step(std::size_t engine);
  void Start(std::size_t engine, const policy::Step& step);
  void Load(std::size_t engine, const policy::Step& step);
  void Account(Engine& engine);
  void SendReport(std::size_t engine, std::uint32_t entry);
  void EndStall(std::size_t index);
  void RemoveWaiting(Engine& engine, std::size_t at);
  std::optional<Time> AskStore();

  const Scenario& scenario_;
  const Trace& trace_;
  const PolicyTable& policy_;
  std::vector<policy::PlacementServer> servers_;
  std::vector<Engine> engines_;
  std::vector<Entry> entries_;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::uint64_t event_count_ = 0;
  std::vector<Duration> stall_;  // Of each request.
  std::vector<std::optional<Time>> stall_since_;
  std::vector<std::optional<Time>> started_;
  std::vector<Time> load_started_;  // Engine * slots + slot.
  std::vector<Time> load_times_;
  std::vector<Time> in_flight_;  // Ends of loads.
  Time store_free_{};
  Time now_{};
  Time end_{};
  policy::Random random_;
  std::vector<std::pair<policy::AdapterKey, std::uint32_t>> keys_;  // Sorted.
  Figures figures_;
};

}  // namespace amaranthcove::policy_bench

#endif  // AMARANTHCOVE_TESTING_POLICY_BENCH_REPLAY_H_
