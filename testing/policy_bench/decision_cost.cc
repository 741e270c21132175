#include "testing/policy_bench/decision_cost.h"

#include <cstdio>
#include <ctime>
#include <string>
#include <vector>

#include "amaranthcove/base/hash.h"
#include "amaranthcove/policy/choice.h"
#include "amaranthcove/policy/load_budget.h"
#include "amaranthcove/policy/placement.h"
#include "amaranthcove/policy/popularity.h"
#include "amaranthcove/policy/queue.h"

namespace amaranthcove::policy_bench {

namespace {

using policy::Random;

constexpr Time kStart{std::chrono::hours(1)};

// Receives the results, so that the compiler cannot optimise calls away.
volatile std::uint64_t sink = 0;

double ProcessorSeconds() {
  return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

// Returns the mean processor time, in nanoseconds, of one call of `decide(i)`.
template <typename Function>
double NanosecondsPerCall(int calls, Function decide) {
  const double before = ProcessorSeconds();
  for (int i = 0; i < calls; ++i) {
    sink = sink + decide(i);
  }
  return (ProcessorSeconds() - before) * 1e9 / calls;
}

void Print(const char* name, std::size_t size, double ns, std::size_t bytes) {
  std::printf("%-34s %8zu %12.0f %12zu\n", name, size, ns, bytes);
}

void PopularityCost(std::size_t adapters) {
  policy::PopularityTable table;
  Random random{1};
  std::vector<policy::AdapterKey> keys(adapters);
  for (policy::AdapterKey& key : keys) {
    key = random.Next();
  }
  const double ns = NanosecondsPerCall(2000000, [&](int i) {
    const Time now = kStart + std::chrono::milliseconds(i / 41);
    table.Record(keys[random.NextBelow(adapters)], now);
    return 1U;
  });
  Print("popularity: record, adapters", adapters, ns, table.bytes());
}

void PlacementCost(std::size_t servers_count) {
  std::vector<policy::PlacementServer> servers(servers_count);
  for (std::size_t i = 0; i < servers_count; ++i) {
    servers[i].name_hash = Hash64("engine-" + std::to_string(i));
  }
  std::vector<std::uint32_t> best(5);
  const double ns = NanosecondsPerCall(2000, [&](int i) {
    policy::RankServers("team/adapter-" + std::to_string(i), servers, best);
    return best[0];
  });
  Print("placement: top 5, servers", servers_count, ns,
        servers_count * sizeof(policy::PlacementServer));
}

void ChoiceCost(std::size_t count) {
  std::vector<policy::Candidate> candidates(count);
  Random random{2};
  for (policy::Candidate& candidate : candidates) {
    candidate.expected_wait = Duration(random.NextBelow(2000000));
    candidate.report_age = Duration(random.NextBelow(4000000));
  }
  const double ns = NanosecondsPerCall(500000, [&](int) {
    return policy::ChooseServer(candidates, 2, {}, random)->index;
  });
  Print("choice: candidates", count, ns, count * sizeof(policy::Candidate));
}

void QueueCost(std::size_t waiting) {
  Random random{3};
  std::vector<policy::Slot> slots(8);
  for (std::size_t i = 0; i < slots.size(); ++i) {
    slots[i].adapter = i + 1;
    slots[i].pins = 1;
  }
  std::vector<policy::WaitingRequest> requests(waiting);
  for (policy::WaitingRequest& request : requests) {
    request.adapter = 1 + random.NextBelow(waiting);
    request.arrival = kStart;
    request.deadline = kStart + std::chrono::seconds(10);
    request.urgent = random.NextBelow(2) == 0;
  }
  policy::EngineView engine;
  engine.slots = slots;
  engine.batch_places = 16;
  engine.running = 16;
  const policy::PopularityTable popularity;
  const double ns = NanosecondsPerCall(20000, [&](int) {
    return static_cast<std::uint64_t>(
        policy::NextStep(requests, engine, popularity, {}, kStart).kind);
  });
  Print("queue: next step, waiting", waiting, ns,
        waiting * sizeof(policy::WaitingRequest));
}

void BudgetCost() {
  Random random{4};
  policy::LoadBudget budget({.engines = 9}, kStart, random);
  const double ns = NanosecondsPerCall(1000000, [&](int i) {
    return budget.Take(true, kStart + std::chrono::milliseconds(i)) ? 1U : 0U;
  });
  Print("load budget: take", 1, ns, sizeof(budget));
}

}  // namespace

void PrintDecisionCosts() {
  std::printf("%-34s %8s %12s %12s\n", "decision", "size", "ns/decision",
              "state bytes");
  for (const std::size_t adapters : {3500, 11000, 35000}) {
    PopularityCost(adapters);
  }
  for (const std::size_t servers : {470, 1500, 4700}) {
    PlacementCost(servers);
  }
  for (const std::size_t candidates : {2, 5, 16}) {
    ChoiceCost(candidates);
  }
  for (const std::size_t waiting : {16, 64, 256}) {
    QueueCost(waiting);
  }
  BudgetCost();
}

}  // namespace amaranthcove::policy_bench
