#ifndef AMARANTHCOVE_SRC_NET_SERVER_CONNECTION_H_
#define AMARANTHCOVE_SRC_NET_SERVER_CONNECTION_H_

#include <cstddef>
#include <optional>
#include <unordered_map>

#include "amaranthcove/base/time.h"
#include "src/net/h2o_headers.h"
#include "src/net/intake_policy.h"

namespace amaranthcove::internal {

// What an HTTP server knows of one of its connections.
struct ServerConnection {
  bool has_requested = false;  // A complete request has arrived.
  bool shut_down = false;      // By this server, so no answer can be sent.
  // When a request in progress or new bytes were last observed. Initially the
  // time of the accept.
  Time idle_since;
  // State at the last check.
  std::size_t bytes_read = 0;
  bool was_busy = false;
  bool reading_body = false;  // The header fields of a request are complete.
  // When incomplete header fields were first observed.
  std::optional<Time> header_since;

  IntakeState intake;
  // `h2o_socket_t::bytes_read` at the beginning of the last measurement of
  // progress.
  std::size_t progress_mark = 0;
  // h2o's callback for reading while the connection is paused.
  h2o_socket_cb paused_read = nullptr;
};

using ServerConnections = std::unordered_map<h2o_socket_t*, ServerConnection>;

}  // namespace amaranthcove::internal

#endif  // AMARANTHCOVE_SRC_NET_SERVER_CONNECTION_H_
