#include "amaranthcove/peer/peer_connection.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include <algorithm>
#include <utility>

namespace amaranthcove {

namespace {

constexpr std::size_t kNonceBytes = 16;

// Size limit for frames before authentication, so that an unauthenticated peer
// cannot make the process buffer more.
constexpr std::size_t kMaxHandshakeFrameBytes = 4096;

// A timer that fires this much too late means that this process was paused. The
// time of the pause then does not count as silence of the peer.
constexpr Duration kPauseThreshold = std::chrono::milliseconds(400);

std::string RandomBytes(std::size_t size) {
  std::string bytes(size, '\0');
  RAND_bytes(reinterpret_cast<unsigned char*>(bytes.data()),
             static_cast<int>(size));
  return bytes;
}

std::string HmacSha256(std::string_view key, std::string_view data) {
  std::string mac(EVP_MAX_MD_SIZE, '\0');
  unsigned int size = 0;
  HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
       reinterpret_cast<const unsigned char*>(data.data()), data.size(),
       reinterpret_cast<unsigned char*>(mac.data()), &size);
  mac.resize(size);
  return mac;
}

bool ConstantTimeEqual(std::string_view a, std::string_view b) {
  return a.size() == b.size() &&
         CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

std::string EncodeHello(const wire::Hello& hello) {
  wire::Frame frame;
  frame.__set_hello(hello);
  return wire::EncodeFrame(frame).value_or(std::string());
}

}  // namespace

std::string_view PeerCloseReasonName(PeerCloseReason reason) {
  switch (reason) {
    case PeerCloseReason::kConnectFailed:
      return "connect_failed";
    case PeerCloseReason::kHandshakeFailed:
      return "handshake_failed";
    case PeerCloseReason::kClosedByPeer:
      return "closed_by_peer";
    case PeerCloseReason::kSilent:
      return "silent";
    case PeerCloseReason::kBadFrame:
      return "bad_frame";
  }
  return "unknown";
}

PeerConnection::PeerConnection(PeerContext& context,
                               bool initiator,
                               Callbacks callbacks)
    : context_(context),
      initiator_(initiator),
      callbacks_(std::make_shared<const Callbacks>(std::move(callbacks))),
      local_(context.self),
      last_received_(SteadyNow()),
      tick_due_(last_received_),
      last_heartbeat_(last_received_) {
  local_.nonce = RandomBytes(kNonceBytes);
}

PeerConnection::~PeerConnection() {
  *alive_ = false;
  context_.loop.Cancel(tick_timer_);
}

std::unique_ptr<PeerConnection> PeerConnection::Connect(PeerContext& context,
                                                        const Address& address,
                                                        Callbacks callbacks) {
  std::unique_ptr<PeerConnection> peer(
      new PeerConnection(context, true, std::move(callbacks)));
  peer->transport_ =
      TcpConnection::Connect(context.loop, address, peer->TransportCallbacks());
  peer->ScheduleTick();
  return peer;
}

std::unique_ptr<PeerConnection> PeerConnection::Accept(
    PeerContext& context,
    std::unique_ptr<TcpConnection> connection,
    Callbacks callbacks) {
  std::unique_ptr<PeerConnection> peer(
      new PeerConnection(context, false, std::move(callbacks)));
  peer->transport_ = std::move(connection);
  peer->state_ = State::kHandshake;
  peer->transport_->Open(peer->TransportCallbacks());
  peer->SendHello();
  peer->ScheduleTick();
  return peer;
}

TcpConnection::Callbacks PeerConnection::TransportCallbacks() {
  return {[this] {
            state_ = State::kHandshake;
            SendHello();
          },
          [this](std::string_view bytes) { OnData(bytes); },
          [this] {
            if (state_ == State::kHandshake) {
              ++context_.counters.failed_handshakes;
            }
            Close(state_ == State::kConnecting ? PeerCloseReason::kConnectFailed
                  : state_ == State::kHandshake
                      ? PeerCloseReason::kHandshakeFailed
                      : PeerCloseReason::kClosedByPeer);
          }};
}

void PeerConnection::SendHello() {
  wire::Frame frame;
  frame.__set_hello(local_);
  Transmit(frame);
}

std::string PeerConnection::Mac(bool of_initiator) const {
  const wire::Hello& initiator = initiator_ ? local_ : remote_;
  const wire::Hello& acceptor = initiator_ ? remote_ : local_;
  // The label differs by side, so that a proof cannot be reflected to its
  // sender.
  std::string data = of_initiator ? "initiator" : "acceptor";
  data += EncodeHello(initiator);
  data += EncodeHello(acceptor);
  return HmacSha256(context_.cluster_key, data);
}

void PeerConnection::Send(const wire::Frame& frame) {
  if (ready()) {
    Transmit(frame);
  }
}

void PeerConnection::Transmit(const wire::Frame& frame) {
  const Result<std::string> encoded = wire::EncodeFrame(frame);
  if (!encoded) {
    ++context_.counters.bad_frames;
    return;
  }
  ++context_.counters.frames_sent;
  context_.counters.bytes_sent += encoded->size();
  transport_->Write(*encoded);
}

void PeerConnection::SetBusy(bool busy) {
  if (busy_ == busy) {
    return;
  }
  busy_ = busy;
  if (busy_) {
    // Restart the timeout, because an idle connection may have received no data
    // for a long time.
    last_received_ = std::max(last_received_, SteadyNow());
    if (initiator_ && ready()) {
      SendHeartbeat(++heartbeat_sequence_, false);
    }
  }
  ScheduleTick();
}

std::size_t PeerConnection::buffered_bytes() const {
  return transport_ == nullptr ? 0 : transport_->buffered_bytes();
}

void PeerConnection::OnData(std::string_view bytes) {
  last_received_ = context_.loop.Now();
  context_.counters.bytes_received += bytes.size();
  splitter_.Append(bytes);
  const std::shared_ptr<bool> alive = alive_;
  std::string payload;
  while (*alive && state_ != State::kClosed) {
    const Result<bool> next = splitter_.Next(
        payload, ready() ? wire::kMaxFrameBytes : kMaxHandshakeFrameBytes);
    if (!next) {
      ++context_.counters.bad_frames;
      Close(PeerCloseReason::kBadFrame);
      return;
    }
    if (!*next) {
      return;
    }
    const Result<wire::Frame> frame = wire::DecodeFrame(payload);
    if (!frame) {
      ++context_.counters.bad_frames;
      Close(PeerCloseReason::kBadFrame);
      return;
    }
    ++context_.counters.frames_received;
    OnFrame(*frame);
  }
}

void PeerConnection::OnFrame(const wire::Frame& frame) {
  if (!ready()) {
    if (!OnHandshakeFrame(frame)) {
      ++context_.counters.failed_handshakes;
      Close(PeerCloseReason::kHandshakeFailed);
    }
    return;
  }
  if (frame.__isset.hello || frame.__isset.proof) {
    ++context_.counters.bad_frames;
    Close(PeerCloseReason::kBadFrame);
    return;
  }
  // Frame objects are large. Constructing one for each comparison takes longer
  // than the comparison.
  static const wire::Frame kEmptyFrame;
  if (frame == kEmptyFrame) {
    ++context_.counters.unknown_frames;
    return;
  }
  if (frame.__isset.heartbeat) {
    OnHeartbeat(frame.heartbeat);
  }
  const auto callbacks = callbacks_;
  if (callbacks->on_frame) {
    callbacks->on_frame(frame);
  }
}

bool PeerConnection::OnHandshakeFrame(const wire::Frame& frame) {
  if (frame.__isset.hello && !hello_received_) {
    if (frame.hello.protocol_version != wire::kProtocolVersion ||
        frame.hello.nonce.size() != kNonceBytes) {
      return false;
    }
    hello_received_ = true;
    remote_ = frame.hello;
    wire::Proof proof;
    proof.mac = Mac(initiator_);
    wire::Frame answer;
    answer.__set_proof(proof);
    Transmit(answer);
    return true;
  }
  if (!frame.__isset.proof || !hello_received_ ||
      !ConstantTimeEqual(frame.proof.mac, Mac(!initiator_))) {
    return false;
  }
  state_ = State::kReady;
  ScheduleTick();
  const auto callbacks = callbacks_;
  if (callbacks->on_ready) {
    callbacks->on_ready(remote_);
  }
  return true;
}

void PeerConnection::OnHeartbeat(const wire::Heartbeat& heartbeat) {
  if (!heartbeat.is_reply) {
    SendHeartbeat(heartbeat.sequence, true);
  }
}

void PeerConnection::SendHeartbeat(std::int64_t sequence, bool is_reply) {
  wire::Heartbeat heartbeat;
  heartbeat.sequence = sequence;
  heartbeat.is_reply = is_reply;
  if (context_.fill_heartbeat) {
    context_.fill_heartbeat(heartbeat);
  }
  wire::Frame frame;
  frame.__set_heartbeat(heartbeat);
  last_heartbeat_ = context_.loop.Now();
  Transmit(frame);
}

void PeerConnection::ScheduleTick() {
  context_.loop.Cancel(tick_timer_);
  Duration delay =
      busy_ ? context_.timings.busy_interval : context_.timings.idle_interval;
  if (!ready()) {
    delay = context_.timings.handshake_timeout;
  }
  const Time planned = SteadyNow() + delay;
  tick_due_ = planned;
  tick_timer_ = context_.loop.RunAt(planned, [this] {
    tick_timer_ = 0;
    OnTick();
  });
}

void PeerConnection::OnTick() {
  const Time now = context_.loop.Now();
  if (!ready()) {
    ++context_.counters.failed_handshakes;
    Close(state_ == State::kConnecting ? PeerCloseReason::kConnectFailed
                                       : PeerCloseReason::kHandshakeFailed);
    return;
  }
  if (now - tick_due_ > kPauseThreshold) {
    last_received_ = now;
  }
  const PeerTimings& timings = context_.timings;
  const Duration timeout = busy_ ? timings.busy_timeout : timings.idle_timeout;
  if (now - last_received_ > timeout) {
    ++context_.counters.silent_connections;
    Close(PeerCloseReason::kSilent);
    return;
  }
  if (initiator_) {
    SendHeartbeat(++heartbeat_sequence_, false);
  }
  ScheduleTick();
}

void PeerConnection::Close(PeerCloseReason reason) {
  if (state_ == State::kClosed) {
    return;
  }
  state_ = State::kClosed;
  context_.loop.Cancel(std::exchange(tick_timer_, 0));
  transport_.reset();
  const auto callbacks = callbacks_;
  if (callbacks->on_closed) {
    callbacks->on_closed(reason);
  }
}

}  // namespace amaranthcove
