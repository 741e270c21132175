#ifndef AMARANTHCOVE_WIRE_CODEC_H_
#define AMARANTHCOVE_WIRE_CODEC_H_

#include <cstddef>
#include <string>
#include <string_view>

#include <wire_types.h>
#include "amaranthcove/base/error.h"
#include "amaranthcove/base/ids.h"

namespace amaranthcove::wire {

// Protocol version in `Hello`. Raised only by a release that cannot communicate
// with the previous one.
inline constexpr int kProtocolVersion = 1;

// Maximum size of an encoded frame in bytes, without its length prefix.
inline constexpr std::size_t kMaxFrameBytes = 4 << 20;

// Size in bytes of the big-endian length prefix of a frame.
inline constexpr std::size_t kLengthBytes = 4;

// Encodes `frame` with its length prefix.
// Errors: kResourceExhausted if it is larger than `kMaxFrameBytes`.
// Thread-safe.
Result<std::string> EncodeFrame(const Frame& frame);

// Decodes one frame from `payload`, which excludes the length prefix. A frame
// of a kind that this release does not know is decoded to a frame with no
// member set. Errors: kInvalidArgument if `payload` is not exactly one frame.
// Thread-safe.
Result<Frame> DecodeFrame(std::string_view payload);

// Splits a byte stream into frame payloads.
//
// Thread safety: none; one splitter belongs to one connection.
class FrameSplitter {
 public:
  // Appends received bytes.
  void Append(std::string_view bytes);

  // Removes the next payload and copies it to `payload`. Returns false if no
  // complete payload has been received. Errors: kResourceExhausted if a length
  // prefix exceeds `limit` bytes; the stream must not be used afterwards.
  Result<bool> Next(std::string& payload, std::size_t limit = kMaxFrameBytes);

 private:
  std::string buffer_;
  std::size_t consumed_ = 0;
};

// Convert attempt ids between their wire and internal types. Thread-safe.
AttemptId ToWire(const amaranthcove::AttemptId& id);
amaranthcove::AttemptId FromWire(const AttemptId& id);

}  // namespace amaranthcove::wire

#endif  // AMARANTHCOVE_WIRE_CODEC_H_
