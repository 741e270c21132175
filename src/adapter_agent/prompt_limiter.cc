#include "amaranthcove/adapter_agent/prompt_limiter.h"

#include <algorithm>
#include <cmath>

namespace amaranthcove {

namespace {

constexpr double kDecayTimeS = 20;
// Less evidence of a router is forgotten.
constexpr double kMinEvidence = 0.1;

// Fewer pauses do not tell which share is late.
constexpr double kMinLongPauses = 20;
// Above the first share of late pauses prompts are held back, or more than
// before; below the second one, less.
constexpr double kLateShare = 0.15;
constexpr double kFewLateShare = 0.05;

// Prompts are held back if one of this many routers has seen late pauses, or if
// so many routers have.
constexpr int kRoutersPerWitness = 4;
constexpr int kEnoughWitnesses = 3;

constexpr Duration kAdjustInterval = std::chrono::seconds(1);
constexpr int kMinLongPausesToAdjust = 10;
constexpr double kWiden = 1.25;
constexpr double kNarrow = 0.7;
// A wider window limits nothing.
constexpr double kMaxScale = 8;

void Decay(PromptLimiter& limiter, Time now) {
  const double kept =
      std::exp(-std::max(ToSeconds(now - limiter.decayed), 0.0) / kDecayTimeS);
  limiter.decayed = now;
  for (auto& [router, evidence] : limiter.evidence) {
    evidence.long_pauses *= kept;
    evidence.late_pauses *= kept;
  }
  std::erase_if(limiter.evidence, [](const auto& item) {
    return item.second.long_pauses < kMinEvidence;
  });
}

bool AreStreamsLate(const PromptLimiter& limiter, int routers) {
  double long_pauses = 0;
  double late_pauses = 0;
  int witnesses = 0;
  for (const auto& [router, evidence] : limiter.evidence) {
    long_pauses += evidence.long_pauses;
    late_pauses += evidence.late_pauses;
    witnesses += evidence.late_pauses >= 1 ? 1 : 0;
  }
  const bool has_witnesses =
      witnesses >= kEnoughWitnesses ||
      (witnesses > 0 && witnesses * kRoutersPerWitness >= routers);
  return has_witnesses && long_pauses >= kMinLongPauses &&
         late_pauses >= kLateShare * long_pauses;
}

}  // namespace

void AddPauses(PromptLimiter& limiter,
               const Address& router,
               const PauseCounts& added,
               int routers,
               Time now) {
  if (added.long_pauses <= 0) {
    return;
  }
  Decay(limiter, now);
  PromptLimiter::Evidence& evidence = limiter.evidence[router];
  evidence.long_pauses += static_cast<double>(added.long_pauses);
  evidence.late_pauses += static_cast<double>(added.late_pauses);
  limiter.long_pauses += added.long_pauses;
  limiter.late_pauses += added.late_pauses;
  if (!limiter.limited && AreStreamsLate(limiter, routers)) {
    limiter.limited = true;
    limiter.scale = 1;
    limiter.adjusted = now;
    limiter.long_pauses = 0;
    limiter.late_pauses = 0;
  }
}

void AdjustWindow(PromptLimiter& limiter, Time now) {
  if (!limiter.limited || now - limiter.adjusted < kAdjustInterval) {
    return;
  }
  const auto long_pauses = static_cast<double>(limiter.long_pauses);
  const auto late_pauses = static_cast<double>(limiter.late_pauses);
  const bool is_known = limiter.long_pauses >= kMinLongPausesToAdjust;
  if (is_known && late_pauses >= kLateShare * long_pauses) {
    limiter.scale = std::max(limiter.scale * kNarrow, 1.0);
  } else if (!is_known || late_pauses < kFewLateShare * long_pauses) {
    limiter.scale *= kWiden;
  }
  limiter.adjusted = now;
  limiter.long_pauses = 0;
  limiter.late_pauses = 0;
  if (limiter.scale > kMaxScale) {
    limiter.limited = false;
    limiter.evidence.clear();
  }
}

}  // namespace amaranthcove
