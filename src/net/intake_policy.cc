#include "src/net/intake_policy.h"

#include <strings.h>

#include <algorithm>
#include <charconv>
#include <numeric>

namespace amaranthcove::internal {

namespace {

bool IsLarge(const IntakeState& connection) {
  return connection.held > kSmallRequestBytes;
}

std::size_t CostOf(const IntakeState& connection) {
  return kCopiesOfRequest * connection.length;
}

bool StandsStill(const IntakeState& connection,
                 const IntakeLimits& limits,
                 Time now) {
  return connection.is_incomplete &&
         now - connection.progress_since >= limits.progress_span &&
         connection.progress < limits.min_progress;
}

// Returns the connections with large requests that have no grant, the earliest
// first.
std::vector<std::size_t> WaitingForGrant(
    std::span<const IntakeState> connections) {
  std::vector<std::size_t> waiting;
  for (std::size_t i = 0; i < connections.size(); ++i) {
    const IntakeState& connection = connections[i];
    if (connection.is_incomplete && !connection.granted &&
        IsLarge(connection)) {
      waiting.push_back(i);
    }
  }
  std::stable_sort(waiting.begin(), waiting.end(),
                   [connections](std::size_t a, std::size_t b) {
                     return connections[a].began < connections[b].began;
                   });
  return waiting;
}

// Refuses small requests, those first that have got on least, until what all
// hold is within `budget`.
void LimitSmallRequests(std::span<const IntakeState> connections,
                        std::size_t budget,
                        std::vector<IntakeAction>& actions) {
  std::size_t held = 0;
  std::vector<std::size_t> incomplete;
  for (std::size_t i = 0; i < connections.size(); ++i) {
    if (connections[i].granted) {
      continue;
    }
    held += connections[i].held;
    if (connections[i].is_incomplete && actions[i] != IntakeAction::kRefuse) {
      incomplete.push_back(i);
    }
  }
  if (held <= budget) {
    return;
  }
  std::stable_sort(incomplete.begin(), incomplete.end(),
                   [connections](std::size_t a, std::size_t b) {
                     return connections[a].progress_since <
                            connections[b].progress_since;
                   });
  for (const std::size_t i : incomplete) {
    if (held <= budget) {
      return;
    }
    actions[i] = IntakeAction::kRefuse;
    held -= connections[i].held;
  }
}

}  // namespace

std::vector<IntakeAction> DecideIntake(std::span<IntakeState> connections,
                                       const IntakeLimits& limits,
                                       Time now) {
  std::vector<IntakeAction> actions(connections.size(), IntakeAction::kRead);
  const std::vector<std::size_t> waiting = WaitingForGrant(connections);
  std::size_t granted_bytes = 0;
  int granted = 0;
  for (std::size_t i = 0; i < connections.size(); ++i) {
    IntakeState& connection = connections[i];
    if (connection.is_incomplete &&
        now - connection.began >= limits.max_duration) {
      actions[i] = IntakeAction::kTooSlow;
      connection.granted = false;
    }
    if (!connection.granted) {
      continue;
    }
    if (!waiting.empty() && StandsStill(connection, limits, now)) {
      actions[i] = IntakeAction::kTooSlow;
      connection.granted = false;
      continue;
    }
    ++granted;
    granted_bytes += CostOf(connection);
  }
  for (const std::size_t i : waiting) {
    IntakeState& connection = connections[i];
    if (actions[i] != IntakeAction::kRead) {
      continue;
    }
    if (granted == 0 || granted_bytes + CostOf(connection) <= limits.budget) {
      connection.granted = true;
      ++granted;
      granted_bytes += CostOf(connection);
    } else if (connection.paused_since &&
               now - *connection.paused_since >= limits.max_pause) {
      actions[i] = IntakeAction::kRefuse;
    } else {
      actions[i] = IntakeAction::kPause;
    }
  }
  LimitSmallRequests(connections, limits.budget, actions);
  return actions;
}

std::optional<std::size_t> StatedLength(std::string_view bytes) {
  constexpr std::string_view kName = "content-length:";
  const std::string_view head = bytes.substr(0, bytes.find("\r\n\r\n"));
  if (head.size() == bytes.size()) {
    return std::nullopt;
  }
  for (std::size_t at = head.find('\n'); at != std::string_view::npos;
       at = head.find('\n', at + 1)) {
    const std::string_view line = head.substr(at + 1);
    if (line.size() < kName.size() ||
        strncasecmp(line.data(), kName.data(), kName.size()) != 0) {
      continue;
    }
    const std::size_t digits = line.find_first_not_of(" \t", kName.size());
    std::size_t length = 0;
    if (digits == std::string_view::npos ||
        std::from_chars(line.data() + digits, line.data() + line.size(), length)
                .ec != std::errc()) {
      return std::nullopt;
    }
    return length;
  }
  return std::nullopt;
}

}  // namespace amaranthcove::internal
