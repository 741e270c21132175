#include "amaranthcove/documents/document_store.h"

#include <algorithm>
#include <unordered_map>
#include <utility>

#include "amaranthcove/base/hash.h"

namespace amaranthcove {

namespace {

// Returns the term of a team in the digest, which is a sum; 0 for a team
// without revisions.
std::uint64_t TeamHash(std::string_view team, const DocumentState& state) {
  if (state.newest_revision() == 0) {
    return 0;
  }
  const auto in_force = static_cast<std::uint64_t>(state.in_force.revision);
  const auto newest = static_cast<std::uint64_t>(state.newest_revision());
  const std::uint64_t seed = in_force * 0x9E3779B97F4A7C15ULL + newest;
  return Hash64(team, seed);
}

std::vector<std::string> ErrorsOf(const Document& document,
                                  const DocumentValidator& validator) {
  if (document.removed) {
    return {};
  }
  if (document.text.size() > kMaxDocumentBytes) {
    return {"the document is longer than " + std::to_string(kMaxDocumentBytes) +
            " bytes"};
  }
  return validator(document.team, document.text);
}

void PutInForce(DocumentState& state, Document document, Time now) {
  std::erase_if(state.refused, [&](std::int64_t revision) {
    return revision <= document.revision;
  });
  if (state.refused.empty()) {
    state.newest_refused = {};
    state.errors.clear();
  }
  state.in_force = std::move(document);
  state.adopted_at = now;
}

void Refuse(DocumentState& state,
            Document document,
            std::vector<std::string> errors,
            Time now) {
  const std::int64_t revision = document.revision;
  if (revision > state.newest_revision()) {
    // Truncate the text to bound memory. At one byte above the limit, peers
    // refuse it too.
    document.text.resize(std::min(document.text.size(), kMaxDocumentBytes + 1));
    state.newest_refused = std::move(document);
    state.errors = std::move(errors);
    state.refused_at = now;
  }
  state.refused.insert(std::ranges::lower_bound(state.refused, revision),
                       revision);
  if (state.refused.size() > kMaxRefusedRevisions) {
    state.refused.erase(state.refused.begin());
  }
}

// The revisions of one team that a peer knows.
struct PeerRevisions {
  std::vector<std::int64_t> revisions;

  bool LacksInForce(const Document& valid) const {
    return valid.revision > 0 &&
           (revisions.empty() ||
            (valid.revision > std::ranges::min(revisions) &&
             std::ranges::find(revisions, valid.revision) == revisions.end()));
  }

  bool LacksRefused(const Document& refused) const {
    return refused.revision > 0 &&
           (revisions.empty() ||
            refused.revision > std::ranges::max(revisions));
  }
};

}  // namespace

AdoptResult DocumentStore::Adopt(Document document,
                                 const DocumentValidator& validator,
                                 Time now) {
  if (document.team.empty() || document.revision < 1) {
    return AdoptResult::kStale;
  }
  DocumentState& state = states_[document.team];
  if (document.revision <= state.in_force.revision ||
      std::ranges::binary_search(state.refused, document.revision)) {
    return AdoptResult::kStale;
  }
  std::vector<std::string> errors = ErrorsOf(document, validator);
  const bool valid = errors.empty();
  const std::string team = document.team;
  digest_ -= TeamHash(team, state);
  if (valid) {
    if (document.removed) {
      document.text.clear();
    }
    PutInForce(state, std::move(document), now);
  } else {
    Refuse(state, std::move(document), std::move(errors), now);
  }
  digest_ += TeamHash(team, state);
  return valid ? AdoptResult::kAdopted : AdoptResult::kRefused;
}

std::vector<KnownRevision> DocumentStore::Revisions(
    std::string_view only_team) const {
  std::vector<KnownRevision> revisions;
  revisions.reserve(states_.size());
  for (const auto& [team, state] : states_) {
    if (!only_team.empty() && team != only_team) {
      continue;
    }
    revisions.push_back({team, state.in_force.revision});
    for (const std::int64_t refused : state.refused) {
      revisions.push_back({team, refused});
    }
  }
  return revisions;
}

DocumentBatch DocumentStore::NewerThan(std::span<const KnownRevision> known,
                                       std::size_t max_bytes,
                                       std::string_view only_team) const {
  std::unordered_map<std::string_view, PeerRevisions> peer;
  for (const KnownRevision& revision : known) {
    peer[revision.team].revisions.push_back(revision.revision);
  }
  DocumentBatch batch;
  std::size_t bytes = 0;
  const auto add = [&](const Document& document) {
    bytes += document.text.size();
    if (!batch.documents.empty() && bytes > max_bytes) {
      batch.more = true;
      return;
    }
    batch.documents.push_back(document);
  };
  for (const auto& [team, state] : states_) {
    if (!only_team.empty() && team != only_team) {
      continue;
    }
    const PeerRevisions& peer_revisions = peer[team];
    if (!batch.more && peer_revisions.LacksInForce(state.in_force)) {
      add(state.in_force);
    }
    if (!batch.more && peer_revisions.LacksRefused(state.newest_refused)) {
      add(state.newest_refused);
    }
  }
  return batch;
}

bool DocumentStore::Knows(std::string_view team, std::int64_t revision) const {
  const DocumentState* state = Find(team);
  return state != nullptr &&
         (revision <= state->in_force.revision ||
          std::ranges::binary_search(state->refused, revision));
}

const DocumentState* DocumentStore::Find(std::string_view team) const {
  const auto found = states_.find(team);
  return found == states_.end() ? nullptr : &found->second;
}

}  // namespace amaranthcove
