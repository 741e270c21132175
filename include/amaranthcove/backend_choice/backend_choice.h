#ifndef AMARANTHCOVE_BACKEND_CHOICE_BACKEND_CHOICE_H_
#define AMARANTHCOVE_BACKEND_CHOICE_BACKEND_CHOICE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "amaranthcove/base/time.h"

namespace amaranthcove {

// Where an engine's copy of an adapter is.
enum class AdapterPlace {
  kResident,  // Serves at once; also for requests of the base model itself.
  kLoading,
  kAbsent,
  kUnknown  // The engine's agent is silent.
};

// What is known of one engine when a generation is placed.
struct EngineCandidate {
  std::string_view id;
  bool same_data_centre = true;
  bool avoided = false;  // Recent failures.
  bool tried = false;    // This request has been there.
  AdapterPlace place = AdapterPlace::kAbsent;
  bool has_model = true;  // False while the base model is not loaded.
  // Position of the engine in the adapter's order of preference.
  std::size_t affinity_rank = 0;
  int running = 0;  // As its agent says.
  int queued = 0;
  // Requests that were sent there, and that began to wait for a load there,
  // since the agent's word: own ones, times the routers that do likewise.
  int recent_sends = 0;
  int recent_waits = 0;
  int free_places = 1;  // For adapters.
  // Until a load that is wanted now would end.
  double load_wait_ms = 250;
  int batch_size = 1;
  // How much longer its work takes than that of a usual engine of the service.
  double slowness = 1;
  // Drawn for each request and engine, from 0 to 1. All routers have the same
  // word of the agents for a quarter of a second; without a draw, they would
  // all choose the same engine meanwhile.
  double draw = 0;
};

// The median of the times between events at the engines of a service; 0 stands
// for an unknown one, and is returned if too few are known. Milliseconds.
// Reorders `intervals_ms`. Thread-safe.
double UsualIntervalMs(std::span<double> intervals_ms);

// The slowness of an engine whose events follow each other in `interval_ms`; 1
// if that or the usual interval is unknown. Thread-safe.
double Slowness(double interval_ms, double usual_interval_ms);

// The expected delay until the first event, beyond what all engines share.
// The draw has no part in it. Milliseconds. Thread-safe.
double ExpectedDelayMs(const EngineCandidate& candidate);

// The index of an engine with the least expected delay, or nearly so by its
// draw; none if there are no candidates. Engines that were avoided or tried are
// chosen only if no other is left. Thread-safe.
std::optional<std::size_t> ChooseEngine(
    std::span<const EngineCandidate> candidates);

// The rank of each engine in the order of preference of `adapter`: the same in
// every router, and little changed by engines that come and go. `ranks` has the
// size of `engines`. Thread-safe.
void RankByAffinity(std::string_view adapter,
                    std::span<const std::string_view> engines,
                    std::span<std::size_t> ranks);

// What is known of one server of a plain service.
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

// The index of the server for a plain call, or none without candidates. Servers
// of the same data centre are preferred until this instance keeps a third of
// their slots busy. Thread-safe.
std::optional<std::size_t> ChoosePlainServer(
    std::span<const PlainCandidate> candidates);

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_BACKEND_CHOICE_BACKEND_CHOICE_H_
