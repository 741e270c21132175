#include "amaranthcove/adapter_agent/prompt_admission.h"

namespace amaranthcove {

namespace {

// Requests beyond the batch that an engine takes, as a share of its batch. They
// fill the places that become free before the agent learns of it.
constexpr int kQueueDivisor = 8;

bool Fits(const WaitingPrompt& prompt,
          const PromptLimits& limits,
          std::int64_t tokens,
          int requests) {
  const int places = limits.batch_size + limits.batch_size / kQueueDivisor;
  if (limits.batch_size > 0 && requests >= places) {
    return false;
  }
  return limits.window_tokens <= 0 || tokens <= 0 ||
         tokens + prompt.tokens <= limits.window_tokens;
}

}  // namespace

std::vector<std::size_t> AdmitPrompts(
    std::span<const WaitingPrompt> prompts,
    const PromptLimits& limits,
    std::int64_t tokens,
    int requests,
    const std::map<WorkspaceId, double>& admitted) {
  std::vector<FairRequest> waiting;
  waiting.reserve(prompts.size());
  for (const WaitingPrompt& prompt : prompts) {
    waiting.push_back({false, prompt.rank, prompt.share, prompt.since});
  }
  std::vector<std::size_t> chosen;
  for (const std::size_t index : FairOrder(waiting, admitted)) {
    const WaitingPrompt& prompt = prompts[index];
    if (!Fits(prompt, limits, tokens, requests)) {
      break;
    }
    tokens += prompt.tokens;
    ++requests;
    chosen.push_back(index);
  }
  return chosen;
}

}  // namespace amaranthcove
