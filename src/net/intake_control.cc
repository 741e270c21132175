#include "src/net/intake_control.h"

#include <sys/socket.h>

#include <algorithm>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "src/net/http_errors.h"

namespace amaranthcove::internal {

namespace {

void Pause(h2o_socket_t& socket, ServerConnection& connection, Time now) {
  if (connection.intake.paused) {
    return;
  }
  connection.paused_read = socket._cb.read;
  h2o_socket_read_stop(&socket);
  connection.intake.paused = true;
  if (!connection.intake.paused_since) {
    connection.intake.paused_since = now;
  }
}

void Resume(h2o_socket_t& socket, ServerConnection& connection) {
  if (connection.intake.paused) {
    connection.intake.paused = false;
    h2o_socket_read_start(&socket, connection.paused_read);
  }
}

// Answers directly on the socket and closes it. This is safe, because h2o has
// written nothing since the last complete answer. If the socket does not accept
// the answer at once, the answer is lost.
void Refuse(h2o_socket_t& socket,
            ServerConnection& connection,
            std::string_view answer) {
  send(h2o_socket_get_fd(&socket), answer.data(), answer.size(),
       MSG_NOSIGNAL | MSG_DONTWAIT);
  IntakeControl::Close(socket, connection);
}

}  // namespace

bool IntakeControl::IsUnderPressure(
    const ServerConnections& connections) const {
  std::size_t held = 0;
  bool has_large = false;
  for (const auto& [socket, connection] : connections) {
    held += socket->input->capacity;
    has_large = has_large || socket->input->capacity > kSmallRequestBytes ||
                connection.intake.paused;
  }
  return has_large || held > limits_.budget;
}

void IntakeControl::Close(h2o_socket_t& socket, ServerConnection& connection) {
  shutdown(h2o_socket_get_fd(&socket), SHUT_RDWR);
  connection.shut_down = true;
  // h2o has to see the end of the connection.
  Resume(socket, connection);
}

void IntakeControl::Observe(h2o_socket_t& socket,
                            bool is_busy,
                            std::size_t max_body_bytes,
                            Time now,
                            ServerConnection& connection) {
  IntakeState& intake = connection.intake;
  const bool has_ended = intake.has_request && !is_busy;
  const bool is_empty = socket.input->size == 0;
  if (has_ended || (is_empty && !is_busy && !intake.paused)) {
    intake = {};
  }
  intake.held = socket.input->capacity;
  intake.has_request = is_busy;
  // h2o reads nothing while it answers a request that it refuses itself.
  const bool is_answering = socket._cb.read == nullptr && !intake.paused;
  intake.is_incomplete =
      !is_busy && !is_empty && !connection.shut_down && !is_answering;
  if (!intake.is_incomplete) {
    return;
  }
  if (intake.began == Time()) {
    intake.began = now;
    intake.progress_since = now;
    connection.progress_mark = socket.bytes_read;
  }
  if (intake.length == 0 && intake.held > kSmallRequestBytes) {
    const std::string_view bytes(socket.input->bytes, socket.input->size);
    intake.length =
        std::min(StatedLength(bytes).value_or(max_body_bytes), max_body_bytes);
  }
}

void IntakeControl::MeasureProgress(const h2o_socket_t& socket,
                                    Time now,
                                    ServerConnection& connection) const {
  IntakeState& intake = connection.intake;
  intake.progress = socket.bytes_read - connection.progress_mark;
  if (intake.progress >= limits_.min_progress || intake.paused) {
    intake.progress = 0;
    intake.progress_since = now;
    connection.progress_mark = socket.bytes_read;
  }
}

std::uint64_t IntakeControl::Check(ServerConnections& connections,
                                   const std::unordered_set<int>& busy,
                                   std::size_t max_body_bytes,
                                   Time now) {
  std::vector<std::pair<h2o_socket_t*, ServerConnection*>> observed;
  std::vector<IntakeState> states;
  observed.reserve(connections.size());
  states.reserve(connections.size());
  for (auto& [socket, connection] : connections) {
    Observe(*socket, busy.contains(h2o_socket_get_fd(socket)), max_body_bytes,
            now, connection);
    MeasureProgress(*socket, now, connection);
    observed.emplace_back(socket, &connection);
    states.push_back(connection.intake);
  }
  const std::vector<IntakeAction> actions = DecideIntake(states, limits_, now);
  std::uint64_t refused = 0;
  for (std::size_t i = 0; i < observed.size(); ++i) {
    auto& [socket, connection] = observed[i];
    connection->intake.granted = states[i].granted;
    switch (actions[i]) {
      case IntakeAction::kRead:
        Resume(*socket, *connection);
        break;
      case IntakeAction::kPause:
        Pause(*socket, *connection, now);
        break;
      case IntakeAction::kRefuse:
        Refuse(*socket, *connection, NoMemoryAnswer());
        ++refused;
        break;
      case IntakeAction::kTooSlow:
        Refuse(*socket, *connection, RequestTooSlowAnswer());
        ++refused;
        break;
    }
  }
  return refused;
}

}  // namespace amaranthcove::internal
