#include "amaranthcove/wire/codec.h"
#include "amaranthcove/wire/instance_codec.h"

#include <random>

#include <CppUTest/TestHarness.h>

namespace amaranthcove::wire {

namespace {

Frame ExampleChunk() {
  Chunk chunk;
  chunk.attempt = ToWire({"entry-1", 7, 42});
  chunk.sequence = 3;
  chunk.data = std::string("a\0b", 3);
  Frame frame;
  frame.__set_chunk(chunk);
  return frame;
}

std::string Payload(const Frame& frame) {
  return EncodeFrame(frame)->substr(kLengthBytes);
}

}  // namespace

TEST_GROUP(Codec){};

// Guards against fields being lost or changed by encoding and decoding.
TEST(Codec, RoundTrip) {
  const Result<Frame> decoded = DecodeFrame(Payload(ExampleChunk()));
  CHECK(decoded.has_value());
  CHECK(*decoded == ExampleChunk());
}

// Guards against a truncated frame being decoded as a complete one.
TEST(Codec, RefusesEveryTruncation) {
  const std::string payload = Payload(ExampleChunk());
  for (std::size_t size = 0; size < payload.size(); ++size) {
    CHECK_FALSE(DecodeFrame(std::string_view(payload).substr(0, size)));
  }
}

// Guards against malformed frames that crash the decoder or make it allocate
// unbounded memory. The sanitizers report both.
TEST(Codec, SurvivesRandomCorruption) {
  std::mt19937 random(1);
  const std::string original = Payload(ExampleChunk());
  for (int round = 0; round < 20000; ++round) {
    std::string payload = original;
    for (int change = 0; change < 3; ++change) {
      payload[random() % payload.size()] = static_cast<char>(random());
    }
    const Result<Frame> decoded = DecodeFrame(payload);
    CHECK(decoded.has_value() || !decoded.error().message.empty());
  }
}

// Guards against frames that are lost or merged if a read ends within a frame.
TEST(Codec, SplitsAtAnyReadBoundary) {
  const std::string one = *EncodeFrame(ExampleChunk());
  const std::string stream = one + one;
  for (std::size_t boundary = 0; boundary <= stream.size(); ++boundary) {
    FrameSplitter splitter;
    std::string payload;
    int frames = 0;
    for (const std::string& part :
         {stream.substr(0, boundary), stream.substr(boundary)}) {
      splitter.Append(part);
      while (*splitter.Next(payload)) {
        ++frames;
        CHECK(payload == one.substr(kLengthBytes));
      }
    }
    CHECK_EQUAL(2, frames);
  }
}

// Guards against a length prefix that makes the receiver buffer too much data.
TEST(Codec, RefusesOversizedLength) {
  FrameSplitter splitter;
  splitter.Append(std::string("\x7f\xff\xff\xff", kLengthBytes));
  std::string payload;
  CHECK_FALSE(splitter.Next(payload).has_value());
}

// Guards against records being changed by encoding and decoding, and against
// one record with a state of a newer release making the others unusable.
TEST(Codec, InstanceChangesRoundTrip) {
  amaranthcove::InstanceChanges changes{3, 5, true, {}};
  changes.records.push_back({"desk-1",
                             InstanceRole::kSidecar,
                             {"127.0.0.1", 7},
                             "sofia",
                             "sofia-1",
                             InstanceState::kLeaving,
                             {OfferKind::kPlain, "", "team", "booking"}});
  changes.records.push_back({"entry-1",
                             InstanceRole::kEntry,
                             {"127.0.0.1", 8},
                             "sofia",
                             "sofia-1",
                             InstanceState::kGone,
                             {}});
  InstanceChanges sent = ToWire(changes);
  sent.changes.push_back(sent.changes.front());
  sent.changes.back().state = "asleep";
  const amaranthcove::InstanceChanges received = FromWire(sent);
  CHECK_EQUAL(3, received.after);
  CHECK_EQUAL(5, received.revision);
  CHECK(received.complete);
  CHECK(received.records == changes.records);
}

}  // namespace amaranthcove::wire
