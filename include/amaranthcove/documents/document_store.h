#ifndef AMARANTHCOVE_DOCUMENTS_DOCUMENT_STORE_H_
#define AMARANTHCOVE_DOCUMENTS_DOCUMENT_STORE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "amaranthcove/base/time.h"

namespace amaranthcove {

// Longer texts are refused as invalid. Bytes; the limit of a service document.
inline constexpr std::size_t kMaxDocumentBytes = 64 << 10;

// Refused revisions remembered for each team. More are only needed while
// releases that judge documents differently run together.
inline constexpr std::size_t kMaxRefusedRevisions = 4;

// One revision of a team's service document. A removal has no text.
struct Document {
  std::string team;
  std::int64_t revision = 0;
  bool removed = false;
  std::string text;
};

// A revision that a process has decided on, see `DocumentStore::Revisions`.
struct KnownRevision {
  std::string team;
  std::int64_t revision = 0;
};

// What `DocumentStore::Adopt` did.
enum class AdoptResult {
  kAdopted,  // The revision is in force now.
  kStale,    // The revision is not newer than what is known.
  kRefused   // The text is invalid; what was in force stays in force.
};

// Returns the errors of a document's text; none means that it is valid.
using DocumentValidator =
    std::function<std::vector<std::string>(std::string_view team,
                                           std::string_view text)>;

// What is known about a team's document.
struct DocumentState {
  Document in_force;                  // Revision 0: none yet.
  Document newest_refused;            // Revision 0: none above `in_force`.
  std::vector<std::string> errors;    // Of `newest_refused`.
  std::vector<std::int64_t> refused;  // Ascending, all above `in_force`.
  Time adopted_at;                    // When `in_force` came into force.
  Time refused_at;                    // When `newest_refused` was refused.

  // The highest revision seen, whether in force or refused.
  std::int64_t newest_revision() const {
    return refused.empty() ? in_force.revision : refused.back();
  }
};

// Documents to send to a peer.
struct DocumentPortion {
  std::vector<Document> documents;
  bool more = false;  // The peer lacks others; it asks again after these.
};

// The service documents that a process knows, by team.
//
// Two revisions count for each team: the one in force and the newest one seen,
// which is higher if it was refused as invalid. Both only rise:
// - A revision above the newest one seen is validated. If valid it comes into
//   force; if not it is remembered as refused.
// - A revision between the two is validated too. If valid it comes into force,
//   and the refused one stays the newest seen. So a process that first learns
//   an invalid revision still gets the last valid one from a peer.
// - Everything else is stale, including revisions remembered as refused.
// Peers exchange both, the valid one first. Refused texts are passed on because
// another release may find them valid, and so that all processes agree on the
// newest revision.
//
// Thread safety: none; belongs to the loop's thread. Does no I/O.
class DocumentStore {
 public:
  // Offers a revision of a document. `validator` is called only for texts that
  // are not stale, not removals and not longer than kMaxDocumentBytes.
  // Revisions start at 1; lower ones and empty teams are stale.
  AdoptResult Adopt(Document document,
                    const DocumentValidator& validator,
                    Time now);

  // A hash of team, revision in force and newest revision of every team. It
  // does not depend on the order in which they were learnt.
  std::uint64_t Digest() const { return digest_; }

  // The revisions to tell a peer that asks for newer documents, by team and
  // ascending: the one in force (0 if none), then refused ones above it.
  // A non-empty `only_team` leaves out every other team.
  std::vector<KnownRevision> Revisions(std::string_view only_team = {}) const;

  // The documents that a peer lacks that knows `known` (in the form of
  // `Revisions`, in any order): the valid one if it is above the peer's lowest
  // revision and not among those the peer lists, then the refused one if it is
  // above all of the peer's. The portion ends before its texts exceed
  // `max_bytes`, but has at least one document if any is lacking. A non-empty
  // `only_team` leaves out every other team.
  DocumentPortion NewerThan(std::span<const KnownRevision> known,
                            std::size_t max_bytes,
                            std::string_view only_team = {}) const;

  // Whether the revision was decided on, so that `Adopt` would find it stale.
  bool Knows(std::string_view team, std::int64_t revision) const;

  // The state of a team, or null. Valid until the next call of `Adopt`.
  const DocumentState* Find(std::string_view team) const;

  // Every team's state, for dumps.
  const std::map<std::string, DocumentState, std::less<>>& states() const {
    return states_;
  }

 private:
  std::map<std::string, DocumentState, std::less<>> states_;
  std::uint64_t digest_ = 0;
};

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_DOCUMENTS_DOCUMENT_STORE_H_
