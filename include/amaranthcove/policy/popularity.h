#ifndef AMARANTHCOVE_POLICY_POPULARITY_H_
#define AMARANTHCOVE_POLICY_POPULARITY_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "amaranthcove/base/time.h"

namespace amaranthcove::policy {

// `Hash64` of "TEAM/ADAPTER@VERSION". 0 stands for "no adapter".
using AdapterKey = std::uint64_t;

// Exponentially decayed rate of one kind of event. A value type.
struct DecayedRate {
  Duration half_life = std::chrono::seconds(10);
  double count = 0;
  Time counted_at{};

  // Adds `weight` events at `now`; `now` must not go back.
  void Record(Time now, double weight = 1.0);

  // Events per second.
  double Rate(Time now) const;
};

struct PopularitySettings {
  Duration half_life = std::chrono::seconds(60);
  // Upper bound of the number of adapters that are remembered.
  std::size_t capacity = 65536;
  // Adapters below this rate, in requests per second, may be forgotten.
  double forget_below = 0.0005;
};

// Exponentially decayed request rate of each adapter seen lately. A
// set-associative table with 16 bytes for each place; adapters not seen lately
// are overwritten and cost nothing. Not thread-safe.
class PopularityTable {
 public:
  explicit PopularityTable(PopularitySettings settings = {});

  // Adds `weight` requests of `adapter` at `now`. `adapter` must not be 0.
  void Record(AdapterKey adapter, Time now, double weight = 1.0);

  // Decayed rate in weighted requests per second; 0 for unknown adapters.
  double Rate(AdapterKey adapter, Time now) const;

  // Drops adapters below `forget_below` and shrinks the table to fit the rest.
  void Compact(Time now);

  // Number of remembered adapters, and bytes of the table.
  std::size_t size() const;
  std::size_t bytes() const { return entries_.size() * sizeof(Entry); }

 private:
  struct Entry {
    AdapterKey adapter = 0;
    float count = 0;
    std::uint32_t tick = 0;
  };

  double Decayed(const Entry& entry, std::uint32_t tick) const;
  std::size_t SetOf(AdapterKey adapter) const;
  void Insert(const Entry& entry, std::uint32_t tick);
  void Rebuild(std::size_t sets, std::uint32_t tick);

  PopularitySettings settings_;
  double decay_per_tick_;
  double forget_count_;
  std::vector<Entry> entries_;
};

}  // namespace amaranthcove::policy

#endif  // AMARANTHCOVE_POLICY_POPULARITY_H_
