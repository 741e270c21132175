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

// What kind of call a caller made.
enum class CallKind {
  kModel,          // A generation on a model engine.
  kPlain,          // A call of a plain service that may be repeated.
  kOperation,      // A call that must not be repeated, with an operation id.
  kNeedsOperation  // A call that must not be repeated, without a usable id.
};

// A caller's request, checked against the service document in force.
struct CallPlan {
  CallKind kind = CallKind::kModel;
  std::string team;
  std::string base_model;  // kModel.
  std::string model;       // kModel: TEAM/ADAPTER@VERSION, alias resolved.
  std::string service;     // Plain services.
  std::string method;
  std::string path;  // As the backend server gets it.
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

// Whether `path` (without query) belongs to the model API.
bool IsModelPath(std::string_view path);

// Checks `request` and resolves its model or service.
// Errors: an ApiError with outcome not_run. Thread-safe.
tl::expected<CallPlan, ApiError> PlanCall(const HttpRequest& request,
                                          const Catalogue& catalogue);

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_ENTRY_CALL_PLAN_H_
