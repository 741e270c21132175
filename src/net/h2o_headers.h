#ifndef AMARANTHCOVE_SRC_NET_H2O_HEADERS_H_
#define AMARANTHCOVE_SRC_NET_H2O_HEADERS_H_

// A system header, because h2o's inline C functions cause C++ warnings.
#pragma GCC system_header
#include <h2o.h>
#include <h2o/http1client.h>

namespace amaranthcove::internal {

// Keeps `memory` reachable until the process exits. For objects that h2o 2.2.5
// cannot free: a loop that has served sockets, and the queue of a context.
// Must be called on the loop's thread.
void KeepUntilExit(void* memory);

}  // namespace amaranthcove::internal

#endif  // AMARANTHCOVE_SRC_NET_H2O_HEADERS_H_
