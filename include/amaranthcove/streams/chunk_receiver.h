#ifndef AMARANTHCOVE_STREAMS_CHUNK_RECEIVER_H_
#define AMARANTHCOVE_STREAMS_CHUNK_RECEIVER_H_

#include <cstdint>

namespace amaranthcove {

enum class ReceiveResult {
  kDeliver,  // The next chunk; relay it.
  kIgnore,   // A duplicate; discard it.
  kWhole,    // The end; every chunk was delivered.
  kBroken    // The response cannot be completed any more.
};

// Decides which chunks of one response to deliver. The delivered chunks are
// always a prefix of the response, and the complete response after kWhole was
// returned. After the loss of a connection, resume from `next_sequence()` on a
// new one.
//
// Thread safety: none.
class ChunkReceiver {
 public:
  // Handles a chunk. Returns kBroken, also for all later calls, if `sequence`
  // is negative or above `next_sequence()`. After kWhole, every chunk is
  // ignored.
  ReceiveResult Accept(std::int64_t sequence);

  // Handles the end of a response of `chunks` chunks. Returns kBroken, also for
  // all later calls, if another number of chunks was delivered. After kWhole,
  // every further end is ignored.
  ReceiveResult End(std::int64_t chunks);

  // Returns the sequence number of the next chunk to deliver, which is also the
  // number of chunks that were delivered.
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
