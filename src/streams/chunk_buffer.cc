#include "amaranthcove/streams/chunk_buffer.h"

#include <utility>

namespace amaranthcove {

std::int64_t ChunkBuffer::Append(std::string data) {
  const std::int64_t sequence = next_sequence();
  bytes_ += data.size() + kChunkOverheadBytes;
  chunks_.push_back(std::move(data));
  while (bytes_ > max_bytes_) {
    DropOldest();
  }
  return sequence;
}

bool ChunkBuffer::Acknowledge(std::int64_t next_sequence) {
  if (next_sequence > this->next_sequence()) {
    return false;
  }
  while (first_sequence_ < next_sequence) {
    DropOldest();
  }
  return true;
}

Result<std::vector<BufferedChunk>> ChunkBuffer::ReplayFrom(
    std::int64_t next_sequence) const {
  if (next_sequence < 0 || next_sequence > this->next_sequence()) {
    return MakeError(ErrorCode::kInvalidArgument,
                     "chunk " + std::to_string(next_sequence) + " of " +
                         std::to_string(this->next_sequence()) +
                         " does not exist");
  }
  if (next_sequence < first_sequence_) {
    return MakeError(ErrorCode::kNotFound,
                     "chunk " + std::to_string(next_sequence) +
                         " is no longer kept; the first kept one is " +
                         std::to_string(first_sequence_));
  }
  std::vector<BufferedChunk> replayed;
  for (std::int64_t sequence = next_sequence; sequence < this->next_sequence();
       ++sequence) {
    const auto index = static_cast<std::size_t>(sequence - first_sequence_);
    replayed.push_back({sequence, chunks_[index]});
  }
  return replayed;
}

std::int64_t ChunkBuffer::next_sequence() const {
  return first_sequence_ + static_cast<std::int64_t>(chunks_.size());
}

void ChunkBuffer::DropOldest() {
  bytes_ -= chunks_.front().size() + kChunkOverheadBytes;
  chunks_.pop_front();
  ++first_sequence_;
}

}  // namespace amaranthcove
