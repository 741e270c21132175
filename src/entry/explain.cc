#include "amaranthcove/entry/explain.h"

#include <utility>

namespace amaranthcove {

namespace {

// Bounds the record of one request that is retried often.
constexpr std::size_t kMaxEvents = 64;

}  // namespace

void ExplainLog::Begin(const std::string& request_id,
                       Time now,
                       nlohmann::json facts) {
  if (order_.size() >= capacity_) {
    records_.erase(order_.front());
    order_.pop_front();
  }
  records_[request_id] = {now, std::move(facts)};
  order_.push_back(request_id);
}

void ExplainLog::Add(const std::string& request_id,
                     Time now,
                     std::string_view event,
                     nlohmann::json facts) {
  const auto found = records_.find(request_id);
  if (found == records_.end() || found->second.events.size() >= kMaxEvents) {
    return;
  }
  facts["event"] = event;
  facts["after_ms"] = ToMilliseconds(now - found->second.began);
  found->second.events.push_back(std::move(facts));
}

nlohmann::json ExplainLog::Find(const std::string& request_id) const {
  const auto found = records_.find(request_id);
  if (found == records_.end()) {
    return nullptr;
  }
  nlohmann::json result = found->second.facts;
  result["request_id"] = request_id;
  result["events"] = found->second.events;
  return result;
}

}  // namespace amaranthcove
