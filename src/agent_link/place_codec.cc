#include "amaranthcove/agent_link/place_codec.h"

#include <algorithm>
#include <cstdint>
#include <utility>

namespace amaranthcove {

namespace {

// A call that is useful for longer is useful for as long as it lives.
constexpr std::int64_t kMaxUsefulMs = 3'600'000;

agent_wire::PlaceAsk Encode(const PlaceAsk& ask) {
  agent_wire::PlaceAsk wire;
  wire.id = ask.id;
  wire.priority = ask.priority;
  wire.useful_ms = ToMilliseconds(ask.useful_for);
  wire.workspace = static_cast<std::int64_t>(ask.share.workspace);
  wire.weight = ask.share.weight;
  for (const PlaceOption& option : ask.options) {
    agent_wire::PlaceOption item;
    item.server = static_cast<std::int64_t>(option.server);
    item.places = option.places;
    item.penalty = option.penalty;
    wire.options.push_back(item);
  }
  return wire;
}

PlaceAsk Decode(const agent_wire::PlaceAsk& wire) {
  PlaceAsk ask;
  ask.id = wire.id;
  ask.priority = wire.priority;
  ask.useful_for = std::chrono::milliseconds(
      std::clamp<std::int64_t>(wire.useful_ms, 0, kMaxUsefulMs));
  ask.share = {static_cast<WorkspaceId>(wire.workspace), wire.weight};
  for (const agent_wire::PlaceOption& option : wire.options) {
    ask.options.push_back({static_cast<ServerHash>(option.server),
                           option.places, std::max(option.penalty, 0)});
  }
  return ask;
}

}  // namespace

agent_wire::PlaceDemand EncodePlaceDemand(const PlaceDemand& demand) {
  agent_wire::PlaceDemand wire;
  wire.incarnation = demand.incarnation;
  wire.sequence = demand.sequence;
  wire.service_hash = static_cast<std::int64_t>(demand.service);
  for (const PlaceAsk& ask : demand.asks) {
    wire.asks.push_back(Encode(ask));
  }
  wire.running = EncodePlaceUses(demand.running);
  return wire;
}

PlaceDemand DecodePlaceDemand(const agent_wire::PlaceDemand& wire) {
  PlaceDemand demand;
  demand.incarnation = wire.incarnation;
  demand.sequence = wire.sequence;
  demand.service = static_cast<ServiceHash>(wire.service_hash);
  for (const agent_wire::PlaceAsk& ask : wire.asks) {
    demand.asks.push_back(Decode(ask));
  }
  demand.running = DecodePlaceUses(wire.running);
  return demand;
}

std::vector<agent_wire::PlaceUse> EncodePlaceUses(
    std::span<const PlaceUse> uses) {
  std::vector<agent_wire::PlaceUse> wire;
  for (const PlaceUse& use : uses) {
    agent_wire::PlaceUse item;
    item.id = use.id;
    item.server = static_cast<std::int64_t>(use.server);
    item.workspace = static_cast<std::int64_t>(use.workspace);
    wire.push_back(item);
  }
  return wire;
}

std::vector<PlaceUse> DecodePlaceUses(
    std::span<const agent_wire::PlaceUse> wire) {
  std::vector<PlaceUse> uses;
  for (const agent_wire::PlaceUse& item : wire) {
    uses.push_back({item.id, static_cast<ServerHash>(item.server),
                    static_cast<WorkspaceId>(item.workspace)});
  }
  return uses;
}

}  // namespace amaranthcove
