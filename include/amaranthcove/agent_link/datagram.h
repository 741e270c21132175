#ifndef AMARANTHCOVE_AGENT_LINK_DATAGRAM_H_
#define AMARANTHCOVE_AGENT_LINK_DATAGRAM_H_

#include <string>
#include <string_view>

#include <agent_link_types.h>

#include "amaranthcove/base/error.h"

namespace amaranthcove {

// Returns the encoded datagram, as sent between a router and an adapter agent.
// Thread-safe.
std::string EncodeDatagram(const agent_wire::AgentDatagram& datagram);

// Decodes a datagram. Skips fields that this release does not know. Errors:
// kInvalidArgument if `bytes` is not a valid datagram. Thread-safe.
Result<agent_wire::AgentDatagram> DecodeDatagram(std::string_view bytes);

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_AGENT_LINK_DATAGRAM_H_
