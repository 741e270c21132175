#ifndef AMARANTHCOVE_DAEMON_DAEMON_H_
#define AMARANTHCOVE_DAEMON_DAEMON_H_

#include <cstddef>
#include <string>

#include "amaranthcove/entry/server_chooser.h"
#include "amaranthcove/policy/choice.h"
#include "amaranthcove/settings/settings.h"
#include "amaranthcove/sidecar/engine_backend.h"

namespace amaranthcove {

// The policy functions that a daemon uses. Production runs the defaults;
// benchmarks replace them with baselines.
struct DaemonPolicy {
  NextStepFunction next_step = &policy::NextStep;
  ChooseServerFunction choose_server = &policy::ChooseServer;
  // Number of candidates passed to `choose_server` in addition to the replicas.
  std::size_t spare_candidates = kDefaultSpareCandidates;
};

// Runs an entry or a sidecar, as `settings` say, until SIGTERM or SIGINT starts
// a graceful shutdown. Prints one line "ready ..." with the bound addresses to
// stdout. Returns the exit code: 0 after a graceful shutdown, 1 if the process
// could not start or a component failed too often, 3 if the drain limit ended
// the shutdown before all work was finished.
// Preconditions: called once, on the main thread; `settings` are valid.
int RunDaemon(const Settings& settings,
              const std::string& cluster_key,
              const DaemonPolicy& policy = {});

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_DAEMON_DAEMON_H_
