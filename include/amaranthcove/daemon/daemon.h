#ifndef AMARANTHCOVE_DAEMON_DAEMON_H_
#define AMARANTHCOVE_DAEMON_DAEMON_H_

#include <cstddef>
#include <string>

#include "amaranthcove/entry/server_chooser.h"
#include "amaranthcove/policy/choice.h"
#include "amaranthcove/settings/settings.h"
#include "amaranthcove/sidecar/engine_backend.h"

namespace amaranthcove {

// The policy functions that a daemon uses. The defaults are the product's;
// benches run the same daemon with baselines.
struct DaemonPolicy {
  NextStepFunction next_step = &policy::NextStep;
  ChooseServerFunction choose_server = &policy::ChooseServer;
  // Candidates offered to `choose_server` beyond the replicas.
  std::size_t spare_candidates = kDefaultSpareCandidates;
};

// Runs one process in the role of its settings until SIGTERM or SIGINT and the
// graceful shutdown that follows. Prints one line "ready ..." with the bound
// addresses to stdout. Returns the exit code: 0 after a graceful shutdown, 1 if
// it could not start, 3 if the drain limit cut work off.
// Preconditions: called once, on the main thread.
int RunDaemon(const Settings& settings,
              const std::string& cluster_key,
              const DaemonPolicy& policy = {});

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_DAEMON_DAEMON_H_
