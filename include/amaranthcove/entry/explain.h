#ifndef AMARANTHCOVE_ENTRY_EXPLAIN_H_
#define AMARANTHCOVE_ENTRY_EXPLAIN_H_

#include <cstddef>
#include <deque>
#include <string>
#include <string_view>
#include <unordered_map>

#include <nlohmann/json.hpp>

#include "amaranthcove/base/time.h"

namespace amaranthcove {

// What happened to recent requests and why, for `amaranthctl explain`. Holds
// the newest requests only.
//
// Thread safety: none; belongs to the loop's thread.
class ExplainLog {
 public:
  explicit ExplainLog(std::size_t capacity) : capacity_(capacity) {}

  // Begins the record of a request; forgets the oldest one above the capacity.
  void Begin(const std::string& request_id, Time now, nlohmann::json facts);

  // Adds an event. Forgotten requests are ignored.
  void Add(const std::string& request_id,
           Time now,
           std::string_view event,
           nlohmann::json facts);

  // The record of a request, or null JSON.
  nlohmann::json Find(const std::string& request_id) const;

  std::size_t size() const { return records_.size(); }

 private:
  struct Record {
    Time began;
    nlohmann::json facts;
    nlohmann::json events = nlohmann::json::array();
  };

  std::size_t capacity_;
  std::unordered_map<std::string, Record> records_;
  std::deque<std::string> order_;
};

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_ENTRY_EXPLAIN_H_
