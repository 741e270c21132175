#include "amaranthcove/backends/backend_health.h"

#include <algorithm>

namespace amaranthcove {

namespace {

// Weight of the latest result in the moving mean.
constexpr double kLatestWeight = 0.15;

// Sound services fail up to a seventh of some requests by design, so only a
// clearly higher share says something about the server.
constexpr double kAvoidedErrorShare = 0.5;
constexpr int kMinSamples = 6;

constexpr int kFailuresInARow = 2;
constexpr Duration kFirstPause = std::chrono::milliseconds(500);
constexpr Duration kMaxPause = std::chrono::seconds(4);

void Avoid(BackendHealth& health, Time now) {
  health.last_pause = std::clamp(health.last_pause * 2, kFirstPause, kMaxPause);
  health.avoided_until = now + health.last_pause;
  // The first results after the pause decide anew.
  health.samples = 0;
  health.error_share = 0;
}

bool IsLost(BackendResult result) {
  return result == BackendResult::kBroken || result == BackendResult::kSilent ||
         result == BackendResult::kNotReachable;
}

}  // namespace

void RecordResult(BackendHealth& health, BackendResult result, Time now) {
  const bool failed = result != BackendResult::kServed;
  ++health.samples;
  health.error_share +=
      kLatestWeight * ((failed ? 1.0 : 0.0) - health.error_share);
  health.failed_in_a_row = IsLost(result) ? health.failed_in_a_row + 1 : 0;
  if (!failed) {
    if (!IsAvoided(health, now) && health.samples >= kMinSamples) {
      health.last_pause = Duration::zero();
    }
    return;
  }
  if (IsAvoided(health, now)) {
    return;  // Work from before the pause.
  }
  const bool mostly_fails =
      health.samples >= kMinSamples && health.error_share > kAvoidedErrorShare;
  if (result == BackendResult::kNotReachable || mostly_fails ||
      health.failed_in_a_row >= kFailuresInARow) {
    Avoid(health, now);
  }
}

bool IsAvoided(const BackendHealth& health, Time now) {
  return now < health.avoided_until;
}

}  // namespace amaranthcove
