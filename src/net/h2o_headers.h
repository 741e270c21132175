#ifndef AMARANTHCOVE_SRC_NET_H2O_HEADERS_H_
#define AMARANTHCOVE_SRC_NET_H2O_HEADERS_H_

// h2o is C and its inline functions break this project's C++ warnings.
#pragma GCC system_header
#include <h2o.h>
#include <h2o/http1client.h>

#endif  // AMARANTHCOVE_SRC_NET_H2O_HEADERS_H_
