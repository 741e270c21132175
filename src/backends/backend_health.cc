#include "amaranthcove/backends/backend_health.h"

#include <algorithm>

namespace amaranthcove {

namespace {

// Weight of the latest result in the moving mean of errors.
constexpr double kLatestWeight = 0.15;

// A server whose share of errors is above this is avoided. Healthy services
// fail up to a seventh of some kinds of requests by design, so only a clearly
// higher share indicates a fault of the server.
constexpr double kAvoidedErrorShare = 0.5;
constexpr int kMinSamples = 6;

constexpr int kAvoidedConsecutiveFailures = 2;
constexpr Duration kMinBackoff = std::chrono::milliseconds(500);
constexpr Duration kMaxBackoff = std::chrono::seconds(4);

void Avoid(BackendHealth& health, Time now) {
  health.last_backoff =
      std::clamp(health.last_backoff * 2, kMinBackoff, kMaxBackoff);
  health.avoided_until = now + health.last_backoff;
  // The share of errors is measured afresh after the backoff.
  health.samples = 0;
  health.error_share = 0;
}

bool IsTransportFailure(BackendResult result) {
  return result == BackendResult::kBroken || result == BackendResult::kSilent ||
         result == BackendResult::kNotReachable;
}

}  // namespace

void RecordResult(BackendHealth& health, BackendResult result, Time now) {
  const bool failed = result != BackendResult::kServed;
  ++health.samples;
  health.error_share +=
      kLatestWeight * ((failed ? 1.0 : 0.0) - health.error_share);
  health.consecutive_failures =
      IsTransportFailure(result) ? health.consecutive_failures + 1 : 0;
  if (!failed) {
    if (!IsAvoided(health, now) && health.samples >= kMinSamples) {
      health.last_backoff = Duration::zero();
    }
    return;
  }
  if (IsAvoided(health, now)) {
    return;  // Was sent before the server was avoided.
  }
  const bool mostly_fails =
      health.samples >= kMinSamples && health.error_share > kAvoidedErrorShare;
  if (result == BackendResult::kNotReachable || mostly_fails ||
      health.consecutive_failures >= kAvoidedConsecutiveFailures) {
    Avoid(health, now);
  }
}

bool IsAvoided(const BackendHealth& health, Time now) {
  return now < health.avoided_until;
}

}  // namespace amaranthcove
