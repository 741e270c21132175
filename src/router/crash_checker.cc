#include "src/router/crash_checker.h"

#include <utility>

namespace amaranthcove {

CrashChecker::~CrashChecker() {
  for (const auto& [id, pending] : pending_) {
    loop_.Cancel(pending.timer);
  }
}

void CrashChecker::Check(const BackendServer& server, LostRequest request) {
  const std::uint64_t id = CrashId(server.address, server.started_at_ms);
  const auto found = pending_.find(id);
  if (found != pending_.end()) {
    found->second.requests.push_back(std::move(request));
    return;
  }
  if (pending_.size() >= kMaxChecks) {
    return;
  }
  Pending& pending = pending_[id];
  pending.requests.push_back(std::move(request));
  Start(id, server.address, pending);
}

void CrashChecker::Start(std::uint64_t id,
                         const Address& server,
                         Pending& pending) {
  pending.timer = loop_.RunAfter(kLimit, [this, id] { End(id, false); });
  pending.connection = TcpConnection::Connect(
      loop_, server,
      {[this, id] { End(id, false); }, [](std::string_view) {},
       [this, id] { End(id, true); }});
}

void CrashChecker::End(std::uint64_t id, bool crashed) {
  auto pending = pending_.extract(id);
  if (pending.empty()) {
    return;
  }
  loop_.Cancel(pending.mapped().timer);
  if (!crashed) {
    return;
  }
  for (LostRequest& request : pending.mapped().requests) {
    on_crash_(id, std::move(request));
  }
}

}  // namespace amaranthcove
