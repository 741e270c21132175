#ifndef AMARANTHCOVE_BACKEND_CHOICE_EVEN_LOAD_H_
#define AMARANTHCOVE_BACKEND_CHOICE_EVEN_LOAD_H_

#include <cstddef>
#include <optional>
#include <span>

namespace amaranthcove {

// A server that a request may be sent to, by information that is a little old.
struct ServerOffer {
  // What sending the request there costs, by the last information.
  double cost_ms = 0;
  // By how much one more request raises that cost; above 0.
  double request_cost_ms = 1;
  // Requests of other instances that have been sent there since, as far as can
  // be expected.
  double expected_arrivals = 0;
  // Random value from 0 to 1 for each request and server.
  double jitter = 0;
};

// Returns the index of the server for a request, or nullopt without offers.
//
// Answers many instances that choose by the same old information: all of them
// would take the server that looked best, and overrun it until the next
// information, while others idle. The requests that others send meanwhile even
// the costs out if each instance spreads its own as water fills a vessel: up to
// the level at which the expected arrivals and this request fit, a server is
// chosen with a probability in proportion to what is below the level there. The
// older the information and the more instances there are, the wider the spread;
// without expected arrivals it covers only servers that differ by less than
// one request. Thread-safe.
std::optional<std::size_t> ChooseEvenly(std::span<const ServerOffer> offers);

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_BACKEND_CHOICE_EVEN_LOAD_H_
