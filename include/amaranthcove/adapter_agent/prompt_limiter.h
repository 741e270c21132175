#ifndef AMARANTHCOVE_ADAPTER_AGENT_PROMPT_LIMITER_H_
#define AMARANTHCOVE_ADAPTER_AGENT_PROMPT_LIMITER_H_

#include <cstdint>
#include <map>

#include "amaranthcove/base/address.h"
#include "amaranthcove/base/time.h"

namespace amaranthcove {

// The pauses of a router's streams at one engine that prompts may have caused:
// all of them, and those that were too long. Totals since the router's start.
struct PauseCounts {
  std::int64_t long_pauses = 0;  // With the late ones.
  std::int64_t late_pauses = 0;
};

// Whether an agent holds prompts back because reading them makes the streams at
// its engine late.
//
// How much an engine reads between two steps of its batch, and how many steps
// an event takes, are not known, so the limit follows the pauses of the streams
// at this engine: at some engines no amount of prompts causes a pause that is
// too long, and holding prompts back would only delay them.
struct PromptLimiter {
  struct Evidence {
    double long_pauses = 0;  // Moving sums.
    double late_pauses = 0;
  };
  std::map<Address, Evidence> evidence;  // By router.
  Time decayed;                          // Up to when the sums have decayed.
  bool limited = false;
  Time late_seen;  // When the last pause was late.
  // Until when the engines of the service are taken to be late, where the
  // streams at this one do not show that they are on time.
  Time service_late_until;
};

// Takes in the pauses that `router` has seen since its last report. `routers`
// is the number of routers that use the engine: a single one among many may
// have a fault of its own.
void AddPauses(PromptLimiter& limiter,
               const Address& router,
               const PauseCounts& added,
               int routers,
               Time now);

// Records that `witnesses` of the `routers` that use the engine have seen late
// pauses at the engines of its service. What one engine shows takes many
// pauses; together they tell sooner what kind of engine it is.
void AddServiceEvidence(PromptLimiter& limiter,
                        int witnesses,
                        int routers,
                        Time now);

// Returns whether prompts are held back at `now`, and ends the limit when no
// pause has been late for half a minute.
bool IsLimited(PromptLimiter& limiter, Time now);

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_ADAPTER_AGENT_PROMPT_LIMITER_H_
