#include "amaranthcove/base/time.h"

namespace amaranthcove {

std::string FormatSeconds(Duration duration) {
  constexpr std::int64_t kPerSecond = 1000;
  // The added digit keeps the zeros after the point.
  const std::string digits =
      std::to_string(ToMilliseconds(duration) % kPerSecond + kPerSecond);
  return std::to_string(ToMilliseconds(duration) / kPerSecond) + "." +
         digits.substr(1);
}

}  // namespace amaranthcove
