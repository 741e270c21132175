#ifndef AMARANTHCOVE_RELAY_REQUEST_INFO_H_
#define AMARANTHCOVE_RELAY_REQUEST_INFO_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "amaranthcove/base/time.h"

namespace amaranthcove {

// The data that a router reads from a caller's request.
struct RequestInfo {
  std::string attempt_id;  // Chosen by the caller, one for each attempt.
  std::string host;
  // The time that the caller waits for its answer, if it states one.
  std::optional<Duration> caller_timeout;
  std::string model;    // Empty unless the request is a generation.
  std::string adapter;  // Empty for the base model itself.
  // Whether `model` and `adapter` are UTF-8, as all configured names are.
  bool has_valid_model = true;
  std::int64_t prompt_tokens = 0;
  std::int64_t max_output_tokens = 0;
  // Ids of the parts of the prompt, in order. Other requests may share all but
  // the last, which belongs to this request or its session.
  std::vector<std::string> prompt_parts;
  // Whether the caller states its numbers of tokens.
  bool has_token_usage = false;
  // The key of the caller's workspace; empty if it has sent none. Never logged.
  std::string key;
  // Whether the key was sent more than once.
  bool has_malformed_key = false;
  // Id of the last event that the caller received of a stream that it resumes.
  std::string last_event_id;
};

// The data that a router adds to a request that it sends to a backend server.
struct SendOptions {
  // Id of the server. A server with another id refuses the request.
  std::string expected_server;
  Duration time_left = Duration::zero();
  std::optional<std::int64_t> expected_version;  // Of the adapter.
  std::optional<int> priority;                   // 0 is the most urgent.
  std::optional<std::string> last_event_id;      // Resumes after this event.
  // Whether the key and workspace that the caller states are left out.
  bool drops_caller_workspace = false;
  std::string
      workspace;  // Name of the caller's workspace; empty if it has none.
};

// The data that a router reads from the head of a backend server's answer.
struct ResponseInfo {
  bool not_run = false;  // The server states that it did not run the request.
  std::string attempt_id;
  // Id of the server that answered; empty if the answer does not contain it.
  std::string server_id;
  bool is_signed = false;  // It bears the signature of a backend server.
  bool server_leaves = false;
  // How long the server wants nothing more, if it refused the request and said
  // so.
  std::optional<Duration> wants_nothing_for;
};

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_RELAY_REQUEST_INFO_H_
