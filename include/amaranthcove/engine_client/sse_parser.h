#ifndef AMARANTHCOVE_ENGINE_CLIENT_SSE_PARSER_H_
#define AMARANTHCOVE_ENGINE_CLIENT_SSE_PARSER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace amaranthcove {

// A server-sent event. Several `data` lines are joined by line feeds.
struct SseEvent {
  std::optional<std::int64_t> id;
  std::string data;
};

// Parses a stream of server-sent events. Only the `id` and `data` fields are
// used. Lines must end with a line feed alone.
//
// Thread safety: none.
class SseParser {
 public:
  // Appends received bytes.
  void Append(std::string_view bytes) { buffer_.append(bytes); }

  // Removes and returns the next complete event, or nullopt if there is none.
  std::optional<SseEvent> Next();

  // Returns the number of bytes not yet returned as events.
  std::size_t buffered_bytes() const { return buffer_.size() - consumed_; }

 private:
  std::string buffer_;
  std::size_t consumed_ = 0;
};

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_ENGINE_CLIENT_SSE_PARSER_H_
