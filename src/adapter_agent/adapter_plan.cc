#include "amaranthcove/adapter_agent/adapter_plan.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace amaranthcove {

namespace {

// Weight of loads for late requests in the expected wait. They come last but
// still delay other loads once they run. With full weight, cold adapters are
// driven from their engines; with none, an overloaded engine looks idle.
constexpr int kLateLoadDivisor = 4;

bool IsSameAdapter(const AdapterState& a, const AdapterState& b) {
  return a.adapter == b.adapter && a.model == b.model;
}

const AdapterState* FindAdapter(std::span<const AdapterState> adapters,
                                const AdapterState& target) {
  const auto found = std::find_if(adapters.begin(), adapters.end(),
                                  [&target](const AdapterState& adapter) {
                                    return IsSameAdapter(adapter, target);
                                  });
  return found == adapters.end() ? nullptr : &*found;
}

bool HasModel(const EngineReport& report, std::string_view model) {
  return std::find(report.models.begin(), report.models.end(), model) !=
         report.models.end();
}

bool IsWanted(std::span<const WantedAdapter> wanted,
              const AdapterState& adapter) {
  return std::any_of(wanted.begin(), wanted.end(),
                     [&adapter](const WantedAdapter& item) {
                       return (item.waiting > 0 || item.running > 0) &&
                              IsSameAdapter(item.target, adapter);
                     });
}

// Returns whether requests wait for an adapter that is neither loading nor
// resident in a version that serves them.
bool NeedsLoad(const EngineReport& report, const WantedAdapter& item) {
  if (item.waiting == 0 || item.target.adapter.empty() ||
      !HasModel(report, item.target.model)) {
    return false;
  }
  if (FindAdapter(report.loading, item.target) != nullptr) {
    return false;
  }
  const AdapterState* resident = FindAdapter(report.resident, item.target);
  return resident == nullptr || resident->version < item.target.version;
}

std::optional<AdapterOrder> ModelOrder(const EngineReport& report,
                                       const EngineCapacity& capacity,
                                       std::span<const AgentModel> models,
                                       std::span<const WantedAdapter> wanted) {
  if (report.ordering || !report.models.empty()) {
    return std::nullopt;
  }
  for (const WantedAdapter& item : wanted) {
    for (const AgentModel& model : models) {
      if (model.name == item.target.model &&
          model.weights_mb <= capacity.weights_mb) {
        return AdapterOrder{AdapterOrder::Action::kLoad, {model.name, "", 0}};
      }
    }
  }
  // An engine without a model serves no requests, so the first model that fits
  // is loaded without a demand.
  for (const AgentModel& model : models) {
    if (model.weights_mb <= capacity.weights_mb) {
      return AdapterOrder{AdapterOrder::Action::kLoad, {model.name, "", 0}};
    }
  }
  return std::nullopt;
}

// Returns the sort key of a load; lower keys are loaded first.
std::tuple<int, int, Time> LoadRank(const WantedAdapter& item) {
  return {item.rank, -item.waiting, item.waiting_since};
}

const AdapterState* LeastRecentlyUsed(const EngineReport& report,
                                      std::span<const WantedAdapter> wanted,
                                      const LastUseTimes& last_uses,
                                      const PendingUnloads& unloading) {
  const AdapterState* oldest = nullptr;
  Time oldest_use;
  for (const AdapterState& adapter : report.resident) {
    if (IsWanted(wanted, adapter) ||
        unloading.contains({adapter.model, adapter.adapter})) {
      continue;
    }
    const auto use = last_uses.find({adapter.model, adapter.adapter});
    const Time used = use == last_uses.end() ? Time() : use->second;
    if (oldest == nullptr || used < oldest_use) {
      oldest = &adapter;
      oldest_use = used;
    }
  }
  return oldest;
}

// Returns the number of adapter places in use. An adapter that is being
// replaced by another version is both resident and loading, and is counted
// twice, because it is not known how the engine counts replacements.
int PlacesTaken(const EngineReport& report) {
  return static_cast<int>(report.resident.size() + report.loading.size());
}

}  // namespace

int ConcurrentLoadLimit(double load_ms) {
  const double slowdown = std::max(load_ms / kUncontendedLoadMs, 1.0);
  // `load_ms` includes the delay until the report of the load, hence the
  // rounding up.
  return std::clamp(static_cast<int>(std::ceil(kMaxConcurrentLoads / slowdown)),
                    1, kMaxConcurrentLoads);
}

double LoadWaitMs(const EngineReport& report,
                  std::span<const WantedAdapter> wanted,
                  double load_ms) {
  const auto on_time = static_cast<int>(std::count_if(
      wanted.begin(), wanted.end(), [&report](const WantedAdapter& item) {
        return item.rank == 0 && NeedsLoad(report, item);
      }));
  const int late = NeededPlaces(report, wanted) - on_time;
  const int ahead = on_time + late / kLateLoadDivisor;
  const int limit = ConcurrentLoadLimit(load_ms);
  const auto under_way = static_cast<std::ptrdiff_t>(report.loading.size());
  const auto queue = std::max<std::ptrdiff_t>(ahead + under_way - limit + 1, 0);
  return load_ms * (1.0 + static_cast<double>(queue) / limit);
}

int NeededPlaces(const EngineReport& report,
                 std::span<const WantedAdapter> wanted) {
  return static_cast<int>(std::count_if(wanted.begin(), wanted.end(),
                                        [&report](const WantedAdapter& item) {
                                          return NeedsLoad(report, item);
                                        }));
}

std::optional<AdapterOrder> NextOrder(const EngineReport& report,
                                      const EngineCapacity& capacity,
                                      std::span<const AgentModel> models,
                                      std::span<const WantedAdapter> wanted,
                                      const LastUseTimes& last_uses,
                                      const PendingUnloads& unloading,
                                      int load_limit) {
  if (report.models.empty()) {
    return ModelOrder(report, capacity, models, wanted);
  }
  const WantedAdapter* next = nullptr;
  for (const WantedAdapter& item : wanted) {
    if (!NeedsLoad(report, item)) {
      continue;
    }
    if (next == nullptr || LoadRank(item) < LoadRank(*next)) {
      next = &item;
    }
  }
  if (next == nullptr ||
      static_cast<int>(report.loading.size()) >= load_limit) {
    return std::nullopt;
  }
  const AdapterState& target = next->target;
  const bool replaces = FindAdapter(report.resident, target) != nullptr;
  if (replaces || PlacesTaken(report) < capacity.adapter_places) {
    return AdapterOrder{AdapterOrder::Action::kLoad, target};
  }
  if (static_cast<int>(unloading.size()) >= NeededPlaces(report, wanted)) {
    return std::nullopt;
  }
  const AdapterState* oldest =
      LeastRecentlyUsed(report, wanted, last_uses, unloading);
  if (oldest == nullptr) {
    return std::nullopt;
  }
  return AdapterOrder{AdapterOrder::Action::kUnload,
                      {oldest->model, oldest->adapter, 0}};
}

int FreePlaces(const EngineReport& report,
               const EngineCapacity& capacity,
               std::span<const WantedAdapter> wanted) {
  int held = static_cast<int>(report.loading.size());
  for (const AdapterState& adapter : report.resident) {
    held += IsWanted(wanted, adapter) ? 1 : 0;
  }
  return std::max(capacity.adapter_places - held - NeededPlaces(report, wanted),
                  0);
}

}  // namespace amaranthcove
