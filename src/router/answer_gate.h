#ifndef AMARANTHCOVE_SRC_ROUTER_ANSWER_GATE_H_
#define AMARANTHCOVE_SRC_ROUTER_ANSWER_GATE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <set>

namespace amaranthcove {

// Limits how many large answers are gathered at the same time. Answers that are
// not streams are passed on when they are complete, so that each of them takes
// memory until then. The others wait in their connections to the servers.
//
// Thread safety: none.
class AnswerGate {
 public:
  // Smaller answers need no place.
  static constexpr std::size_t kSmallAnswerBytes = 64U << 10;

  // Precondition: `places` is positive.
  explicit AnswerGate(std::size_t places) : places_(places) {}

  // Asks for a place for an answer that has become large. Returns its ticket.
  // `on_place` is called, in the order of asking, when there is a place, unless
  // there is one at once.
  std::uint64_t Enter(std::function<void()> on_place);

  // Returns whether the answer with `ticket` has a place.
  bool HasPlace(std::uint64_t ticket) const { return inside_.contains(ticket); }

  // Gives up a place or the wish for one. Unknown tickets are ignored.
  void Leave(std::uint64_t ticket);

 private:
  const std::size_t places_;
  std::uint64_t last_ticket_ = 0;
  std::set<std::uint64_t> inside_;
  std::map<std::uint64_t, std::function<void()>> waiting_;
};

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_SRC_ROUTER_ANSWER_GATE_H_
