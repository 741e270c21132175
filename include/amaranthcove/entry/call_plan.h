#ifndef AMARANTHCOVE_ENTRY_CALL_PLAN_H_
#define AMARANTHCOVE_ENTRY_CALL_PLAN_H_

#include <cstdint>
#include <string>

#include <tl/expected.hpp>

#include "amaranthcove/base/time.h"
#include "amaranthcove/entry/api_error.h"
#include "amaranthcove/entry/catalogue.h"
#include "amaranthcove/net/http.h"

namespace amaranthcove {

// The kind of a call.
enum class CallKind {
  kModel,            // Generation on a model engine.
  kPlain,            // Call to a plain service that may be repeated.
  kOperation,        // Call to a plain service with an operation id.
  kNeedsOperationId  // Call that must not be repeated, without a valid id.
};

// A caller's request after validation against the service document in force.
struct CallPlan {
  CallKind kind = CallKind::kModel;
  std::string team;
  std::string base_model;  // Only for kModel.
  std::string model;  // Only for kModel: TEAM/ADAPTER@VERSION, alias resolved.
  std::string service;  // Only for plain services.
  std::string method;
  std::string path;  // As sent to the backend server.
  std::string body;
  std::string content_type;
  std::string operation_id;
  bool streamed = false;
  bool urgent = true;
  Duration deadline{0};
  std::uint64_t fingerprint = 0;
  std::int64_t document_revision = 0;
  Objective objective = Objective::kStalls;
};

// Returns whether `path` (without query) belongs to the model API. Thread-safe.
bool IsModelPath(std::string_view path);

// Validates `request` and resolves its model or service. Errors: an ApiError
// with outcome kNotRun, or kUnknown if a request to a plain service carries an
// operation id. Thread-safe while nothing modifies `catalogue`.
tl::expected<CallPlan, ApiError> PlanCall(const HttpRequest& request,
                                          const Catalogue& catalogue);

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_ENTRY_CALL_PLAN_H_
