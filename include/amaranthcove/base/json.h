#ifndef AMARANTHCOVE_BASE_JSON_H_
#define AMARANTHCOVE_BASE_JSON_H_

#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

namespace amaranthcove {

// Maximum nesting depth of arrays and objects in untrusted JSON. Serialisation
// recurses once per level, so deeper input could overflow the stack.
inline constexpr int kMaxJsonLevels = 64;

// Parses untrusted JSON in time linear in its size. The result is discarded
// (`is_discarded()`) if `text` is malformed or nested deeper than
// `kMaxJsonLevels`. Thread-safe.
nlohmann::json ParseJson(std::string_view text);

// Like `ParseJson`, but values that are nested deeper than `kMaxJsonLevels`,
// and numbers that no double holds, become null instead of making the whole
// text malformed. For lists with items of several writers. Thread-safe.
nlohmann::json ParseJsonList(std::string_view text);

// Returns the text of `value`. Bytes in strings that are not UTF-8 are replaced
// by U+FFFD, since nlohmann-json would throw an exception. Thread-safe.
std::string SerializeJson(const nlohmann::json& value);

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_BASE_JSON_H_
