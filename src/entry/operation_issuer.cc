#include "amaranthcove/entry/operation_issuer.h"

#include <utility>

namespace amaranthcove {

namespace {

// Time for one server. Issuing takes one round trip and no backend server.
constexpr Duration kAskLimit = std::chrono::milliseconds(500);

constexpr std::size_t kMaxServersAsked = 4;

}  // namespace

void OperationIssuer::Issue(const CallPlan& plan, Done done) {
  AskNext(plan, {}, std::move(done));
}

void OperationIssuer::AskNext(const CallPlan& plan,
                              std::set<std::string> asked,
                              Done done) {
  const auto server = chooser_.Choose(plan, asked, loop_.Now());
  if (!server || asked.size() >= kMaxServersAsked) {
    loop_.RunAfter(Duration(0), [done = std::move(done)] { done(""); });
    return;
  }
  asked.insert(server->instance);
  links_.IssueOperation(server->instance, server->address, plan.team,
                        plan.service, kAskLimit,
                        [this, plan, asked = std::move(asked),
                         done = std::move(done)](const std::string& id) {
                          if (id.empty()) {
                            AskNext(plan, asked, done);
                          } else {
                            done(id);
                          }
                        });
}

}  // namespace amaranthcove
