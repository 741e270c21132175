#include "amaranthcove/backend_choice/even_load.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <numeric>
#include <vector>

namespace amaranthcove {

namespace {

// Keeps the logarithm of a random value finite.
constexpr double kMinJitter = 1e-12;

// Returns the cost up to which the servers fill with the expected arrivals and
// one more request.
double FillLevel(std::span<const ServerOffer> offers) {
  std::vector<std::size_t> order(offers.size());
  std::iota(order.begin(), order.end(), std::size_t{0});
  std::sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
    return offers[a].cost_ms < offers[b].cost_ms;
  });
  double requests = 1;
  double per_cost = 0;  // Requests that raise the level by a millisecond.
  double filled = 0;    // Requests that the level 0 lacks.
  double level = std::numeric_limits<double>::infinity();
  for (const std::size_t index : order) {
    const ServerOffer& offer = offers[index];
    if (offer.cost_ms >= level) {
      break;
    }
    requests += offer.expected_arrivals;
    per_cost += 1 / offer.request_cost_ms;
    filled += offer.cost_ms / offer.request_cost_ms;
    level = (requests + filled) / per_cost;
  }
  return level;
}

}  // namespace

std::optional<std::size_t> ChooseEvenly(std::span<const ServerOffer> offers) {
  const double level = FillLevel(offers);
  std::optional<std::size_t> best;
  double best_time = 0;
  for (std::size_t i = 0; i < offers.size(); ++i) {
    const double room = (level - offers[i].cost_ms) / offers[i].request_cost_ms;
    if (room <= 0) {
      continue;
    }
    // The first of several exponential times with these rates is that of a
    // server with a probability in proportion to its rate.
    const double time =
        -std::log(std::max(offers[i].jitter, kMinJitter)) / room;
    if (!best || time < best_time) {
      best = i;
      best_time = time;
    }
  }
  return best;
}

}  // namespace amaranthcove
