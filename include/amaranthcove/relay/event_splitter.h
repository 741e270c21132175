#ifndef AMARANTHCOVE_RELAY_EVENT_SPLITTER_H_
#define AMARANTHCOVE_RELAY_EVENT_SPLITTER_H_

#include <string>
#include <string_view>

namespace amaranthcove {

// Cuts a stream of server-sent events at the ends of events, so that an event
// that breaks off is never passed on, and remembers the last event's id.
//
// Thread safety: none.
class EventSplitter {
 public:
  // Adds bytes and returns all whole events that are now complete, unchanged.
  std::string Append(std::string_view bytes);

  // The bytes after the last whole event.
  const std::string& rest() const { return buffer_; }

  // Forgets the bytes of an event that broke off.
  void DropRest() { buffer_.clear(); }

  // The id of the last whole event; empty before the first one with an id.
  const std::string& last_id() const { return last_id_; }

 private:
  void NoteIds(std::string_view events);

  std::string buffer_;
  std::string last_id_;
};

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_RELAY_EVENT_SPLITTER_H_
