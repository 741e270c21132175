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
    if (peer != fetch.asked_peer &&
        std::ranges::find(fetch.other_announcers, peer) ==
            fetch.other_announcers.end()) {
      fetch.other_announcers.push_back(peer);
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

std::optional<DocumentFetch> DocumentFetches::AskNextAnnouncer(
    Fetches::iterator& fetch,
    Time now) {
  Fetch& state = fetch->second;
  if (state.other_announcers.empty()) {
    fetch = fetches_.erase(fetch);
    return std::nullopt;
  }
  state.asked_peer = std::move(state.other_announcers.front());
  state.other_announcers.pop_front();
  state.asked_at = now;
  DocumentFetch request{fetch->first, state.asked_peer};
  ++fetch;
  return request;
}

std::vector<DocumentFetch> DocumentFetches::OnPeerLost(const std::string& peer,
                                                       Time now) {
  std::vector<DocumentFetch> requests;
  for (auto fetch = fetches_.begin(); fetch != fetches_.end();) {
    std::erase(fetch->second.other_announcers, peer);
    if (fetch->second.asked_peer != peer) {
      ++fetch;
      continue;
    }
    if (auto request = AskNextAnnouncer(fetch, now)) {
      requests.push_back(std::move(*request));
    }
  }
  return requests;
}

std::vector<DocumentFetch> DocumentFetches::OnTimer(Time now) {
  std::vector<DocumentFetch> requests;
  for (auto fetch = fetches_.begin(); fetch != fetches_.end();) {
    if (now - fetch->second.asked_at < kFetchTimeout) {
      ++fetch;
      continue;
    }
    if (auto request = AskNextAnnouncer(fetch, now)) {
      requests.push_back(std::move(*request));
    }
  }
  return requests;
}

std::optional<Time> DocumentFetches::NextTimer() const {
  std::optional<Time> next;
  for (const auto& [team, fetch] : fetches_) {
    const Time timeout = fetch.asked_at + kFetchTimeout;
    next = next ? std::min(*next, timeout) : timeout;
  }
  return next;
}

}  // namespace amaranthcove
