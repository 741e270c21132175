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

// Chooses among candidates. Benchmarks replace it.
using ChooseServerFunction =
    std::optional<policy::Choice> (*)(std::span<const policy::Candidate>,
                                      std::size_t replicas,
                                      const policy::ChoiceSettings&,
                                      policy::Random&);

inline constexpr std::size_t kDefaultSpareCandidates = 4;

struct ServerChooserSettings {
  std::string region;
  std::string data_centre;
  // Candidates considered for each adapter in addition to its replicas.
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

// Chooses backend servers for an entry's requests, based on the known instances
// and on the latest report of each sidecar.
//
// Thread safety: not thread-safe; all calls must be made on the loop's thread.
class ServerChooser {
 public:
  // Preconditions: `directory` outlives the object.
  ServerChooser(const InstanceDirectory& directory,
                const ServerChooserSettings& settings,
                std::uint64_t seed);

  // Adds a model request to the popularity of its adapter. Ignores other
  // requests.
  void RecordRequest(const CallPlan& plan, Time now);

  // Chooses a server for `plan` that is not in `excluded`. Errors: kUnavailable
  // if there is none or all are leaving.
  Result<ChosenServer> Choose(const CallPlan& plan,
                              const std::set<std::string>& excluded,
                              Time now);

  // Counts an attempt sent to `instance` as load until its next report, which
  // includes the attempt.
  void OnSent(const std::string& instance);

  // Removes the state of `instance`, because a new incarnation has replaced it.
  void RemoveServer(const std::string& instance);

  // Stores the report of a sidecar.
  void OnReport(const std::string& instance,
                const wire::ServerReport& report,
                Time now);

  // Adds the run time of a completed model request to the moving average.
  void OnServed(const CallPlan& plan, Duration run_time);

  // Frees the memory of adapters that are no longer requested.
  void Compact(Time now);

  // Returns the reported state of the servers for diagnostics.
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
  // Returns the indices of the highest-ranked servers for the model of `plan`,
  // best first.
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
  // Occupied batch places by adapter. The half-life is short, so that an
  // adapter that becomes hot gets its replicas within seconds.
  policy::PopularityTable occupancy_{{.half_life = std::chrono::seconds(15)}};
  // Moving averages of run times, for `occupancy_`.
  double urgent_service_s_ = 1.0;
  double patient_service_s_ = 1.0;
  std::unordered_map<std::string, ServerState> servers_;
  // Replica counts above 1, by adapter.
  std::unordered_map<std::uint64_t, std::uint32_t> replicas_;
  std::size_t live_entry_count_ = 0;  // Cached; 0 before the first count.
  Time live_entries_counted_at_;
};

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_ENTRY_SERVER_CHOOSER_H_
