#include "amaranthcove/wire/codec.h"

#include <memory>

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

namespace amaranthcove::wire {

namespace {

using apache::thrift::TException;
using apache::thrift::protocol::TCompactProtocolT;
using apache::thrift::transport::TMemoryBuffer;

// Maximum number of elements of a container in a frame. Prevents a short
// malicious frame from making the decoder allocate much memory.
constexpr int kMaxContainerElements = 1 << 17;

// Number of consumed bytes above which they are erased from the buffer.
constexpr std::size_t kMaxConsumedBytes = 64 << 10;

// Maximum buffer size in bytes of an encoder that is reused for the next frame.
constexpr std::uint32_t kMaxReusedBufferBytes = 64 << 10;

// Reused between frames, because its construction allocates several times.
struct Encoder {
  std::shared_ptr<TMemoryBuffer> buffer = std::make_shared<TMemoryBuffer>();
  TCompactProtocolT<TMemoryBuffer> protocol{buffer};
};

Status ReadFrame(std::string_view payload, Frame& frame) {
  // TMemoryBuffer in OBSERVE mode only reads, but its interface is not const.
  auto* bytes = const_cast<std::uint8_t*>(
      reinterpret_cast<const std::uint8_t*>(payload.data()));
  const auto buffer = std::make_shared<TMemoryBuffer>(
      bytes, static_cast<std::uint32_t>(payload.size()),
      TMemoryBuffer::OBSERVE);
  TCompactProtocolT<TMemoryBuffer> protocol(
      buffer, static_cast<int>(kMaxFrameBytes), kMaxContainerElements);
  try {
    const std::uint32_t used = frame.read(&protocol);
    if (used != payload.size() && buffer->available_read() != 0) {
      return MakeError(ErrorCode::kInvalidArgument,
                       "frame has bytes after its end");
    }
  } catch (const TException& error) {
    return MakeError(ErrorCode::kInvalidArgument,
                     std::string("frame does not decode: ") + error.what());
  } catch (const std::exception& error) {
    return MakeError(ErrorCode::kInvalidArgument,
                     std::string("frame does not decode: ") + error.what());
  }
  return {};
}

}  // namespace

Result<std::string> EncodeFrame(const Frame& frame) {
  static thread_local auto encoder = std::make_unique<Encoder>();
  if (encoder->buffer->getBufferSize() > kMaxReusedBufferBytes) {
    encoder = std::make_unique<Encoder>();
  }
  encoder->buffer->resetBuffer();
  frame.write(&encoder->protocol);
  std::uint8_t* data = nullptr;
  std::uint32_t size = 0;
  encoder->buffer->getBuffer(&data, &size);
  if (size > kMaxFrameBytes) {
    return MakeError(ErrorCode::kResourceExhausted,
                     "frame of " + std::to_string(size) + " bytes is above " +
                         std::to_string(kMaxFrameBytes));
  }
  std::string encoded;
  encoded.reserve(kLengthBytes + size);
  for (int shift = 24; shift >= 0; shift -= 8) {
    encoded.push_back(static_cast<char>((size >> shift) & 0xFF));
  }
  encoded.append(reinterpret_cast<const char*>(data), size);
  return encoded;
}

Result<Frame> DecodeFrame(std::string_view payload) {
  // Decodes in place and returns a single local object: generated types have no
  // move operations, so any other form would copy every string of the frame.
  Result<Frame> frame(tl::in_place);
  const Status read = ReadFrame(payload, *frame);
  if (!read) {
    frame = tl::unexpected(read.error());
  }
  return frame;
}

void FrameSplitter::Append(std::string_view bytes) {
  if (consumed_ > kMaxConsumedBytes || consumed_ == buffer_.size()) {
    buffer_.erase(0, consumed_);
    consumed_ = 0;
  }
  buffer_.append(bytes);
}

Result<bool> FrameSplitter::Next(std::string& payload, std::size_t limit) {
  if (buffer_.size() - consumed_ < kLengthBytes) {
    return false;
  }
  std::size_t length = 0;
  for (std::size_t i = 0; i < kLengthBytes; ++i) {
    length = (length << 8) | static_cast<unsigned char>(buffer_[consumed_ + i]);
  }
  if (length > limit) {
    return MakeError(ErrorCode::kResourceExhausted,
                     "frame of " + std::to_string(length) +
                         " bytes announced, " + std::to_string(limit) +
                         " allowed");
  }
  if (buffer_.size() - consumed_ < kLengthBytes + length) {
    return false;
  }
  payload.assign(buffer_, consumed_ + kLengthBytes, length);
  consumed_ += kLengthBytes + length;
  return true;
}

AttemptId ToWire(const amaranthcove::AttemptId& id) {
  AttemptId wire;
  wire.instance = id.instance;
  wire.incarnation = id.incarnation;
  wire.number = id.number;
  return wire;
}

amaranthcove::AttemptId FromWire(const AttemptId& id) {
  return {id.instance, id.incarnation, id.number};
}

}  // namespace amaranthcove::wire
