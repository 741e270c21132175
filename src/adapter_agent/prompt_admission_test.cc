#include "amaranthcove/adapter_agent/prompt_admission.h"

#include <algorithm>
#include <array>
#include <deque>
#include <map>
#include <vector>

#include "amaranthcove/adapter_agent/demand_table.h"

#include <CppUTest/TestHarness.h>

namespace amaranthcove {

namespace {

using std::chrono::milliseconds;

// Of which half were too long.
constexpr PauseCounts kLatePauses = {40, 20};

const Time kStart = Time(std::chrono::hours(1));

// A prompt that a caller sends at a time.
struct Arrival {
  int at_ms = 0;
  std::int64_t tokens = 0;
};

// An engine that reads prompts in pieces between the steps of its batch, with
// several steps for each event of a stream.
struct SimulatedEngine {
  double step_ms = 9;
  double token_ms = 0.052;
  std::int64_t piece_tokens = 2048;
  int steps_per_event = 3;
};

struct SimulationResult {
  double longest_pause_ms = 0;
  double end_ms = 0;  // When the last prompt was read.
};

// Replays `arrivals` of two routers at `engine`. With `limits`, an agent admits
// the prompts; without, the routers send them at once.
SimulationResult Replay(const SimulatedEngine& engine,
                        const std::vector<Arrival>& arrivals,
                        const PromptLimits* limits) {
  const std::array<Address, 2> routers = {
      {{"10.0.0.1", 7000}, {"10.0.0.2", 7000}}};
  struct Router {
    RouterDemand demand;
    std::map<std::int64_t, std::int64_t> unread;  // Tokens by prompt.
  };
  std::array<Router, 2> states;
  DemandTable table;
  std::deque<std::pair<std::int64_t, std::int64_t>> queue;  // Prompt, tokens.
  std::size_t next = 0;
  double now_ms = 0;
  double event_ms = 0;
  int steps = 0;
  SimulationResult result;
  const auto send = [&](Router& router, std::int64_t id, std::int64_t tokens) {
    queue.emplace_back(id, tokens);
    router.unread[id] = tokens;
    router.demand.prompt_tokens += tokens;
    router.demand.sent_tokens += tokens;
  };
  if (limits != nullptr) {
    // The streams were late before. The first demand is the base of the counts.
    for (const PauseCounts& pauses : {PauseCounts(), kLatePauses}) {
      for (std::size_t i = 0; i < routers.size(); ++i) {
        states[i].demand.prompt_limits = *limits;
        states[i].demand.pauses = pauses;
        ++states[i].demand.sequence;
        table.Put(routers[i], states[i].demand, kStart);
      }
    }
  }
  while (next < arrivals.size() || !queue.empty() ||
         !states[0].demand.prompts.empty() ||
         !states[1].demand.prompts.empty()) {
    const Time now = kStart + milliseconds(static_cast<int>(now_ms));
    while (next < arrivals.size() && arrivals[next].at_ms <= now_ms) {
      Router& router = states[next % 2];
      const auto id = static_cast<std::int64_t>(next);
      if (limits == nullptr) {
        send(router, id, arrivals[next].tokens);
      } else {
        router.demand.prompts.push_back({id, arrivals[next].tokens, 0});
      }
      ++next;
    }
    if (limits != nullptr) {
      for (std::size_t i = 0; i < routers.size(); ++i) {
        states[i].demand.prompt_limits = *limits;
        ++states[i].demand.sequence;
        table.Put(routers[i], states[i].demand, now);
      }
      const auto admitted = table.AdmitPrompts(now);
      for (std::size_t i = 0; i < routers.size(); ++i) {
        const auto found = admitted.find(routers[i]);
        if (found == admitted.end()) {
          continue;
        }
        for (const std::int64_t id : found->second) {
          std::vector<PromptDemand>& prompts = states[i].demand.prompts;
          const auto prompt =
              std::find_if(prompts.begin(), prompts.end(),
                           [id](const auto& item) { return item.id == id; });
          send(states[i], id, prompt->tokens);
          prompts.erase(prompt);
        }
      }
    }
    std::int64_t piece = engine.piece_tokens;
    while (piece > 0 && !queue.empty()) {
      const std::int64_t read = std::min(piece, queue.front().second);
      piece -= read;
      queue.front().second -= read;
      if (queue.front().second == 0) {
        for (Router& router : states) {
          const auto found = router.unread.find(queue.front().first);
          if (found != router.unread.end()) {
            router.demand.prompt_tokens -= found->second;
            router.unread.erase(found);
          }
        }
        queue.pop_front();
        result.end_ms = now_ms;
      }
    }
    now_ms +=
        engine.step_ms +
        engine.token_ms * static_cast<double>(engine.piece_tokens -
                                              std::max<std::int64_t>(piece, 0));
    if (++steps % engine.steps_per_event == 0) {
      result.longest_pause_ms =
          std::max(result.longest_pause_ms, now_ms - event_ms);
      event_ms = now_ms;
    }
  }
  return result;
}

// A second of prompts of 1,100 tokens on average that come in groups, as fast
// as the engine can read them.
std::vector<Arrival> MakeBurst() {
  std::vector<Arrival> arrivals;
  for (int group = 0; group < 4; ++group) {
    for (const std::int64_t tokens : {400, 700, 2600, 900, 900}) {
      arrivals.push_back({250 * group, tokens});
    }
  }
  return arrivals;
}

}  // namespace

TEST_GROUP(PromptAdmission){};

// Guards against streams that pause for too long when several routers send
// prompts to the same engine at once, and against holding prompts back so much
// that reading them takes more than half as long again.
TEST(PromptAdmission, PromptsThatArriveTogetherDoNotPauseTheStreams) {
  const SimulatedEngine engine;
  const SimulationResult sent_at_once = Replay(engine, MakeBurst(), nullptr);
  CHECK(sent_at_once.longest_pause_ms > 300);
  const PromptLimits limits = {4600, milliseconds(300), 64};
  const SimulationResult admitted = Replay(engine, MakeBurst(), &limits);
  CHECK(admitted.longest_pause_ms <= 300);
  CHECK(admitted.end_ms < 1.5 * sent_at_once.end_ms);
}

// Guards against long prompts that wait until no other prompt arrives, because
// shorter ones always fit before them.
TEST(PromptAdmission, LongPromptsAreNotStarved) {
  const PromptLimits limits = {4000, milliseconds(300), 64};
  const std::array prompts = {WaitingPrompt{9000, 0, kStart},
                              WaitingPrompt{300, 0, kStart + milliseconds(1)}};
  CHECK(AdmitPrompts(prompts, limits, 500, 1).empty());
  const auto admitted = AdmitPrompts(prompts, limits, 0, 0);
  CHECK_EQUAL(1, static_cast<int>(admitted.size()));
  CHECK_EQUAL(0, static_cast<int>(admitted[0]));
}

// Guards against admission by arrival only: an urgent request that can still be
// on time must not wait behind patient or late ones.
TEST(PromptAdmission, UrgentPromptsAreAdmittedFirst) {
  const PromptLimits limits = {1500, milliseconds(300), 64};
  const std::array prompts = {
      WaitingPrompt{1000, 3, kStart},
      WaitingPrompt{1000, 0, kStart + milliseconds(50)}};
  const auto admitted = AdmitPrompts(prompts, limits, 0, 0);
  CHECK_EQUAL(1, static_cast<int>(admitted.size()));
  CHECK_EQUAL(1, static_cast<int>(admitted[0]));
}

// Guards against prompts of one workspace that wait for all those of another
// one that were asked for earlier.
TEST(PromptAdmission, WorkspacesTakeTurns) {
  const PromptLimits limits = {2000, milliseconds(300), 64};
  const std::array prompts = {
      WaitingPrompt{1000, 0, kStart, {1, 1}},
      WaitingPrompt{1000, 0, kStart + milliseconds(1), {1, 1}},
      WaitingPrompt{1000, 0, kStart + milliseconds(2), {2, 1}}};
  CHECK(
      (AdmitPrompts(prompts, limits, 0, 0) == std::vector<std::size_t>{0, 2}));
  // What was admitted before counts as turns.
  CHECK((AdmitPrompts(prompts, limits, 1000, 1, {{1, 1}}) ==
         std::vector<std::size_t>{2}));
}

// Guards against a full batch: the engine would preempt running requests for
// more urgent ones and read their prompts again.
TEST(PromptAdmission, FullBatchesAdmitNothing) {
  const PromptLimits limits = {0, milliseconds(0), 16};
  const std::array prompts = {WaitingPrompt{100, 0, kStart},
                              WaitingPrompt{100, 0, kStart}};
  CHECK(AdmitPrompts(prompts, limits, 0, 18).empty());
  CHECK_EQUAL(1, static_cast<int>(AdmitPrompts(prompts, limits, 0, 17).size()));
}

TEST_GROUP(PromptDemands) {
  DemandTable table_;
  const Address router_a_ = {"10.0.0.1", 7000};
  const Address router_b_ = {"10.0.0.2", 7000};

  static RouterDemand MakeDemand(std::int64_t sequence) {
    RouterDemand demand;
    demand.incarnation = 1;
    demand.sequence = sequence;
    demand.prompt_limits = {2000, milliseconds(300), 64};
    return demand;
  }

  // Puts a demand of `router` after reports of late pauses, so that prompts are
  // limited.
  void PutLimited(const Address& router, RouterDemand demand, Time now) {
    RouterDemand first = MakeDemand(demand.sequence - 1);
    table_.Put(router, first, now);
    demand.pauses = kLatePauses;
    table_.Put(router, demand, now);
  }
};

// Guards against counting a router's own prompts twice: it adds its own, which
// it knows without delay, to those of the others.
TEST(PromptDemands, RoutersLearnTheLoadOfTheOthers) {
  RouterDemand demand = MakeDemand(1);
  demand.prompt_tokens = 700;
  table_.Put(router_a_, demand, kStart);
  demand.prompt_tokens = 500;
  demand.prompts = {{1, 300, 0}};
  table_.Put(router_b_, demand, kStart);
  CHECK_EQUAL(1500, static_cast<int>(table_.TotalLoad(kStart).prompt_tokens));
  for (const LoadOfOthers& others : table_.LoadsOfOthers(kStart)) {
    const bool is_a = others.router == router_a_;
    CHECK_EQUAL(is_a ? 800 : 700, static_cast<int>(others.load.prompt_tokens));
    CHECK_EQUAL(is_a ? 500 : 700, static_cast<int>(others.load.unread_tokens));
  }
}

// Guards against an engine that stays closed because a router ended with
// prompts on their way.
TEST(PromptDemands, PromptsOfSilentRoutersAreForgotten) {
  RouterDemand demand = MakeDemand(1);
  demand.prompt_tokens = 5000;
  PutLimited(router_a_, demand, kStart);
  const Time later = kStart + DemandTable::kLoadLifetime;
  RouterDemand waiting = MakeDemand(1);
  waiting.prompts = {{1, 900, 0}};
  table_.Put(router_b_, waiting, kStart);
  CHECK(table_.AdmitPrompts(kStart).empty());
  waiting.sequence = 2;
  table_.Put(router_b_, waiting, later);
  CHECK_EQUAL(1, static_cast<int>(table_.AdmitPrompts(later).size()));
}

// Guards against a request that waits for its admission although it was
// admitted, because the datagram that said so was lost.
TEST(PromptDemands, AdmissionsAreRepeatedWhileThePromptIsListed) {
  RouterDemand demand = MakeDemand(1);
  demand.prompts = {{7, 900, 0}};
  table_.Put(router_a_, demand, kStart);
  CHECK_EQUAL(1, static_cast<int>(table_.AdmitPrompts(kStart).size()));
  demand.sequence = 2;
  table_.Put(router_a_, demand, kStart + milliseconds(100));
  CHECK_EQUAL(
      7, table_.AdmitPrompts(kStart + milliseconds(100)).at(router_a_).front());
  demand.sequence = 3;
  demand.prompts.clear();
  table_.Put(router_a_, demand, kStart + milliseconds(110));
  CHECK(table_.AdmitPrompts(kStart + milliseconds(110)).empty());
}

// Guards against prompts that are held back at engines whose streams are on
// time anyway. One router in doubt is not enough among many.
TEST(PromptDemands, PromptsAreLimitedOnlyIfStreamsWereLate) {
  const auto put = [this](int number, std::int64_t sequence,
                          const PauseCounts& pauses) {
    RouterDemand demand = MakeDemand(sequence);
    demand.pauses = pauses;
    table_.Put({"10.0.1." + std::to_string(number), 7000}, demand, kStart);
  };
  for (int number = 1; number <= 11; ++number) {
    put(number, 1, {});
    put(number, 2, {10, 0});
  }
  CHECK_EQUAL(0, static_cast<int>(table_.Limits(kStart).window_tokens));
  put(1, 3, {70, 60});
  CHECK_EQUAL(0, static_cast<int>(table_.Limits(kStart).window_tokens));
  put(2, 3, {15, 5});
  put(3, 3, {15, 5});
  CHECK_EQUAL(2000, static_cast<int>(table_.Limits(kStart).window_tokens));
  CHECK_EQUAL(64, table_.Limits(kStart).batch_size);
}

// Guards against a request that is placed again and starts at the end of the
// queue of its next engine: requests that waited longest came last each time.
TEST(PromptDemands, RequestsKeepTheirTurnAtAnotherEngine) {
  RouterDemand demand = MakeDemand(1);
  demand.prompt_limits.batch_size = 1;
  demand.prompts = {{1, 300, 0, Duration::zero(), {}}};
  table_.Put(router_a_, demand, kStart);
  demand.prompts = {{1, 300, 0, milliseconds(500), {}}};
  table_.Put(router_b_, demand, kStart + milliseconds(50));
  const auto admitted = table_.AdmitPrompts(kStart + milliseconds(50));
  CHECK_EQUAL(1, static_cast<int>(admitted.size()));
  CHECK_EQUAL(1, static_cast<int>(admitted.count(router_b_)));
}

// Guards against routers that do not learn how many requests of others wait at
// an engine, and how many arrive there.
TEST(PromptDemands, RoutersLearnWhatOthersWillSend) {
  RouterDemand demand = MakeDemand(1);
  demand.sent_requests = 1000;
  table_.Put(router_a_, demand, kStart);
  table_.Put(router_b_, demand, kStart);
  for (int i = 1; i <= 20; ++i) {
    demand.sequence = 1 + i;
    demand.sent_requests += 5;
    demand.prompts = {{i, 300, 0}, {i + 1, 300, 0}};
    demand.uses = {{{"m", "a", 1}, 3, 2, 0, {}}};
    table_.Put(router_a_, demand, kStart + milliseconds(250 * i));
  }
  const Time now = kStart + milliseconds(5000);
  for (const LoadOfOthers& others : table_.LoadsOfOthers(now)) {
    const bool is_a = others.router == router_a_;
    CHECK_EQUAL(is_a ? 0 : 2, others.load.waiting);
    CHECK_EQUAL(is_a ? 0 : 3, others.load.waiting_for_loads);
    DOUBLES_EQUAL(is_a ? 0 : 20, others.load.arrivals_per_s, 1);
  }
}

}  // namespace amaranthcove
