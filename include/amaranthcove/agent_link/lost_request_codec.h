#ifndef AMARANTHCOVE_AGENT_LINK_LOST_REQUEST_CODEC_H_
#define AMARANTHCOVE_AGENT_LINK_LOST_REQUEST_CODEC_H_

#include "amaranthcove/agent_link/datagram.h"
#include "amaranthcove/suspects/crash_cause.h"

namespace amaranthcove {

// Convert a lost request from and to its form in datagrams, which has no
// unsigned numbers. Thread-safe.
agent_wire::LostRequest EncodeLostRequest(const LostRequest& request);
LostRequest DecodeLostRequest(const agent_wire::LostRequest& wire);

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_AGENT_LINK_LOST_REQUEST_CODEC_H_
