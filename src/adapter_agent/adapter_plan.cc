#include "amaranthcove/adapter_agent/adapter_plan.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace amaranthcove {

namespace {

// Loads for late requests come last, but hold up others when their time comes:
// counted in full they drive cold adapters from their engines, not at all they
// make an overloaded engine look idle.
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

// Waits for an adapter that is neither resident in a version that serves nor
// under way.
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
                                       const EngineRoom& room,
                                       std::span<const AgentModel> models,
                                       std::span<const WantedAdapter> wanted) {
  if (report.ordering || !report.models.empty()) {
    return std::nullopt;
  }
  for (const WantedAdapter& item : wanted) {
    for (const AgentModel& model : models) {
      if (model.name == item.target.model &&
          model.weights_mb <= room.weights_mb) {
        return AdapterOrder{AdapterOrder::Action::kLoad, {model.name, "", 0}};
      }
    }
  }
  // An engine without a model serves nobody; the first that fits is loaded
  // before it is asked for.
  for (const AgentModel& model : models) {
    if (model.weights_mb <= room.weights_mb) {
      return AdapterOrder{AdapterOrder::Action::kLoad, {model.name, "", 0}};
    }
  }
  return std::nullopt;
}

// Loads with lower ranks come first.
std::tuple<int, int, Time> LoadRank(const WantedAdapter& item) {
  return {item.rank, -item.waiting, item.waiting_since};
}

const AdapterState* LeastRecentlyUsed(const EngineReport& report,
                                      std::span<const WantedAdapter> wanted,
                                      const LastUses& last_uses,
                                      const Unloading& unloading) {
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

// Adapters that hold a place. An adapter that is being replaced by another
// version is listed twice and holds one place, but counts as two, because the
// engine's accounting of replacements is not known.
int PlacesTaken(const EngineReport& report) {
  return static_cast<int>(report.resident.size() + report.loading.size());
}

}  // namespace

int LoadsAllowed(double load_ms) {
  const double slowdown = std::max(load_ms / kUnslowedLoadMs, 1.0);
  // The measured time includes the way of the report, hence the rounding up.
  return std::clamp(static_cast<int>(std::ceil(kMaxLoadsUnderWay / slowdown)),
                    1, kMaxLoadsUnderWay);
}

double LoadWaitMs(const EngineReport& report,
                  std::span<const WantedAdapter> wanted,
                  double load_ms) {
  const auto fresh = static_cast<int>(std::count_if(
      wanted.begin(), wanted.end(), [&report](const WantedAdapter& item) {
        return item.rank == 0 && NeedsLoad(report, item);
      }));
  const int late = NeededPlaces(report, wanted) - fresh;
  const int ahead = fresh + late / kLateLoadDivisor;
  const int allowed = LoadsAllowed(load_ms);
  const auto under_way = static_cast<std::ptrdiff_t>(report.loading.size());
  const auto queue =
      std::max<std::ptrdiff_t>(ahead + under_way - allowed + 1, 0);
  return load_ms * (1.0 + static_cast<double>(queue) / allowed);
}

int NeededPlaces(const EngineReport& report,
                 std::span<const WantedAdapter> wanted) {
  return static_cast<int>(std::count_if(wanted.begin(), wanted.end(),
                                        [&report](const WantedAdapter& item) {
                                          return NeedsLoad(report, item);
                                        }));
}

std::optional<AdapterOrder> NextOrder(const EngineReport& report,
                                      const EngineRoom& room,
                                      std::span<const AgentModel> models,
                                      std::span<const WantedAdapter> wanted,
                                      const LastUses& last_uses,
                                      const Unloading& unloading,
                                      int loads_allowed) {
  if (report.models.empty()) {
    return ModelOrder(report, room, models, wanted);
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
      static_cast<int>(report.loading.size()) >= loads_allowed) {
    return std::nullopt;
  }
  const AdapterState& target = next->target;
  const bool replaces = FindAdapter(report.resident, target) != nullptr;
  if (replaces || PlacesTaken(report) < room.adapter_places) {
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
               const EngineRoom& room,
               std::span<const WantedAdapter> wanted) {
  int held = static_cast<int>(report.loading.size());
  for (const AdapterState& adapter : report.resident) {
    held += IsWanted(wanted, adapter) ? 1 : 0;
  }
  return std::max(room.adapter_places - held - NeededPlaces(report, wanted), 0);
}

}  // namespace amaranthcove
