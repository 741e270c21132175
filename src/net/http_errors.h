#ifndef AMARANTHCOVE_SRC_NET_HTTP_ERRORS_H_
#define AMARANTHCOVE_SRC_NET_HTTP_ERRORS_H_

#include <cstdint>
#include <string>

#include "amaranthcove/net/http.h"
#include "src/net/h2o_headers.h"

// The error answers that the HTTP server sends without calling the handler. All
// functions are thread-safe, except `AddErrorFilter`, which must be called on
// the loop's thread.
namespace amaranthcove::internal {

// Returns the answer to a request whose header fields exceed the limit.
HttpResponse HeaderTooLargeAnswer();

// Returns the answer to a request that is not well-formed HTTP/1.1.
HttpResponse BadRequestAnswer();

// Returns the encoded answer to a request whose header fields did not arrive in
// time. It is written directly to the socket, because h2o cannot answer a
// request that it has not parsed.
std::string HeaderTooSlowAnswer();

// Likewise, for a request that is not complete in time or does not get on while
// others wait, and for one that there is no memory for.
std::string RequestTooSlowAnswer();
std::string NoMemoryAnswer();

// Replaces the bodies of the errors that h2o itself answers with under `path`
// by JSON, and counts them in `refused`. Precondition: `refused` outlives the
// path.
void AddErrorFilter(h2o_pathconf_t* path, std::uint64_t* refused);

}  // namespace amaranthcove::internal

#endif  // AMARANTHCOVE_SRC_NET_HTTP_ERRORS_H_
