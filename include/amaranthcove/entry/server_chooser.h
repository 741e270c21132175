#ifndef AMARANTHCOVE_ENTRY_SERVER_CHOOSER_H_
#define AMARANTHCOVE_ENTRY_SERVER_CHOOSER_H_

#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include <nlohmann/json.hpp>
#include <tl/expected.hpp>

#include "amaranthcove/base/address.h"
#include "amaranthcove/base/time.h"
#include "amaranthcove/entry/call_plan.h"
#include "amaranthcove/membership/instance_directory.h"
#include "amaranthcove/policy/choice.h"
#include "amaranthcove/policy/placement.h"
#include "amaranthcove/policy/popularity.h"
#include "amaranthcove/policy/random.h"
#include "amaranthcove/wire/codec.h"

namespace amaranthcove {

// The decision that chooses among candidates; benches replace it.
using ChooseServerFunction =
    std::optional<policy::Choice> (*)(std::span<const policy::Candidate>,
                                      std::size_t replicas,
                                      const policy::ChoiceSettings&,
                                      policy::Random&);

inline constexpr std::size_t kDefaultSpareCandidates = 4;

struct ServerChooserSettings {
  std::string region;
  std::string data_centre;
  // Candidates looked at for each adapter beyond its replicas.
  std::size_t spare_candidates = kDefaultSpareCandidates;
  policy::ChoiceSettings urgent_choice;
  policy::ChoiceSettings patient_choice = policy::PatientChoiceSettings();
  policy::ReplicaSettings replicas;
  ChooseServerFunction choose = &policy::ChooseServer;
};

// A backend server chosen for an attempt, with the reason for `explain`.
struct ChosenServer {
  std::string instance;
  Address address;
  nlohmann::json explanation;
};

// Chooses backend servers for an entry's requests from the instances it knows
// and from what sidecars reported on earlier answers.
//
// Thread safety: none; belongs to the loop's thread.
class ServerChooser {
 public:
  // Preconditions: `directory` outlives the object.
  ServerChooser(const InstanceDirectory& directory,
                const ServerChooserSettings& settings,
                std::uint64_t seed);

  // Records a request for the popularity of its adapter.
  void RecordRequest(const CallPlan& plan, Time now);

  // Chooses a server for `plan` that is not in `excluded`.
  // Errors: kUnavailable if there is none.
  Result<ChosenServer> Choose(const CallPlan& plan,
                              const std::set<std::string>& excluded,
                              Time now);

  // An attempt was sent to `instance`; its next report includes it.
  void OnSent(const std::string& instance);

  // Forgets what `instance` reported: a new incarnation has taken its place.
  void Forget(const std::string& instance);

  // A sidecar reported its state.
  void OnReport(const std::string& instance,
                const wire::ServerReport& report,
                Time now);

  // A request as in `plan` was answered; it ran for `took`.
  void OnServed(const CallPlan& plan, Duration took);

  // Gives memory of adapters back that are no longer asked for.
  void Compact(Time now);

  // Reported state of the servers, for the dump.
  nlohmann::json Dump(Time now) const;

 private:
  struct ServerState {
    wire::ServerReport report;
    Time reported_at;
    bool reported = false;
    std::uint32_t unreported = 0;
  };

  Result<ChosenServer> ChooseEngine(const CallPlan& plan,
                                    const std::vector<ServerCandidate>& servers,
                                    Time now);
  // Indices of the best placed of `servers`, best first.
  std::vector<std::uint32_t> RankEngines(
      const CallPlan& plan,
      const std::vector<ServerCandidate>& servers,
      std::uint32_t replicas) const;
  Result<ChosenServer> ChoosePlain(const std::vector<ServerCandidate>& servers);
  policy::Candidate CandidateOf(const std::string& instance,
                                std::uint64_t adapter,
                                bool urgent,
                                Time now) const;
  std::size_t LiveEntryCount(Time now);
  std::uint32_t Replicas(const CallPlan& plan, Time now);

  const InstanceDirectory& directory_;
  const ServerChooserSettings settings_;
  policy::Random random_;
  // Occupied batch places by adapter. A memory of seconds, so that an adapter
  // that becomes hot gets its replicas within seconds.
  policy::PopularityTable occupancy_{{.half_life = std::chrono::seconds(15)}};
  // Moving averages of run times, for `occupancy_`.
  double urgent_service_s_ = 1.0;
  double patient_service_s_ = 1.0;
  std::unordered_map<std::string, ServerState> servers_;
  std::unordered_map<std::uint64_t, std::uint32_t> replicas_;  // Above 1.
  std::size_t live_entries_ = 0;  // Counted at `live_entries_counted_`.
  Time live_entries_counted_;
};

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_ENTRY_SERVER_CHOOSER_H_
