#include "amaranthcove/places/place_queue.h"

#include <algorithm>
#include <numeric>
#include <optional>
#include <tuple>

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
  std::map<std::int64_t, ServerHash> granted;
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
    state.running[use.id] = use.server;
  }
  return true;
}

std::map<ServerHash, int> PlaceQueue::CallsByServer() const {
  std::map<ServerHash, int> calls;
  for (const auto& [source, state] : sources_) {
    for (const auto& [id, server] : state.granted) {
      ++calls[server];
    }
    for (const auto& [id, server] : state.running) {
      ++calls[server];
    }
  }
  return calls;
}

std::vector<PlaceQueue::Rank> PlaceQueue::RankWaiting(Time now) const {
  std::vector<Rank> ranked;
  for (const auto& [source, state] : sources_) {
    for (const auto& [id, item] : state.waiting) {
      ranked.emplace_back(now >= item.useful_until, item.ask.priority,
                          item.since, source, id);
    }
  }
  std::sort(ranked.begin(), ranked.end());
  return ranked;
}

std::vector<PlaceWait> PlaceQueue::WaitsOf(const Source& source,
                                           Time now) const {
  std::vector<PlaceWait> waits;
  const auto state = sources_.find(source);
  if (state == sources_.end() || state->second.waiting.empty()) {
    return waits;
  }
  int ahead = 0;
  for (const auto& [late, priority, since, owner, id] : RankWaiting(now)) {
    if (owner == source) {
      waits.push_back({id, ahead});
    }
    ahead += owner.second == source.second ? 1 : 0;
  }
  return waits;
}

std::set<PlaceQueue::Source> PlaceQueue::Grant(Time now) {
  const std::vector<Rank> ranked = RankWaiting(now);
  std::set<Source> changed;
  if (ranked.empty()) {
    return changed;
  }
  std::map<ServerHash, int> calls = CallsByServer();
  for (const auto& [late, priority, since, source, id] : ranked) {
    State& state = sources_[source];
    const auto item = state.waiting.find(id);
    const auto server = ChooseServer(item->second.ask.options, calls);
    if (!server) {
      continue;
    }
    ++calls[*server];
    state.granted[id] = *server;
    state.waiting.erase(item);
    changed.insert(source);
  }
  return changed;
}

std::vector<PlaceUse> PlaceQueue::GrantsOf(const Source& source) const {
  std::vector<PlaceUse> grants;
  const auto state = sources_.find(source);
  if (state != sources_.end()) {
    for (const auto& [id, server] : state->second.granted) {
      grants.push_back({id, server});
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
