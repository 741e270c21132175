#include "amaranthcove/adapter_agent/prompt_limiter.h"

#include <algorithm>
#include <cmath>

namespace amaranthcove {

namespace {

constexpr double kDecayTimeS = 60;
// Less evidence of a router is forgotten.
constexpr double kMinEvidence = 0.1;

// Prompts are held back from so many late pauses, if they are this share of the
// long ones.
constexpr double kMinLatePauses = 3;
constexpr double kLateShare = 0.15;

// Prompts are held back if one of this many routers has seen late pauses, or if
// so many routers have.
constexpr int kRoutersPerWitness = 4;
constexpr int kEnoughWitnesses = 3;

// Prompts stay limited for this time after the last late pause, so that the
// limit outlives the time between two bursts and a restart of all routers.
constexpr Duration kLimitLifetime = std::chrono::seconds(30);

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

struct Totals {
  double long_pauses = 0;
  double late_pauses = 0;
  int witnesses = 0;  // Routers that saw late pauses.
};

Totals Sum(const PromptLimiter& limiter) {
  Totals totals;
  for (const auto& [router, evidence] : limiter.evidence) {
    totals.long_pauses += evidence.long_pauses;
    totals.late_pauses += evidence.late_pauses;
    totals.witnesses += evidence.late_pauses >= 0.5 ? 1 : 0;
  }
  return totals;
}

bool AreEnough(int witnesses, int routers) {
  return witnesses >= kEnoughWitnesses ||
         (witnesses > 0 && witnesses * kRoutersPerWitness >= routers);
}

bool AreStreamsLate(const PromptLimiter& limiter, int routers) {
  const Totals totals = Sum(limiter);
  return AreEnough(totals.witnesses, routers) &&
         totals.late_pauses >= kMinLatePauses &&
         totals.late_pauses >= kLateShare * totals.long_pauses;
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
  if (added.late_pauses > 0) {
    limiter.late_seen = now;
  }
  limiter.limited = limiter.limited || AreStreamsLate(limiter, routers);
}

void AddServiceEvidence(PromptLimiter& limiter,
                        int witnesses,
                        int routers,
                        Time now) {
  if (witnesses > 0 && witnesses * kRoutersPerWitness >= routers) {
    limiter.service_late_until = now + kLimitLifetime;
  }
}

bool IsLimited(PromptLimiter& limiter, Time now) {
  if (limiter.limited && now - limiter.late_seen >= kLimitLifetime) {
    limiter.limited = false;
    limiter.evidence.clear();
  }
  return limiter.limited || now < limiter.service_late_until;
}

}  // namespace amaranthcove
