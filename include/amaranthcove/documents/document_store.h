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

// Size limit of a service document in bytes. Longer texts are refused as
// invalid.
inline constexpr std::size_t kMaxDocumentBytes = 64 << 10;

// Limit on the refused revisions stored for each team. More are needed only
// while releases with different validation rules run together.
inline constexpr std::size_t kMaxRefusedRevisions = 4;

// One revision of a team's service document. A removal has no text.
struct Document {
  std::string team;
  std::int64_t revision = 0;
  bool removed = false;
  std::string text;
};

// A revision that a process has adopted or refused, see
// `DocumentStore::Revisions`.
struct KnownRevision {
  std::string team;
  std::int64_t revision = 0;
};

// The result of `DocumentStore::Adopt`.
enum class AdoptResult {
  kAdopted,  // The revision is in force now.
  kStale,    // The revision was refused before or is not newer.
  kRefused   // The text is invalid; the document in force is unchanged.
};

// Returns the errors of a document's text, or an empty vector if it is valid.
using DocumentValidator =
    std::function<std::vector<std::string>(std::string_view team,
                                           std::string_view text)>;

// The state of a team's document.
struct DocumentState {
  Document in_force;                  // Revision 0: none yet.
  Document newest_refused;            // Revision 0: none above `in_force`.
  std::vector<std::string> errors;    // Validation errors of `newest_refused`.
  std::vector<std::int64_t> refused;  // Ascending, all above `in_force`.
  Time adopted_at;                    // When `in_force` came into force.
  Time refused_at;                    // When `newest_refused` was refused.

  // Returns the highest revision seen, whether in force or refused.
  std::int64_t newest_revision() const {
    return refused.empty() ? in_force.revision : refused.back();
  }
};

// Documents to send to a peer.
struct DocumentBatch {
  std::vector<Document> documents;
  bool more = false;  // The peer lacks more documents and must ask again.
};

// Stores the service documents known to a process, by team.
//
// Two revisions matter for each team: the one in force and the newest one seen,
// which is higher if it was refused as invalid. Neither ever decreases:
// - A revision above the newest one seen is validated. If valid it comes into
//   force; otherwise it is stored as refused.
// - A revision between the two is validated too. If valid it comes into force,
//   and the refused one stays the newest seen. Thus a process that receives
//   an invalid revision first still gets the last valid one from a peer.
// - Everything else is stale, including revisions stored as refused.
// Peers exchange both, the valid one first. Refused texts are sent to peers
// because another release may find them valid, and so that all processes agree
// on the newest revision.
//
// Thread safety: not thread-safe; all calls must be made on the loop's thread.
// Does no I/O.
class DocumentStore {
 public:
  // Validates a revision of a document, unless it is stale, and adopts or
  // refuses it. `validator` is called only for texts that are not stale, not
  // removals and not longer than kMaxDocumentBytes. Revisions start at 1; lower
  // ones and empty teams are stale.
  AdoptResult Adopt(Document document,
                    const DocumentValidator& validator,
                    Time now);

  // Returns a hash of team, revision in force and newest revision of every
  // team. It does not depend on the order in which revisions arrived.
  std::uint64_t Digest() const { return digest_; }

  // Returns the known revisions, which a process sends when it requests newer
  // documents. They are sorted by team and ascending: the one in force (0 if
  // none), then refused ones above it. A non-empty `only_team` leaves out every
  // other team.
  std::vector<KnownRevision> Revisions(std::string_view only_team = {}) const;

  // Returns the documents that a peer lacks. `known` are the peer's
  // `Revisions`, in any order. For each team, the result has the document in
  // force if it is above the peer's lowest revision and not among those of the
  // peer, then the newest refused one if it is above all of the peer's. The
  // result ends before its texts exceed `max_bytes`, but has at least one
  // document if the peer lacks any. A non-empty `only_team` leaves out every
  // other team.
  DocumentBatch NewerThan(std::span<const KnownRevision> known,
                          std::size_t max_bytes,
                          std::string_view only_team = {}) const;

  // Returns whether `Adopt` would find the revision stale, because it is not
  // above the one in force or is stored as refused.
  bool Knows(std::string_view team, std::int64_t revision) const;

  // Returns the state of a team, or null if there is none. The pointer is valid
  // until the next call of `Adopt`.
  const DocumentState* Find(std::string_view team) const;

  // Returns the state of every team.
  const std::map<std::string, DocumentState, std::less<>>& states() const {
    return states_;
  }

 private:
  std::map<std::string, DocumentState, std::less<>> states_;
  std::uint64_t digest_ = 0;
};

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_DOCUMENTS_DOCUMENT_STORE_H_
