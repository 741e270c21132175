#ifndef AMARANTHCOVE_ADAPTER_AGENT_PROMPT_ADMISSION_H_
#define AMARANTHCOVE_ADAPTER_AGENT_PROMPT_ADMISSION_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <span>
#include <vector>

#include "amaranthcove/base/time.h"
#include "amaranthcove/fair_share/fair_order.h"

namespace amaranthcove {

// A prompt that a router wants to send to the engine.
struct PromptDemand {
  std::int64_t id = 0;  // Chosen by the router.
  std::int64_t tokens = 0;
  int rank = 0;                        // 0 is admitted first.
  Duration waited = Duration::zero();  // At all engines.
  FairShare share{};
};

// A prompt that waits for admission.
struct WaitingPrompt {
  std::int64_t tokens = 0;
  int rank = 0;
  Time since;  // When it began to wait.
  FairShare share{};
};

// The work that an engine takes at a time.
struct PromptLimits {
  // Prompt tokens that may be read in each period of `gap`: reading more would
  // make the streams at the engine late. 0 if there is no limit.
  std::int64_t window_tokens = 0;
  Duration gap = Duration::zero();
  int batch_size = 0;  // Requests that run at a time; 0 if unknown.
};

// Returns the indexes of the prompts to admit now, in the order of rank, then
// by turns of the workspaces, then of waiting time. An engine reads prompts in
// pieces between the steps of its batch, and many prompts at a time pause all
// of its streams for too long; read one after the other, they take the same
// time in total. A prompt above the limit is admitted when nothing else is
// unread. No prompt overtakes one that is ahead of it and does not fit, so
// large prompts are not starved.
//
// `tokens` is the number of tokens that are unread, or that were sent within
// the last period, whichever is more. It and `requests` include the prompts
// that were admitted before; `admitted` counts those that were
// admitted lately, by workspace. Thread-safe.
std::vector<std::size_t> AdmitPrompts(
    std::span<const WaitingPrompt> prompts,
    const PromptLimits& limits,
    std::int64_t tokens,
    int requests,
    const std::map<WorkspaceId, double>& admitted = {});

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_ADAPTER_AGENT_PROMPT_ADMISSION_H_
