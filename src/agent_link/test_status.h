#ifndef AMARANTHCOVE_SRC_AGENT_LINK_TEST_STATUS_H_
#define AMARANTHCOVE_SRC_AGENT_LINK_TEST_STATUS_H_

#include <cstdint>
#include <string>

#include "amaranthcove/agent_link/datagram.h"

namespace amaranthcove {

// Returns a status for tests, of an engine that holds the model "base" and the
// adapter "silk" in version `silk_version`, or no adapter if `silk_version` is
// negative. Thread-safe.
inline agent_wire::EngineStatus MakeTestStatus(std::int64_t silk_version) {
  agent_wire::EngineStatus status;
  status.sequence = 1;
  status.incarnation = 1;
  status.reachable = true;
  status.models = {"base"};
  if (silk_version >= 0) {
    agent_wire::ResidentAdapter adapter;
    adapter.adapter = "silk";
    adapter.version = silk_version;
    status.resident.push_back(adapter);
  }
  return status;
}

// Returns an encoded datagram that contains `status`. Thread-safe.
inline std::string EncodeTestStatus(const agent_wire::EngineStatus& status) {
  agent_wire::AgentDatagram datagram;
  datagram.__set_status(status);
  return EncodeDatagram(datagram);
}

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_SRC_AGENT_LINK_TEST_STATUS_H_
