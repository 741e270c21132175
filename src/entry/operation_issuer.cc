#include "amaranthcove/entry/operation_issuer.h"

#include <utility>

namespace amaranthcove {

namespace {

// Timeout for one server. Issuing takes one round trip to the sidecar and does
// not involve the backend server.
constexpr Duration kIssueTimeout = std::chrono::milliseconds(500);

constexpr std::size_t kMaxServersTried = 4;

}  // namespace

void OperationIssuer::Issue(const CallPlan& plan, Done done) {
  TryNextServer(plan, {}, std::move(done));
}

void OperationIssuer::TryNextServer(const CallPlan& plan,
                                    std::set<std::string> tried,
                                    Done done) {
  const auto server = chooser_.Choose(plan, tried, loop_.Now());
  if (!server || tried.size() >= kMaxServersTried) {
    loop_.RunAfter(Duration(0), [done = std::move(done)] { done(""); });
    return;
  }
  tried.insert(server->instance);
  links_.IssueOperation(server->instance, server->address, plan.team,
                        plan.service, kIssueTimeout,
                        [this, plan, tried = std::move(tried),
                         done = std::move(done)](const std::string& id) {
                          if (id.empty()) {
                            TryNextServer(plan, tried, done);
                          } else {
                            done(id);
                          }
                        });
}

}  // namespace amaranthcove
