#ifndef AMARANTHCOVE_NODE_NODE_H_
#define AMARANTHCOVE_NODE_NODE_H_

#include <string>

#include "amaranthcove/node/node_settings.h"

namespace amaranthcove {

// Runs a router or an adapter agent until SIGTERM or SIGINT. A router then
// shuts down gracefully, an adapter agent stops at once. SIGHUP validates
// `file` again and logs the result; changed settings take effect at the next
// start. Returns the exit code: 0 after a stop by signal, 1 if the process
// could not start or a component failed too often. Preconditions: called once,
// on the main thread.
int RunNode(const std::string& file, const NodeSettings& settings);

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_NODE_NODE_H_
