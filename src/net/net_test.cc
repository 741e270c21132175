#include "amaranthcove/net/event_loop.h"
#include "amaranthcove/net/tcp.h"

#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

namespace amaranthcove {

namespace {

// Timeout of a test whose expected event does not occur. Does not affect tests
// that pass.
constexpr Duration kTestTimeout = std::chrono::seconds(20);

template <typename Condition>
bool RunUntil(EventLoop& loop, Condition condition) {
  const Time limit = SteadyNow() + kTestTimeout;
  while (!condition() && SteadyNow() < limit) {
    loop.RunOnce(std::chrono::milliseconds(100));
  }
  return condition();
}

}  // namespace

TEST_GROUP(EventLoop) {
  EventLoop loop_;
};

// Guards against timers that run out of order or after cancellation.
TEST(EventLoop, RunsTimersInOrder) {
  std::vector<int> order;
  const Time now = SteadyNow();
  loop_.RunAt(now + std::chrono::milliseconds(2), [&] { order.push_back(2); });
  loop_.RunAt(now + std::chrono::milliseconds(1), [&] { order.push_back(1); });
  const TimerId cancelled = loop_.RunAt(now, [&] { order.push_back(0); });
  loop_.Cancel(cancelled);
  CHECK(RunUntil(loop_, [&] { return order.size() >= 2; }));
  CHECK(order == std::vector<int>({1, 2}));
}

// Guards against a timer that re-arms itself without delay and starves the
// sockets. A round must end although such a timer is due.
TEST(EventLoop, RearmedTimerWaitsForNextRound) {
  int calls = 0;
  std::function<void()> rearm = [&] {
    ++calls;
    loop_.RunAfter(Duration::zero(), rearm);
  };
  loop_.RunAfter(Duration::zero(), rearm);
  loop_.RunOnce(Duration::zero());
  CHECK(calls <= 1);
}

TEST_GROUP(Tcp) {
  EventLoop loop_;
  std::unique_ptr<TcpConnection> accepted_;
  std::unique_ptr<TcpListener> listener_;

  // Connects to a listener that accepts into `accepted_` and ignores what it
  // receives.
  std::unique_ptr<TcpConnection> ConnectPair() {
    if (listener_ == nullptr) {
      listener_ = std::move(*TcpListener::Listen(
          loop_, {"127.0.0.1", 0},
          [this](std::unique_ptr<TcpConnection> connection) {
            accepted_ = std::move(connection);
            accepted_->Open({nullptr, [](std::string_view) {}, nullptr});
          }));
    }
    accepted_.reset();
    bool connected = false;
    auto client = TcpConnection::Connect(
        loop_, listener_->local_address(),
        {[&connected] { connected = true; }, [](std::string_view) {}, nullptr});
    CHECK(RunUntil(loop_, [&] { return connected && accepted_ != nullptr; }));
    return client;
  }
};

// Guards against lost or reordered bytes when much more is written than one
// system call accepts.
TEST(Tcp, CarriesLargeWritesInOrder) {
  std::unique_ptr<TcpConnection> accepted;
  std::string received;
  auto listener = TcpListener::Listen(
      loop_, {"127.0.0.1", 0}, [&](std::unique_ptr<TcpConnection> connection) {
        accepted = std::move(connection);
        accepted->Open({nullptr,
                        [&](std::string_view bytes) { received += bytes; },
                        nullptr});
      });
  CHECK(listener.has_value());
  auto client =
      TcpConnection::Connect(loop_, (*listener)->local_address(),
                             {nullptr, [](std::string_view) {}, nullptr});
  std::string sent;
  for (int i = 0; i < 200000; ++i) {
    const std::string piece = std::to_string(i) + ",";
    sent += piece;
    client->Write(piece);
  }
  CHECK(RunUntil(loop_, [&] { return received.size() >= sent.size(); }));
  CHECK(received == sent);
}

// Guards against a connection that sends nothing more until another event
// occurs, because the completion of a write was not processed.
TEST(Tcp, CompletesASmallWriteInItsRound) {
  const auto client = ConnectPair();
  client->Write("x");
  loop_.RunOnce(Duration::zero());
  CHECK_EQUAL(0U, client->buffered_bytes());
}

// Guards against a use after free in the loop: a write that completes at once
// makes the connection pending there, and another timer of the round closes it.
TEST(Tcp, MayBeClosedInTheRoundOfItsWrite) {
  for (int i = 0; i < 100; ++i) {
    auto client = ConnectPair();
    client->Write("x");
    loop_.RunAfter(Duration::zero(), [&client] { client.reset(); });
    CHECK(RunUntil(loop_, [&client] { return client == nullptr; }));
  }
}

// Guards against taking a reset for an orderly close because a write was the
// first to meet it, after which reading ends without an error.
TEST(Tcp, ResetThatAWriteMeetsIsNotAnOrderlyClose) {
  auto client = ConnectPair();
  bool closed = false;
  client->Open(
      {nullptr, [](std::string_view) {}, [&closed] { closed = true; }});
  // Both happen in one round, in which the reset is not read before the write.
  loop_.RunAfter(Duration::zero(), [this] {
    accepted_->ResetOnClose();
    accepted_.reset();
  });
  client->Write("x");
  CHECK(RunUntil(loop_, [&closed] { return closed; }));
  CHECK(!client->closed_cleanly());
}

// Guards against a connection failure that is not reported.
TEST(Tcp, ReportsRefusedConnection) {
  Address unused;
  {
    auto listener = TcpListener::Listen(loop_, {"127.0.0.1", 0}, nullptr);
    unused = (*listener)->local_address();
  }
  bool closed = false;
  auto client = TcpConnection::Connect(
      loop_, unused,
      {nullptr, [](std::string_view) {}, [&closed] { closed = true; }});
  CHECK(RunUntil(loop_, [&] { return closed; }));
}

// Guards against a use after free when a callback destroys its connection.
TEST(Tcp, MayBeDestroyedInItsCallback) {
  std::unique_ptr<TcpConnection> accepted;
  bool received = false;
  auto listener = TcpListener::Listen(
      loop_, {"127.0.0.1", 0}, [&](std::unique_ptr<TcpConnection> connection) {
        accepted = std::move(connection);
        accepted->Open({nullptr,
                        [&](std::string_view) {
                          received = true;
                          accepted.reset();
                        },
                        nullptr});
      });
  bool closed = false;
  auto client = TcpConnection::Connect(
      loop_, (*listener)->local_address(),
      {nullptr, [](std::string_view) {}, [&closed] { closed = true; }});
  client->Write("x");
  CHECK(RunUntil(loop_, [&] { return received && closed; }));
}

}  // namespace amaranthcove
