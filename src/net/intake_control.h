#ifndef AMARANTHCOVE_SRC_NET_INTAKE_CONTROL_H_
#define AMARANTHCOVE_SRC_NET_INTAKE_CONTROL_H_

#include <cstddef>
#include <cstdint>
#include <unordered_set>

#include "src/net/server_connection.h"

namespace amaranthcove::internal {

// Applies `DecideIntake` to the connections of an HTTP server: pauses reading,
// and refuses requests that have not been handled.
//
// Thread safety: not thread-safe; all calls must be made on the loop's thread.
class IntakeControl {
 public:
  explicit IntakeControl(const IntakeLimits& limits) : limits_(limits) {}

  // Returns whether the connections hold so much that `Check` should not wait.
  // Takes little time for each connection.
  bool IsUnderPressure(const ServerConnections& connections) const;

  // Closes a connection that has no request in progress.
  static void Close(h2o_socket_t& socket, ServerConnection& connection);

  // Looks at all connections. `busy` are the sockets with a request in
  // progress, `max_body_bytes` is the limit of a body. Returns the number of
  // requests that were refused.
  std::uint64_t Check(ServerConnections& connections,
                      const std::unordered_set<int>& busy,
                      std::size_t max_body_bytes,
                      Time now);

 private:
  static void Observe(h2o_socket_t& socket,
                      bool is_busy,
                      std::size_t max_body_bytes,
                      Time now,
                      ServerConnection& connection);
  void MeasureProgress(const h2o_socket_t& socket,
                       Time now,
                       ServerConnection& connection) const;

  const IntakeLimits limits_;
};

}  // namespace amaranthcove::internal

#endif  // AMARANTHCOVE_SRC_NET_INTAKE_CONTROL_H_
