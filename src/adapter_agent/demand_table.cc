#include "amaranthcove/adapter_agent/demand_table.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace amaranthcove {

namespace {

// Maximum number of stored last uses. Above it, the oldest ones are removed.
constexpr std::size_t kMaxLastUses = 4096;

// Time constant of the moving average of arrivals. Demand doubles within a
// second in a burst.
constexpr double kArrivalsAverageS = 0.5;
// Demands that follow each other sooner are averaged together.
constexpr Duration kMinAveraged = std::chrono::milliseconds(50);

std::pair<std::string, std::string> KeyOf(const AdapterState& adapter) {
  return {adapter.model, adapter.adapter};
}

}  // namespace

bool DemandTable::Put(const Address& router, RouterDemand demand, Time now) {
  Entry& entry = entries_[router];
  if (entry.demand.incarnation == demand.incarnation &&
      entry.demand.sequence >= demand.sequence) {
    return false;
  }
  std::map<std::pair<std::string, std::string>, Time> waiting_since;
  AddPausesOf(router, entry, demand, now);
  AddSent(entry, demand, now);
  AverageArrivals(entry, demand, now);
  entry.load.requests = 0;
  entry.load.waiting = static_cast<int>(demand.prompts.size());
  entry.load.waiting_for_loads = 0;
  entry.load.prompt_tokens = demand.prompt_tokens;
  entry.load.unread_tokens = demand.prompt_tokens;
  std::map<std::int64_t, AskedPrompt> prompts;
  for (const PromptDemand& prompt : demand.prompts) {
    const auto known = entry.prompts.find(prompt.id);
    AskedPrompt& asked = prompts[prompt.id];
    asked.demand = prompt;
    // A request that comes from another engine keeps its turn.
    asked.since = known == entry.prompts.end() ? now - prompt.waited
                                               : known->second.since;
    asked.admitted = known != entry.prompts.end() && known->second.admitted;
    entry.load.prompt_tokens += prompt.tokens;
  }
  entry.prompts = std::move(prompts);
  for (WantedAdapter& use : demand.uses) {
    const auto key = KeyOf(use.target);
    last_uses_[key] = now;
    entry.load.requests += use.running;
    entry.load.waiting_for_loads += use.waiting;
    if (use.waiting > 0) {
      const auto known = entry.waiting_since.find(key);
      use.waiting_since =
          known == entry.waiting_since.end() ? now : known->second;
      waiting_since[key] = use.waiting_since;
    }
  }
  entry.waiting_since = std::move(waiting_since);
  capacity_ = demand.capacity;
  models_ = demand.models;
  entry.demand = std::move(demand);
  entry.received = now;
  return true;
}

bool DemandTable::Knows(const Address& router, std::int64_t incarnation) const {
  const auto entry = entries_.find(router);
  return entry != entries_.end() &&
         entry->second.demand.incarnation == incarnation;
}

void DemandTable::Expire(Time now) {
  std::erase_if(entries_, [now](const auto& item) {
    return now - item.second.received >= kDemandLifetime;
  });
  while (last_uses_.size() > kMaxLastUses) {
    last_uses_.erase(std::min_element(
        last_uses_.begin(), last_uses_.end(),
        [](const auto& a, const auto& b) { return a.second < b.second; }));
  }
}

std::vector<WantedAdapter> DemandTable::Wanted() const {
  std::map<std::pair<std::string, std::string>, WantedAdapter> sums;
  for (const auto& [router, entry] : entries_) {
    for (const WantedAdapter& use : entry.demand.uses) {
      auto [item, is_new] = sums.try_emplace(KeyOf(use.target), use);
      if (is_new) {
        continue;
      }
      WantedAdapter& sum = item->second;
      if (use.waiting > 0) {
        sum.rank = sum.waiting > 0 ? std::min(sum.rank, use.rank) : use.rank;
        sum.waiting_since = sum.waiting > 0
                                ? std::min(sum.waiting_since, use.waiting_since)
                                : use.waiting_since;
      }
      sum.target.version = std::max(sum.target.version, use.target.version);
      sum.waiting += use.waiting;
      sum.running += use.running;
    }
  }
  std::vector<WantedAdapter> result;
  result.reserve(sums.size());
  for (auto& [key, sum] : sums) {
    result.push_back(std::move(sum));
  }
  return result;
}

void DemandTable::AddPausesOf(const Address& router,
                              const Entry& entry,
                              const RouterDemand& demand,
                              Time now) {
  if (entry.demand.incarnation != demand.incarnation) {
    return;  // The first demand: when its streams paused is unknown.
  }
  AddPauses(limiter_, router,
            {demand.pauses.long_pauses - entry.demand.pauses.long_pauses,
             demand.pauses.late_pauses - entry.demand.pauses.late_pauses},
            static_cast<int>(entries_.size()), now);
}

void DemandTable::AverageArrivals(Entry& entry,
                                  const RouterDemand& demand,
                                  Time now) {
  if (entry.demand.incarnation != demand.incarnation) {
    entry.load.arrivals_per_s = 0;
    entry.averaged = now;
    entry.averaged_requests = demand.sent_requests;
    return;
  }
  const Duration elapsed = now - entry.averaged;
  if (elapsed < kMinAveraged) {
    return;
  }
  const double seconds = ToSeconds(elapsed);
  const double latest =
      static_cast<double>(demand.sent_requests - entry.averaged_requests) /
      seconds;
  entry.load.arrivals_per_s += (1 - std::exp(-seconds / kArrivalsAverageS)) *
                               (latest - entry.load.arrivals_per_s);
  entry.averaged = now;
  entry.averaged_requests = demand.sent_requests;
}

void DemandTable::AddSent(const Entry& entry,
                          const RouterDemand& demand,
                          Time now) {
  ForgetSentBefore(now - kLoadLifetime);
  if (entry.demand.incarnation != demand.incarnation) {
    return;  // The first demand: when its prompts were sent is unknown.
  }
  std::int64_t tokens = demand.sent_tokens - entry.demand.sent_tokens;
  for (const auto& [id, prompt] : entry.prompts) {
    const bool listed = std::any_of(
        demand.prompts.begin(), demand.prompts.end(),
        [id = id](const PromptDemand& item) { return item.id == id; });
    if (prompt.admitted && !listed) {
      tokens -= prompt.demand.tokens;  // Recorded at its admission.
    }
  }
  if (tokens > 0) {
    sent_.push_back({now, tokens});
  }
}

void DemandTable::ForgetSentBefore(Time time) {
  while (!sent_.empty() && sent_.front().at < time) {
    sent_.pop_front();
  }
}

std::int64_t DemandTable::SentSince(Time since) const {
  std::int64_t tokens = 0;
  for (const SentTokens& sent : sent_) {
    tokens += sent.at > since ? sent.tokens : 0;
  }
  return tokens;
}

PromptLimits DemandTable::Limits(Time now) {
  PromptLimits limits;
  std::int64_t tokens = 0;
  int windows = 0;
  int routers = 0;
  int witnesses = 0;
  for (const auto& [router, entry] : entries_) {
    if (now - entry.received >= kLoadLifetime) {
      continue;
    }
    ++routers;
    witnesses += entry.demand.service_has_late_pauses ? 1 : 0;
    const PromptLimits& stated = entry.demand.prompt_limits;
    limits.batch_size = std::max(limits.batch_size, stated.batch_size);
    if (stated.window_tokens > 0) {
      tokens += stated.window_tokens;
      limits.gap = stated.gap;
      ++windows;
    }
  }
  AddServiceEvidence(limiter_, witnesses, routers, now);
  if (windows > 0 && IsLimited(limiter_, now)) {
    limits.window_tokens = tokens / windows;
  }
  return limits;
}

DemandTable::AdmissionState DemandTable::DescribeAdmission(Time now) {
  AdmissionState state;
  state.limits = Limits(now);
  for (const auto& [router, entry] : entries_) {
    if (now - entry.received >= kLoadLifetime) {
      continue;
    }
    state.unread_tokens += entry.demand.prompt_tokens;
    state.requests += entry.load.requests;
    for (const auto& [id, prompt] : entry.prompts) {
      if (!prompt.admitted) {
        ++state.waiting;
        state.longest_wait = std::max(state.longest_wait, now - prompt.since);
      }
    }
  }
  state.recent_tokens =
      SentSince(now - std::min(state.limits.gap, kLoadLifetime));
  return state;
}

bool DemandTable::has_waiting_prompts() const {
  return std::any_of(entries_.begin(), entries_.end(), [](const auto& item) {
    return !item.second.prompts.empty();
  });
}

std::map<Address, std::vector<std::int64_t>> DemandTable::AdmitPrompts(
    Time now) {
  std::vector<WaitingPrompt> waiting;
  std::vector<AskedPrompt*> asked;
  std::int64_t unread_tokens = 0;
  const PromptLimits limits = Limits(now);
  int requests = 0;
  for (auto& [router, entry] : entries_) {
    if (now - entry.received >= kLoadLifetime) {
      continue;
    }
    unread_tokens += entry.demand.prompt_tokens;
    requests += entry.load.requests;
    for (auto& [id, prompt] : entry.prompts) {
      if (prompt.admitted) {
        unread_tokens += prompt.demand.tokens;
        ++requests;
      } else {
        waiting.push_back({prompt.demand.tokens, prompt.demand.rank,
                           prompt.since, prompt.demand.share});
        asked.push_back(&prompt);
      }
    }
  }
  const Duration period = std::min(limits.gap, kLoadLifetime);
  const std::int64_t tokens = std::max(unread_tokens, SentSince(now - period));
  for (const std::size_t index : amaranthcove::AdmitPrompts(
           waiting, limits, tokens, requests, CountsAt(recent_, now))) {
    asked[index]->admitted = true;
    AddService(recent_, asked[index]->demand.share.workspace, now);
    sent_.push_back({now, asked[index]->demand.tokens});
  }
  std::map<Address, std::vector<std::int64_t>> result;
  for (const auto& [router, entry] : entries_) {
    for (const auto& [id, prompt] : entry.prompts) {
      if (prompt.admitted) {
        result[router].push_back(id);
      }
    }
  }
  return result;
}

RequestLoad DemandTable::TotalLoad(Time now) const {
  RequestLoad total;
  for (const auto& [router, entry] : entries_) {
    if (now - entry.received < kLoadLifetime) {
      total.requests += entry.load.requests;
      total.waiting += entry.load.waiting;
      total.waiting_for_loads += entry.load.waiting_for_loads;
      total.arrivals_per_s += entry.load.arrivals_per_s;
      total.prompt_tokens += entry.load.prompt_tokens;
      total.unread_tokens += entry.load.unread_tokens;
    }
  }
  return total;
}

std::vector<LoadOfOthers> DemandTable::LoadsOfOthers(Time now) const {
  const RequestLoad total = TotalLoad(now);
  std::vector<LoadOfOthers> result;
  result.reserve(entries_.size());
  for (const auto& [router, entry] : entries_) {
    RequestLoad others = total;
    if (now - entry.received < kLoadLifetime) {
      others.requests -= entry.load.requests;
      others.waiting -= entry.load.waiting;
      others.waiting_for_loads -= entry.load.waiting_for_loads;
      others.arrivals_per_s -= entry.load.arrivals_per_s;
      others.prompt_tokens -= entry.load.prompt_tokens;
      others.unread_tokens -= entry.load.unread_tokens;
    }
    result.push_back({router, others});
  }
  return result;
}

std::vector<Address> DemandTable::WaitingRouters() const {
  std::vector<Address> result;
  for (const auto& [router, entry] : entries_) {
    if (!entry.waiting_since.empty()) {
      result.push_back(router);
    }
  }
  return result;
}

std::vector<Address> DemandTable::Routers() const {
  std::vector<Address> result;
  for (const auto& [router, entry] : entries_) {
    result.push_back(router);
  }
  return result;
}

}  // namespace amaranthcove
