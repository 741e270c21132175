#include "amaranthcove/base/json.h"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <cstdlib>
#include <string>

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

// Returns the position after the string that begins at `begin`.
std::size_t EndOfString(std::string_view text, std::size_t begin) {
  for (std::size_t i = begin + 1; i < text.size(); ++i) {
    if (text[i] == '\\') {
      ++i;
    } else if (text[i] == '"') {
      return i + 1;
    }
  }
  return text.size();
}

// Returns the position after the brackets that open at `begin`.
std::size_t EndOfBrackets(std::string_view text, std::size_t begin) {
  std::size_t level = 0;
  for (std::size_t i = begin; i < text.size(); ++i) {
    const char c = text[i];
    if (c == '"') {
      i = EndOfString(text, i) - 1;
    } else if (c == '[' || c == '{') {
      ++level;
    } else if ((c == ']' || c == '}') && --level == 0) {
      return i + 1;
    }
  }
  return text.size();
}

std::size_t EndOfNumber(std::string_view text, std::size_t begin) {
  return std::min(text.find_first_not_of("+-.0123456789eE", begin),
                  text.size());
}

bool IsTooLarge(std::string_view number) {
  return std::isinf(std::strtod(std::string(number).c_str(), nullptr));
}

// Returns `text` with null in place of values that are nested too deep and of
// numbers that are too large.
std::string WithoutOddValues(std::string_view text) {
  constexpr std::string_view kNull = "null";
  std::string result;
  int level = 0;
  std::size_t i = 0;
  while (i < text.size()) {
    const char c = text[i];
    std::size_t end = i + 1;
    std::string_view piece;
    if (c == '"') {
      end = EndOfString(text, i);
    } else if ((c == '[' || c == '{') && level >= kMaxJsonLevels) {
      end = EndOfBrackets(text, i);
      piece = kNull;
    } else if (c == '[' || c == '{') {
      ++level;
    } else if (c == ']' || c == '}') {
      --level;
    } else if (c == '-' || (c >= '0' && c <= '9')) {
      end = EndOfNumber(text, i);
      piece = IsTooLarge(text.substr(i, end - i)) ? kNull : piece;
    }
    result += piece.empty() ? text.substr(i, end - i) : piece;
    i = end;
  }
  return result;
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

nlohmann::json ParseJsonList(std::string_view text) {
  return ParseJson(WithoutOddValues(text));
}

std::string SerializeJson(const nlohmann::json& value) {
  return value.dump(-1, ' ', /*ensure_ascii=*/false,
                    nlohmann::json::error_handler_t::replace);
}

}  // namespace amaranthcove
