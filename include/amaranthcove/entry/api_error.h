#ifndef AMARANTHCOVE_ENTRY_API_ERROR_H_
#define AMARANTHCOVE_ENTRY_API_ERROR_H_

#include <string>
#include <string_view>

#include "amaranthcove/base/outcome.h"
#include "amaranthcove/base/time.h"
#include "amaranthcove/net/http.h"

namespace amaranthcove {

// An error that is returned to a caller.
struct ApiError {
  int status = 500;
  std::string code;     // Stable; see docs/operators.md.
  std::string message;  // One plain sentence.
  Outcome outcome = Outcome::kNotRun;
  Duration retry_after{0};  // Zero if a retry would not help.
};

// Returns the error body {"error":{"code","message","outcome","request_id"}}.
// Thread-safe.
std::string ErrorJson(const ApiError& error, std::string_view request_id);

// Returns the HTTP response for `error`. Adds Retry-After, rounded up to whole
// seconds, if `error.retry_after` is positive. Thread-safe.
HttpResponse ErrorResponse(const ApiError& error, std::string_view request_id);

// Returns the HTTP status for an error code of a sidecar, or 502 if the code is
// unknown. Thread-safe.
int StatusOfCode(std::string_view code);

// Returns whether an attempt that failed with `code` may succeed on another
// backend server; false if the code is unknown. Thread-safe.
bool IsWorthRetrying(std::string_view code);

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_ENTRY_API_ERROR_H_
