#ifndef AMARANTHCOVE_BACKEND_CHOICE_BACKEND_CHOICE_H_
#define AMARANTHCOVE_BACKEND_CHOICE_BACKEND_CHOICE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "amaranthcove/base/time.h"
#include "amaranthcove/engine_cost/engine_cost.h"

namespace amaranthcove {

// The state of an adapter at an engine.
enum class AdapterPlace {
  kResident,  // Can serve now. Also used for requests of the base model.
  kLoading,
  kAbsent,
  kUnknown  // The engine's agent sent no recent status.
};

// The inputs for one engine when a generation is placed.
struct EngineCandidate {
  std::string_view id;
  bool same_data_centre = true;
  bool avoided = false;  // Because of recent failures.
  bool tried = false;    // This request was sent there before.
  AdapterPlace place = AdapterPlace::kAbsent;
  // Whether the engine has held the adapter, so that it most likely keeps a
  // copy.
  bool held = false;
  bool has_model = true;  // False while the base model is not loaded.
  // Rank of the engine in the adapter's order of preference; 0 is first.
  std::size_t affinity_rank = 0;
  // Requests at the engine according to the last status of its agent.
  int running = 0;
  int queued = 0;
  // Requests that were sent there, and that started to wait for a load there,
  // since that status: this router's own, times the number of routers.
  int recent_sends = 0;
  int recent_waits = 0;
  // Requests of all routers at the engine and the tokens of their prompts that
  // it has still to read, if its agent reports them. Otherwise both are
  // estimated from the numbers above.
  std::optional<int> requests;
  std::optional<double> unread_prompt_tokens;
  // Requests of all routers that wait until the agent admits their prompts; not
  // in `requests`.
  int waiting_prompts = 0;
  // Requests of all routers that wait for a load of an adapter there.
  int waiting_for_loads = 0;
  // Requests that other routers have sent there since the agent reported them,
  // by the rate at which they did before.
  double expected_arrivals = 0;
  // Whether the agent limits the prompts that the engine reads at a time.
  bool limits_prompts = false;
  int free_places = 1;  // For adapters.
  // Time until a load that is requested now would end.
  double load_wait_ms = 250;
  int batch_size = 1;
  // Duration of its work relative to the median engine of the service.
  double slowness = 1;
  // Random value from 0 to 1 for each request and engine, by which routers with
  // the same status of an engine choose different ones.
  double jitter = 0;
};

// Returns the median of the times between events at the engines of a service,
// in milliseconds, or 0 if too few of them are known. An element of 0 is
// unknown. Reorders `intervals_ms`. Thread-safe.
double MedianIntervalMs(std::span<double> intervals_ms);

// Returns the time between an engine's events relative to the median, within
// bounds; 1 if either is unknown (0). Thread-safe.
double Slowness(double interval_ms, double median_interval_ms);

// Returns the work of an engine, as far as it delays another request.
// Thread-safe.
EngineWork WorkOf(const EngineCandidate& candidate);

// Returns the expected delay until the first event in milliseconds, in addition
// to the time that an idle engine of median speed needs for a prompt of no
// length. Excludes the jitter. Thread-safe.
double ExpectedDelayMs(const EngineCandidate& candidate,
                       const EnginePace& pace = kPriorPace,
                       double prompt_tokens = kPriorPromptTokens);

// Returns what sending a request to the engine costs all callers, in
// milliseconds of delay: the delay of the request itself, and the target
// latency for each answer that it makes late. Excludes the jitter. Thread-safe.
double PlacementCostMs(const EngineCandidate& candidate,
                       const EnginePace& pace,
                       const RequestGoal& goal);

// Returns whether the engine's agent should admit the prompt before it is sent:
// the engine is so busy that prompts of several routers at once would make its
// streams late. Thread-safe.
bool NeedsAdmission(const EngineCandidate& candidate,
                    const EnginePace& pace,
                    const RequestGoal& goal);

// Returns the index of the engine with the lowest sum of placement cost and
// jitter, or nullopt if there are no candidates. If other routers are expected
// to have sent requests since the last information, the engines share the
// requests by `ChooseEvenly`. Engines that are avoided or were tried are chosen
// only if there is no other. Thread-safe.
std::optional<std::size_t> ChooseEngine(
    std::span<const EngineCandidate> candidates,
    const EnginePace& pace = kPriorPace,
    const RequestGoal& goal = {});

// Stores the rank of each engine in the order of preference of `adapter`, which
// may be any affinity key. The order is computed by rendezvous hashing: it is
// the same in every router, and engines that come and go do not change the
// order of the others. Precondition: `ranks` has the size of `engines`.
// Thread-safe.
void RankByAffinity(std::string_view adapter,
                    std::span<const std::string_view> engines,
                    std::span<std::size_t> ranks);

// The inputs for one server of a plain service when a call is placed.
struct PlainCandidate {
  std::string_view id;
  bool same_data_centre = true;
  bool avoided = false;
  bool tried = false;
  double error_share = 0;
  int in_flight = 0;  // From this instance.
  int slots = 1;
  std::uint64_t tie_break = 0;
};

// Returns the indices of the servers that a plain call may use: those that it
// has not tried and that are not avoided, as far as there are any. Thread-safe.
std::vector<std::size_t> UsablePlainServers(
    std::span<const PlainCandidate> candidates);

// Returns how many running calls the distance and the failures of a server
// weigh. Thread-safe.
int PlainPenalty(const PlainCandidate& candidate);

// Returns the index of the server for a plain call, or nullopt if there are no
// candidates. Servers of the same data centre are preferred until this instance
// keeps a third of their slots busy. Thread-safe.
std::optional<std::size_t> ChoosePlainServer(
    std::span<const PlainCandidate> candidates);

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_BACKEND_CHOICE_BACKEND_CHOICE_H_
