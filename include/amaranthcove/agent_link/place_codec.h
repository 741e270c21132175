#ifndef AMARANTHCOVE_AGENT_LINK_PLACE_CODEC_H_
#define AMARANTHCOVE_AGENT_LINK_PLACE_CODEC_H_

#include <span>
#include <vector>

#include "amaranthcove/agent_link/datagram.h"
#include "amaranthcove/places/place_queue.h"

namespace amaranthcove {

// Convert demands for places and grants from and to their form in datagrams.
// Thread-safe.
agent_wire::PlaceDemand EncodePlaceDemand(const PlaceDemand& demand);
PlaceDemand DecodePlaceDemand(const agent_wire::PlaceDemand& wire);
std::vector<agent_wire::PlaceUse> EncodePlaceUses(
    std::span<const PlaceUse> uses);
std::vector<PlaceUse> DecodePlaceUses(
    std::span<const agent_wire::PlaceUse> wire);

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_AGENT_LINK_PLACE_CODEC_H_
