#include "amaranthcove/adapter_agent/prompt_admission.h"

#include <algorithm>
#include <numeric>
#include <tuple>

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

std::vector<std::size_t> AdmitPrompts(std::span<const WaitingPrompt> prompts,
                                      const PromptLimits& limits,
                                      std::int64_t tokens,
                                      int requests) {
  std::vector<std::size_t> order(prompts.size());
  std::iota(order.begin(), order.end(), std::size_t{0});
  std::sort(order.begin(), order.end(),
            [&prompts](std::size_t a, std::size_t b) {
              return std::tuple(prompts[a].rank, prompts[a].since, a) <
                     std::tuple(prompts[b].rank, prompts[b].since, b);
            });
  std::vector<std::size_t> admitted;
  for (const std::size_t index : order) {
    const WaitingPrompt& prompt = prompts[index];
    if (!Fits(prompt, limits, tokens, requests)) {
      break;
    }
    tokens += prompt.tokens;
    ++requests;
    admitted.push_back(index);
  }
  return admitted;
}

}  // namespace amaranthcove
