#include "amaranthcove/policy/choice.h"

#include <algorithm>
#include <cmath>

namespace amaranthcove::policy {

namespace {

// Returns the weight of the candidate's report: 1 for a new report, decreasing
// with its age, and 0 without a report.
double ReportWeight(const Candidate& candidate,
                    const ChoiceSettings& settings) {
  if (candidate.report_age == Duration::max()) {
    return 0;
  }
  return std::exp2(-ToSeconds(candidate.report_age) /
                   ToSeconds(settings.report_half_life));
}

Duration Scale(Duration duration, double factor) {
  return Duration(static_cast<Duration::rep>(
      static_cast<double>(duration.count()) * factor));
}

double MissProbability(const Candidate& candidate,
                       bool preferred,
                       double report_weight) {
  const double prior = preferred ? 0.5 : 1.0;
  switch (candidate.resident) {
    case Residency::kYes:
      return (1 - report_weight) * prior;
    case Residency::kNo:
      return report_weight + (1 - report_weight) * prior;
    case Residency::kUnknown:
      break;
  }
  return prior;
}

// Samples two of the first `count` candidates that are not leaving and returns
// the index of the better one. Returns `count` if all are leaving.
std::size_t SamplePreferred(std::span<const Candidate> candidates,
                            std::size_t count,
                            const ChoiceSettings& settings,
                            Random& random) {
  std::size_t first = count;
  std::size_t second = count;
  std::uint64_t seen = 0;
  // Reservoir sampling of two candidates.
  for (std::size_t i = 0; i < count; ++i) {
    if (candidates[i].leaving) {
      continue;
    }
    ++seen;
    if (seen == 1) {
      first = i;
    } else if (seen == 2) {
      second = i;
    } else if (const std::uint64_t position = random.NextBelow(seen);
               position < 2) {
      (position == 0 ? first : second) = i;
    }
  }
  if (second == count) {
    return first;
  }
  const Duration a = EstimatedStartDelay(candidates[first], true, settings);
  const Duration b = EstimatedStartDelay(candidates[second], true, settings);
  return b < a || (a == b && random.NextBelow(2) == 1) ? second : first;
}

}  // namespace

ChoiceSettings PatientChoiceSettings() {
  ChoiceSettings settings;
  settings.load_cost = std::chrono::seconds(4);
  return settings;
}

Duration EstimatedStartDelay(const Candidate& candidate,
                             bool preferred,
                             const ChoiceSettings& settings) {
  const double report_weight = ReportWeight(candidate, settings);
  const Duration wait = Scale(candidate.expected_wait, report_weight) +
                        Scale(settings.unknown_wait, 1 - report_weight) +
                        settings.request_cost * candidate.unreported;
  const Duration load = std::max(candidate.load_wait, settings.load_cost);
  return wait +
         Scale(load, MissProbability(candidate, preferred, report_weight));
}

std::optional<Choice> ChooseServer(std::span<const Candidate> candidates,
                                   std::size_t replicas,
                                   const ChoiceSettings& settings,
                                   Random& random) {
  const std::size_t preferred =
      std::min(std::max<std::size_t>(replicas, 1), candidates.size());
  const std::size_t base =
      SamplePreferred(candidates, preferred, settings, random);
  const bool has_base = base < preferred;
  const Duration base_start =
      has_base ? EstimatedStartDelay(candidates[base], true, settings)
               : Duration::max();
  // Another candidate needs only the smaller margin if it causes no additional
  // load: it holds the adapter, or the preferred candidate does not hold it.
  const bool base_loads =
      has_base && candidates[base].resident == Residency::kNo;
  const auto limit = [&](const Candidate& candidate) {
    return base_start - (base_loads || candidate.resident == Residency::kYes
                             ? settings.resident_margin
                             : settings.load_cost);
  };
  // Of all candidates below the limit, the better of two random ones is chosen,
  // so that entries with the same reports do not all choose the same server.
  std::size_t best = candidates.size();
  Duration best_start = Duration::max();
  std::uint64_t seen = 0;
  std::size_t sampled[2] = {0, 0};
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    if (candidates[i].leaving || (has_base && i == base) ||
        EstimatedStartDelay(candidates[i], i < preferred, settings) >=
            limit(candidates[i])) {
      continue;
    }
    const std::uint64_t place = seen < 2 ? seen : random.NextBelow(seen + 1);
    ++seen;
    if (place < 2) {
      sampled[place] = i;
    }
  }
  for (std::size_t k = 0; k < std::min<std::uint64_t>(seen, 2); ++k) {
    const Duration start = EstimatedStartDelay(
        candidates[sampled[k]], sampled[k] < preferred, settings);
    if (start < best_start) {
      best = sampled[k];
      best_start = start;
    }
  }
  if (best < candidates.size()) {
    return Choice{best, has_base ? ChoiceReason::kShorterWait
                                 : ChoiceReason::kOthersLeaving};
  }
  if (!has_base) {
    return std::nullopt;
  }
  return Choice{
      base, base == 0 ? ChoiceReason::kFirstCandidate : ChoiceReason::kReplica};
}

std::string_view ChoiceReasonName(ChoiceReason reason) {
  switch (reason) {
    case ChoiceReason::kFirstCandidate:
      return "first_candidate";
    case ChoiceReason::kReplica:
      return "replica";
    case ChoiceReason::kShorterWait:
      return "shorter_wait";
    case ChoiceReason::kOthersLeaving:
      return "others_leaving";
  }
  return "first_candidate";
}

}  // namespace amaranthcove::policy
