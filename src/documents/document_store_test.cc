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

AdoptResult Offer(DocumentStore& store,
                  std::int64_t revision,
                  const std::string& text) {
  return store.Adopt({"team", revision, false, text}, Validate, kNow);
}

// Lets `to` ask `from` until nothing more comes. Returns the texts sent.
int Exchange(const DocumentStore& from, DocumentStore& to) {
  int sent = 0;
  for (bool more = true; more && sent < 1000;) {
    DocumentPortion portion = from.NewerThan(to.Revisions(), 8);
    more = portion.more;
    for (Document& document : portion.documents) {
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

// Processes that learn a history of edits in any order and from each other.
struct Fleet {
  static constexpr int kProcesses = 5;
  std::vector<DocumentStore> processes{kProcesses};
  std::map<std::string, std::vector<Document>> history;

  void Edit(const std::string& team, int kind) {
    std::vector<Document>& edits = history[team];
    const auto revision = static_cast<std::int64_t>(edits.size()) + 1;
    edits.push_back({team, revision, kind == 0, kind < 3 ? "bad" : "good"});
  }

  // The platform, possibly stale, shows one process some past revision.
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

// Guards against losing the last good text to a bad edit, and against the
// refused revision being judged again on every push.
TEST(DocumentStore, KeepsGoodTextAfterBadEdit) {
  DocumentStore store;
  CHECK(Offer(store, 1, "good") == AdoptResult::kAdopted);
  CHECK(Offer(store, 2, "bad") == AdoptResult::kRefused);
  CHECK(Offer(store, 2, "bad") == AdoptResult::kStale);
  CHECK(Offer(store, 1, "good") == AdoptResult::kStale);
  CHECK_EQUAL(1, InForce(store, "team"));
  CHECK_EQUAL(2, store.Find("team")->newest_revision());
  CHECK_EQUAL(1U, store.Find("team")->errors.size());
}

// Guards against a fresh process that reads only the refused revision being
// unable to get the good one, and against peers sending texts without end.
TEST(DocumentStore, FreshProcessGetsGoodRevisionBelowRefusedOne) {
  DocumentStore old;
  Offer(old, 1, "good");
  Offer(old, 2, "bad");
  DocumentStore fresh;
  Offer(fresh, 2, "bad");
  CHECK_EQUAL(1, Exchange(old, fresh));
  CHECK_EQUAL(1, InForce(fresh, "team"));
  CHECK_EQUAL(2, fresh.Find("team")->newest_revision());
  CHECK_EQUAL(0, Exchange(old, fresh));
  CHECK(old.Digest() == fresh.Digest());
}

// Guards against an oversized text that one process refuses and another,
// which got it from a peer, accepts; and against keeping all of it.
TEST(DocumentStore, RefusesOversizedTextEverywhere) {
  DocumentStore store;
  const std::string text(kMaxDocumentBytes * 3, 'x');
  CHECK(Offer(store, 1, text) == AdoptResult::kRefused);
  CHECK_EQUAL(kMaxDocumentBytes + 1,
              store.Find("team")->newest_refused.text.size());
  DocumentStore peer;
  Exchange(store, peer);
  CHECK_EQUAL(0, InForce(peer, "team"));
  CHECK(store.Digest() == peer.Digest());
}

// Guards against a release that refuses a text getting it from a peer of
// another release again and again.
TEST(DocumentStore, PeerThatRefusedIsNotSentTheTextAgain) {
  DocumentStore lenient;
  lenient.Adopt(
      {"team", 2, false, "bad"},
      [](auto, auto) { return std::vector<std::string>{}; }, kNow);
  DocumentStore strict;
  Offer(strict, 1, "good");
  CHECK_EQUAL(1, Exchange(lenient, strict));
  CHECK_EQUAL(0, Exchange(lenient, strict));
  CHECK_EQUAL(1, InForce(strict, "team"));
}

// Guards, under edits, stale answers, restarts and partial exchanges, against
// a revision in force that falls, a bad text in force, and live processes that
// disagree after all digests have been exchanged.
TEST(DocumentStore, HistoriesConvergeAndNeverGoBack) {
  CHECK(rc::check([] {
    Fleet fleet;
    // Processes below the boundary cannot reach the others.
    std::ptrdiff_t boundary = 0;
    const int steps = *rc::gen::inRange(1, 60);
    for (int step = 0; step < steps; ++step) {
      const std::string team(1, static_cast<char>(*rc::gen::inRange('a', 'd')));
      DocumentStore& process =
          fleet.processes[*rc::gen::inRange(0, Fleet::kProcesses)];
      DocumentStore& peer =
          fleet.processes[*rc::gen::inRange(0, Fleet::kProcesses)];
      const std::int64_t before = InForce(process, team);
      const int action = *rc::gen::inRange(0, 10);
      if (action < 3) {
        fleet.Edit(team, *rc::gen::inRange(0, 6));
      } else if (action < 7) {
        fleet.Read(process, team, *rc::gen::inRange(0, 4));
      } else if (action < 9) {
        const auto* first = fleet.processes.data();
        if ((&peer - first < boundary) == (&process - first < boundary)) {
          Exchange(peer, process);
        }
      } else if (*rc::gen::arbitrary<bool>()) {
        boundary = *rc::gen::inRange(0, Fleet::kProcesses);
      } else {
        process = DocumentStore();
        continue;
      }
      RC_ASSERT(InForce(process, team) >= before);
    }
    for (int round = 0; round < 2; ++round) {
      for (DocumentStore& from : fleet.processes) {
        for (DocumentStore& to : fleet.processes) {
          Exchange(from, to);
        }
      }
    }
    for (const DocumentStore& process : fleet.processes) {
      RC_ASSERT(process.Digest() == fleet.processes[0].Digest());
      for (const auto& [team, state] : process.states()) {
        RC_ASSERT(state.in_force.removed || state.in_force.text != "bad");
        RC_ASSERT(state.in_force.revision == InForce(fleet.processes[0], team));
      }
    }
  }));
}

// Guards against a digest that depends on the path by which revisions came.
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
