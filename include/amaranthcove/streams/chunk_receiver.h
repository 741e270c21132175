#ifndef AMARANTHCOVE_STREAMS_CHUNK_RECEIVER_H_
#define AMARANTHCOVE_STREAMS_CHUNK_RECEIVER_H_

#include <cstdint>

namespace amaranthcove {

enum class ReceiveResult {
  kDeliver,  // The next chunk: relay it.
  kIgnore,   // A repetition: discard it.
  kWhole,    // The end: every chunk was delivered.
  kBroken    // The response cannot be completed any more.
};

// Orders the chunks of one response. What it lets through is always a prefix
// of what was sent, and all of it once it returned kWhole. A lost connection is
// no break: resume from `next_sequence()` on a new one.
// Not thread-safe.
class ChunkReceiver {
 public:
  // Judges a chunk. A number above the next one, or below 0, breaks the stream.
  ReceiveResult Accept(std::int64_t sequence);

  // Judges the end of a response of `chunks` chunks. Another number than was
  // delivered breaks the stream.
  ReceiveResult End(std::int64_t chunks);

  // The number of the next chunk to deliver, which is also the number of chunks
  // that were delivered.
  std::int64_t next_sequence() const { return next_sequence_; }
  bool whole() const { return state_ == State::kWhole; }
  bool broken() const { return state_ == State::kBroken; }

 private:
  enum class State { kOpen, kWhole, kBroken };

  ReceiveResult Break();

  State state_ = State::kOpen;
  std::int64_t next_sequence_ = 0;
};

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_STREAMS_CHUNK_RECEIVER_H_
