#include "amaranthcove/entry/api_error.h"

#include <algorithm>
#include <array>
#include <chrono>

#include "amaranthcove/base/json.h"

namespace amaranthcove {

namespace {

struct CodeInfo {
  std::string_view code;
  int status;
  bool retry;
};

// Error codes of sidecars. Other codes map to 502 and are not retried.
constexpr std::array kCodes = {
    CodeInfo{"leaving", 503, true},
    CodeInfo{"queue_full", 503, true},
    CodeInfo{"backend_not_ready", 503, true},
    CodeInfo{"backend_unreachable", 503, true},
    CodeInfo{"sidecar_unreachable", 503, true},
    CodeInfo{"load_failed", 503, true},
    CodeInfo{"engine_refused", 503, true},
    CodeInfo{"not_received", 503, true},
    CodeInfo{"stale_document", 503, true},
    CodeInfo{"attempt_over", 503, true},
    CodeInfo{"operations_full", 503, true},
    CodeInfo{"engine_restarted", 502, true},
    CodeInfo{"answer_broken", 502, true},
    CodeInfo{"answer_lost", 502, true},
    CodeInfo{"sidecar_lost", 502, true},
    CodeInfo{"wrong_answer", 502, true},
    CodeInfo{"wrong_service", 409, true},
    CodeInfo{"deadline_too_short", 503, false},
    CodeInfo{"deadline_exceeded", 504, false},
    CodeInfo{"crashes_server", 422, false},
    CodeInfo{"operation_mismatch", 409, false},
    CodeInfo{"operation_lost", 409, false},
    CodeInfo{"operation_retired", 409, false},
    CodeInfo{"operation_unknown", 428, false},
};

constexpr int kBadGateway = 502;

const CodeInfo* FindCode(std::string_view code) {
  const auto* found =
      std::find_if(kCodes.begin(), kCodes.end(),
                   [&](const CodeInfo& info) { return info.code == code; });
  return found == kCodes.end() ? nullptr : found;
}

}  // namespace

std::string ErrorJson(const ApiError& error, std::string_view request_id) {
  const nlohmann::json json = {{"error",
                                {{"code", error.code},
                                 {"message", error.message},
                                 {"outcome", OutcomeName(error.outcome)},
                                 {"request_id", request_id}}}};
  return SerializeJson(json);
}

HttpResponse ErrorResponse(const ApiError& error, std::string_view request_id) {
  HttpResponse response;
  response.status = error.status;
  response.body = ErrorJson(error, request_id);
  response.headers = {{"Content-Type", "application/json"},
                      {"X-Request-Id", std::string(request_id)}};
  if (error.retry_after > Duration(0)) {
    const auto seconds =
        std::chrono::ceil<std::chrono::seconds>(error.retry_after);
    response.headers.push_back(
        {"Retry-After", std::to_string(seconds.count())});
  }
  return response;
}

int StatusOfCode(std::string_view code) {
  const CodeInfo* info = FindCode(code);
  return info == nullptr ? kBadGateway : info->status;
}

bool IsWorthRetrying(std::string_view code) {
  const CodeInfo* info = FindCode(code);
  return info != nullptr && info->retry;
}

}  // namespace amaranthcove
