#ifndef AMARANTHCOVE_POLICY_CHOICE_H_
#define AMARANTHCOVE_POLICY_CHOICE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

#include "amaranthcove/base/time.h"
#include "amaranthcove/policy/random.h"

namespace amaranthcove::policy {

// Whether a server holds an adapter.
enum class Residency : std::uint8_t { kYes, kNo, kUnknown };

// The state of a candidate as known to an entry. Candidates are in the order of
// `RankServers`.
struct Candidate {
  Duration expected_wait{0};  // Reported wait for a batch place.
  Duration load_wait{0};      // Reported wait for a load to finish.
  Residency resident = Residency::kUnknown;
  bool leaving = false;
  Duration report_age = Duration::max();  // `max()` if there is no report.
  // Number of requests that this entry has sent since the last report.
  std::uint32_t unreported = 0;
  // Reported number of queued and running requests.
  std::uint32_t load = 0;
};

struct ChoiceSettings {
  // Minimum advantage of a candidate that must load the adapter, and minimum
  // cost of a load. Far above the 0.25 s of a single load, because the number
  // of loads is limited.
  Duration load_cost = std::chrono::seconds(2);
  // Minimum advantage of a candidate that holds the adapter.
  Duration resident_margin = std::chrono::seconds(1);
  // Wait that one unreported request adds.
  Duration request_cost = std::chrono::milliseconds(150);
  // Wait that is assumed without a report.
  Duration unknown_wait = std::chrono::milliseconds(300);
  // Age at which a report has half its initial weight. The remaining weight is
  // that of `unknown_wait`.
  Duration report_half_life = std::chrono::seconds(8);
};

// Returns the settings for patient requests. They have a higher load cost, so
// patient requests cause fewer loads and wait longer. Thread-safe.
ChoiceSettings PatientChoiceSettings();

enum class ChoiceReason : std::uint8_t {
  kFirstCandidate,  // No other candidate is sufficiently better than the first.
  kReplica,         // The better of two randomly sampled replicas.
  kShorterWait,     // Expected to start earlier than the preferred candidate,
                    // by more than the required margin.
  kOthersLeaving    // The preferred candidates are leaving.
};

// A chosen candidate, by its index, and the reason.
struct Choice {
  std::size_t index = 0;
  ChoiceReason reason = ChoiceReason::kFirstCandidate;
};

// Returns the estimated delay until a request starts on `candidate`. If the
// residency is unknown, a `preferred` candidate is assumed to hold the adapter
// with a probability of 0.5, and any other candidate is assumed not to hold it.
// Thread-safe.
Duration EstimatedStartDelay(const Candidate& candidate,
                             bool preferred,
                             const ChoiceSettings& settings);

// Chooses a candidate. The first `replicas` candidates are equally preferred.
// Returns nullopt if there is no candidate that is not leaving. Thread-safe
// apart from `random`.
std::optional<Choice> ChooseServer(std::span<const Candidate> candidates,
                                   std::size_t replicas,
                                   const ChoiceSettings& settings,
                                   Random& random);

// Returns the name of a reason for the output of `explain`. Thread-safe.
std::string_view ChoiceReasonName(ChoiceReason reason);

}  // namespace amaranthcove::policy

#endif  // AMARANTHCOVE_POLICY_CHOICE_H_
