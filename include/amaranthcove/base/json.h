#ifndef AMARANTHCOVE_BASE_JSON_H_
#define AMARANTHCOVE_BASE_JSON_H_

#include <string_view>

#include <nlohmann/json.hpp>

namespace amaranthcove {

// Levels of arrays and objects that JSON from outside may have. Writing JSON
// recurses once for each level, so a hostile body could overflow the stack.
inline constexpr int kMaxJsonLevels = 64;

// Parses JSON from outside in time linear in its size. The result is discarded
// (`is_discarded()`) if `text` is malformed or has more than `kMaxJsonLevels`
// levels. Thread-safe.
nlohmann::json ParseJson(std::string_view text);

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_BASE_JSON_H_
