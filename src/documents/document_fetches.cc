#include "amaranthcove/documents/document_fetches.h"

#include <algorithm>
#include <utility>

namespace amaranthcove {

std::optional<DocumentFetch> DocumentFetches::OnAnnouncement(
    std::string_view team,
    std::int64_t revision,
    const std::string& peer,
    Time now) {
  Fetch& fetch = fetches_[std::string(team)];
  if (revision < fetch.revision) {
    return std::nullopt;
  }
  if (revision == fetch.revision) {
    if (peer != fetch.asked &&
        std::ranges::find(fetch.others, peer) == fetch.others.end()) {
      fetch.others.push_back(peer);
    }
    return std::nullopt;
  }
  fetch = {revision, peer, now, {}};
  return DocumentFetch{std::string(team), peer};
}

void DocumentFetches::OnKnown(std::string_view team, std::int64_t revision) {
  const auto found = fetches_.find(team);
  if (found != fetches_.end() && found->second.revision <= revision) {
    fetches_.erase(found);
  }
}

std::optional<DocumentFetch> DocumentFetches::AskNext(Fetches::iterator& fetch,
                                                      Time now) {
  Fetch& state = fetch->second;
  if (state.others.empty()) {
    fetch = fetches_.erase(fetch);
    return std::nullopt;
  }
  state.asked = std::move(state.others.front());
  state.others.pop_front();
  state.asked_at = now;
  DocumentFetch request{fetch->first, state.asked};
  ++fetch;
  return request;
}

std::vector<DocumentFetch> DocumentFetches::OnPeerLost(const std::string& peer,
                                                       Time now) {
  std::vector<DocumentFetch> requests;
  for (auto fetch = fetches_.begin(); fetch != fetches_.end();) {
    std::erase(fetch->second.others, peer);
    if (fetch->second.asked != peer) {
      ++fetch;
      continue;
    }
    if (auto request = AskNext(fetch, now)) {
      requests.push_back(std::move(*request));
    }
  }
  return requests;
}

std::vector<DocumentFetch> DocumentFetches::OnTimer(Time now) {
  std::vector<DocumentFetch> requests;
  for (auto fetch = fetches_.begin(); fetch != fetches_.end();) {
    if (now - fetch->second.asked_at < kFetchLate) {
      ++fetch;
      continue;
    }
    if (auto request = AskNext(fetch, now)) {
      requests.push_back(std::move(*request));
    }
  }
  return requests;
}

std::optional<Time> DocumentFetches::NextTimer() const {
  std::optional<Time> next;
  for (const auto& [team, fetch] : fetches_) {
    const Time late = fetch.asked_at + kFetchLate;
    next = next ? std::min(*next, late) : late;
  }
  return next;
}

}  // namespace amaranthcove
