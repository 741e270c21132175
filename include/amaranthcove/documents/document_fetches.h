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

// An answer that takes longer is late, and another announcer is asked. Far
// above a round trip between regions, and short enough for two late answers
// within the 4 s that a change may take.
inline constexpr Duration kFetchLate = std::chrono::seconds(1);

// A request for a text to send to a peer.
struct DocumentFetch {
  std::string team;
  std::string peer;
};

// Which announced revisions are being fetched from which peers. At most one
// request for a team's newest announced revision is under way unless it is
// late.
//
// Thread safety: none. Does no I/O.
class DocumentFetches {
 public:
  // `peer` announced a revision that the process does not know. Returns the
  // request to send now, if any.
  std::optional<DocumentFetch> OnAnnouncement(std::string_view team,
                                              std::int64_t revision,
                                              const std::string& peer,
                                              Time now);

  // The process has decided on `revision`; requests for it or for lower ones
  // are over.
  void OnKnown(std::string_view team, std::int64_t revision);

  // The connection to `peer` is lost. Returns requests to other announcers.
  std::vector<DocumentFetch> OnPeerLost(const std::string& peer, Time now);

  // Returns requests in place of late ones. A revision without another
  // announcer is given up; an unequal digest finds it.
  std::vector<DocumentFetch> OnTimer(Time now);

  // When `OnTimer` is to be called next; nothing while no request is under way.
  std::optional<Time> NextTimer() const;

  std::size_t size() const { return fetches_.size(); }

 private:
  struct Fetch {
    std::int64_t revision = 0;
    std::string asked;
    Time asked_at;
    std::deque<std::string> others;  // Announcers that were not asked yet.
  };
  using Fetches = std::map<std::string, Fetch, std::less<>>;

  // Asks the next announcer, or erases the fetch. Advances `fetch`.
  std::optional<DocumentFetch> AskNext(Fetches::iterator& fetch, Time now);

  Fetches fetches_;
};

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_DOCUMENTS_DOCUMENT_FETCHES_H_
