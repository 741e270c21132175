#ifndef AMARANTHCOVE_NODE_NODE_H_
#define AMARANTHCOVE_NODE_NODE_H_

#include <string>

#include "amaranthcove/node/node_settings.h"

namespace amaranthcove {

// Runs a router or an adapter agent until SIGTERM or SIGINT and the graceful
// stop that follows. SIGHUP reads `file` again and logs whether it is valid;
// addresses take effect with the next start. Returns the exit code: 0 after a
// stop, 1 if the process could not start. Preconditions: called once, on the
// main thread.
int RunNode(const std::string& file, const NodeSettings& settings);

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_NODE_NODE_H_
