#include "amaranthcove/policy/popularity.h"

#include <algorithm>
#include <bit>
#include <cmath>
#include <numbers>

namespace amaranthcove::policy {

namespace {

// Number of entries in a set.
constexpr std::size_t kWays = 8;
// Time unit of the entries. 32 bits of 1/16 s overflow after 8.5 years.
constexpr Duration kTick = std::chrono::microseconds(62500);

std::uint32_t TickOf(Time now) {
  return static_cast<std::uint32_t>(now.time_since_epoch() / kTick);
}

}  // namespace

void DecayedRate::Record(Time now, double weight) {
  const double halvings = ToSeconds(now - counted_at) / ToSeconds(half_life);
  count = count * std::exp2(-halvings) + weight;
  counted_at = now;
}

double DecayedRate::Rate(Time now) const {
  const double halvings = ToSeconds(now - counted_at) / ToSeconds(half_life);
  return count * std::exp2(-halvings) * std::numbers::ln2 /
         ToSeconds(half_life);
}

PopularityTable::PopularityTable(PopularitySettings settings)
    : settings_(settings),
      decay_per_tick_(std::numbers::ln2 * ToSeconds(kTick) /
                      ToSeconds(settings.half_life)),
      min_count_(settings.min_rate * ToSeconds(settings.half_life) /
                 std::numbers::ln2),
      entries_(kWays) {}

double PopularityTable::Decayed(const Entry& entry, std::uint32_t tick) const {
  const std::uint32_t age = tick > entry.tick ? tick - entry.tick : 0;
  return static_cast<double>(entry.count) * std::exp(-decay_per_tick_ * age);
}

std::size_t PopularityTable::SetOf(AdapterKey adapter) const {
  return (adapter & (entries_.size() / kWays - 1)) * kWays;
}

void PopularityTable::Record(AdapterKey adapter, Time now, double weight) {
  const std::uint32_t tick = TickOf(now);
  const std::size_t set = SetOf(adapter);
  for (std::size_t i = set; i < set + kWays; ++i) {
    Entry& entry = entries_[i];
    if (entry.adapter == adapter) {
      entry.count = static_cast<float>(Decayed(entry, tick) + weight);
      entry.tick = tick;
      return;
    }
  }
  Insert({adapter, static_cast<float>(weight), tick}, tick);
}

void PopularityTable::Insert(const Entry& entry, std::uint32_t tick) {
  while (true) {
    const std::size_t set = SetOf(entry.adapter);
    Entry* victim = nullptr;
    double lowest = 0;
    for (std::size_t i = set; i < set + kWays; ++i) {
      const double count =
          entries_[i].adapter == 0 ? -1 : Decayed(entries_[i], tick);
      if (victim == nullptr || count < lowest) {
        victim = &entries_[i];
        lowest = count;
      }
    }
    const bool may_grow = entries_.size() * 2 <= settings_.capacity;
    if (lowest < min_count_ || !may_grow) {
      *victim = entry;
      return;
    }
    Rebuild(entries_.size() / kWays * 2, tick);
  }
}

void PopularityTable::Rebuild(std::size_t sets, std::uint32_t tick) {
  std::vector<Entry> old(sets * kWays);
  old.swap(entries_);
  for (const Entry& entry : old) {
    if (entry.adapter != 0 && Decayed(entry, tick) >= min_count_) {
      Insert(entry, tick);
    }
  }
}

double PopularityTable::Rate(AdapterKey adapter, Time now) const {
  const std::size_t set = SetOf(adapter);
  for (std::size_t i = set; i < set + kWays; ++i) {
    if (entries_[i].adapter == adapter) {
      return Decayed(entries_[i], TickOf(now)) * decay_per_tick_ /
             ToSeconds(kTick);
    }
  }
  return 0;
}

void PopularityTable::Compact(Time now) {
  const std::uint32_t tick = TickOf(now);
  const auto live = static_cast<std::size_t>(
      std::count_if(entries_.begin(), entries_.end(), [&](const Entry& entry) {
        return entry.adapter != 0 && Decayed(entry, tick) >= min_count_;
      }));
  const std::size_t sets = std::bit_ceil(live * 2 / kWays + 1);
  Rebuild(std::min(sets, entries_.size() / kWays), tick);
}

std::size_t PopularityTable::size() const {
  return static_cast<std::size_t>(
      std::count_if(entries_.begin(), entries_.end(),
                    [](const Entry& entry) { return entry.adapter != 0; }));
}

}  // namespace amaranthcove::policy
