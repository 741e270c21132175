#include "amaranthcove/streams/chunk_receiver.h"

namespace amaranthcove {

ReceiveResult ChunkReceiver::Accept(std::int64_t sequence) {
  if (state_ == State::kBroken) {
    return ReceiveResult::kBroken;
  }
  // The response is complete, so later chunks cannot break it.
  if (state_ == State::kWhole) {
    return ReceiveResult::kIgnore;
  }
  if (sequence < 0 || sequence > next_sequence_) {
    return Break();
  }
  if (sequence < next_sequence_) {
    return ReceiveResult::kIgnore;
  }
  ++next_sequence_;
  return ReceiveResult::kDeliver;
}

ReceiveResult ChunkReceiver::End(std::int64_t chunks) {
  if (state_ == State::kBroken) {
    return ReceiveResult::kBroken;
  }
  if (state_ == State::kWhole) {
    return ReceiveResult::kIgnore;
  }
  if (chunks != next_sequence_) {
    return Break();
  }
  state_ = State::kWhole;
  return ReceiveResult::kWhole;
}

ReceiveResult ChunkReceiver::Break() {
  state_ = State::kBroken;
  return ReceiveResult::kBroken;
}

}  // namespace amaranthcove
