#include "testing/standins/platform.h"

#include <algorithm>
#include <utility>

namespace amaranthcove::standins {

namespace {

constexpr std::string_view kDocumentsPath = "/v1/documents";
constexpr std::string_view kDocumentPrefix = "/v1/documents/";
constexpr std::string_view kInstancesPath = "/v1/instances";

const Json& ArrayAt(const Json& object, const char* key) {
  static const Json kEmpty = Json::array();
  const auto found = object.find(key);
  return found != object.end() && found->is_array() ? *found : kEmpty;
}

}  // namespace

Platform::Platform(EventLoop& loop, const PlatformSettings& settings)
    : loop_(loop),
      calls_per_s_(settings.calls_per_s),
      instance_lag_(settings.instance_lag),
      window_begin_(SteadyNow()) {}

void Platform::Handle(HttpRequest request,
                      std::unique_ptr<HttpResponder> responder) {
  const Target target = ParseTarget(request.path);
  if (target.path == "/_control") {
    Control(request, *responder);
    return;
  }
  if (target.path == "/_stats") {
    SendJson(*responder, 200, Stats());
    return;
  }
  if (mode_ == Mode::kDown) {
    responder->Abort();
    return;
  }
  if (!AdmitCall()) {
    SendError(*responder, 429, "too_many_calls", "the call budget is used up",
              {{"retry-after", "1"}});
    return;
  }
  if (target.path == kDocumentsPath || target.path == kInstancesPath) {
    List(target, target.path == kDocumentsPath, std::move(responder));
  } else if (target.path.starts_with(kDocumentPrefix)) {
    GetDocument(target.path.substr(kDocumentPrefix.size()),
                std::move(responder));
  } else {
    SendError(*responder, 404, "not_found", "no such path");
  }
}

void Platform::Control(const HttpRequest& request, HttpResponder& responder) {
  const auto control = ParseObject(request.body);
  if (!control.has_value()) {
    SendError(responder, 400, "bad_request", "the body is no JSON object");
    return;
  }
  instance_lag_ = std::chrono::milliseconds(
      NumberAt(*control, "instance_lag_ms", ToMilliseconds(instance_lag_)));
  slow_delay_ = std::chrono::milliseconds(
      NumberAt(*control, "slow_ms", ToMilliseconds(slow_delay_)));
  for (const Json& document : ArrayAt(*control, "put_documents")) {
    PutDocument(document, false);
  }
  for (const Json& team : ArrayAt(*control, "remove_documents")) {
    PutDocument({{"team", team}}, true);
  }
  for (const Json& instance : ArrayAt(*control, "put_instances")) {
    loop_.RunAfter(instance_lag_,
                   [this, instance, alive = std::weak_ptr(alive_)] {
                     if (!alive.expired()) {
                       PutInstance(instance);
                     }
                   });
  }
  SetMode(StringAt(*control, "mode", ""));
  AnswerWatches();
  SendJson(responder, 200, Stats());
}

void Platform::SetMode(const std::string& name) {
  if (name == "up") {
    mode_ = Mode::kUp;
  } else if (name == "slow") {
    mode_ = Mode::kSlow;
  } else if (name == "stale") {
    mode_ = Mode::kStale;
    snapshot_ = state_;
  } else if (name == "down") {
    mode_ = Mode::kDown;
    while (!watches_.empty()) {
      watches_.front().responder->Abort();
      EndWatch(watches_.begin());
    }
  }
}

void Platform::PutDocument(const Json& document, bool removed) {
  const std::string team = StringAt(document, "team", "");
  Json value = {{"team", team}, {"removed", removed}};
  value["text"] = StringAt(document, "text", "");
  Put(state_.documents, team, std::move(value),
      NumberAt(document, "revision", state_.documents.revision + 1));
}

void Platform::PutInstance(const Json& instance) {
  Put(state_.instances, StringAt(instance, "instance", ""), instance,
      state_.instances.revision + 1);
  AnswerWatches();
}

void Platform::Put(Table& table,
                   const std::string& key,
                   Json value,
                   std::int64_t revision) {
  table.entries[key] = {revision, std::move(value)};
  table.revision = std::max(table.revision, revision);
}

bool Platform::AdmitCall() {
  const Time now = SteadyNow();
  if (now >= window_begin_ + std::chrono::seconds(1)) {
    window_begin_ = now;
    calls_in_window_ = 0;
  }
  const std::int64_t used =
      calls_in_window_ + static_cast<std::int64_t>(watches_.size());
  if (used >= calls_per_s_) {
    ++rejections_;
    return false;
  }
  ++calls_;
  ++calls_in_window_;
  peak_calls_per_s_ = std::max(peak_calls_per_s_, used + 1);
  return true;
}

void Platform::List(const Target& target,
                    bool is_documents,
                    const std::shared_ptr<HttpResponder>& responder) {
  const std::int64_t after = QueryNumber(target, "after", 0);
  const std::int64_t wait_ms = QueryNumber(target, "wait_ms", 0);
  if (wait_ms <= 0 || HasChanges(is_documents, after)) {
    Answer(responder, 200, Changes(is_documents, after));
    return;
  }
  const auto watch =
      watches_.insert(watches_.end(), {is_documents, after, 0, responder});
  watch->timer =
      loop_.RunAfter(std::chrono::milliseconds(wait_ms),
                     [this, watch, alive = std::weak_ptr(alive_)] {
                       if (alive.expired()) {
                         return;
                       }
                       Answer(watch->responder, 200,
                              Changes(watch->is_documents, watch->after));
                       EndWatch(watch);
                     });
  responder->OnCallerGone([this, watch, alive = std::weak_ptr(alive_)] {
    if (!alive.expired()) {
      EndWatch(watch);
    }
  });
}

void Platform::GetDocument(const std::string& team,
                           const std::shared_ptr<HttpResponder>& responder) {
  const auto& documents = visible().documents.entries;
  const auto found = documents.find(team);
  if (found == documents.end()) {
    Answer(responder, 404, {{"error", {{"code", "not_found"}}}});
    return;
  }
  Json body = found->second.value;
  body["revision"] = found->second.revision;
  Answer(responder, 200, body);
}

void Platform::Answer(const std::shared_ptr<HttpResponder>& responder,
                      int status,
                      const Json& body) {
  if (mode_ != Mode::kSlow) {
    SendJson(*responder, status, body);
    return;
  }
  loop_.RunAfter(slow_delay_, [responder, status, body] {
    SendJson(*responder, status, body);
  });
}

void Platform::AnswerWatches() {
  for (auto watch = watches_.begin(); watch != watches_.end();) {
    const auto current = watch++;
    if (HasChanges(current->is_documents, current->after)) {
      Answer(current->responder, 200,
             Changes(current->is_documents, current->after));
      EndWatch(current);
    }
  }
}

void Platform::EndWatch(Watches::iterator watch) {
  loop_.Cancel(watch->timer);
  // In slow mode the responder outlives the watch, so its callback must not
  // refer to the watch when the caller disconnects.
  watch->responder->OnCallerGone(nullptr);
  watches_.erase(watch);
}

const Platform::State& Platform::visible() const {
  return mode_ == Mode::kStale ? snapshot_ : state_;
}

bool Platform::HasChanges(bool is_documents, std::int64_t after) const {
  const State& state = visible();
  const Table& table = is_documents ? state.documents : state.instances;
  return table.revision > after;
}

Json Platform::Changes(bool is_documents, std::int64_t after) const {
  const State& state = visible();
  const Table& table = is_documents ? state.documents : state.instances;
  Json changes = Json::array();
  for (const auto& [key, entry] : table.entries) {
    if (entry.revision <= after) {
      continue;
    }
    if (is_documents) {
      changes.push_back({{"team", key},
                         {"revision", entry.revision},
                         {"removed", entry.value["removed"]}});
    } else {
      changes.push_back(entry.value);
    }
  }
  return {{"revision", table.revision},
          {is_documents ? "documents" : "instances", std::move(changes)}};
}

Json Platform::Stats() const {
  return {{"calls", calls_},
          {"rejections", rejections_},
          {"pending_watches", watches_.size()},
          {"peak_calls_per_s", peak_calls_per_s_},
          {"documents_revision", state_.documents.revision},
          {"instances_revision", state_.instances.revision}};
}

}  // namespace amaranthcove::standins
