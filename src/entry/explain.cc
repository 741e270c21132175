#include "amaranthcove/entry/explain.h"

#include <utility>

namespace amaranthcove {

namespace {

// Limits the record of a request that is retried often.
constexpr std::size_t kMaxEvents = 64;

}  // namespace

void ExplainLog::Begin(const std::string& request_id,
                       Time now,
                       nlohmann::json fields) {
  if (insertion_order_.size() >= capacity_) {
    records_.erase(insertion_order_.front());
    insertion_order_.pop_front();
  }
  records_[request_id] = {now, std::move(fields)};
  insertion_order_.push_back(request_id);
}

void ExplainLog::Add(const std::string& request_id,
                     Time now,
                     std::string_view event,
                     nlohmann::json fields) {
  const auto found = records_.find(request_id);
  if (found == records_.end() || found->second.events.size() >= kMaxEvents) {
    return;
  }
  fields["event"] = event;
  fields["after_ms"] = ToMilliseconds(now - found->second.started_at);
  found->second.events.push_back(std::move(fields));
}

nlohmann::json ExplainLog::Find(const std::string& request_id) const {
  const auto found = records_.find(request_id);
  if (found == records_.end()) {
    return nullptr;
  }
  nlohmann::json result = found->second.fields;
  result["request_id"] = request_id;
  result["events"] = found->second.events;
  return result;
}

}  // namespace amaranthcove
