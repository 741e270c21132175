#ifndef AMARANTHCOVE_ENTRY_OPERATION_ISSUER_H_
#define AMARANTHCOVE_ENTRY_OPERATION_ISSUER_H_

#include <functional>
#include <set>
#include <string>

#include "amaranthcove/entry/call_plan.h"
#include "amaranthcove/entry/server_chooser.h"
#include "amaranthcove/entry/sidecar_links.h"
#include "amaranthcove/net/event_loop.h"

namespace amaranthcove {

// Requests new operation ids for the plain service of a plan. If a server
// issues no id in time, the next one is tried; an id that arrives late stays
// unused, which does no harm.
//
// Thread safety: not thread-safe; all calls must be made on the loop's thread.
class OperationIssuer {
 public:
  // Receives the id, or an empty string if no server issued one.
  using Done = std::function<void(const std::string& id)>;

  // Preconditions: the arguments outlive the object and its calls.
  OperationIssuer(EventLoop& loop, SidecarLinks& links, ServerChooser& chooser)
      : loop_(loop), links_(links), chooser_(chooser) {}

  // Tries one server after the other. Calls `done` once, after `Issue` has
  // returned.
  void Issue(const CallPlan& plan, Done done);

 private:
  void TryNextServer(const CallPlan& plan,
                     std::set<std::string> tried,
                     Done done);

  EventLoop& loop_;
  SidecarLinks& links_;
  ServerChooser& chooser_;
};

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_ENTRY_OPERATION_ISSUER_H_
