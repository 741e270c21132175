#ifndef AMARANTHCOVE_RELAY_EVENT_SPLITTER_H_
#define AMARANTHCOVE_RELAY_EVENT_SPLITTER_H_

#include <string>
#include <string_view>

namespace amaranthcove {

// Splits a stream of server-sent events at the ends of events, so that no
// partial event is passed on, and tracks the id of the last event.
//
// Thread safety: none.
class EventSplitter {
 public:
  // Appends bytes to the stream. Returns the events that are complete now,
  // byte for byte.
  std::string Append(std::string_view bytes);

  // Returns the bytes after the last complete event.
  const std::string& partial_event() const { return buffer_; }

  // Discards the bytes of an incomplete event.
  void DropPartialEvent() { buffer_.clear(); }

  // Returns the last id among the complete events; empty if none had an id.
  const std::string& last_id() const { return last_id_; }

 private:
  void UpdateLastId(std::string_view events);

  std::string buffer_;
  std::string last_id_;
};

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_RELAY_EVENT_SPLITTER_H_
