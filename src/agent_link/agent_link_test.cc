#include "amaranthcove/agent_link/agent_links.h"

#include <vector>

#include "src/agent_link/test_status.h"

#include <CppUTest/TestHarness.h>

namespace amaranthcove {

namespace {

using std::chrono::milliseconds;

const Time kStart = Time(std::chrono::hours(1));
const Address kAgent = {"10.0.0.9", 7000};
const AdapterName kSilk = {"base", "silk"};
const WaitingRequest kRequest = {0, kStart + milliseconds(350)};

// Returns an encoded status without adapters if `silk_version` is 0.
std::string EncodeStatus(std::int64_t sequence,
                         std::int64_t incarnation,
                         std::int64_t silk_version) {
  agent_wire::EngineStatus status =
      MakeTestStatus(silk_version > 0 ? silk_version : -1);
  status.sequence = sequence;
  status.incarnation = incarnation;
  status.routers = 4;
  return EncodeTestStatus(status);
}

// Returns an encoded load of other routers with `tokens` prompt tokens.
std::string EncodeLoad(std::int64_t sequence,
                       std::int64_t incarnation,
                       std::int64_t tokens) {
  agent_wire::AgentDatagram datagram;
  agent_wire::EngineLoad load;
  load.sequence = sequence;
  load.incarnation = incarnation;
  load.prompt_tokens = tokens;
  datagram.__set_load(load);
  return EncodeDatagram(datagram);
}

}  // namespace

TEST_GROUP(AgentLinks) {
  std::vector<agent_wire::AdapterDemand> sent_;
  AgentLinks links_{"router-1", 7,
                    [this](const Address&, std::string_view bytes) {
                      sent_.push_back(DecodeDatagram(bytes)->demand);
                    }};

  void setup() override {
    links_.SetEndpoints({{"e1", kAgent, {}, 0}});
    links_.Tick(kStart);
    sent_.clear();
  }
};

// Guards against a request that keeps waiting because one datagram was lost.
// The demand must be sent immediately and repeated while a request waits.
TEST(AgentLinks, RepeatsTheDemandOfWaitingRequests) {
  links_.AddWaiting("e1", kSilk, 3, kRequest, kStart);
  links_.Tick(kStart);
  CHECK_EQUAL(1, static_cast<int>(sent_.size()));
  CHECK("silk" == sent_[0].uses[0].adapter);
  CHECK_EQUAL(1, sent_[0].uses[0].waiting);
  CHECK_EQUAL(3, static_cast<int>(sent_[0].uses[0].version));
  links_.Tick(kStart + milliseconds(100));
  CHECK_EQUAL(2, static_cast<int>(sent_.size()));
  CHECK(sent_[1].sequence > sent_[0].sequence);
}

// Guards against loading adapters for requests that are already late before
// those for requests that can still be on time. This matters when more cold
// adapters are needed than the weight store can deliver.
TEST(AgentLinks, LateRequestsRankAfterOthersOfTheirPriority) {
  links_.AddWaiting("e1", kSilk, 0, kRequest, kStart);
  links_.Tick(kStart);
  CHECK_EQUAL(0, sent_[0].uses[0].rank);
  links_.Tick(kStart + milliseconds(400));
  CHECK_EQUAL(1, sent_[1].uses[0].rank);
  const Time later = kStart + milliseconds(410);
  links_.AddWaiting("e1", kSilk, 0, {0, later + milliseconds(350)}, later);
  links_.Tick(later);
  CHECK_EQUAL(0, sent_[2].uses[0].rank);
  CHECK(WaitingRank({0, kStart}, later) < WaitingRank({1, later}, kStart));
}

// Guards against uses that remain in the demand after they ended, which would
// keep an adapter resident forever.
TEST(AgentLinks, WithdrawsEndedUses) {
  links_.AddWaiting("e1", kSilk, 0, kRequest, kStart);
  links_.RemoveWaiting("e1", kSilk, kRequest);
  links_.AddRunning("e1", kSilk, kStart);
  links_.RemoveRunning("e1", kSilk);
  links_.Tick(kStart + milliseconds(10));
  // A short use must be sent once, or the adapter would look idle.
  CHECK_EQUAL(1, static_cast<int>(sent_.size()));
  CHECK_EQUAL(1, static_cast<int>(sent_[0].uses.size()));
  CHECK_EQUAL(0, sent_[0].uses[0].running);
  links_.Tick(kStart + milliseconds(600));
  CHECK_EQUAL(2, static_cast<int>(sent_.size()));
  CHECK(sent_[1].uses.empty());
}

// Guards against a reordered status that makes an evicted adapter look resident
// again, and against statuses from unknown senders.
TEST(AgentLinks, DropsStaleStatusesAndUnknownSenders) {
  CHECK(!links_.Receive({"10.0.0.8", 7000}, EncodeStatus(1, 1, 1), kStart)
             .engine);
  CHECK(
      links_.Receive(kAgent, EncodeStatus(2, 1, 0), kStart).engine.has_value());
  CHECK(!links_.Receive(kAgent, EncodeStatus(1, 1, 1), kStart).engine);
  CHECK(links_.Snapshot("e1", kStart)->resident.empty());
  // The sequence of a restarted agent starts anew.
  CHECK(
      links_.Receive(kAgent, EncodeStatus(1, 2, 5), kStart).engine.has_value());
  CHECK_EQUAL(
      5, static_cast<int>(links_.Snapshot("e1", kStart)->resident.at(kSilk)));
  CHECK_EQUAL(4, static_cast<int>(links_.router_count(kStart)));
}

// Guards against evicting the adapter of a running request. A use that began
// before its engine was absent from the list for a moment ends after another
// use has begun, and must not be subtracted from that one.
TEST(AgentLinks, RunningUsesAreKeptWhileTheirEngineIsAbsent) {
  links_.AddRunning("e1", kSilk, kStart);
  links_.SetEndpoints({});
  links_.SetEndpoints({{"e1", kAgent, {}, 0}});
  links_.AddRunning("e1", kSilk, kStart);
  links_.RemoveRunning("e1", kSilk);
  links_.Tick(kStart);
  CHECK_EQUAL(1, static_cast<int>(sent_[0].uses.size()));
  CHECK_EQUAL(1, sent_[0].uses[0].running);
}

// Guards against a memory leak: uses at engines that never return must be
// erased once they have ended.
TEST(AgentLinks, EndedUsesOfAbsentEnginesAreErased) {
  links_.AddRunning("e1", kSilk, kStart);
  links_.SetEndpoints({});
  links_.RemoveRunning("e1", kSilk);
  links_.SetEndpoints({});
  links_.SetEndpoints({{"e1", kAgent, {}, 0}});
  links_.Tick(kStart);
  CHECK(sent_[0].uses.empty());
}

// Guards against an agent that drops all demands as stale for seconds. This
// happens if the router's sequence starts anew when an engine has crashed and
// returned under another id, as the agent has kept running.
TEST(AgentLinks, SequenceContinuesAfterAnEngineRestart) {
  links_.AddWaiting("e1", kSilk, 0, kRequest, kStart);
  links_.Tick(kStart);
  links_.SetEndpoints({{"e2", kAgent, {}, 2000}});
  links_.AddWaiting("e2", kSilk, 0, kRequest, kStart);
  links_.Tick(kStart);
  CHECK_EQUAL(2, static_cast<int>(sent_.size()));
  CHECK(sent_[1].sequence > sent_[0].sequence);
}

// Guards against assigning the status of a restarted engine to the endpoint of
// its previous start at the same address.
TEST(AgentLinks, StatusIsMatchedByEngineStartTime) {
  links_.SetEndpoints({{"old", kAgent, {}, 1000}, {"new", kAgent, {}, 2000}});
  agent_wire::EngineStatus status;
  status.sequence = 1;
  status.started_at_ms = 2000;
  CHECK("new" ==
        *links_.Receive(kAgent, EncodeTestStatus(status), kStart).engine);
  CHECK(links_.Snapshot("old", kStart) == nullptr);
}

// Guards against decisions based on the outdated status of an agent that no
// longer sends any.
TEST(AgentLinks, SnapshotsExpire) {
  links_.Receive(kAgent, EncodeStatus(1, 1, 1), kStart);
  CHECK(links_.Snapshot("e1", kStart + AgentLinks::kSnapshotLifetime) !=
        nullptr);
  CHECK(links_.Snapshot("e1", kStart + AgentLinks::kSnapshotLifetime +
                                  milliseconds(1)) == nullptr);
  CHECK(links_.Snapshot("e2", kStart) == nullptr);
}

// Guards against large statuses, which become most of the traffic between data
// centres: 40 routers receive four per second from each of 46 agents.
TEST(AgentLinks, StatusSizeIsLimited) {
  constexpr std::size_t kMaxStatusBytes = 300;
  agent_wire::EngineStatus status;
  status.models = {"lomi295653"};
  for (int i = 0; i < 17; ++i) {
    agent_wire::ResidentAdapter adapter;
    adapter.adapter = "a" + std::to_string(9000 + i);
    adapter.version = 3;
    status.resident.push_back(adapter);
  }
  CHECK(EncodeTestStatus(status).size() <= kMaxStatusBytes);
}

// Guards against out-of-bounds reads for a model index that is not in the
// status.
TEST(AgentLinks, AdaptersWithInvalidModelIndexAreSkipped) {
  agent_wire::EngineStatus status;
  status.sequence = 1;
  status.models = {kSilk.first};
  for (const int model : {-1, 0, 1, 32767}) {
    agent_wire::ResidentAdapter adapter;
    adapter.adapter = "a" + std::to_string(model);
    adapter.model = static_cast<std::int16_t>(model);
    status.resident.push_back(adapter);
  }
  links_.Receive(kAgent, EncodeTestStatus(status), kStart);
  const EngineSnapshot* snapshot = links_.Snapshot("e1", kStart);
  CHECK_EQUAL(1, static_cast<int>(snapshot->resident.size()));
  CHECK(snapshot->resident.contains({"base", "a0"}));
}

// Guards against crashes and bogus snapshots caused by truncated or hostile
// datagrams.
TEST(AgentLinks, MalformedDatagramsAreDropped) {
  const std::string whole = EncodeStatus(1, 1, 1);
  const std::string_view bytes = whole;
  for (std::size_t size = 0; size + 1 < bytes.size(); ++size) {
    links_.Receive(kAgent, bytes.substr(0, size), kStart);
  }
  const std::string noise(2000, '\xff');
  links_.Receive(kAgent, noise, kStart);
  CHECK(links_.Snapshot("e1", kStart) == nullptr);
}

// Guards against losing the snapshot of an engine when another engine is added
// or removed.
TEST(AgentLinks, SnapshotsAreKeptWhenOtherEnginesChange) {
  links_.Receive(kAgent, EncodeStatus(1, 1, 1), kStart);
  links_.SetEndpoints(
      {{"e0", {"10.0.0.7", 7000}, {}, 0}, {"e1", kAgent, {}, 0}});
  CHECK(links_.Snapshot("e1", kStart) != nullptr);
}

// Guards against routers that place requests by prompts of others that are long
// read, or by the report of an agent's previous start.
TEST(AgentLinks, NewerLoadsReplaceOlderOnes) {
  links_.Receive(kAgent, EncodeStatus(1, 1, 1), kStart);
  CHECK(!links_.Snapshot("e1", kStart)->load_received);
  links_.Receive(kAgent, EncodeLoad(3, 1, 900), kStart);
  links_.Receive(kAgent, EncodeLoad(2, 1, 4000), kStart);
  links_.Receive(kAgent, EncodeLoad(9, 2, 4000), kStart);
  CHECK_EQUAL(900, static_cast<int>(
                       links_.Snapshot("e1", kStart)->other_prompt_tokens));
}

// Guards against agents that admit more prompts than the engine can read,
// because a router does not tell them of its own prompts at once.
TEST(AgentLinks, TellsTheAgentOfSentAndReadPrompts) {
  links_.AddPrompt("e1", 1200, kStart);
  links_.Tick(kStart);
  CHECK_EQUAL(1200, static_cast<int>(sent_[0].prompt_tokens));
  CHECK_EQUAL(1200, static_cast<int>(sent_[0].sent_tokens));
  links_.RemovePrompt("e1", 1200, kStart + milliseconds(60));
  links_.Tick(kStart + milliseconds(90));
  CHECK_EQUAL(0, static_cast<int>(sent_[1].prompt_tokens));
  CHECK_EQUAL(1200, static_cast<int>(sent_[1].sent_tokens));
}

// Guards against a prompt that is never admitted because one datagram was lost,
// and against prompts that stay listed after they were withdrawn.
TEST(AgentLinks, AsksForAdmissionUntilThePromptIsWithdrawn) {
  const std::int64_t id =
      links_.AskAdmission("e1", 800, kRequest, Duration::zero(), kStart);
  links_.Tick(kStart);
  links_.Tick(kStart + milliseconds(100));
  CHECK_EQUAL(2, static_cast<int>(sent_.size()));
  CHECK_EQUAL(id, sent_[1].prompts[0].id);
  CHECK_EQUAL(800, static_cast<int>(links_.prompt_tokens("e1")));
  CHECK_EQUAL(0, static_cast<int>(links_.unread_tokens("e1")));
  links_.WithdrawPrompt("e1", id, kStart + milliseconds(110));
  links_.Tick(kStart + milliseconds(200));
  CHECK(sent_[2].prompts.empty());
}

// Guards against loads from the weight store while an engine still keeps a copy
// of the adapter that it has unloaded.
TEST(AgentLinks, RemembersTheAdaptersThatAnEngineHasHeld) {
  CHECK(!links_.HasHeld("e1", kSilk));
  links_.Receive(kAgent, EncodeStatus(1, 1, 1), kStart);
  links_.Receive(kAgent, EncodeStatus(2, 1, 0), kStart);
  CHECK(links_.Snapshot("e1", kStart)->resident.empty());
  CHECK(links_.HasHeld("e1", kSilk));
  // Another start of the engine keeps nothing.
  links_.SetEndpoints({{"e1", kAgent, {}, 2000}});
  CHECK(!links_.HasHeld("e1", kSilk));
}

// Guards against an agent that misses which requests a crash broke because one
// datagram was lost, and against reports that are repeated for ever.
TEST(AgentLinks, RepeatsReportsOnCrashesForSomeTime) {
  links_.ReportLost("e1", {5, {10, 11}}, kStart);
  links_.ReportSound({kAgent, 12}, kStart);
  links_.Tick(kStart);
  links_.Tick(kStart + milliseconds(100));
  CHECK_EQUAL(2, static_cast<int>(sent_.size()));
  for (const agent_wire::AdapterDemand& demand : sent_) {
    CHECK_EQUAL(5, static_cast<int>(demand.lost[0].request));
    CHECK(demand.lost[0].parts == std::vector<std::int64_t>({10, 11}));
    CHECK(demand.begun_parts == std::vector<std::int64_t>{12});
  }
  links_.Tick(kStart + milliseconds(600));
  CHECK(sent_.back().lost.empty());
  CHECK(sent_.back().begun_parts.empty());
}

// Guards against a crash that counts as later than it was, so that parts that
// began since do not clear it.
TEST(AgentLinks, CrashReportsKeepTheTimeOfTheCrash) {
  agent_wire::LostRequest request;
  request.request = 5;
  request.parts = {10, -1};
  agent_wire::ServerCrash crash;
  crash.id = 1000;
  crash.age_ms = 300;
  crash.requests = {request};
  agent_wire::AgentDatagram datagram;
  datagram.__isset.crash_report = true;
  datagram.crash_report.crashes = {crash};
  const std::string bytes = EncodeDatagram(datagram);
  CHECK(links_.Receive({"10.0.0.8", 7000}, bytes, kStart).crashes.empty());
  const auto update = links_.Receive(kAgent, bytes, kStart);
  CHECK_EQUAL(1, static_cast<int>(update.crashes.size()));
  const ServerCrash& received = update.crashes[0];
  CHECK_EQUAL(1000, static_cast<int>(received.id));
  CHECK(received.at == kStart - milliseconds(300));
  CHECK(received.requests[0].parts ==
        std::vector<PartId>({10, static_cast<PartId>(-1)}));
}

// Guards against the crash of a plain server that only one router knows of, and
// against telling an agent that has ended.
TEST(AgentLinks, OneLivingAgentIsToldOfCrashesOfPlainServers) {
  links_.SetEndpoints(
      {{"e1", kAgent, {}, 0}, {"e2", {"10.0.0.8", 7000}, {}, 0}});
  links_.Receive(kAgent, EncodeStatus(1, 1, 1), kStart);
  links_.Tick(kStart);
  sent_.clear();
  for (std::uint64_t id = 0; id < 8; ++id) {
    links_.ReportPlainCrash(id, {5, {10}}, kStart);
  }
  links_.Tick(kStart);
  CHECK_EQUAL(1, static_cast<int>(sent_.size()));
  CHECK_EQUAL(8, static_cast<int>(sent_[0].plain_crashes.size()));
}

}  // namespace amaranthcove
