#ifndef AMARANTHCOVE_TESTING_TOOLS_BASELINE_BASELINES_H_
#define AMARANTHCOVE_TESTING_TOOLS_BASELINE_BASELINES_H_

#include <optional>
#include <string_view>

#include "amaranthcove/daemon/daemon.h"

namespace amaranthcove::baseline {

// The decision functions of the baseline called `name`: "least_loaded" (the
// server with the fewest requests) or "hashing" (the first server by
// rendezvous hash); both evict the least recently used adapter and start
// urgent work first. "policy" gives the product's own functions. Nothing if the
// name is unknown.
//
// The baselines know no load budget: the sidecars' settings must allow the
// whole store's rate to each engine and more.
std::optional<DaemonPolicy> FindBaseline(std::string_view name);

}  // namespace amaranthcove::baseline

#endif  // AMARANTHCOVE_TESTING_TOOLS_BASELINE_BASELINES_H_
