#ifndef AMARANTHCOVE_TESTING_TOOLS_BASELINE_BASELINES_H_
#define AMARANTHCOVE_TESTING_TOOLS_BASELINE_BASELINES_H_

#include <optional>
#include <string_view>

#include "amaranthcove/daemon/daemon.h"

namespace amaranthcove::baseline {

// Returns the decision functions of the baseline called `name`, or nothing if
// the name is unknown: "least_loaded" chooses the server with the fewest
// requests, "hashing" the first server by rendezvous hash. Both evict the least
// recently used adapter and start urgent requests first. "policy" returns the
// product's own functions.
//
// The baselines don't use the load budget, so the sidecars' settings must allow
// each engine at least the load rate of the whole weight store.
std::optional<DaemonPolicy> FindBaseline(std::string_view name);

}  // namespace amaranthcove::baseline

#endif  // AMARANTHCOVE_TESTING_TOOLS_BASELINE_BASELINES_H_
