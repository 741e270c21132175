#include "amaranthcove/fair_share/fair_order.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <tuple>
#include <utility>

namespace amaranthcove {

namespace {

// Time constant of `RecentService`.
constexpr double kRecentS = 1;
// Less is forgotten.
constexpr double kMinRecent = 0.01;

// Counts the turns of each workspace.
class Turns {
 public:
  explicit Turns(const std::map<WorkspaceId, double>& served)
      : served_(served) {}

  // Returns the turn of the next request of a workspace.
  double Take(const FairShare& share) {
    const bool is_valid = std::isfinite(share.weight) && share.weight > 0;
    const double weight = is_valid ? share.weight : 1;
    double& served = served_[share.workspace];
    const double turn = served / weight;
    served += 1;
    return turn;
  }

 private:
  std::map<WorkspaceId, double> served_;
};

}  // namespace

ShareScale ScaleOf(std::span<const Workspace> workspaces) {
  ShareScale scale;
  double sum = 0;
  int limited = 0;
  for (const Workspace& workspace : workspaces) {
    const double rate = workspace.quota.rate_per_s;
    if (rate > 0) {
      scale.largest_rate = std::max(scale.largest_rate, rate);
      sum += rate;
      ++limited;
    }
  }
  scale.mean_rate = limited > 0 ? sum / limited : 0;
  return scale;
}

FairShare ShareOf(const Workspace& workspace, const ShareScale& scale) {
  FairShare share = {IdOfWorkspace(workspace.name), 1};
  if (scale.mean_rate > 0) {
    const double rate = workspace.quota.rate_per_s;
    share.weight = (rate > 0 ? rate : scale.largest_rate) / scale.mean_rate;
  }
  return share;
}

std::map<WorkspaceId, double> CountsAt(const RecentService& recent, Time now) {
  const double kept =
      std::exp(-std::max(ToSeconds(now - recent.updated), 0.0) / kRecentS);
  std::map<WorkspaceId, double> counts = recent.counts;
  for (auto& [workspace, count] : counts) {
    count *= kept;
  }
  std::erase_if(counts,
                [](const auto& item) { return item.second < kMinRecent; });
  return counts;
}

void AddService(RecentService& recent, WorkspaceId workspace, Time now) {
  recent.counts = CountsAt(recent, now);
  recent.updated = now;
  recent.counts[workspace] += 1;
}

std::vector<std::size_t> FairOrder(
    std::span<const FairRequest> requests,
    const std::map<WorkspaceId, double>& served) {
  std::vector<std::size_t> order(requests.size());
  std::iota(order.begin(), order.end(), std::size_t{0});
  const auto class_of = [&requests](std::size_t index) {
    return std::pair(requests[index].late, requests[index].rank);
  };
  std::sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
    return std::tuple(class_of(a), requests[a].since, a) <
           std::tuple(class_of(b), requests[b].since, b);
  });
  // Requests of a more urgent class use a workspace's turns too.
  Turns turns(served);
  std::vector<double> turn_of(requests.size());
  for (const std::size_t index : order) {
    turn_of[index] = turns.Take(requests[index].share);
  }
  std::stable_sort(order.begin(), order.end(),
                   [&](std::size_t a, std::size_t b) {
                     return std::tuple(class_of(a), turn_of[a]) <
                            std::tuple(class_of(b), turn_of[b]);
                   });
  return order;
}

}  // namespace amaranthcove
