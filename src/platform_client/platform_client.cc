#include "amaranthcove/platform_client/platform_client.h"

#include <algorithm>
#include <utility>

#include "src/platform_client/platform_answers.h"

namespace amaranthcove {

namespace {

constexpr Duration kFetchLimit = std::chrono::seconds(5);
constexpr int kOk = 200;

}  // namespace

PlatformClient::PlatformClient(EventLoop& loop,
                               HttpClient& client,
                               Options options,
                               Callbacks callbacks)
    : loop_(loop),
      client_(client),
      options_(std::move(options)),
      callbacks_(std::move(callbacks)) {
  documents_.path = "/v1/documents";
  documents_.on_response = &PlatformClient::OnDocuments;
  instances_.path = "/v1/instances";
  instances_.on_response = &PlatformClient::OnInstances;
}

PlatformClient::~PlatformClient() {
  CancelTask(documents_.task);
  CancelTask(instances_.task);
  CancelTask(fetch_);
}

void PlatformClient::WatchDocuments(bool watch) {
  SetWatch(documents_, watch);
}

void PlatformClient::WatchInstances(bool watch) {
  SetWatch(instances_, watch);
}

void PlatformClient::SetWatch(Watch& watch, bool active) {
  if (watch.task.active == active) {
    return;
  }
  if (active) {
    ScheduleWatch(watch, Duration::zero());
  } else {
    CancelTask(watch.task);
  }
}

void PlatformClient::ScheduleWatch(Watch& watch, Duration delay) {
  Schedule(watch.task, delay, [this, &watch] { StartWatch(watch); });
}

void PlatformClient::StartWatch(Watch& watch) {
  const Duration wait = watch.task.good
                            ? options_.wait
                            : std::min(options_.first_wait, options_.wait);
  watch.task.wait = wait;
  std::string path = watch.path + "?after=" + std::to_string(watch.cursor) +
                     "&wait_ms=" + std::to_string(ToMilliseconds(wait));
  StartCall(
      watch.task, std::move(path), wait + options_.margin,
      [this, &watch](const std::string& body) {
        return (this->*watch.on_response)(body);
      },
      [this, &watch](Duration delay) { ScheduleWatch(watch, delay); });
}

PlatformClient::Verdict PlatformClient::OnDocuments(const std::string& body) {
  auto changes = internal::ParseDocuments(body);
  if (!changes) {
    ++counters_.malformed_answers;
    return Verdict::kBad;
  }
  counters_.malformed_items += changes->malformed_items;
  const Verdict verdict =
      CheckRevision(documents_, changes->revision, !changes->items.empty());
  if (verdict != Verdict::kGood) {
    return verdict;
  }
  documents_.cursor = changes->revision;
  for (Document& document : changes->items) {
    std::int64_t& listed = listed_[document.team];
    listed = std::max(listed, document.revision);
    if (document.revision <= callbacks_.known_revision(document.team)) {
      continue;
    }
    if (document.removed) {
      ++counters_.documents;
      callbacks_.on_document(std::move(document));
    } else {
      EnqueueFetch(std::move(document.team), document.revision);
    }
  }
  return verdict;
}

PlatformClient::Verdict PlatformClient::OnInstances(const std::string& body) {
  const auto changes = internal::ParseInstances(body);
  if (!changes) {
    ++counters_.malformed_answers;
    return Verdict::kBad;
  }
  counters_.malformed_items += changes->malformed_items;
  const Verdict verdict =
      CheckRevision(instances_, changes->revision, !changes->items.empty());
  if (verdict != Verdict::kGood) {
    return verdict;
  }
  instances_.cursor = changes->revision;
  if (!changes->items.empty()) {
    callbacks_.on_instances(changes->revision, changes->items);
  }
  return verdict;
}

PlatformClient::Verdict PlatformClient::CheckRevision(const Watch& watch,
                                                      std::int64_t revision,
                                                      bool has_changes) {
  if (revision < watch.cursor) {
    ++counters_.stale_answers;
    return Verdict::kBad;
  }
  const bool waited = loop_.Now() - watch.task.started >= watch.task.wait / 2;
  if (revision == watch.cursor && !has_changes && !waited) {
    return Verdict::kTooEarly;
  }
  return Verdict::kGood;
}

std::int64_t PlatformClient::listed_revision(std::string_view team) const {
  const auto found = listed_.find(team);
  return found == listed_.end() ? 0 : found->second;
}

void PlatformClient::EnqueueFetch(std::string team, std::int64_t revision) {
  const auto [found, is_new] = revisions_to_fetch_.try_emplace(team, revision);
  found->second = std::max(found->second, revision);
  if (is_new) {
    fetch_order_.push_back(std::move(team));
  }
  if (!fetch_.active) {
    ScheduleFetch(Duration::zero());
  }
}

void PlatformClient::ScheduleFetch(Duration delay) {
  Schedule(fetch_, delay, [this] { StartFetch(); });
}

bool PlatformClient::IsFetched(const std::string& team) const {
  return callbacks_.known_revision(team) >=
         revisions_to_fetch_.find(team)->second;
}

void PlatformClient::StartFetch() {
  // Skips documents that a peer has sent in the meantime.
  while (!fetch_order_.empty() && IsFetched(fetch_order_.front())) {
    revisions_to_fetch_.erase(fetch_order_.front());
    fetch_order_.pop_front();
  }
  if (fetch_order_.empty()) {
    CancelTask(fetch_);
    return;
  }
  const std::string team = fetch_order_.front();
  StartCall(
      fetch_, "/v1/documents/" + internal::EncodePathSegment(team), kFetchLimit,
      [this, team](const std::string& body) {
        return OnDocumentResponse(team, body);
      },
      [this](Duration delay) {
        RotateFetches();
        ScheduleFetch(delay);
      });
}

// Moves the first fetch to the end, so that a document that cannot be read does
// not block the others.
void PlatformClient::RotateFetches() {
  std::rotate(fetch_order_.begin(), fetch_order_.begin() + 1,
              fetch_order_.end());
}

PlatformClient::Verdict PlatformClient::OnDocumentResponse(
    const std::string& team,
    const std::string& body) {
  Result<Document> document = internal::ParseDocument(body);
  if (!document || document->team != team) {
    ++counters_.malformed_answers;
    return Verdict::kBad;
  }
  const bool as_announced =
      document->revision >= revisions_to_fetch_.find(team)->second;
  const bool newer = document->revision > callbacks_.known_revision(team);
  if (newer) {
    ++counters_.documents;
    callbacks_.on_document(std::move(*document));
  }
  if (!as_announced) {
    ++counters_.stale_answers;
    return Verdict::kBad;
  }
  revisions_to_fetch_.find(team)->second = 0;  // Done; `StartFetch` removes it.
  return Verdict::kGood;
}

void PlatformClient::Schedule(Task& task,
                              Duration delay,
                              std::function<void()> start) {
  task.active = true;
  task.timer =
      loop_.RunAfter(delay, [this, &task, start = std::move(start)]() mutable {
        const Time now = loop_.Now();
        const Time allowed = budget_.NextAllowed(now);
        if (allowed > now) {
          Schedule(task, allowed - now, std::move(start));
          return;
        }
        task.timer = 0;
        start();
      });
}

void PlatformClient::StartCall(
    Task& task,
    std::string path,
    Duration limit,
    std::function<Verdict(const std::string& body)> on_response,
    std::function<void(Duration delay)> next) {
  const Time now = loop_.Now();
  budget_.Record(now);
  ++counters_.calls;
  task.started = now;
  task.platform = platform_;
  HttpRequest request{"GET", std::move(path), {}, ""};
  task.call = client_.Fetch(
      options_.platforms[platform_], std::move(request), now + limit,
      [this, &task, on_response = std::move(on_response),
       next = std::move(next)](HttpCallEnd end, const HttpResponse& response) {
        task.call = 0;
        Verdict verdict = Verdict::kBad;
        if (end == HttpCallEnd::kComplete && response.status == kOk) {
          verdict = on_response(response.body);
        } else {
          ++counters_.failed_calls;
        }
        // A callback may have stopped this watch, or started it again.
        if (task.active && task.timer == 0 && task.call == 0) {
          next(DelayAfter(task, verdict));
        }
      });
}

Duration PlatformClient::DelayAfter(Task& task, Verdict verdict) {
  task.good = verdict != Verdict::kBad;
  if (verdict == Verdict::kGood) {
    task.failures = 0;
    return Duration::zero();
  }
  // If several calls to one address fail, only the first advances the index;
  // otherwise the next address would be skipped.
  if (verdict == Verdict::kBad && task.platform == platform_) {
    platform_ = (platform_ + 1) % options_.platforms.size();
  }
  const int failures = task.failures++;
  return RetryDelay(failures, options_.random());
}

void PlatformClient::CancelTask(Task& task) {
  loop_.Cancel(task.timer);
  client_.Cancel(task.call);
  task = {};
}

}  // namespace amaranthcove
