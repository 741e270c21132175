#ifndef AMARANTHCOVE_STREAMS_CHUNK_BUFFER_H_
#define AMARANTHCOVE_STREAMS_CHUNK_BUFFER_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <vector>

#include "amaranthcove/base/error.h"

namespace amaranthcove {

// A chunk of a `ChunkBuffer`. `data` is valid until the buffer next changes.
struct BufferedChunk {
  std::int64_t sequence = 0;
  std::string_view data;
};

// Keeps the chunks of one response until they are acknowledged, so that they
// can be sent again on a new connection. The status and content type, which
// accompany chunk 0, are kept by the owner.
// Not thread-safe.
class ChunkBuffer {
 public:
  // Memory counted for each chunk in addition to its data.
  static constexpr std::size_t kChunkOverheadBytes = sizeof(std::string);

  // Keeps at most `max_bytes` bytes of data and overhead.
  explicit ChunkBuffer(std::size_t max_bytes) : max_bytes_(max_bytes) {}

  // Appends a chunk and returns its sequence number. Beyond `max_bytes` the
  // oldest chunks are dropped, which ends the possibility to replay them.
  std::int64_t Append(std::string data);

  // Frees the chunks below `next_sequence`. Older acknowledgements change
  // nothing. Returns false, and changes nothing, if such chunks were never
  // appended.
  bool Acknowledge(std::int64_t next_sequence);

  // The chunks from `next_sequence` to the last one; empty if there are none.
  // Errors: kNotFound if some of them were acknowledged or dropped,
  // kInvalidArgument if `next_sequence` is beyond the next chunk or negative.
  Result<std::vector<BufferedChunk>> ReplayFrom(
      std::int64_t next_sequence) const;

  // The number of chunks that were appended: the count for the end message.
  std::int64_t next_sequence() const;
  std::size_t bytes() const { return bytes_; }

 private:
  void DropOldest();

  std::size_t max_bytes_;
  std::size_t bytes_ = 0;
  std::int64_t first_sequence_ = 0;  // Of the front of `chunks_`.
  std::deque<std::string> chunks_;
};

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_STREAMS_CHUNK_BUFFER_H_
