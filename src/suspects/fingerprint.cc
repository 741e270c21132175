#include "amaranthcove/suspects/fingerprint.h"

#include <string>

#include <nlohmann/json.hpp>

#include "amaranthcove/base/hash.h"

namespace amaranthcove {

namespace {

// Serialising recurses once for each level; a body of 4 MiB could have millions
// of levels and overflow the stack.
constexpr int kMaxDepth = 64;

constexpr const char* kIgnoredFields[] = {
    "model",       "stream", "user", "id", "request_id", "client_request_id",
    "x_request_id"};

std::string Normalise(std::string_view body) {
  using Json = nlohmann::json;
  bool too_deep = false;
  const auto limit_depth = [&too_deep](int depth, Json::parse_event_t,
                                       const Json&) {
    too_deep = too_deep || depth > kMaxDepth;
    return !too_deep;
  };
  Json parsed = Json::parse(body, limit_depth, /*allow_exceptions=*/false);
  if (too_deep || parsed.is_discarded()) {
    return std::string(body);
  }
  if (parsed.is_object()) {
    for (const char* field : kIgnoredFields) {
      parsed.erase(field);
    }
  }
  return parsed.dump();
}

}  // namespace

Fingerprint RequestFingerprint(std::string_view team,
                               std::string_view model,
                               std::string_view body) {
  // Chained seeds keep the borders between the parts significant.
  return Hash64(Normalise(body), Hash64(model, Hash64(team)));
}

}  // namespace amaranthcove
