#ifndef AMARANTHCOVE_FAIR_SHARE_FAIR_ORDER_H_
#define AMARANTHCOVE_FAIR_SHARE_FAIR_ORDER_H_

#include <cstddef>
#include <map>
#include <span>
#include <vector>

#include "amaranthcove/base/time.h"
#include "amaranthcove/workspaces/workspace.h"

namespace amaranthcove {

// Whose share of the capacity a request uses. Requests without a workspace
// share one.
struct FairShare {
  WorkspaceId workspace = 0;
  // The share relative to those of other workspaces. Not above 0 counts as 1.
  double weight = 1;

  bool operator==(const FairShare&) const = default;
};

// The quotas of all workspaces, by which shares are measured.
struct ShareScale {
  double mean_rate = 0;  // Of the workspaces with a limit; 0 without any.
  double largest_rate = 0;
};
// Thread-safe.
ShareScale ScaleOf(std::span<const Workspace> workspaces);

// Returns the share of `workspace` by its quota, so that a workspace that may
// send twice as much is served twice as often while requests wait. A workspace
// without a limit has the largest share. Thread-safe.
FairShare ShareOf(const Workspace& workspace, const ShareScale& scale);

// A request that waits for capacity.
struct FairRequest {
  bool late = false;  // Served after all requests that can still be on time.
  int rank = 0;       // 0 is the most urgent.
  FairShare share;
  Time since;  // When it began to wait.
};

// The requests of each workspace that were served lately, as moving sums.
// Without this memory, a single place would go to the oldest request each time,
// and so to one workspace until its burst is over. It is short, so that a
// workspace earns no credit by being idle.
struct RecentService {
  std::map<WorkspaceId, double> counts;
  Time updated;
};
// Adds a request of `workspace` that is served from `now` on.
// Thread-compatible.
void AddService(RecentService& recent, WorkspaceId workspace, Time now);
// Returns the counts at `now`. Thread-safe.
std::map<WorkspaceId, double> CountsAt(const RecentService& recent, Time now);

// Returns the indexes of `requests` in the order of service: those that can be
// on time first, then by rank, and within a rank by turns of the workspaces.
//
// Answers a burst of one workspace: its requests wait behind each other, and
// those of other workspaces pass between them. A request's turn is the number
// of requests of its workspace that are served before it, with those that
// `served` has, divided by its weight. Equal turns are served by waiting time.
// Thread-safe.
std::vector<std::size_t> FairOrder(std::span<const FairRequest> requests,
                                   const std::map<WorkspaceId, double>& served);

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_FAIR_SHARE_FAIR_ORDER_H_
