#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "amaranthcove/places/place_client.h"
#include "amaranthcove/places/place_queue.h"

#include <CppUTest/TestHarness.h>

namespace amaranthcove {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

const Time kStart = Time(std::chrono::hours(1));
constexpr Duration kStep = milliseconds(1);
constexpr Duration kDelay = milliseconds(1);  // Of a datagram or a request.
constexpr Duration kTarget = milliseconds(150);
constexpr Duration kDeadline = seconds(1);
constexpr int kPlaces = 6;
constexpr int kQueue = 12;  // Calls that a server lets wait.
constexpr Duration kWork = milliseconds(30);

Address AddressOf(int number) {
  return {"10.0.0." + std::to_string(number % 250) + std::to_string(number),
          7000};
}

// A plain server with a few places and a queue, slower while its places are all
// taken.
struct Server {
  std::string id;
  double slowness = 1;
  bool lost = false;
  std::deque<int> queue;        // Calls, by index.
  std::map<int, Time> running;  // End of each call.
};

// Routers, servers and the agent that keeps the places, without a network.
class PlaceFleet {
 public:
  PlaceFleet(int routers, int servers) {
    for (int i = 0; i < routers; ++i) {
      clients_.emplace_back(i + 1);
      clients_.back().SetAgents(std::vector<Address>{agent_});
    }
    for (int i = 0; i < servers; ++i) {
      servers_.push_back({"s" + std::to_string(i), 1, false, {}, {}});
    }
  }

  // Whether routers ask the agent, or choose a server at random.
  bool shares_places = true;
  bool agent_is_silent = false;
  std::vector<Server>& servers() { return servers_; }
  const PlaceQueue& queue() const { return queue_; }

  void Run(Duration duration, double calls_per_s) {
    const Time end = now_ + duration;
    while (now_ < end) {
      now_ += kStep;
      Deliver();
      const int count = std::poisson_distribution<int>(
          calls_per_s * ToSeconds(kStep))(random_);
      for (int i = 0; i < count; ++i) {
        Begin();
      }
      RunServers();
      if (shares_places) {
        Exchange();
      }
      CheckServers();
    }
  }

  struct Result {
    int begun = 0;
    int on_time = 0;
    int refused = 0;
  };
  Result TakeResult() { return std::exchange(result_, {}); }
  int most_at_a_server() const { return most_at_a_server_; }

 private:
  const Address agent_{"10.9.9.9", 7000};

  struct Call {
    std::size_t router = 0;
    Time begun;
    std::int64_t ticket = 0;
    bool sent = false;
    bool ended = false;
  };

  void After(Duration delay, std::function<void()> action) {
    actions_.emplace(now_ + delay, std::move(action));
  }

  void Deliver() {
    while (!actions_.empty() && actions_.begin()->first <= now_) {
      const auto action = std::move(actions_.begin()->second);
      actions_.erase(actions_.begin());
      action();
    }
  }

  std::vector<PlaceOption> Options() const {
    std::vector<PlaceOption> options;
    for (const Server& server : servers_) {
      if (!server.lost) {
        options.push_back({HashOfServer(server.id), kPlaces, 0});
      }
    }
    return options;
  }

  void Begin() {
    const int index = static_cast<int>(calls_.size());
    Call call;
    call.router = random_() % clients_.size();
    call.begun = now_;
    calls_.push_back(call);
    ++result_.begun;
    After(kDeadline, [this, index] {
      if (!calls_[index].sent) {
        End(index, false);
      }
    });
    if (!shares_places) {
      SendAnywhere(index);
      return;
    }
    PlaceClient& client = clients_[call.router];
    calls_[index].ticket =
        client.Ask("desk", Options(), 0, now_ + kTarget - kWork, {}, now_);
    tickets_[{call.router, calls_[index].ticket}] = index;
    After(PlaceClient::kMaxSilence, [this, index] {
      Call& waiting = calls_[index];
      if (!waiting.sent && !waiting.ended &&
          !clients_[waiting.router].IsAnswered(waiting.ticket, now_)) {
        SendAnywhere(index);
      }
    });
  }

  void SendAnywhere(int index) {
    std::vector<int> sound;
    for (int i = 0; i < static_cast<int>(servers_.size()); ++i) {
      if (!servers_[i].lost) {
        sound.push_back(i);
      }
    }
    Send(index, sound[random_() % sound.size()]);
  }

  void Send(int index, int server) {
    Call& call = calls_[index];
    call.sent = true;
    if (shares_places) {
      clients_[call.router].Start(call.ticket, "desk", servers_[server].id);
    }
    After(kDelay, [this, index, server] { Arrive(index, server); });
  }

  void Arrive(int index, int server) {
    Server& at = servers_[server];
    if (at.lost || at.queue.size() >= kQueue) {
      End(index, false);
      return;
    }
    at.queue.push_back(index);
  }

  void RunServers() {
    for (Server& server : servers_) {
      std::vector<int> done;
      for (const auto& [index, end] : server.running) {
        if (now_ >= end) {
          done.push_back(index);
        }
      }
      for (const int index : done) {
        server.running.erase(index);
        After(kDelay, [this, index] { End(index, true); });
      }
      while (!server.queue.empty() && server.running.size() < kPlaces) {
        // A server with a full queue works slower.
        const double pressure = server.queue.size() > kPlaces ? 1.5 : 1;
        server.running[server.queue.front()] =
            now_ + microseconds(static_cast<std::int64_t>(
                       30'000 * server.slowness * pressure));
        server.queue.pop_front();
      }
    }
  }

  void End(int index, bool served) {
    Call& call = calls_[index];
    if (std::exchange(call.ended, true)) {
      return;
    }
    if (shares_places) {
      clients_[call.router].End(call.ticket);
    }
    if (!served) {
      ++result_.refused;
    } else if (now_ - call.begun <= kTarget) {
      ++result_.on_time;
    }
  }

  void Exchange() {
    for (std::size_t router = 0; router < clients_.size(); ++router) {
      for (auto& outgoing : clients_[router].TakeDue(now_)) {
        if (agent_is_silent) {
          continue;
        }
        After(kDelay, [this, router, demand = outgoing.demand] {
          const Address address = AddressOf(static_cast<int>(router));
          const ServiceHash service = demand.service;
          queue_.Put(address, demand, now_);
          auto changed = queue_.Grant(now_);
          changed.insert({address, service});
          for (const auto& source : changed) {
            Answer(source);
          }
        });
      }
    }
    queue_.Expire(now_);
  }

  void Answer(const PlaceQueue::Source& source) {
    if (agent_is_silent) {
      return;
    }
    After(kDelay, [this, source, sequence = queue_.SequenceOf(source),
                   grants = queue_.GrantsOf(source)] {
      std::size_t router = 0;
      while (AddressOf(static_cast<int>(router)) != source.first) {
        ++router;
      }
      for (const PlaceUse& grant :
           clients_[router].OnGrants(agent_, source.second, sequence, grants)) {
        const auto index = tickets_.find({router, grant.id});
        for (int i = 0; i < static_cast<int>(servers_.size()); ++i) {
          if (HashOfServer(servers_[i].id) == grant.server &&
              !calls_[index->second].ended) {
            Send(index->second, i);
          }
        }
      }
    });
  }

  void CheckServers() {
    for (const Server& server : servers_) {
      most_at_a_server_ = std::max(
          most_at_a_server_,
          static_cast<int>(server.queue.size() + server.running.size()));
    }
  }

  Time now_ = kStart;
  std::mt19937 random_{1};
  PlaceQueue queue_;
  std::deque<PlaceClient> clients_;
  std::vector<Server> servers_;
  std::vector<Call> calls_;
  std::map<std::pair<std::size_t, std::int64_t>, int> tickets_;
  std::multimap<Time, std::function<void()>> actions_;
  Result result_;
  int most_at_a_server_ = 0;
};

constexpr double kUsualPerS = 409;

}  // namespace

TEST_GROUP(Places){};

// Guards against many routers that overrun some servers while others idle: 43
// routers, three servers of six places, a load of 0.7 with a burst above all
// places. With shared places, nearly all are on time and no server has more
// calls than places.
TEST(Places, SharedPlacesEvenTheLoadOfManyRouters) {
  std::map<bool, PlaceFleet::Result> results;
  for (const bool shared : {false, true}) {
    PlaceFleet fleet(43, 3);
    fleet.shares_places = shared;
    fleet.Run(seconds(5), kUsualPerS);
    fleet.Run(milliseconds(700), 2 * kUsualPerS);
    fleet.Run(seconds(5), kUsualPerS);
    results[shared] = fleet.TakeResult();
    if (shared) {
      CHECK(fleet.most_at_a_server() <= kPlaces);
    }
  }
  // Calls above all places during the burst cannot be on time, and as many may
  // be late while the queue empties.
  const double excess = (2 * kUsualPerS - 3 * kPlaces / ToSeconds(kWork)) * 0.7;
  const int late = results[true].begun - results[true].on_time;
  CHECK(late <= 2 * excess);
  CHECK(results[true].on_time > results[false].on_time);
  CHECK(results[true].refused < results[false].refused);
}

// Guards against a grant that depends on the number of routers.
TEST(Places, AnyNumberOfRoutersIsServed) {
  for (const int routers : {1, 10, 300}) {
    PlaceFleet fleet(routers, 3);
    fleet.Run(seconds(5), kUsualPerS);
    const auto result = fleet.TakeResult();
    CHECK(result.on_time * 100 >= result.begun * 95);
    CHECK(fleet.most_at_a_server() <= kPlaces);
  }
}

// Guards against a lost server that keeps the places of its calls, and against
// a slow one that collects calls: the load stays below what the rest can serve.
TEST(Places, LostAndSlowServersAreSteppedAround) {
  PlaceFleet fleet(43, 4);
  fleet.servers()[3].slowness = 2;
  fleet.Run(seconds(3), kUsualPerS);
  fleet.servers()[0].lost = true;
  fleet.Run(seconds(2), kUsualPerS);
  fleet.TakeResult();
  fleet.Run(seconds(4), kUsualPerS);
  const auto result = fleet.TakeResult();
  CHECK(result.on_time * 100 >= result.begun * 90);
}

// Guards against calls that wait for an agent that does not answer, and against
// places that stay taken when it answers again.
TEST(Places, SilentAgentHoldsNothingUp) {
  PlaceFleet fleet(43, 3);
  fleet.Run(seconds(2), kUsualPerS / 2);
  fleet.agent_is_silent = true;
  fleet.TakeResult();
  fleet.Run(seconds(3), kUsualPerS / 2);
  const auto silent = fleet.TakeResult();
  CHECK(silent.on_time * 100 >= silent.begun * 90);
  fleet.agent_is_silent = false;
  fleet.Run(seconds(2), kUsualPerS / 2);
  fleet.TakeResult();
  fleet.Run(seconds(2), kUsualPerS / 2);
  const auto again = fleet.TakeResult();
  CHECK(again.on_time * 100 >= again.begun * 95);
}

TEST_GROUP(PlaceQueue) {
  PlaceQueue queue_;
  std::int64_t sequence_ = 0;

  void Put(int router, std::vector<PlaceAsk> asks,
           std::vector<PlaceUse> running = {}, Time now = kStart) {
    queue_.Put(AddressOf(router),
               {1, ++sequence_, 7, std::move(asks), std::move(running)}, now);
  }

  static PlaceAsk Ask(std::int64_t id, int priority,
                      Duration useful_for = seconds(1),
                      const FairShare& share = {}) {
    return {id, {{11, 1, 0}}, priority, useful_for, share};
  }
};

// Guards against less urgent or late calls that get ahead of urgent ones that
// can still be on time.
TEST(PlaceQueue, UrgentCallsThatCanBeOnTimeComeFirst) {
  Put(1, {Ask(1, 2), Ask(2, 0, Duration::zero())});
  Put(2, {Ask(3, 0)});
  queue_.Grant(kStart);
  CHECK_EQUAL(1, static_cast<int>(queue_.GrantsOf({AddressOf(2), 7}).size()));
  Put(2, {}, {{3, 11}});
  Put(2, {});
  queue_.Grant(kStart);
  CHECK((queue_.GrantsOf({AddressOf(1), 7}) == std::vector<PlaceUse>{{1, 11}}));
}

// Guards against calls of one workspace that wait for the whole burst of
// another one: its call comes next, since the other workspace has a place.
TEST(PlaceQueue, BurstOfOneWorkspaceDoesNotDelayOthers) {
  std::vector<PlaceAsk> burst;
  for (int id = 1; id <= 20; ++id) {
    burst.push_back(Ask(id, 0, seconds(1), {1, 1}));
  }
  Put(1, burst);
  queue_.Grant(kStart);
  Put(2, {Ask(1, 0, seconds(1), {2, 1})}, {}, kStart + milliseconds(5));
  const std::vector<PlaceWait> waits =
      queue_.WaitsOf({AddressOf(2), 7}, kStart + milliseconds(5));
  CHECK_EQUAL(1, static_cast<int>(waits.size()));
  CHECK_EQUAL(0, waits[0].ahead);
  burst.erase(burst.begin());
  Put(1, burst, {}, kStart + milliseconds(6));
  queue_.Grant(kStart + milliseconds(6));
  CHECK_EQUAL(1, static_cast<int>(queue_.GrantsOf({AddressOf(2), 7}).size()));
}

// Guards against a place that is lost with the router that had it, and against
// a grant that is given twice when its datagram was lost.
TEST(PlaceQueue, PlacesOfSilentRoutersAreFree) {
  Put(1, {Ask(1, 0)});
  queue_.Grant(kStart);
  Put(1, {Ask(1, 0)});
  Put(2, {Ask(2, 0)});
  CHECK(queue_.Grant(kStart).empty());
  CHECK_EQUAL(1, static_cast<int>(queue_.GrantsOf({AddressOf(1), 7}).size()));
  const Time later = kStart + PlaceQueue::kDemandLifetime;
  Put(2, {Ask(2, 0)}, {}, later - milliseconds(1));
  queue_.Expire(later);
  CHECK_EQUAL(1, static_cast<int>(queue_.Grant(later).size()));
  queue_.Expire(later + PlaceQueue::kDemandLifetime);
  CHECK(queue_.empty());
}

}  // namespace amaranthcove
