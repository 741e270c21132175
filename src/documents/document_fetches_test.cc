#include "amaranthcove/documents/document_fetches.h"

#include "amaranthcove/documents/document_store.h"

#include <CppUTest/TestHarness.h>

namespace amaranthcove {

namespace {

constexpr Time kStart{std::chrono::hours(1)};

}  // namespace

TEST_GROUP(DocumentFetches) {
  DocumentFetches fetches;

  std::string Announce(std::int64_t revision, const std::string& peer) {
    const auto fetch = fetches.OnAnnouncement("team", revision, peer, kStart);
    return fetch ? fetch->peer : "";
  }
};

// Guards against requests for the same text to all of its announcers.
TEST(DocumentFetches, AsksOneAnnouncerUntilItTimesOut) {
  STRCMP_EQUAL("a", Announce(3, "a").c_str());
  STRCMP_EQUAL("", Announce(3, "b").c_str());
  STRCMP_EQUAL("", Announce(2, "c").c_str());
  CHECK(fetches.OnTimer(kStart + kFetchTimeout / 2).empty());
  const auto retries = fetches.OnTimer(kStart + kFetchTimeout);
  CHECK_EQUAL(1U, retries.size());
  STRCMP_EQUAL("b", retries.front().peer.c_str());
}

// Guards against a newer revision that waits for the response to an older
// request.
TEST(DocumentFetches, NewerRevisionIsAskedForAtOnce) {
  Announce(3, "a");
  STRCMP_EQUAL("b", Announce(4, "b").c_str());
  fetches.OnKnown("team", 3);
  CHECK_EQUAL(1U, fetches.size());
  fetches.OnKnown("team", 4);
  CHECK_EQUAL(0U, fetches.size());
  CHECK(!fetches.NextTimer().has_value());
}

// Guards against a fetch that is dropped when the connection to one announcer
// is lost, and against one that is never removed although no announcer
// is left.
TEST(DocumentFetches, LostAnnouncerIsReplacedOrGivenUp) {
  Announce(3, "a");
  Announce(3, "b");
  const auto next = fetches.OnPeerLost("a", kStart);
  CHECK_EQUAL(1U, next.size());
  STRCMP_EQUAL("b", next.front().peer.c_str());
  CHECK(fetches.OnPeerLost("b", kStart).empty());
  CHECK_EQUAL(0U, fetches.size());
}

// Guards against a request for one team that returns other teams, and against a
// size limit that leaves out the requested team.
TEST(DocumentFetches, RequestForOneTeamReturnsOnlyThatTeam) {
  DocumentStore store;
  const auto valid = [](std::string_view, std::string_view) {
    return std::vector<std::string>();
  };
  for (const char* team : {"a", "b", "c"}) {
    store.Adopt({team, 1, false, "text"}, valid, kStart);
  }
  const DocumentBatch batch = store.NewerThan({}, 1, "c");
  CHECK_EQUAL(1U, batch.documents.size());
  STRCMP_EQUAL("c", batch.documents.front().team.c_str());
  CHECK(store.Knows("c", 1));
  CHECK(!store.Knows("c", 2));
  CHECK(!store.Knows("d", 1));
}

}  // namespace amaranthcove
