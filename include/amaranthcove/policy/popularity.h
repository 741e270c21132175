#ifndef AMARANTHCOVE_POLICY_POPULARITY_H_
#define AMARANTHCOVE_POLICY_POPULARITY_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "amaranthcove/base/time.h"

namespace amaranthcove::policy {

// `Hash64` of "TEAM/ADAPTER@VERSION"; 0 means no adapter.
using AdapterKey = std::uint64_t;

// Exponentially decayed rate of events of one kind. Not thread-safe.
struct DecayedRate {
  Duration half_life = std::chrono::seconds(10);
  double count = 0;  // Decayed number of events at `counted_at`.
  Time counted_at{};

  // Adds `weight` events at `now`. Precondition: `now` does not decrease
  // between calls.
  void Record(Time now, double weight = 1.0);

  // Returns the rate at `now` in events per second.
  double Rate(Time now) const;
};

struct PopularitySettings {
  Duration half_life = std::chrono::seconds(60);
  // Maximum number of adapters in the table.
  std::size_t capacity = 65536;
  // Adapters with a lower rate, in requests per second, may be removed.
  double min_rate = 0.0005;
};

// Exponentially decayed request rates of recently used adapters. The table is
// set-associative with entries of 16 bytes; entries of adapters that are no
// longer used are overwritten, so they need no cleanup. Not thread-safe.
class PopularityTable {
 public:
  explicit PopularityTable(PopularitySettings settings = {});

  // Adds `weight` requests for `adapter` at `now`. Precondition: `adapter` is
  // not 0.
  void Record(AdapterKey adapter, Time now, double weight = 1.0);

  // Returns the decayed rate in weighted requests per second; 0 for unknown
  // adapters.
  double Rate(AdapterKey adapter, Time now) const;

  // Removes the adapters below `min_rate` and shrinks the table to fit the
  // remaining ones.
  void Compact(Time now);

  // Return the number of adapters in the table, and its size in bytes.
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
  double min_count_;
  std::vector<Entry> entries_;
};

}  // namespace amaranthcove::policy

#endif  // AMARANTHCOVE_POLICY_POPULARITY_H_
