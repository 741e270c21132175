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

// Buffers the chunks of one response until they are acknowledged, so that they
// can be sent again on a new connection. The owner keeps the status and content
// type, which are sent with chunk 0.
//
// Thread safety: none.
class ChunkBuffer {
 public:
  // Memory that is counted for each chunk in addition to its data.
  static constexpr std::size_t kChunkOverheadBytes = sizeof(std::string);

  // Creates a buffer of at most `max_bytes` bytes of data and overhead.
  explicit ChunkBuffer(std::size_t max_bytes) : max_bytes_(max_bytes) {}

  // Appends a chunk and returns its sequence number. If the buffer exceeds
  // `max_bytes`, the oldest chunks are dropped and cannot be replayed.
  std::int64_t Append(std::string data);

  // Frees the chunks below `next_sequence`. Has no effect if they were freed
  // before. Returns false, and changes nothing, if `next_sequence` is above
  // `next_sequence()`.
  bool Acknowledge(std::int64_t next_sequence);

  // Returns the chunks from `next_sequence` to the last one, possibly none.
  // Errors: kNotFound if some of them were acknowledged or dropped,
  // kInvalidArgument if `next_sequence` is negative or above `next_sequence()`.
  Result<std::vector<BufferedChunk>> ReplayFrom(
      std::int64_t next_sequence) const;

  // Returns the number of chunks that were appended, which is the count for the
  // end message.
  std::int64_t next_sequence() const;
  std::size_t bytes() const { return bytes_; }

 private:
  void DropOldest();

  std::size_t max_bytes_;
  std::size_t bytes_ = 0;
  std::int64_t first_sequence_ = 0;  // Sequence number of `chunks_.front()`.
  std::deque<std::string> chunks_;
};

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_STREAMS_CHUNK_BUFFER_H_
