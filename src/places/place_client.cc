#include "amaranthcove/places/place_client.h"

#include <algorithm>
#include <utility>

#include "amaranthcove/base/hash.h"

namespace amaranthcove {

namespace {

using std::chrono::milliseconds;

// Intervals at which a demand is repeated: while it has no answer, and while
// calls wait or run.
constexpr Duration kRepeatUnanswered = milliseconds(20);
constexpr Duration kRepeatInterval = milliseconds(100);

}  // namespace

ServerHash HashOfServer(std::string_view id) {
  return Hash64(id);
}

ServiceHash HashOfService(std::string_view name) {
  return Hash64(name);
}

std::optional<Address> ChoosePlaceKeeper(ServiceHash service,
                                         std::span<const Address> agents) {
  std::optional<Address> keeper;
  std::uint64_t best_rank = 0;
  for (const Address& agent : agents) {
    const std::uint64_t rank = Hash64(FormatAddress(agent), service);
    if (!keeper || rank > best_rank) {
      keeper = agent;
      best_rank = rank;
    }
  }
  return keeper;
}

std::optional<Address> PlaceClient::KeeperOf(ServiceHash service,
                                             Time now) const {
  std::vector<Address> usable;
  for (const Address& agent : agents_) {
    const auto avoided = avoided_until_.find(agent);
    if (avoided == avoided_until_.end() || now >= avoided->second) {
      usable.push_back(agent);
    }
  }
  return ChoosePlaceKeeper(service, usable);
}

bool PlaceClient::CanAsk(std::string_view service, Time now) const {
  return KeeperOf(HashOfService(service), now).has_value();
}

std::int64_t PlaceClient::Ask(std::string_view service,
                              std::vector<PlaceOption> options,
                              int priority,
                              Time useful_until,
                              const FairShare& share,
                              Time now) {
  const std::int64_t id = ++last_id_;
  const ServiceHash hash = HashOfService(service);
  services_of_calls_[id] = hash;
  Service& state = services_[hash];
  Asked& asked = state.asked[id];
  asked.ask = {id, std::move(options), priority, Duration::zero(), share};
  asked.useful_until = useful_until;
  asked.asked = now;
  state.next_send = Time();
  return id;
}

bool PlaceClient::IsAnswered(std::int64_t id, Time now) {
  const auto service = services_of_calls_.find(id);
  if (service == services_of_calls_.end()) {
    return false;
  }
  const Service& state = services_[service->second];
  const auto asked = state.asked.find(id);
  if (asked == state.asked.end() || asked->second.answered) {
    return true;
  }
  if (now - asked->second.asked >= kMaxSilence && state.keeper) {
    avoided_until_[*state.keeper] = now + kAvoidSilent;
  }
  return false;
}

void PlaceClient::Start(std::int64_t id,
                        std::string_view service,
                        std::string_view server) {
  const ServiceHash hash = HashOfService(service);
  services_of_calls_[id] = hash;
  Service& state = services_[hash];
  const auto asked = state.asked.find(id);
  // The agent counts a granted call already; another one is news.
  if (asked == state.asked.end() || !asked->second.granted) {
    state.next_send = Time();
  }
  const WorkspaceId workspace = asked == state.asked.end()
                                    ? WorkspaceId{0}
                                    : asked->second.ask.share.workspace;
  state.asked.erase(id);
  state.running[id] = {id, HashOfServer(server), workspace};
}

void PlaceClient::End(std::int64_t id) {
  const auto service = services_of_calls_.find(id);
  if (service == services_of_calls_.end()) {
    return;
  }
  Service& state = services_[service->second];
  state.asked.erase(id);
  state.running.erase(id);
  state.next_send = Time();
  services_of_calls_.erase(service);
}

PlaceDemand PlaceClient::MakeDemand(ServiceHash service,
                                    Service& state,
                                    Time now) {
  PlaceDemand demand;
  demand.incarnation = incarnation_;
  demand.sequence = ++last_sequence_;
  demand.service = service;
  for (auto& [id, asked] : state.asked) {
    asked.ask.useful_for = asked.useful_until - now;
    if (asked.sequence == 0) {
      asked.sequence = demand.sequence;
    }
    demand.asks.push_back(asked.ask);
  }
  for (const auto& [id, use] : state.running) {
    demand.running.push_back(use);
  }
  return demand;
}

std::vector<PlaceClient::Outgoing> PlaceClient::TakeDue(Time now) {
  std::vector<Outgoing> due;
  for (auto& [service, state] : services_) {
    const bool empty = state.asked.empty() && state.running.empty();
    if (now < state.next_send || (empty && state.told_empty)) {
      continue;
    }
    const std::optional<Address> keeper = KeeperOf(service, now);
    if (!keeper) {
      continue;
    }
    state.keeper = keeper;
    const bool unanswered =
        std::any_of(state.asked.begin(), state.asked.end(),
                    [](const auto& item) { return !item.second.answered; });
    due.push_back({*keeper, MakeDemand(service, state, now)});
    state.told_empty = empty;
    state.next_send = now + (unanswered ? kRepeatUnanswered : kRepeatInterval);
  }
  return due;
}

std::vector<PlaceUse> PlaceClient::OnGrants(const Address& agent,
                                            ServiceHash service,
                                            std::int64_t sequence,
                                            std::span<const PlaceUse> grants) {
  std::vector<PlaceUse> news;
  const auto found = services_.find(service);
  if (found == services_.end() || found->second.keeper != agent) {
    return news;
  }
  Service& state = found->second;
  for (auto& [id, asked] : state.asked) {
    asked.answered =
        asked.answered || (asked.sequence != 0 && asked.sequence <= sequence);
  }
  for (const PlaceUse& grant : grants) {
    const auto asked = state.asked.find(grant.id);
    if (asked != state.asked.end() &&
        !std::exchange(asked->second.granted, true)) {
      asked->second.answered = true;
      news.push_back(grant);
    }
  }
  return news;
}

}  // namespace amaranthcove
