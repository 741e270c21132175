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

enum class Residency : std::uint8_t { kYes, kNo, kUnknown };

// What an entry knows of one candidate, in the order of `RankServers`.
struct Candidate {
  Duration expected_wait{0};  // For a batch place, as last reported.
  Duration load_wait{0};      // For a load to finish, as last reported.
  Residency resident = Residency::kUnknown;
  bool leaving = false;
  Duration report_age = Duration::max();  // `max()`: nothing was reported.
  // Requests sent by this entry since the last report.
  std::uint32_t unreported = 0;
  // Queued and running requests, as last reported.
  std::uint32_t load = 0;
};

struct ChoiceSettings {
  // A candidate that must load the adapter has to be better by more than this,
  // the cost of a load. Far above the 0.25 s of one load, because loads are
  // scarce.
  Duration load_cost = std::chrono::seconds(2);
  // A candidate that holds the adapter has to be better by this.
  Duration resident_margin = std::chrono::seconds(1);
  // Wait that one unreported request adds.
  Duration request_cost = std::chrono::milliseconds(150);
  // Wait assumed where nothing is known.
  Duration unknown_wait = std::chrono::milliseconds(300);
  // A report of this age counts half; the rest is `unknown_wait`.
  Duration report_half_life = std::chrono::seconds(8);
};

// Settings for patient requests, which rather wait than cause a load.
ChoiceSettings PatientChoiceSettings();

enum class ChoiceReason : std::uint8_t {
  kFirstCandidate,  // The first candidate is good enough.
  kReplica,         // Better of two replicas drawn at random.
  kShorterWait,     // Better than the preferred one by more than a load.
  kOthersLeaving    // The preferred candidates are leaving.
};

struct Choice {
  std::size_t index = 0;
  ChoiceReason reason = ChoiceReason::kFirstCandidate;
};

// Estimated time to start on `candidate`; `preferred` candidates of unknown
// residency are assumed to hold the adapter as often as not, others never.
Duration EstimatedStart(const Candidate& candidate,
                        bool preferred,
                        const ChoiceSettings& settings);

// Chooses a candidate; the first `replicas` are equally preferred. Nothing if
// every candidate is leaving or there is none. Thread-safe apart from `random`.
std::optional<Choice> ChooseServer(std::span<const Candidate> candidates,
                                   std::size_t replicas,
                                   const ChoiceSettings& settings,
                                   Random& random);

// Name used by `explain`.
std::string_view ChoiceReasonName(ChoiceReason reason);

}  // namespace amaranthcove::policy

#endif  // AMARANTHCOVE_POLICY_CHOICE_H_
