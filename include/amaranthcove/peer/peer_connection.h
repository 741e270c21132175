#ifndef AMARANTHCOVE_PEER_PEER_CONNECTION_H_
#define AMARANTHCOVE_PEER_PEER_CONNECTION_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "amaranthcove/base/time.h"
#include "amaranthcove/net/event_loop.h"
#include "amaranthcove/net/tcp.h"
#include "amaranthcove/wire/codec.h"

namespace amaranthcove {

// Heartbeat intervals and limits of silence of a peer connection.
struct PeerTimings {
  // Between heartbeats while work is pending on the connection, and the
  // silence after which it is then given up. Well below a caller's patience.
  Duration busy_interval = std::chrono::milliseconds(500);
  Duration busy_limit = std::chrono::milliseconds(1500);
  // The same without pending work.
  Duration idle_interval = std::chrono::seconds(30);
  Duration idle_limit = std::chrono::seconds(70);
  // From connecting until both sides are authenticated.
  Duration handshake_limit = std::chrono::seconds(2);
};

// Why a peer connection ended.
enum class PeerCloseReason {
  kConnectFailed,    // Never opened; nothing was sent.
  kHandshakeFailed,  // Wrong key, wrong version, or no answer in time.
  kClosedByPeer,     // The connection broke.
  kSilent,           // Nothing arrived within the limit.
  kBadFrame          // A frame that is malformed, oversized or out of place.
};

// Name for metrics and dumps, such as "bad_frame". Thread-safe.
std::string_view PeerCloseReasonName(PeerCloseReason reason);

// Counts of one process over all its peer connections.
struct PeerCounters {
  std::uint64_t frames_sent = 0;
  std::uint64_t frames_received = 0;
  std::uint64_t bytes_sent = 0;
  std::uint64_t bytes_received = 0;
  std::uint64_t bad_frames = 0;
  std::uint64_t unknown_frames = 0;
  std::uint64_t failed_handshakes = 0;
  std::uint64_t silent_connections = 0;
};

// What the peer connections of one process share. Outlives them.
struct PeerContext {
  EventLoop& loop;
  wire::Hello self;         // `nonce` is filled in for each connection.
  std::string cluster_key;  // Both sides must hold the same.
  PeerTimings timings;
  // Completes a heartbeat before it is sent. May be null.
  std::function<void(wire::Heartbeat&)> fill_heartbeat;
  PeerCounters counters;
};

// An authenticated connection to another process of the system that carries
// frames. Both sides prove that they hold the cluster key before any other
// frame is accepted. The side that connected sends heartbeats and the other
// side answers them.
//
// Thread safety: belongs to the loop's thread. The owner may destroy the
// connection at any time, also inside one of its callbacks; no callback
// follows. No callback runs inside a method.
class PeerConnection {
 public:
  struct Callbacks {
    // Both sides are authenticated; frames may be sent.
    std::function<void(const wire::Hello& remote)> on_ready;
    // A frame has arrived, heartbeats included, handshake excluded.
    std::function<void(const wire::Frame& frame)> on_frame;
    // The last callback.
    std::function<void(PeerCloseReason reason)> on_closed;
  };

  // Connects to `address`.
  static std::unique_ptr<PeerConnection> Connect(PeerContext& context,
                                                 const Address& address,
                                                 Callbacks callbacks);

  // Takes over an accepted connection.
  static std::unique_ptr<PeerConnection> Accept(
      PeerContext& context,
      std::unique_ptr<TcpConnection> connection,
      Callbacks callbacks);

  ~PeerConnection();
  PeerConnection(const PeerConnection&) = delete;
  PeerConnection& operator=(const PeerConnection&) = delete;

  // Sends `frame`. Preconditions: `ready()`, and the frame is below the size
  // limit, which holds for every frame built from accepted input; an oversized
  // frame is counted and dropped.
  void Send(const wire::Frame& frame);

  // Selects the busy or the idle heartbeat interval.
  void SetBusy(bool busy);

  // Whether the handshake has succeeded and the connection is open.
  bool ready() const { return state_ == State::kReady; }

  // The other side. Precondition: `ready()`.
  const wire::Hello& remote() const { return remote_; }

  // When bytes last arrived.
  Time last_received() const { return last_received_; }

  // Bytes that wait to be sent.
  std::size_t buffered_bytes() const;

 private:
  enum class State { kConnecting, kHandshake, kReady, kClosed };

  PeerConnection(PeerContext& context, bool initiator, Callbacks callbacks);

  TcpConnection::Callbacks TransportCallbacks();
  void SendHello();
  void Transmit(const wire::Frame& frame);
  void OnData(std::string_view bytes);
  void OnFrame(const wire::Frame& frame);
  bool OnHandshakeFrame(const wire::Frame& frame);
  void OnHeartbeat(const wire::Heartbeat& heartbeat);
  void OnTick();
  void ScheduleTick();
  void SendHeartbeat(std::int64_t sequence, bool is_reply);
  std::string Mac(bool of_initiator) const;
  void Close(PeerCloseReason reason);

  PeerContext& context_;
  const bool initiator_;
  std::shared_ptr<const Callbacks> callbacks_;
  std::unique_ptr<TcpConnection> transport_;
  State state_ = State::kConnecting;
  bool busy_ = false;
  bool hello_received_ = false;
  wire::Hello local_;
  wire::Hello remote_;
  wire::FrameSplitter splitter_;
  Time last_received_;
  Time last_tick_;
  Time last_heartbeat_;
  std::int64_t heartbeat_sequence_ = 0;
  TimerId tick_timer_ = 0;
  // Set to false by the destructor, so that a loop over received frames ends
  // when a callback destroys the connection.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_PEER_PEER_CONNECTION_H_
