#ifndef AMARANTHCOVE_ADAPTER_AGENT_DEMAND_TABLE_H_
#define AMARANTHCOVE_ADAPTER_AGENT_DEMAND_TABLE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include "amaranthcove/adapter_agent/adapter_plan.h"
#include "amaranthcove/adapter_agent/prompt_admission.h"
#include "amaranthcove/adapter_agent/prompt_limiter.h"
#include "amaranthcove/base/address.h"
#include "amaranthcove/base/time.h"

namespace amaranthcove {

// The last demand of one router for adapters of an engine, with the engine's
// configuration.
struct RouterDemand {
  std::int64_t incarnation = 0;  // Of the router.
  std::int64_t sequence = 0;
  std::vector<WantedAdapter> uses;
  EngineCapacity capacity;
  std::vector<AgentModel> models;
  // Tokens of the router's prompts that the engine has not read yet.
  std::int64_t prompt_tokens = 0;
  std::int64_t sent_tokens = 0;  // Totals of the incarnation.
  std::int64_t sent_requests = 0;
  // Prompts that wait for admission.
  std::vector<PromptDemand> prompts;
  PromptLimits prompt_limits;
  PauseCounts pauses;  // Of the incarnation.
  bool service_has_late_pauses = false;
};

// The requests that routers have at an engine, and the tokens of their prompts
// that it has not read yet.
struct RequestLoad {
  int requests = 0;
  int waiting = 0;                 // Prompts to be sent.
  int waiting_for_loads = 0;       // Requests whose adapter is not there yet.
  double arrivals_per_s = 0;       // Of requests.
  std::int64_t prompt_tokens = 0;  // Unread, or waiting to be sent.
  std::int64_t unread_tokens = 0;

  bool operator==(const RequestLoad&) const = default;
};

// The load that all routers but `router` put on an engine.
struct LoadOfOthers {
  Address router;
  RequestLoad load;
};

// The demands of all routers for adapters of one engine.
//
// Routers repeat their complete demand periodically. A demand that is not
// repeated within `kDemandLifetime` expires.
//
// Not thread-safe.
class DemandTable {
 public:
  static constexpr Duration kDemandLifetime = std::chrono::seconds(3);

  // The load of a router that has not repeated its demand within this time does
  // not count: the router has most likely ended, and its requests with it.
  static constexpr Duration kLoadLifetime = std::chrono::seconds(1);

  // Replaces the demand of `router`. Returns false and changes nothing if the
  // demand is not newer than the stored one of the same incarnation.
  bool Put(const Address& router, RouterDemand demand, Time now);

  // Returns whether there is a demand of this incarnation of `router`.
  bool Knows(const Address& router, std::int64_t incarnation) const;

  // Removes the demands whose lifetime has passed, and limits the number of
  // stored last uses.
  void Expire(Time now);

  // Returns all wanted adapters, with their requests summed over the routers.
  std::vector<WantedAdapter> Wanted() const;

  // Returns the routers that have a request waiting for an adapter.
  std::vector<Address> WaitingRouters() const;

  // Returns all routers that have a demand.
  std::vector<Address> Routers() const;

  const LastUseTimes& last_uses() const { return last_uses_; }
  const EngineCapacity& capacity() const { return capacity_; }
  std::span<const AgentModel> models() const { return models_; }

  // Admits waiting prompts by `AdmitPrompts`. Returns all admitted prompts that
  // their routers still list as waiting, by router: the datagram that told a
  // router may have been lost. An admitted prompt counts as sent until its
  // router no longer lists it.
  std::map<Address, std::vector<std::int64_t>> AdmitPrompts(Time now);

  // Returns the limits by which prompts are admitted: the mean of what routers
  // state, without a limit of tokens unless prompts make the streams late.
  PromptLimits Limits(Time now);

  // What the admission of prompts depends on, for logs.
  struct AdmissionState {
    int waiting = 0;  // Prompts.
    Duration longest_wait = Duration::zero();
    std::int64_t unread_tokens = 0;
    std::int64_t recent_tokens = 0;  // Sent within the last period.
    int requests = 0;
    PromptLimits limits;
  };
  AdmissionState DescribeAdmission(Time now);

  // Returns whether prompts wait for admission.
  bool has_waiting_prompts() const;

  // Returns the load that all routers put on the engine.
  RequestLoad TotalLoad(Time now) const;

  // Returns the load of the others for each router, so that a router can add
  // its own, which it knows without delay.
  std::vector<LoadOfOthers> LoadsOfOthers(Time now) const;

 private:
  struct AskedPrompt {
    PromptDemand demand;
    Time since;
    bool admitted = false;
  };
  struct Entry {
    RouterDemand demand;
    Time received;
    RequestLoad load;
    // When each waiting prompt was listed first, and whether it is admitted.
    std::map<std::int64_t, AskedPrompt> prompts;
    // When the arrivals were averaged last, and the requests sent until then.
    Time averaged;
    std::int64_t averaged_requests = 0;
    // When the router's requests began to wait, by model and adapter name.
    std::map<std::pair<std::string, std::string>, Time> waiting_since;
  };

  struct SentTokens {
    Time at;
    std::int64_t tokens = 0;
  };
  // Takes in the pauses of streams since the last demand of `router`.
  void AddPausesOf(const Address& router,
                   const Entry& entry,
                   const RouterDemand& demand,
                   Time now);
  // Updates the moving average of the requests that a router sends.
  static void AverageArrivals(Entry& entry,
                              const RouterDemand& demand,
                              Time now);
  // Records the prompts of `entry` that were sent without admission.
  void AddSent(const Entry& entry, const RouterDemand& demand, Time now);
  void ForgetSentBefore(Time time);
  // Returns the tokens sent after `since`, which is at most `kLoadLifetime`
  // ago.
  std::int64_t SentSince(Time since) const;

  std::map<Address, Entry> entries_;
  PromptLimiter limiter_;
  std::deque<SentTokens> sent_;  // In the order of time.
  RecentService recent_;         // The prompts that were admitted.
  LastUseTimes last_uses_;
  EngineCapacity capacity_;
  std::vector<AgentModel> models_;
};

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_ADAPTER_AGENT_DEMAND_TABLE_H_
