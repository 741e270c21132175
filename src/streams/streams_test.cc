#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <rapidcheck.h>

#include "amaranthcove/streams/chunk_buffer.h"
#include "amaranthcove/streams/chunk_receiver.h"

#include <CppUTest/TestHarness.h>

namespace amaranthcove {

namespace {

// A sender and a receiver connected by a network that may delay, duplicate,
// reorder and lose the messages in `network`. The end message has no text.
struct Transfer {
  struct Message {
    std::int64_t sequence = 0;
    std::optional<std::string> text;
  };
  ChunkBuffer buffer{4 * (ChunkBuffer::kChunkOverheadBytes + 2)};
  ChunkReceiver receiver;
  std::string sent;
  std::string received;
  std::vector<Message> network;

  void Send() {
    const std::string text = std::to_string(buffer.next_sequence());
    sent += text;
    network.push_back({buffer.Append(text), text});
  }

  void Deliver(const Message& message) {
    const ReceiveResult result = message.text
                                     ? receiver.Accept(message.sequence)
                                     : receiver.End(message.sequence);
    if (result == ReceiveResult::kDeliver) {
      received += *message.text;
    }
    if (result == ReceiveResult::kWhole) {
      RC_ASSERT(received == sent);
    }
  }

  // Simulates a new connection: the messages in flight are lost, and the chunks
  // that were not received are sent again.
  void Resume() {
    network.clear();
    const auto replayed = buffer.ReplayFrom(receiver.next_sequence());
    // The buffer has room for exactly 4 chunks.
    const std::int64_t missing =
        buffer.next_sequence() - receiver.next_sequence();
    RC_ASSERT(replayed.has_value() == (missing <= 4));
    if (!replayed) {
      return;
    }
    for (const BufferedChunk& chunk : *replayed) {
      network.push_back({chunk.sequence, std::string(chunk.data)});
    }
  }
};

}  // namespace

TEST_GROUP(Streams){};

// Guards against delivering text with missing, repeated or reordered parts, and
// against reporting a truncated response as complete.
TEST(Streams, DeliversAPrefixAndAllOfItWhenWhole) {
  CHECK(rc::check([] {
    using Step = std::pair<int, std::size_t>;
    const auto steps = *rc::gen::resize(
        100,
        rc::gen::container<std::vector<Step>>(rc::gen::pair(
            rc::gen::inRange(0, 24), rc::gen::inRange<std::size_t>(0, 32))));
    Transfer transfer;
    for (const auto& [action, index] : steps) {
      auto& network = transfer.network;
      if (action < 8) {
        transfer.Send();
      } else if (action < 10) {
        transfer.Resume();
      } else if (action < 11) {
        RC_ASSERT(transfer.buffer.Acknowledge(
            static_cast<std::int64_t>(index) %
            (transfer.receiver.next_sequence() + 1)));
      } else if (!network.empty()) {
        // Mostly delivers the oldest message. Action 11 picks any message, 12
        // leaves the message in the network, and 13 may lose it.
        const std::size_t place = action == 11 ? index % network.size() : 0;
        const auto message = network[place];
        if (action != 12) {
          network.erase(network.begin() + static_cast<std::ptrdiff_t>(place));
        }
        if (action != 13 || index > 4) {
          transfer.Deliver(message);
        }
      }
      RC_ASSERT(transfer.sent.compare(0, transfer.received.size(),
                                      transfer.received) == 0);
    }
    // Up to 2 of the last messages are lost, but the end arrives.
    const auto lost = *rc::gen::inRange<std::size_t>(0, 3);
    transfer.network.resize(transfer.network.size() -
                            std::min(lost, transfer.network.size()));
    transfer.network.push_back({transfer.buffer.next_sequence(), std::nullopt});
    for (const auto& message : transfer.network) {
      transfer.Deliver(message);
    }
    RC_ASSERT(transfer.receiver.whole() || transfer.receiver.broken());
    RC_CLASSIFY(transfer.receiver.whole(), "whole");
  }));
}

// Guards against accepting an acknowledgement of chunks that do not exist,
// after which later chunks could not be replayed.
TEST(Streams, RefusesNumbersBeyondTheEnd) {
  ChunkBuffer buffer(1000);
  buffer.Append("a");
  CHECK_FALSE(buffer.Acknowledge(2));
  CHECK_FALSE(buffer.ReplayFrom(2).has_value());
  CHECK_FALSE(buffer.ReplayFrom(-1).has_value());
  CHECK_EQUAL(1U, buffer.ReplayFrom(0)->size());
}

}  // namespace amaranthcove
