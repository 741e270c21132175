#ifndef AMARANTHCOVE_ENGINE_CLIENT_SSE_PARSER_H_
#define AMARANTHCOVE_ENGINE_CLIENT_SSE_PARSER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace amaranthcove {

// One server-sent event: its `id`, if it has one, and its `data`.
struct SseEvent {
  std::optional<std::int64_t> id;
  std::string data;
};

// Splits a stream of server-sent events. Only `id` and `data` fields are used.
//
// Thread safety: none.
class SseParser {
 public:
  // Adds received bytes.
  void Append(std::string_view bytes) { buffer_.append(bytes); }

  // Takes the next whole event out, or nothing if none is whole yet.
  std::optional<SseEvent> Next();

  // Bytes that wait for the end of their event.
  std::size_t buffered_bytes() const { return buffer_.size() - consumed_; }

 private:
  std::string buffer_;
  std::size_t consumed_ = 0;
};

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_ENGINE_CLIENT_SSE_PARSER_H_
