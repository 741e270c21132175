#ifndef AMARANTHCOVE_AGENT_LINK_DATAGRAM_H_
#define AMARANTHCOVE_AGENT_LINK_DATAGRAM_H_

#include <string>
#include <string_view>

#include <agent_link_types.h>

#include "amaranthcove/base/error.h"

namespace amaranthcove {

// The bytes of one datagram between a router and an adapter agent.
std::string EncodeDatagram(const agent_wire::AgentDatagram& datagram);

// Errors: kInvalidArgument if `bytes` are no datagram. Fields that this release
// does not know are skipped. Thread-safe.
Result<agent_wire::AgentDatagram> DecodeDatagram(std::string_view bytes);

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_AGENT_LINK_DATAGRAM_H_
