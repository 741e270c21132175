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

// Records the events and decisions of the newest requests, for `amaranthctl
// explain`.
//
// Thread safety: not thread-safe; all calls must be made on the loop's thread.
class ExplainLog {
 public:
  // Precondition: `capacity` is positive.
  explicit ExplainLog(std::size_t capacity) : capacity_(capacity) {}

  // Starts the record of a request with `fields`. Removes the oldest record
  // when the capacity is reached.
  void Begin(const std::string& request_id, Time now, nlohmann::json fields);

  // Adds an event with `fields` to the record of a request. Does nothing if
  // there is no such record or it is full.
  void Add(const std::string& request_id,
           Time now,
           std::string_view event,
           nlohmann::json fields);

  // Returns the record of a request, or null JSON if there is none.
  nlohmann::json Find(const std::string& request_id) const;

  std::size_t size() const { return records_.size(); }

 private:
  struct Record {
    Time started_at;
    nlohmann::json fields;
    nlohmann::json events = nlohmann::json::array();
  };

  std::size_t capacity_;
  std::unordered_map<std::string, Record> records_;
  std::deque<std::string> insertion_order_;
};

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_ENTRY_EXPLAIN_H_
