#include "amaranthcove/agent_link/lost_request_codec.h"

namespace amaranthcove {

agent_wire::LostRequest EncodeLostRequest(const LostRequest& request) {
  agent_wire::LostRequest wire;
  wire.request = static_cast<std::int64_t>(request.request);
  wire.parts.assign(request.parts.begin(), request.parts.end());
  return wire;
}

LostRequest DecodeLostRequest(const agent_wire::LostRequest& wire) {
  LostRequest request;
  request.request = static_cast<std::uint64_t>(wire.request);
  request.parts.assign(wire.parts.begin(), wire.parts.end());
  return request;
}

}  // namespace amaranthcove
