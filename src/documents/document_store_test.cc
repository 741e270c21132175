#include "amaranthcove/documents/document_store.h"

#include <map>
#include <set>

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

namespace amaranthcove {

namespace {

constexpr Time kNow{};

std::vector<std::string> Validate(std::string_view /*team*/,
                                  std::string_view text) {
  if (text.starts_with("bad")) {
    return {"line 1: bad"};
  }
  return {};
}

AdoptResult AdoptText(DocumentStore& store,
                      std::int64_t revision,
                      const std::string& text) {
  return store.Adopt({"team", revision, false, text}, Validate, kNow);
}

// Sends documents from `from` that `to` lacks until none is left. Returns the
// number of documents sent.
int Exchange(const DocumentStore& from, DocumentStore& to) {
  int sent = 0;
  for (bool more = true; more && sent < 1000;) {
    DocumentBatch batch = from.NewerThan(to.Revisions(), 8);
    more = batch.more;
    for (Document& document : batch.documents) {
      to.Adopt(std::move(document), Validate, kNow);
      ++sent;
    }
  }
  return sent;
}

std::int64_t InForce(const DocumentStore& store, std::string_view team) {
  const DocumentState* state = store.Find(team);
  return state == nullptr ? 0 : state->in_force.revision;
}

// Simulates processes that receive a history of edits in any order and from
// each other.
struct Cluster {
  static constexpr int kProcesses = 5;
  std::vector<DocumentStore> processes{kProcesses};
  std::map<std::string, std::vector<Document>> history;

  void Edit(const std::string& team, int kind) {
    std::vector<Document>& edits = history[team];
    const auto revision = static_cast<std::int64_t>(edits.size()) + 1;
    edits.push_back({team, revision, kind == 0, kind < 3 ? "bad" : "good"});
  }

  // Simulates a possibly stale read of the platform: `process` receives the
  // revision that is `age` edits old.
  void Read(DocumentStore& process, const std::string& team, int age) {
    const std::vector<Document>& edits = history[team];
    if (!edits.empty()) {
      const std::size_t index = static_cast<std::size_t>(age) % edits.size();
      process.Adopt(edits[edits.size() - 1 - index], Validate, kNow);
    }
  }
};

}  // namespace

TEST_GROUP(DocumentStore){};

// Guards against a bad edit that replaces the last good text, and against a
// refused revision that is validated again whenever it arrives.
TEST(DocumentStore, KeepsGoodTextAfterBadEdit) {
  DocumentStore store;
  CHECK(AdoptText(store, 1, "good") == AdoptResult::kAdopted);
  CHECK(AdoptText(store, 2, "bad") == AdoptResult::kRefused);
  CHECK(AdoptText(store, 2, "bad") == AdoptResult::kStale);
  CHECK(AdoptText(store, 1, "good") == AdoptResult::kStale);
  CHECK_EQUAL(1, InForce(store, "team"));
  CHECK_EQUAL(2, store.Find("team")->newest_revision());
  CHECK_EQUAL(1U, store.Find("team")->errors.size());
}

// Guards against a new process that receives only the refused revision and
// cannot get the good one, and against peers that send the same texts again and
// again.
TEST(DocumentStore, FreshProcessGetsGoodRevisionBelowRefusedOne) {
  DocumentStore old;
  AdoptText(old, 1, "good");
  AdoptText(old, 2, "bad");
  DocumentStore fresh;
  AdoptText(fresh, 2, "bad");
  CHECK_EQUAL(1, Exchange(old, fresh));
  CHECK_EQUAL(1, InForce(fresh, "team"));
  CHECK_EQUAL(2, fresh.Find("team")->newest_revision());
  CHECK_EQUAL(0, Exchange(old, fresh));
  CHECK(old.Digest() == fresh.Digest());
}

// Guards against an oversized text that one process refuses and another accepts
// after receiving it from a peer, and against storing the whole text.
TEST(DocumentStore, RefusesOversizedTextEverywhere) {
  DocumentStore store;
  const std::string text(kMaxDocumentBytes * 3, 'x');
  CHECK(AdoptText(store, 1, text) == AdoptResult::kRefused);
  CHECK_EQUAL(kMaxDocumentBytes + 1,
              store.Find("team")->newest_refused.text.size());
  DocumentStore peer;
  Exchange(store, peer);
  CHECK_EQUAL(0, InForce(peer, "team"));
  CHECK(store.Digest() == peer.Digest());
}

// Guards against a process that refuses a text and receives it again and again
// from a peer of another release.
TEST(DocumentStore, PeerThatRefusedIsNotSentTheTextAgain) {
  DocumentStore lenient;
  lenient.Adopt(
      {"team", 2, false, "bad"},
      [](auto, auto) { return std::vector<std::string>{}; }, kNow);
  DocumentStore strict;
  AdoptText(strict, 1, "good");
  CHECK_EQUAL(1, Exchange(lenient, strict));
  CHECK_EQUAL(0, Exchange(lenient, strict));
  CHECK_EQUAL(1, InForce(strict, "team"));
}

// Guards against a revision in force that decreases, a bad text in force, and
// processes that disagree after all documents have been exchanged; under edits,
// stale reads, restarts, partitions and partial exchanges.
TEST(DocumentStore, ProcessesConvergeAndRevisionsNeverDecrease) {
  CHECK(rc::check([] {
    Cluster cluster;
    // A network partition: processes below the boundary cannot reach the
    // others.
    std::ptrdiff_t boundary = 0;
    const int steps = *rc::gen::inRange(1, 60);
    for (int step = 0; step < steps; ++step) {
      const std::string team(1, static_cast<char>(*rc::gen::inRange('a', 'd')));
      DocumentStore& process =
          cluster.processes[*rc::gen::inRange(0, Cluster::kProcesses)];
      DocumentStore& peer =
          cluster.processes[*rc::gen::inRange(0, Cluster::kProcesses)];
      const std::int64_t before = InForce(process, team);
      const int action = *rc::gen::inRange(0, 10);
      if (action < 3) {
        cluster.Edit(team, *rc::gen::inRange(0, 6));
      } else if (action < 7) {
        cluster.Read(process, team, *rc::gen::inRange(0, 4));
      } else if (action < 9) {
        const auto* first = cluster.processes.data();
        if ((&peer - first < boundary) == (&process - first < boundary)) {
          Exchange(peer, process);
        }
      } else if (*rc::gen::arbitrary<bool>()) {
        boundary = *rc::gen::inRange(0, Cluster::kProcesses);
      } else {
        process = DocumentStore();
        continue;
      }
      RC_ASSERT(InForce(process, team) >= before);
    }
    for (int round = 0; round < 2; ++round) {
      for (DocumentStore& from : cluster.processes) {
        for (DocumentStore& to : cluster.processes) {
          Exchange(from, to);
        }
      }
    }
    for (const DocumentStore& process : cluster.processes) {
      RC_ASSERT(process.Digest() == cluster.processes[0].Digest());
      for (const auto& [team, state] : process.states()) {
        RC_ASSERT(state.in_force.removed || state.in_force.text != "bad");
        RC_ASSERT(state.in_force.revision ==
                  InForce(cluster.processes[0], team));
      }
    }
  }));
}

// Guards against a digest that depends on which revisions were seen before the
// current ones.
TEST(DocumentStore, DigestDependsOnRevisionsOnly) {
  DocumentStore direct;
  direct.Adopt({"b", 5, false, ""}, Validate, kNow);
  direct.Adopt({"a", 3, true, ""}, Validate, kNow);
  DocumentStore stepwise;
  stepwise.Adopt({"a", 1, false, "x"}, Validate, kNow);
  stepwise.Adopt({"a", 3, true, ""}, Validate, kNow);
  stepwise.Adopt({"b", 4, false, "bad"}, Validate, kNow);
  CHECK(direct.Digest() != stepwise.Digest());
  stepwise.Adopt({"b", 5, false, ""}, Validate, kNow);
  CHECK(direct.Digest() == stepwise.Digest());
}

}  // namespace amaranthcove
