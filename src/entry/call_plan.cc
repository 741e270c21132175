#include "amaranthcove/entry/call_plan.h"

#include <algorithm>
#include <charconv>
#include <optional>
#include <string_view>

#include <nlohmann/json.hpp>

#include "amaranthcove/base/json.h"
#include "amaranthcove/operations/operation_id.h"
#include "amaranthcove/suspects/fingerprint.h"

namespace amaranthcove {

namespace {

using Json = nlohmann::json;
using PlanResult = tl::expected<CallPlan, ApiError>;

constexpr std::string_view kPlainPrefix = "/s/";
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;

tl::unexpected<ApiError> Refuse(int status,
                                std::string code,
                                std::string message) {
  return tl::unexpected<ApiError>(
      ApiError{status, std::move(code), std::move(message)});
}

int HexValue(char c) {
  if (c >= '0' && c <= '9') {
    return c - '0';
  }
  if (c >= 'a' && c <= 'f') {
    return c - 'a' + 10;
  }
  return c >= 'A' && c <= 'F' ? c - 'A' + 10 : -1;
}

// Returns `path` with percent-encoding decoded, or nullopt if the encoding is
// malformed or encodes a slash, or if the result has a backslash or a control
// character.
std::optional<std::string> DecodePath(std::string_view path) {
  std::string decoded;
  for (std::size_t i = 0; i < path.size(); ++i) {
    char c = path[i];
    if (c == '%') {
      const int high = i + 2 < path.size() ? HexValue(path[i + 1]) : -1;
      const int low = high >= 0 ? HexValue(path[i + 2]) : -1;
      if (low < 0) {
        return std::nullopt;
      }
      c = static_cast<char>(high * 16 + low);
      if (c == '/') {
        return std::nullopt;
      }
      i += 2;
    }
    const auto byte = static_cast<unsigned char>(c);
    if (byte < 0x20 || byte == 0x7F || c == '\\') {
      return std::nullopt;
    }
    decoded.push_back(c);
  }
  return decoded;
}

// Returns whether every server resolves `path` (as sent, without query) inside
// its service. Servers and file systems differ in how they treat "..", "%2e",
// "%2f", "\\" and "..;parameter", so a path with one of these could reach
// another service.
bool StaysInService(std::string_view path) {
  const std::optional<std::string> decoded = DecodePath(path);
  if (!decoded || path.find('#') != std::string_view::npos) {
    return false;
  }
  std::string_view rest = *decoded;
  while (!rest.empty()) {
    const std::size_t end = std::min(rest.find('/'), rest.size());
    const std::string_view segment = rest.substr(0, end);
    const std::string_view name = segment.substr(0, segment.find(';'));
    if (name == "." || name == "..") {
      return false;
    }
    rest.remove_prefix(std::min(end + 1, rest.size()));
  }
  return true;
}

// Sets deadline and urgency from the document's request kind and the caller's
// headers. Returns an error if a header is invalid.
std::optional<ApiError> ApplyKind(const HttpRequest& request,
                                  const ServiceDocument& document,
                                  CallPlan& plan) {
  const auto kind =
      FindRequestKind(document, FindHeader(request.headers, "X-Request-Kind"));
  if (!kind) {
    return ApiError{kBadRequest, "unknown_kind", kind.error().message};
  }
  plan.urgent = (*kind)->urgency == Urgency::kUrgent;
  plan.deadline = (*kind)->deadline;
  const std::string_view timeout =
      FindHeader(request.headers, "X-Request-Timeout-Ms");
  if (timeout.empty()) {
    return std::nullopt;
  }
  std::int64_t milliseconds = 0;
  const char* end = timeout.data() + timeout.size();
  const auto [rest, error] = std::from_chars(timeout.data(), end, milliseconds);
  if (error != std::errc{} || rest != end || milliseconds <= 0) {
    return ApiError{kBadRequest, "bad_timeout",
                    "X-Request-Timeout-Ms is not a positive number."};
  }
  // Compare before the conversion: a huge number would overflow a Duration.
  if (milliseconds < ToMilliseconds(plan.deadline)) {
    plan.deadline = std::chrono::milliseconds(milliseconds);
  }
  return std::nullopt;
}

void ApplyDocument(const CatalogueEntry& entry, CallPlan& plan) {
  plan.team = entry.document.team;
  plan.document_revision = entry.revision;
  plan.objective = entry.document.objective;
}

PlanResult PlanModelCall(const HttpRequest& request,
                         const Catalogue& catalogue) {
  if (request.method != "POST") {
    return Refuse(405, "method_not_allowed", "Use POST.");
  }
  Json body = ParseJson(request.body);
  if (!body.is_object()) {
    return Refuse(kBadRequest, "bad_json",
                  "The body is not a JSON object of at most 64 levels.");
  }
  const auto model = body.find("model");
  if (model == body.end() || !model->is_string()) {
    return Refuse(kBadRequest, "bad_model", "`model` is missing or no string.");
  }
  const auto stream = body.find("stream");
  if (stream != body.end() && !stream->is_boolean()) {
    return Refuse(kBadRequest, "bad_stream", "`stream` is not true or false.");
  }
  const std::string name = model->get<std::string>();
  const std::size_t slash = name.find('/');
  if (slash == std::string::npos) {
    return Refuse(kBadRequest, "bad_model",
                  "`model` is not TEAM/ADAPTER@VERSION or TEAM/ALIAS.");
  }
  const CatalogueEntry* entry = catalogue.Find(name.substr(0, slash));
  if (entry == nullptr) {
    return Refuse(kNotFound, "unknown_team",
                  "No service document is in force for the team.");
  }
  const auto resolved = ResolveModel(entry->document, name.substr(slash + 1));
  if (!resolved) {
    return Refuse(kNotFound, "unknown_model", resolved.error().message);
  }
  CallPlan plan;
  ApplyDocument(*entry, plan);
  if (auto error = ApplyKind(request, entry->document, plan)) {
    return tl::unexpected<ApiError>(std::move(*error));
  }
  plan.base_model = entry->document.base_model;
  plan.model = plan.team + "/" + resolved->adapter + "@" +
               std::to_string(resolved->version);
  plan.method = request.method;
  plan.path = request.path;
  plan.content_type = "application/json";
  plan.streamed = stream != body.end() && stream->get<bool>();
  body["model"] = plan.model;
  plan.body = SerializeJson(body);
  plan.fingerprint = RequestFingerprint(plan.team, plan.model, plan.body);
  return plan;
}

PlanResult PlanPlainCall(const HttpRequest& request,
                         const Catalogue& catalogue) {
  std::string_view rest = request.path;
  if (!StaysInService(rest.substr(0, rest.find('?')))) {
    return Refuse(kBadRequest, "bad_path",
                  "The path has dot segments, a backslash, a fragment, control "
                  "characters, or percent-encoding that is malformed or hides "
                  "a slash.");
  }
  rest.remove_prefix(kPlainPrefix.size());
  const std::size_t team_end = rest.find('/');
  const std::string_view team = rest.substr(0, team_end);
  const std::string_view after_team =
      team_end == std::string_view::npos ? "" : rest.substr(team_end + 1);
  const std::size_t service_end = after_team.find_first_of("/?");
  const std::string_view service = after_team.substr(0, service_end);
  std::string path = "/";
  if (service_end != std::string_view::npos) {
    path = after_team.substr(service_end);
    if (path.front() == '?') {
      path.insert(path.begin(), '/');
    }
  }
  const CatalogueEntry* entry = catalogue.Find(team);
  if (entry == nullptr) {
    return Refuse(kNotFound, "unknown_team",
                  "No service document is in force for the team.");
  }
  if (!entry->document.plain_services.contains(service)) {
    return Refuse(kNotFound, "unknown_service",
                  "The team's service document has no such service.");
  }
  CallPlan plan;
  ApplyDocument(*entry, plan);
  if (auto error = ApplyKind(request, entry->document, plan)) {
    return tl::unexpected<ApiError>(std::move(*error));
  }
  plan.service = service;
  plan.method = request.method;
  plan.path = std::move(path);
  plan.body = request.body;
  plan.content_type = FindHeader(request.headers, "Content-Type");
  const std::string_view key = FindHeader(request.headers, "Idempotency-Key");
  if (ParseOperationId(key)) {
    plan.kind = CallKind::kOperation;
    plan.operation_id = key;
  } else if (IsNeverRepeat(entry->document, service, plan.method, plan.path)) {
    plan.kind = CallKind::kNeedsOperationId;
  } else {
    plan.kind = CallKind::kPlain;
  }
  return plan;
}

}  // namespace

bool IsModelPath(std::string_view path) {
  return path == "/v1/completions" || path == "/v1/chat/completions";
}

PlanResult PlanCall(const HttpRequest& request, const Catalogue& catalogue) {
  if (IsModelPath(request.path)) {
    return PlanModelCall(request, catalogue);
  }
  if (request.path.starts_with(kPlainPrefix)) {
    PlanResult plan = PlanPlainCall(request, catalogue);
    if (!plan &&
        ParseOperationId(FindHeader(request.headers, "Idempotency-Key"))) {
      // The operation may have run under an earlier document.
      plan.error().outcome = Outcome::kUnknown;
    }
    return plan;
  }
  return Refuse(kNotFound, "unknown_path", "There is nothing at this path.");
}

}  // namespace amaranthcove
