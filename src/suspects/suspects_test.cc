#include <array>
#include <cstddef>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>
#include <vector>

#include <rapidcheck.h>

#include "amaranthcove/suspects/fingerprint.h"
#include "amaranthcove/suspects/suspect_table.h"

#include <CppUTest/TestHarness.h>

namespace amaranthcove {

namespace {

constexpr SuspectLimits kSmallLimits{.max_entries = 6};

// Three processes that exchange updates over a network that delays, duplicates,
// reorders and loses messages.
struct Group {
  std::array<SuspectTable, 3> tables{SuspectTable(kSmallLimits),
                                     SuspectTable(kSmallLimits),
                                     SuspectTable(kSmallLimits)};
  std::vector<std::pair<std::size_t, SuspectUpdate>> network;
  std::set<Fingerprint> crashed_alone;
  Time now{};

  void Push(std::size_t sender, const SuspectUpdate& update) {
    for (std::size_t peer = 0; peer < tables.size(); ++peer) {
      if (peer != sender) {
        network.emplace_back(peer, update);
      }
    }
  }

  void Crash(std::size_t process, const std::vector<Fingerprint>& batch) {
    SuspectTable& table = tables.at(process);
    const bool known =
        table.Classify(batch[0], now).decision != SuspectDecision::kNormal;
    for (const auto& update : table.ReportCrash(batch, now)) {
      Push(process, update);
    }
    if (batch.size() > 1) {
      RC_ASSERT(table.Classify(batch[0], now).decision !=
                SuspectDecision::kNormal);
      return;
    }
    if (!known) {
      RC_ASSERT(table.Classify(batch[0], now).decision ==
                SuspectDecision::kRunAlone);
      return;
    }
    crashed_alone.insert(batch[0]);
    RC_ASSERT(table.Classify(batch[0], now).remaining == kSmallLimits.max_age);
  }

  void Deliver(std::size_t place, bool keep) {
    const auto [process, update] = network[place];
    if (!keep) {
      network.erase(network.begin() + static_cast<std::ptrdiff_t>(place));
    }
    if (tables.at(process).Merge(update, now)) {
      Push(process, update);
    }
  }

  void Check() {
    for (SuspectTable& table : tables) {
      RC_ASSERT(table.size() <= kSmallLimits.max_entries);
      for (Fingerprint fingerprint = 0; fingerprint < 8; ++fingerprint) {
        const SuspectClassification classification =
            table.Classify(fingerprint, now);
        const bool refused =
            classification.decision == SuspectDecision::kRefused;
        RC_ASSERT(!refused || crashed_alone.count(fingerprint) == 1);
        RC_ASSERT(refused == (classification.remaining > Duration::zero()));
        RC_ASSERT(classification.remaining <= kSmallLimits.max_age);
      }
    }
  }
};

}  // namespace

TEST_GROUP(SuspectTable){};

// Guards against a quarantine of requests that were only in the same batch as
// the one that caused the crash, against a quarantine that peers do not receive
// or that never ends, and against updates that circulate forever.
TEST(SuspectTable, QuarantinesOnlyRequestsThatCrashedAlone) {
  CHECK(rc::check([] {
    using Step = std::tuple<int, std::size_t, Fingerprint, Fingerprint>;
    const auto steps = *rc::gen::resize(
        100, rc::gen::container<std::vector<Step>>(rc::gen::tuple(
                 rc::gen::inRange(0, 12), rc::gen::inRange<std::size_t>(0, 3),
                 rc::gen::inRange<Fingerprint>(0, 8),
                 rc::gen::inRange<Fingerprint>(0, 8))));
    Group group;
    for (const auto& [action, process, first, second] : steps) {
      if (action < 3) {
        group.Crash(process, {first, second});
      } else if (action < 4 && first < 4) {
        group.Crash(process, {first});
      } else if (action < 5) {
        group.tables.at(process).ReportCompleted(first, group.now);
      } else if (action < 6) {
        group.now += std::chrono::minutes(first);
      } else if (action < 7 && !group.network.empty()) {
        group.network.pop_back();
      } else if (!group.network.empty()) {
        group.Deliver(first * second % group.network.size(), action == 7);
      }
      group.Check();
    }
    for (int delivered = 0; !group.network.empty(); ++delivered) {
      RC_ASSERT(delivered < 10000);
      group.Deliver(0, false);
    }
    group.Crash(0, {0});
    group.Crash(0, {0});
    while (!group.network.empty()) {
      group.Deliver(0, false);
    }
    for (SuspectTable& table : group.tables) {
      RC_ASSERT(table.Classify(0, group.now).decision ==
                SuspectDecision::kRefused);
      RC_ASSERT(table.Classify(0, group.now + kSmallLimits.max_age).decision ==
                SuspectDecision::kNormal);
    }
  }));
}

// Guards against a request that has to run alone again and again. A late copy
// of an old update must not make a cleared request a suspect, but a new crash
// must.
TEST(SuspectTable, ClearsSuspectsThatComplete) {
  SuspectTable table;
  const std::vector<Fingerprint> batch{1, 2};
  const auto updates = table.ReportCrash(batch, Time());
  table.ReportCompleted(1, Time());
  CHECK_FALSE(table.Merge(updates[0], Time()));
  CHECK(table.Classify(1, Time()).decision == SuspectDecision::kNormal);
  CHECK(table.Classify(2, Time()).decision == SuspectDecision::kRunAlone);
  table.ReportCrash(batch, Time());
  CHECK(table.Classify(1, Time()).decision == SuspectDecision::kRunAlone);
}

TEST_GROUP(Fingerprint){};

// Guards against a caller that evades a quarantine by sending the same request
// in a different form, and against equal fingerprints of different requests.
TEST(Fingerprint, DependsOnlyOnTheRequestedWork) {
  const auto of = [](std::string_view body) {
    return RequestFingerprint("team", "team/a@1", body);
  };
  const Fingerprint plain = of(R"({"prompt":"x","n":1})");
  CHECK(plain == of(R"({ "n": 1, "stream": true, "user": "u",
                         "model": "team/alias", "id": 5, "prompt": "x" })"));
  CHECK(plain != of(R"({"prompt":"x","n":2})"));
  CHECK(plain != of(R"({"prompt":{"user":"u"},"n":1})"));
  CHECK(plain != RequestFingerprint("team", "team/a@2", R"({"prompt":"x"})"));
  CHECK(of("not json") != of("not  json"));
}

// Guards against a stack overflow caused by a deeply nested body.
TEST(Fingerprint, DeepNestingDoesNotOverflowTheStack) {
  const std::string deep(std::size_t{1} << 20, '[');
  const std::string closed = deep + std::string(deep.size(), ']');
  CHECK(RequestFingerprint("t", "m", deep) !=
        RequestFingerprint("t", "m", closed));
}

}  // namespace amaranthcove
