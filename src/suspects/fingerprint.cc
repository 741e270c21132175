#include "amaranthcove/suspects/fingerprint.h"

#include <string>

#include <nlohmann/json.hpp>

#include "amaranthcove/base/hash.h"
#include "amaranthcove/base/json.h"

namespace amaranthcove {

namespace {

// Top-level fields that do not affect the work.
constexpr const char* kIgnoredFields[] = {
    "model",       "stream", "user", "id", "request_id", "client_request_id",
    "x_request_id"};

// Returns a JSON body in a form that is the same for equivalent requests, and
// any other body as it is.
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
  return SerializeJson(parsed);
}

}  // namespace

Fingerprint RequestFingerprint(std::string_view team,
                               std::string_view model,
                               std::string_view body) {
  // The hashes are chained as seeds, so that the boundaries between the parts
  // affect the result.
  return Hash64(Normalise(body), Hash64(model, Hash64(team)));
}

}  // namespace amaranthcove
