#ifndef AMARANTHCOVE_ENTRY_API_ERROR_H_
#define AMARANTHCOVE_ENTRY_API_ERROR_H_

#include <string>
#include <string_view>

#include "amaranthcove/base/outcome.h"
#include "amaranthcove/base/time.h"
#include "amaranthcove/net/http.h"

namespace amaranthcove {

// An error as a caller sees it.
struct ApiError {
  int status = 500;
  std::string code;     // Stable; see docs/operators.md.
  std::string message;  // One plain sentence.
  Outcome outcome = Outcome::kNotRun;
  Duration retry_after{0};  // 0: trying again makes no sense.
};

// {"error":{"code","message","outcome","request_id"}}. Thread-safe.
std::string ErrorJson(const ApiError& error, std::string_view request_id);

// The whole HTTP answer, with Retry-After in whole seconds. Thread-safe.
HttpResponse ErrorResponse(const ApiError& error, std::string_view request_id);

// The HTTP status for an error code of a sidecar. Thread-safe.
int StatusOfCode(std::string_view code);

// Whether an attempt refused with `code` may succeed on another backend server.
// Thread-safe.
bool IsWorthRetrying(std::string_view code);

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_ENTRY_API_ERROR_H_
