#ifndef AMARANTHCOVE_WIRE_CODEC_H_
#define AMARANTHCOVE_WIRE_CODEC_H_

#include <cstddef>
#include <string>
#include <string_view>

#include <wire_types.h>
#include "amaranthcove/base/error.h"
#include "amaranthcove/base/ids.h"

namespace amaranthcove::wire {

// Version that `Hello` carries. Raised only when a release can no longer talk
// to the one before.
inline constexpr int kProtocolVersion = 1;

// Largest encoded frame, without its length prefix. Bytes.
inline constexpr std::size_t kMaxFrameBytes = 4 << 20;

// Bytes of the big-endian length before each frame.
inline constexpr std::size_t kLengthBytes = 4;

// Encodes `frame` with its length prefix, ready to be written.
// Errors: kResourceExhausted if it is larger than `kMaxFrameBytes`.
// Thread-safe.
Result<std::string> EncodeFrame(const Frame& frame);

// Decodes one frame from `payload` (without length prefix). A kind that this
// release does not know gives a frame with no member set.
// Errors: kInvalidArgument if `payload` is not one whole frame. Thread-safe.
Result<Frame> DecodeFrame(std::string_view payload);

// Splits a byte stream into frame payloads.
//
// Thread safety: none; one splitter belongs to one connection.
class FrameSplitter {
 public:
  // Adds received bytes.
  void Append(std::string_view bytes);

  // Takes the next payload out into `payload`; false if none is whole yet.
  // Errors: kResourceExhausted if a length above `limit` is announced; the
  // stream cannot be used any further then.
  Result<bool> Next(std::string& payload, std::size_t limit = kMaxFrameBytes);

 private:
  std::string buffer_;
  std::size_t consumed_ = 0;
};

// Conversions between the wire's and the program's attempt ids. Thread-safe.
AttemptId ToWire(const amaranthcove::AttemptId& id);
amaranthcove::AttemptId FromWire(const AttemptId& id);

}  // namespace amaranthcove::wire

#endif  // AMARANTHCOVE_WIRE_CODEC_H_
