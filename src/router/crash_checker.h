#ifndef AMARANTHCOVE_SRC_ROUTER_CRASH_CHECKER_H_
#define AMARANTHCOVE_SRC_ROUTER_CRASH_CHECKER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "amaranthcove/backends/backend_directory.h"
#include "amaranthcove/net/event_loop.h"
#include "amaranthcove/net/tcp.h"
#include "amaranthcove/suspects/crash_cause.h"

namespace amaranthcove {

// Finds out whether a plain server, which has no agent beside it, has crashed
// when the connection of a request broke: a server that still accepts
// connections has not.
//
// Thread safety: not thread-safe; all calls must be made on the loop's thread.
class CrashChecker {
 public:
  // Called for each request that was lost in a crash.
  using OnCrash = std::function<void(std::uint64_t id, LostRequest request)>;

  // How long a server may take to accept or to refuse a connection. One that
  // does neither may be cut off, which does not count as a crash.
  static constexpr Duration kLimit = std::chrono::seconds(1);

  // Servers above this number are not checked at the same time.
  static constexpr std::size_t kMaxChecks = 64;

  // Preconditions: `loop` outlives the checker.
  CrashChecker(EventLoop& loop, OnCrash on_crash)
      : loop_(loop), on_crash_(std::move(on_crash)) {}
  ~CrashChecker();
  CrashChecker(const CrashChecker&) = delete;
  CrashChecker& operator=(const CrashChecker&) = delete;

  // Checks `server`, at which `request` was lost. `OnCrash` may be called
  // later.
  void Check(const BackendServer& server, LostRequest request);

 private:
  struct Pending {
    std::vector<LostRequest> requests;
    std::unique_ptr<TcpConnection> connection;
    TimerId timer = 0;
  };

  void Start(std::uint64_t id, const Address& server, Pending& pending);
  void End(std::uint64_t id, bool crashed);

  EventLoop& loop_;
  const OnCrash on_crash_;
  std::map<std::uint64_t, Pending> pending_;  // By the id of the crash.
};

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_SRC_ROUTER_CRASH_CHECKER_H_
