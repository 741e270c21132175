#ifndef AMARANTHCOVE_WORKSPACES_AUTHENTICATION_H_
#define AMARANTHCOVE_WORKSPACES_AUTHENTICATION_H_

#include <string>

#include "amaranthcove/fair_share/fair_order.h"
#include "amaranthcove/relay/request_info.h"
#include "amaranthcove/routing/route_table.h"
#include "amaranthcove/workspaces/workspace.h"

namespace amaranthcove {

// Whose request a caller's request is.
struct CallerIdentity {
  // Whether the configuration lists workspaces, so that a caller's own key and
  // workspace are not passed on.
  bool has_workspaces = false;
  // Whether the caller may use the route.
  bool allowed = false;
  // Null for public routes and without workspaces. Valid as long as the table.
  const Workspace* workspace = nullptr;
  FairShare share;  // Of the workspace, where requests wait.
};

// Returns the identity of the caller of `info` on `route` by the keys that
// `table` lists. Thread-safe.
CallerIdentity IdentifyCaller(const RouteTable& table,
                              const Route& route,
                              const RequestInfo& info);

// Returns the text by which log lines tell keys apart. It cannot be turned back
// into the key: `salt` has to be a random number of the process. Thread-safe.
std::string KeyDigest(std::string_view key, std::uint64_t salt);

// Returns what a request of `workspace` counts for against its quota: the
// tokens of its prompt and the most of its answer, or 1 for quotas in requests.
// Thread-safe.
double QuotaCost(const Workspace& workspace, const RequestInfo& info);

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_WORKSPACES_AUTHENTICATION_H_
