#include "amaranthcove/peer/peer_connection.h"

#include <optional>
#include <vector>

#include <CppUTest/TestHarness.h>

namespace amaranthcove {

namespace {

// Timeout for an expected event. Passing tests do not depend on it.
constexpr Duration kTestTimeout = std::chrono::seconds(20);

wire::Hello MakeHello(const std::string& instance) {
  wire::Hello hello;
  hello.protocol_version = wire::kProtocolVersion;
  hello.instance = instance;
  hello.incarnation = 1;
  return hello;
}

wire::Frame MakeCancel(std::int64_t number) {
  wire::Cancel cancel;
  cancel.attempt = wire::ToWire({"entry-1", 1, number});
  wire::Frame frame;
  frame.__set_cancel(cancel);
  return frame;
}

// Returns an encoded `Hello` of a client.
std::string Hello() {
  wire::Frame frame;
  frame.__set_hello(MakeHello("entry-1"));
  return wire::EncodeFrame(frame).value();
}

// Returns the last frame of `bytes`, with its length prefix.
std::string LastFrameOf(std::string_view bytes) {
  wire::FrameSplitter splitter;
  splitter.Append(bytes);
  std::string payload;
  std::size_t last = 0;
  std::size_t end = 0;
  while (splitter.Next(payload).value_or(false)) {
    last = end;
    end += wire::kLengthBytes + payload.size();
  }
  return std::string(bytes.substr(last, end - last));
}

}  // namespace

TEST_GROUP(PeerConnection) {
  EventLoop loop_;
  PeerContext server_{loop_, MakeHello("sidecar-1"), "key", {}, nullptr, {}};
  PeerContext client_{loop_, MakeHello("entry-1"), "key", {}, nullptr, {}};
  std::unique_ptr<TcpListener> listener_;
  std::unique_ptr<PeerConnection> accepted_;
  std::vector<wire::Frame> received_;
  std::optional<PeerCloseReason> accepted_closed_;
  std::optional<PeerCloseReason> client_closed_;

  void setup() override {
    listener_ = *TcpListener::Listen(
        loop_, {"127.0.0.1", 0}, [this](std::unique_ptr<TcpConnection> tcp) {
          accepted_ = PeerConnection::Accept(
              server_, std::move(tcp),
              {nullptr,
               [this](const wire::Frame& frame) { received_.push_back(frame); },
               [this](PeerCloseReason reason) { accepted_closed_ = reason; }});
        });
  }

  std::unique_ptr<PeerConnection> Connect() {
    return PeerConnection::Connect(
        client_, listener_->local_address(),
        {nullptr, nullptr,
         [this](PeerCloseReason reason) { client_closed_ = reason; }});
  }

  std::unique_ptr<TcpConnection> ConnectRaw() {
    return TcpConnection::Connect(loop_, listener_->local_address(),
                                  {nullptr, [](std::string_view) {}, nullptr});
  }

  template <typename Condition>
  bool RunUntil(Condition condition) {
    const Time deadline = SteadyNow() + kTestTimeout;
    while (!condition() && SteadyNow() < deadline) {
      loop_.RunOnce(std::chrono::milliseconds(100));
    }
    return condition();
  }
};

// Guards against frames that are lost or reordered after the handshake.
TEST(PeerConnection, CarriesFramesAfterHandshake) {
  const auto client = Connect();
  CHECK(RunUntil([&] { return client->ready(); }));
  STRCMP_EQUAL("sidecar-1", client->remote().instance.c_str());
  client->Send(MakeCancel(1));
  client->Send(MakeCancel(2));
  CHECK(RunUntil([&] { return received_.size() == 2; }));
  CHECK(received_[0] == MakeCancel(1));
  CHECK(received_[1] == MakeCancel(2));
}

// Guards against frames that are accepted from a peer without the cluster key.
TEST(PeerConnection, RefusesWrongKey) {
  client_.cluster_key = "other";
  const auto client = Connect();
  CHECK(RunUntil([&] { return accepted_closed_.has_value(); }));
  CHECK(*accepted_closed_ == PeerCloseReason::kHandshakeFailed);
  CHECK(received_.empty());
  CHECK_EQUAL(1, server_.counters.failed_handshakes);
}

// Guards against frames that are accepted before the sender is authenticated.
TEST(PeerConnection, RefusesFramesBeforeHandshake) {
  const auto raw_client = ConnectRaw();
  raw_client->Write(*wire::EncodeFrame(MakeCancel(1)));
  CHECK(RunUntil([&] { return accepted_closed_.has_value(); }));
  CHECK(*accepted_closed_ == PeerCloseReason::kHandshakeFailed);
  CHECK(received_.empty());
}

// Guards against a proof that is accepted when it is reflected to its sender:
// the client sends back all bytes that it receives.
TEST(PeerConnection, RefusesReflectedProof) {
  std::unique_ptr<TcpConnection> mirror;
  mirror = TcpConnection::Connect(
      loop_, listener_->local_address(),
      {nullptr, [&mirror](std::string_view bytes) { mirror->Write(bytes); },
       nullptr});
  CHECK(RunUntil([&] { return accepted_closed_.has_value(); }));
  CHECK(*accepted_closed_ == PeerCloseReason::kHandshakeFailed);
}

// Guards against a malformed frame that affects other connections.
TEST(PeerConnection, MalformedFrameClosesOnlyItsConnection) {
  const auto raw_client = ConnectRaw();
  raw_client->Write(std::string("\0\0\0\5hello", 9));
  CHECK(RunUntil([&] { return accepted_closed_.has_value(); }));
  CHECK(*accepted_closed_ == PeerCloseReason::kBadFrame);
  const auto client = Connect();
  CHECK(RunUntil([&] { return client->ready(); }));
}

// Guards against an unauthenticated peer that makes the process buffer a large
// frame.
TEST(PeerConnection, RefusesLargeFramesBeforeHandshake) {
  const auto raw_client = ConnectRaw();
  raw_client->Write(std::string("\0\0\x20\0", 4));
  CHECK(RunUntil([&] { return accepted_closed_.has_value(); }));
  CHECK(*accepted_closed_ == PeerCloseReason::kBadFrame);
  CHECK_EQUAL(1, server_.counters.bad_frames);
}

// Guards against a handshake that is cut off without being counted as failed.
TEST(PeerConnection, CountsTruncatedHandshake) {
  const std::string hello = Hello();
  for (const std::size_t size : {std::size_t{0}, std::size_t{2}, std::size_t{9},
                                 hello.size() - 1, hello.size()}) {
    server_.counters = {};
    accepted_closed_.reset();
    bool connected = false;
    auto raw_client = TcpConnection::Connect(
        loop_, listener_->local_address(),
        {[&] { connected = true; }, [](std::string_view) {}, nullptr});
    raw_client->Write(hello.substr(0, size));
    CHECK(RunUntil(
        [&] { return connected && server_.counters.bytes_received == size; }));
    raw_client.reset();
    CHECK(RunUntil([&] { return accepted_closed_.has_value(); }));
    CHECK(*accepted_closed_ == PeerCloseReason::kHandshakeFailed);
    CHECK_EQUAL(1, server_.counters.failed_handshakes);
  }
}

// Guards against a recorded handshake that is accepted on another connection,
// and against a proof that is accepted twice on its own connection.
TEST(PeerConnection, RefusesReplayedProof) {
  std::string recorded;
  std::unique_ptr<TcpConnection> from_client;
  std::unique_ptr<TcpConnection> to_server;
  const auto relay = *TcpListener::Listen(
      loop_, {"127.0.0.1", 0}, [&](std::unique_ptr<TcpConnection> tcp) {
        from_client = std::move(tcp);
        to_server = TcpConnection::Connect(
            loop_, listener_->local_address(),
            {nullptr, [&](std::string_view b) { from_client->Write(b); }, {}});
        from_client->Open({nullptr,
                           [&](std::string_view bytes) {
                             recorded += bytes;
                             to_server->Write(bytes);
                           },
                           nullptr});
      });
  const auto client =
      PeerConnection::Connect(client_, relay->local_address(), {});
  CHECK(RunUntil([&] { return client->ready() && accepted_->ready(); }));
  const std::string handshake = recorded;
  to_server->Write(LastFrameOf(handshake));
  CHECK(RunUntil([&] { return accepted_closed_.has_value(); }));
  CHECK(*accepted_closed_ == PeerCloseReason::kBadFrame);
  accepted_closed_.reset();
  const auto raw_client = ConnectRaw();
  raw_client->Write(handshake);
  CHECK(RunUntil([&] { return accepted_closed_.has_value(); }));
  CHECK(*accepted_closed_ == PeerCloseReason::kHandshakeFailed);
  CHECK(received_.empty());
}

// Guards against malformed frames that crash the process: wrong types, deep
// nesting, a huge announced container, random bytes.
TEST(PeerConnection, BadFramesCloseTheConnection) {
  const std::string nested(1 << 20, '\x1c');
  const std::string huge_list = "\x19\xfc\xff\xff\xff\xff\x0f";
  for (const std::string& payload :
       {std::string("\x15\x02"), std::string("\xff\xff\xff"), nested, huge_list,
        std::string("\x18\xff\xff\xff\xff\x07"), std::string()}) {
    CHECK_TEXT(!wire::DecodeFrame(payload), payload.substr(0, 8).c_str());
    CHECK_EQUAL(0, received_.size());
  }
  const auto raw_client = ConnectRaw();
  std::string frame("\0\0\x0f\xff", 4);
  frame += std::string(0xfff, '\x1c');
  raw_client->Write(frame);
  CHECK(RunUntil([&] { return accepted_closed_.has_value(); }));
  CHECK(*accepted_closed_ == PeerCloseReason::kBadFrame);
  const auto client = Connect();
  CHECK(RunUntil([&] { return client->ready(); }));
}

// Guards against work that stays pending on a connection whose peer no longer
// responds: the event loop of the peer stops, while the kernel still accepts
// bytes.
TEST(PeerConnection, ClosesSilentConnection) {
  client_.timings.busy_interval = std::chrono::milliseconds(20);
  client_.timings.busy_timeout = std::chrono::milliseconds(60);
  EventLoop other_loop;
  PeerContext silent{other_loop, MakeHello("sidecar-2"), "key", {}, nullptr,
                     {}};
  std::unique_ptr<PeerConnection> silent_side;
  auto silent_listener = *TcpListener::Listen(
      other_loop, {"127.0.0.1", 0}, [&](std::unique_ptr<TcpConnection> tcp) {
        silent_side = PeerConnection::Accept(silent, std::move(tcp), {});
      });
  const auto pending = PeerConnection::Connect(
      client_, silent_listener->local_address(),
      {nullptr, nullptr,
       [this](PeerCloseReason reason) { client_closed_ = reason; }});
  while (!pending->ready()) {
    other_loop.RunOnce(Duration::zero());
    loop_.RunOnce(Duration::zero());
  }
  // From here on the other loop does not run, as if its process were stopped.
  pending->SetBusy(true);
  CHECK(RunUntil([&] { return client_closed_.has_value(); }));
  CHECK(*client_closed_ == PeerCloseReason::kSilent);
}

}  // namespace amaranthcove
