#ifndef AMARANTHCOVE_SRC_NET_INTAKE_POLICY_H_
#define AMARANTHCOVE_SRC_NET_INTAKE_POLICY_H_

#include <cstddef>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

#include "amaranthcove/base/time.h"

// Decides which connections of an HTTP server may go on sending, so that the
// memory for requests stays within a budget. All functions are thread-safe.
namespace amaranthcove::internal {

// A request up to this size is read without a grant.
inline constexpr std::size_t kSmallRequestBytes = 64U << 10;

// What an HTTP server keeps of a large request at the same time: the buffer,
// which may be twice as large as the data, and the copies that are relayed.
inline constexpr std::size_t kCopiesOfRequest = 5;

// A connection as far as it concerns the memory for requests.
struct IntakeState {
  std::size_t held = 0;    // Bytes allocated for what has been received.
  std::size_t length = 0;  // Of the request, as stated or at most.
  // Whether a request has begun and its last byte has not arrived.
  bool is_incomplete = false;
  bool has_request = false;  // Complete, and not answered yet.
  bool granted = false;      // May send and hold a large request.
  bool paused = false;
  Time began;  // When the first byte of the request was seen.
  // When the connection was paused first, for the request.
  std::optional<Time> paused_since;
  // Bytes received since the beginning of the last measurement of progress,
  // and that beginning.
  std::size_t progress = 0;
  Time progress_since;
};

// The limits of an HTTP server. Requests that keep within the sizes and are
// sent at a usual pace never meet them in calm.
struct IntakeLimits {
  // For requests, in bytes. One large request is read even if it exceeds this.
  std::size_t budget = 64U << 20;
  // A request is refused if it is not complete after this time.
  Duration max_duration = std::chrono::seconds(60);
  // While others wait, a request with a grant has to get on by this much in
  // this time.
  std::size_t min_progress = 64U << 10;
  Duration progress_span = std::chrono::seconds(2);
  // A request is refused after it has waited so long for a grant.
  Duration max_pause = std::chrono::seconds(10);
};

enum class IntakeAction {
  kRead,    // Read on, or read again.
  kPause,   // Leave what the peer sends in its connection.
  kRefuse,  // Refuse the request, which has not run.
  kTooSlow  // Refuse the request, which takes too long.
};

// Returns an action for each of `connections` and updates which of them are
// granted.
//
// Answers a crowd that sends many large bodies at once and stops short of their
// end: small requests are read at once; large ones need a grant for all the
// memory that they may take, in the order of their arrival. A granted request
// that stands still while others wait gives way, and so do those that have got
// on least if small requests alone exceed the budget.
std::vector<IntakeAction> DecideIntake(std::span<IntakeState> connections,
                                       const IntakeLimits& limits,
                                       Time now);

// Returns the length of the body that the head at the beginning of `bytes`
// states, or nullopt if it states none or does not end within `bytes`.
std::optional<std::size_t> StatedLength(std::string_view bytes);

}  // namespace amaranthcove::internal

#endif  // AMARANTHCOVE_SRC_NET_INTAKE_POLICY_H_
