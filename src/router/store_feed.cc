#include "src/router/store_feed.h"

#include <algorithm>
#include <utility>

namespace amaranthcove {

namespace {

using std::chrono::milliseconds;

constexpr Duration kFirstRetryDelay = milliseconds(100);
constexpr Duration kMaxRetryDelay = milliseconds(800);

// A shorter gap between answers does not count as an outage: the entries of
// live servers do not expire within it.
constexpr Duration kMaxIgnoredGap = milliseconds(1000);

constexpr int kOk = 200;

// A page of a listing has about 1 MB. The changes in one answer to a watch may
// take more.
constexpr std::size_t kMaxAnswerBytes = 8 << 20;

}  // namespace

Duration StoreRetryDelay(int failures_in_a_row, Duration took) {
  Duration distance = kFirstRetryDelay;
  for (int i = 1; i < failures_in_a_row && distance < kMaxRetryDelay; ++i) {
    distance *= 2;
  }
  return std::max(std::min(distance, kMaxRetryDelay) - took, kFirstRetryDelay);
}

StoreFeed::StoreFeed(EventLoop& loop,
                     UpstreamClient& client,
                     EventLog& log,
                     Options options,
                     Callbacks callbacks)
    : loop_(loop),
      client_(client),
      log_(log),
      options_(std::move(options)),
      callbacks_(std::move(callbacks)) {}

StoreFeed::~StoreFeed() {
  loop_.Cancel(timer_);
  loop_.Cancel(limit_timer_);
  client_.Cancel(call_);
}

void StoreFeed::Start() {
  last_contact_ = loop_.Now();
  Call();
}

void StoreFeed::ContinueFrom(std::int64_t revision) {
  if (revision <= known_revision()) {
    return;
  }
  mode_ = Mode::kWatching;
  DropListing();
  revision_ = revision;
  if (call_ != 0) {
    ++failed_calls_;
    LogFailedCall("superseded by a newer revision");
    CancelCall();
    CallAfter(Duration::zero());
  } else if (timer_ == 0) {
    last_contact_ = loop_.Now();
    Call();
  }
}

void StoreFeed::CallAfter(Duration delay) {
  loop_.Cancel(timer_);
  timer_ = loop_.RunAfter(delay, [this] {
    timer_ = 0;
    Call();
  });
}

void StoreFeed::Call() {
  if (mode_ == Mode::kWatching) {
    Fetch(
        platform::WatchRequest(options_.prefix, revision_, options_.watch_wait),
        options_.watch_wait + options_.answer_limit);
    return;
  }
  const std::string after = listing_.empty() ? "" : listing_.back().key;
  Fetch(platform::ListRequest(options_.prefix, after), options_.answer_limit);
}

void StoreFeed::CancelCall() {
  loop_.Cancel(std::exchange(limit_timer_, 0));
  client_.Cancel(std::exchange(call_, 0));
}

void StoreFeed::Fetch(const HttpRequest& request, Duration limit) {
  ++calls_;
  call_started_ = loop_.Now();
  limit_timer_ = loop_.RunAfter(limit, [this] {
    CancelCall();
    OnFailure("no answer in time");
  });
  const std::uint64_t connections = client_.counters().connections_opened;
  call_ = client_.Fetch(options_.store, request, kMaxAnswerBytes,
                        [this](UpstreamEnd end, const HttpResponse& response) {
                          call_ = 0;
                          loop_.Cancel(std::exchange(limit_timer_, 0));
                          OnDone(end, response);
                        });
  on_new_connection_ = client_.counters().connections_opened != connections;
}

void StoreFeed::OnDone(UpstreamEnd end, const HttpResponse& response) {
  switch (end) {
    case UpstreamEnd::kComplete:
      break;
    case UpstreamEnd::kNotSent:
      OnFailure("no connection");
      return;
    case UpstreamEnd::kBroken:
      OnFailure("the connection broke");
      return;
    case UpstreamEnd::kTooLong:
      OnFailure("the answer is too long");
      // Pages of a listing are shorter than a long list of changes.
      mode_ = Mode::kListing;
      return;
  }
  if (mode_ == Mode::kWatching && platform::IsHistoryLost(response.status)) {
    log_.Write(
        LogLevel::kWarn, "store_history_lost",
        {{"prefix", options_.prefix}, {"revision", std::to_string(revision_)}});
    mode_ = Mode::kListing;
    DropListing();
    Call();
    return;
  }
  if (response.status != kOk) {
    OnFailure("status " + std::to_string(response.status));
    return;
  }
  auto answer = mode_ == Mode::kListing
                    ? platform::DecodeListResponse(response.body)
                    : platform::DecodeWatchResponse(response.body);
  if (!answer) {
    OnFailure(answer.error().message);
    return;
  }
  OnSuccess();
  if (mode_ == Mode::kListing) {
    OnListAnswer(std::move(*answer));
  } else {
    OnWatchAnswer(std::move(*answer));
  }
}

void StoreFeed::DropListing() {
  listing_.clear();
  has_first_page_ = false;
}

void StoreFeed::OnListAnswer(platform::StoreResponse answer) {
  if (!has_first_page_) {
    // The pages are not a snapshot, so the watch starts from the revision of
    // the first one.
    has_first_page_ = true;
    revision_ = answer.revision;
  }
  std::move(answer.items.begin(), answer.items.end(),
            std::back_inserter(listing_));
  if (answer.has_more && !answer.items.empty()) {
    Call();
    return;
  }
  mode_ = Mode::kWatching;
  callbacks_.on_listing(std::exchange(listing_, {}));
  CallAfter(Duration::zero());
}

void StoreFeed::OnWatchAnswer(platform::StoreResponse answer) {
  revision_ = std::max(revision_, answer.revision);
  if (!answer.items.empty()) {
    callbacks_.on_changes(std::move(answer.items));
  }
  CallAfter(options_.pause);
}

void StoreFeed::OnFailure(const std::string& reason) {
  ++failures_;
  ++failed_calls_;
  LogFailedCall(reason);
  if (failures_ == 1) {
    log_.Write(LogLevel::kWarn, "store_lost",
               {{"prefix", options_.prefix},
                {"reason", reason},
                {"age_ms", std::to_string(ToMilliseconds(Age(loop_.Now())))}});
  }
  // The pages of an interrupted listing may be outdated by the next call.
  DropListing();
  CallAfter(StoreRetryDelay(failures_, loop_.Now() - call_started_));
}

// The fields `connection`, `after_ms` and `age_ms` distinguish a store that
// does not answer from a dead connection, and show how long either was
// undetected.
void StoreFeed::LogFailedCall(const std::string& reason) {
  const Time now = loop_.Now();
  log_.Write(LogLevel::kWarn, "store_call_failed",
             {{"prefix", options_.prefix},
              {"call", mode_ == Mode::kListing ? "list" : "watch"},
              {"reason", reason},
              {"after_ms", std::to_string(ToMilliseconds(now - call_started_))},
              {"connection", on_new_connection_ ? "new" : "reused"},
              {"failures", std::to_string(failures_)},
              {"age_ms", std::to_string(ToMilliseconds(Age(now)))}});
}

void StoreFeed::OnSuccess() {
  const Time now = loop_.Now();
  const Duration gap = Age(now);
  last_contact_ = now;
  callbacks_.on_confirmed(now);
  if (failures_ == 0) {
    return;
  }
  failures_ = 0;
  log_.Write(LogLevel::kWarn, "store_regained",
             {{"prefix", options_.prefix},
              {"gap_ms", std::to_string(ToMilliseconds(gap))}});
  if (gap >= kMaxIgnoredGap) {
    callbacks_.on_contact_regained();
  }
}

}  // namespace amaranthcove
