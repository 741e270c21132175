#include "src/router/answer_gate.h"

#include <utility>

namespace amaranthcove {

std::uint64_t AnswerGate::Enter(std::function<void()> on_place) {
  const std::uint64_t ticket = ++last_ticket_;
  if (inside_.size() < places_) {
    inside_.insert(ticket);
  } else {
    waiting_.emplace(ticket, std::move(on_place));
  }
  return ticket;
}

void AnswerGate::Leave(std::uint64_t ticket) {
  waiting_.erase(ticket);
  if (inside_.erase(ticket) == 0 || waiting_.empty()) {
    return;
  }
  const auto next = waiting_.begin();
  inside_.insert(next->first);
  const std::function<void()> on_place = std::move(next->second);
  waiting_.erase(next);
  on_place();
}

}  // namespace amaranthcove
