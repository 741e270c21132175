#include "amaranthcove/places/place_queue.h"

#include <algorithm>
#include <numeric>
#include <optional>

namespace amaranthcove {

namespace {

// Bounds what one router can make an agent keep.
constexpr std::size_t kMaxAsksOfRouter = 4096;

// Returns the server with the fewest calls for a call, or nullopt if all are
// full.
std::optional<ServerHash> ChooseServer(const std::vector<PlaceOption>& options,
                                       const std::map<ServerHash, int>& calls) {
  std::optional<ServerHash> best;
  int best_load = 0;
  for (const PlaceOption& option : options) {
    const auto found = calls.find(option.server);
    const int in_use = found == calls.end() ? 0 : found->second;
    if (in_use >= option.places) {
      continue;
    }
    const int load = in_use + option.penalty;
    if (!best || load < best_load) {
      best = option.server;
      best_load = load;
    }
  }
  return best;
}

}  // namespace

Duration ExpectedPlaceWait(int ahead, int places, Duration service_time) {
  return service_time * (ahead + 1) / places;
}

bool PlaceQueue::Put(const Address& router, PlaceDemand demand, Time now) {
  State& state = sources_[{router, demand.service}];
  if (state.incarnation == demand.incarnation &&
      state.sequence >= demand.sequence) {
    return false;
  }
  if (state.incarnation != demand.incarnation) {
    state = {};
    state.incarnation = demand.incarnation;
  }
  state.sequence = demand.sequence;
  state.received = now;
  std::map<std::int64_t, Waiting> waiting;
  std::map<std::int64_t, PlaceUse> granted;
  for (PlaceAsk& ask : demand.asks) {
    if (waiting.size() + granted.size() >= kMaxAsksOfRouter) {
      break;
    }
    const auto grant = state.granted.find(ask.id);
    if (grant != state.granted.end()) {
      granted.insert(*grant);
      continue;
    }
    const auto known = state.waiting.find(ask.id);
    Waiting& item = waiting[ask.id];
    item.since = known == state.waiting.end() ? now : known->second.since;
    item.useful_until = now + ask.useful_for;
    item.ask = std::move(ask);
  }
  state.waiting = std::move(waiting);
  state.granted = std::move(granted);
  state.running.clear();
  for (const PlaceUse& use : demand.running) {
    state.running[use.id] = use;
  }
  return true;
}

PlaceQueue::CallCounts PlaceQueue::CountCalls(Time now) const {
  CallCounts counts = {{}, CountsAt(recent_, now)};
  for (const auto& [source, state] : sources_) {
    for (const auto* calls : {&state.granted, &state.running}) {
      for (const auto& [id, use] : *calls) {
        ++counts.by_server[use.server];
        counts.by_workspace[use.workspace] += 1;
      }
    }
  }
  return counts;
}

std::vector<PlaceQueue::CallKey> PlaceQueue::OrderWaiting(
    const CallCounts& counts,
    Time now) const {
  std::vector<FairRequest> requests;
  std::vector<CallKey> keys;
  for (const auto& [source, state] : sources_) {
    for (const auto& [id, item] : state.waiting) {
      requests.push_back({now >= item.useful_until, item.ask.priority,
                          item.ask.share, item.since});
      keys.emplace_back(source, id);
    }
  }
  std::vector<CallKey> ordered;
  ordered.reserve(keys.size());
  for (const std::size_t index : FairOrder(requests, counts.by_workspace)) {
    ordered.push_back(keys[index]);
  }
  return ordered;
}

std::vector<PlaceWait> PlaceQueue::WaitsOf(const Source& source,
                                           Time now) const {
  std::vector<PlaceWait> waits;
  const auto state = sources_.find(source);
  if (state == sources_.end() || state->second.waiting.empty()) {
    return waits;
  }
  int ahead = 0;
  for (const auto& [owner, id] : OrderWaiting(CountCalls(now), now)) {
    if (owner == source) {
      waits.push_back({id, ahead});
    }
    ahead += owner.second == source.second ? 1 : 0;
  }
  return waits;
}

std::set<PlaceQueue::Source> PlaceQueue::Grant(Time now) {
  std::set<Source> changed;
  CallCounts counts = CountCalls(now);
  for (const auto& [source, id] : OrderWaiting(counts, now)) {
    State& state = sources_[source];
    const auto item = state.waiting.find(id);
    const PlaceAsk& ask = item->second.ask;
    const auto server = ChooseServer(ask.options, counts.by_server);
    if (!server) {
      continue;
    }
    ++counts.by_server[*server];
    AddService(recent_, ask.share.workspace, now);
    state.granted[id] = {id, *server, ask.share.workspace};
    state.waiting.erase(item);
    changed.insert(source);
  }
  return changed;
}

std::vector<PlaceUse> PlaceQueue::GrantsOf(const Source& source) const {
  std::vector<PlaceUse> grants;
  const auto state = sources_.find(source);
  if (state != sources_.end()) {
    for (const auto& [id, grant] : state->second.granted) {
      grants.push_back(grant);
    }
  }
  return grants;
}

std::int64_t PlaceQueue::SequenceOf(const Source& source) const {
  const auto state = sources_.find(source);
  return state == sources_.end() ? 0 : state->second.sequence;
}

void PlaceQueue::Expire(Time now) {
  std::erase_if(sources_, [now](const auto& item) {
    const State& state = item.second;
    return now - state.received >= kDemandLifetime;
  });
}

std::size_t PlaceQueue::waiting() const {
  return std::accumulate(sources_.begin(), sources_.end(), std::size_t{0},
                         [](std::size_t sum, const auto& item) {
                           return sum + item.second.waiting.size();
                         });
}

std::size_t PlaceQueue::in_use() const {
  return std::accumulate(sources_.begin(), sources_.end(), std::size_t{0},
                         [](std::size_t sum, const auto& item) {
                           return sum + item.second.granted.size() +
                                  item.second.running.size();
                         });
}

}  // namespace amaranthcove
