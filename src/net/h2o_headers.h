#ifndef AMARANTHCOVE_SRC_NET_H2O_HEADERS_H_
#define AMARANTHCOVE_SRC_NET_H2O_HEADERS_H_

// h2o is C and its inline functions break this project's C++ warnings.
#pragma GCC system_header
#include <h2o.h>
#include <h2o/http1client.h>

namespace amaranthcove::internal {

// Keeps memory of h2o that 2.2.5 cannot free: a loop that has served sockets,
// and the queue of a context. Belongs to the loop's thread.
void KeepUntilExit(void* memory);

}  // namespace amaranthcove::internal

#endif  // AMARANTHCOVE_SRC_NET_H2O_HEADERS_H_
