#ifndef AMARANTHCOVE_SRC_NET_HTTP_ERRORS_H_
#define AMARANTHCOVE_SRC_NET_HTTP_ERRORS_H_

#include <cstdint>
#include <string>

#include "amaranthcove/net/http.h"
#include "src/net/h2o_headers.h"

// The answers by which an HTTP server itself refuses requests. All functions
// are thread-safe, but for `AddErrorFilter`, which belongs to the loop's
// thread.
namespace amaranthcove::internal {

// The answer to a request whose header fields exceed the limit.
HttpResponse HeaderTooLargeAnswer();

// The bytes of the answer to header fields that did not arrive in time; h2o
// knows nothing of such a request.
std::string HeaderTooSlowAnswer();

// Gives the refusals that h2o sends itself under `path` a body in JSON, and
// counts them in `refused`. Precondition: `refused` outlives the path.
void AddErrorFilter(h2o_pathconf_t* path, std::uint64_t* refused);

}  // namespace amaranthcove::internal

#endif  // AMARANTHCOVE_SRC_NET_HTTP_ERRORS_H_
