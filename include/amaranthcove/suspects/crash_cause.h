#ifndef AMARANTHCOVE_SUSPECTS_CRASH_CAUSE_H_
#define AMARANTHCOVE_SUSPECTS_CRASH_CAUSE_H_

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "amaranthcove/base/address.h"
#include "amaranthcove/base/time.h"

namespace amaranthcove {

// Identifies a part of a prompt in all processes, or a request as a whole,
// which is handled like a part that only this request has.
using PartId = std::uint64_t;

// Returns the id for a part that callers name `name`. Thread-safe.
PartId HashPart(std::string_view name);

// Returns the id of the crash of a server that was started at `started_at_ms`,
// the same in all processes. Thread-safe.
std::uint64_t CrashId(const Address& server, std::int64_t started_at_ms);

// A request whose connection broke before its answer was complete. `parts` may
// have crashed the server: the request as a whole and, at the beginning of its
// answer, the parts of its prompt.
struct LostRequest {
  std::uint64_t request = 0;  // Hash of the id of the caller's attempt.
  std::vector<PartId> parts;  // The request as a whole comes first.

  bool operator==(const LostRequest&) const = default;
};

// A crash of a server, with the requests that may have caused it.
struct ServerCrash {
  std::uint64_t id = 0;  // See `CrashId`.
  Time at;
  std::vector<LostRequest> requests;
};

// When each part was last found not to crash servers, because an answer with it
// had got past its beginning or was complete. Holds at least the last
// `kMinKeptParts` parts.
//
// Thread safety: none.
class SoundParts {
 public:
  static constexpr std::size_t kMinKeptParts = 8192;

  void Record(std::span<const PartId> parts, Time now);
  // Returns the last time for `part`, or nullopt if none is known.
  std::optional<Time> LastSound(PartId part) const;

 private:
  std::unordered_map<PartId, Time> newer_;
  std::unordered_map<PartId, Time> older_;
};

// Parts of prompts that crash engines. Several parts are listed if they
// occurred only together, so that it is unknown which of them is the cause.
struct CrashCause {
  std::vector<PartId> parts;
  int crashes = 0;
  Time until;  // Requests with all parts are not sent to engines until then.
};

// Returns the fewest causes that explain `crashes` as of `now`.
//
// An engine that crashes takes all its requests with it. A part cannot be the
// cause of a crash if an engine has answered a request with it since.
// The parts left in most crashes are the cause of these, which then count for
// no other part. A cause needs several crashes, not all at the same moment,
// because engines also crash together for other reasons. Parts that engines
// have answered before need more of them, and are tried again sooner.
// Thread-safe.
std::vector<CrashCause> FindCrashCauses(std::span<const ServerCrash> crashes,
                                        const SoundParts& sound,
                                        Time now);

// Returns whether a request with `parts` holds all parts of `cause`.
// Thread-safe.
bool HoldsCause(std::span<const PartId> parts, const CrashCause& cause);

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_SUSPECTS_CRASH_CAUSE_H_
