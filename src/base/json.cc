#include "amaranthcove/base/json.h"

namespace amaranthcove {

namespace {

// Returns whether brackets outside of strings are nested deeper than `limit`.
// In malformed text the count is valid only up to the first error, where the
// parser stops.
bool IsNestedDeeperThan(int limit, std::string_view text) {
  int level = 0;
  bool in_string = false;
  for (std::size_t i = 0; i < text.size(); ++i) {
    const char c = text[i];
    if (in_string) {
      if (c == '\\') {
        ++i;
      } else if (c == '"') {
        in_string = false;
      }
    } else if (c == '"') {
      in_string = true;
    } else if (c == '[' || c == '{') {
      if (++level > limit) {
        return true;
      }
    } else if (c == ']' || c == '}') {
      --level;
    }
  }
  return false;
}

}  // namespace

nlohmann::json ParseJson(std::string_view text) {
  // The depth is checked before parsing. A parser callback that limits the
  // depth makes nlohmann-json search all earlier siblings at the end of each
  // object, which takes quadratic time.
  if (IsNestedDeeperThan(kMaxJsonLevels, text)) {
    return nlohmann::json(nlohmann::json::value_t::discarded);
  }
  return nlohmann::json::parse(text, nullptr, /*allow_exceptions=*/false);
}

}  // namespace amaranthcove
