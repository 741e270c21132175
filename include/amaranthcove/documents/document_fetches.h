#ifndef AMARANTHCOVE_DOCUMENTS_DOCUMENT_FETCHES_H_
#define AMARANTHCOVE_DOCUMENTS_DOCUMENT_FETCHES_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "amaranthcove/base/time.h"

namespace amaranthcove {

// A request that is not answered within this time is sent to another announcer.
// Far above a round trip between regions, and short enough for two timeouts
// within the 4 s that a change may take.
inline constexpr Duration kFetchTimeout = std::chrono::seconds(1);

// A request for the document of `team`, to be sent to `peer`.
struct DocumentFetch {
  std::string team;
  std::string peer;
};

// Tracks which announced revisions are being requested from which peers. At
// most one request for a team's newest announced revision is pending, until it
// times out.
//
// Thread safety: none. Does no I/O.
class DocumentFetches {
 public:
  // Handles the announcement by `peer` of a revision that the process does not
  // know. Returns the request to send now, if any.
  std::optional<DocumentFetch> OnAnnouncement(std::string_view team,
                                              std::int64_t revision,
                                              const std::string& peer,
                                              Time now);

  // Removes the pending request of `team` if it is for `revision`, which the
  // process has adopted or refused, or for a lower one.
  void OnKnown(std::string_view team, std::int64_t revision);

  // Handles the loss of the connection to `peer`. Returns requests to other
  // announcers, to be sent now.
  std::vector<DocumentFetch> OnPeerLost(const std::string& peer, Time now);

  // Returns requests that replace those that timed out, to be sent now. A
  // revision without another announcer is dropped; the comparison of digests
  // detects it later.
  std::vector<DocumentFetch> OnTimer(Time now);

  // Returns when to call `OnTimer` next, or nullopt if no request is pending.
  std::optional<Time> NextTimer() const;

  std::size_t size() const { return fetches_.size(); }

 private:
  struct Fetch {
    std::int64_t revision = 0;
    std::string asked_peer;
    Time asked_at;
    std::deque<std::string> other_announcers;  // Not asked yet.
  };
  using Fetches = std::map<std::string, Fetch, std::less<>>;

  // Returns a request to the next announcer, or erases the fetch if there is
  // none. Advances `fetch`.
  std::optional<DocumentFetch> AskNextAnnouncer(Fetches::iterator& fetch,
                                                Time now);

  Fetches fetches_;
};

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_DOCUMENTS_DOCUMENT_FETCHES_H_
