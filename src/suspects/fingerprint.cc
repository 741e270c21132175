#include "amaranthcove/suspects/fingerprint.h"

#include <string>

#include <nlohmann/json.hpp>

#include "amaranthcove/base/hash.h"
#include "amaranthcove/base/json.h"

namespace amaranthcove {

namespace {

constexpr const char* kIgnoredFields[] = {
    "model",       "stream", "user", "id", "request_id", "client_request_id",
    "x_request_id"};

std::string Normalise(std::string_view body) {
  nlohmann::json parsed = ParseJson(body);
  if (parsed.is_discarded()) {
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
