#include "amaranthcove/base/ids.h"

#include <limits>
#include <random>

namespace amaranthcove {

Incarnation NewIncarnation() {
  std::random_device source;
  std::uniform_int_distribution<Incarnation> bits(
      1, std::numeric_limits<Incarnation>::max());
  return bits(source);
}

std::string FormatAttemptId(const AttemptId& id) {
  return id.instance + "/" + std::to_string(id.incarnation) + "/" +
         std::to_string(id.number);
}

}  // namespace amaranthcove
