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

// Heartbeat intervals and timeouts of a peer connection.
struct PeerTimings {
  // Heartbeat interval while work is pending, and the time without received
  // data after which the connection is then closed. Well below the timeouts of
  // callers.
  Duration busy_interval = std::chrono::milliseconds(500);
  Duration busy_timeout = std::chrono::milliseconds(1500);
  // The same without pending work.
  Duration idle_interval = std::chrono::seconds(30);
  Duration idle_timeout = std::chrono::seconds(70);
  // Time from connecting until both sides are authenticated.
  Duration handshake_timeout = std::chrono::seconds(2);
};

// Why a peer connection ended.
enum class PeerCloseReason {
  kConnectFailed,    // It was never opened; nothing was sent.
  kHandshakeFailed,  // Wrong key, wrong version, or no answer in time.
  kClosedByPeer,     // The peer closed the connection, or it broke.
  kSilent,           // No data arrived within the timeout.
  kBadFrame          // A frame was malformed, oversized or not allowed.
};

// Returns the name used in metrics and dumps, such as "bad_frame". Thread-safe.
std::string_view PeerCloseReasonName(PeerCloseReason reason);

// Counters over all peer connections that share a `PeerContext`.
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

// State shared by peer connections. Must outlive them.
struct PeerContext {
  EventLoop& loop;
  wire::Hello self;         // `nonce` is filled in for each connection.
  std::string cluster_key;  // Must be the same on both sides.
  PeerTimings timings;
  // Fills in a heartbeat before it is sent. May be null.
  std::function<void(wire::Heartbeat&)> fill_heartbeat;
  PeerCounters counters;
};

// An authenticated connection that carries frames to and from another process
// of the system. Both sides prove that they hold the cluster key before any
// other frame is accepted. The side that connected sends heartbeats, and the
// other side replies to them.
//
// Thread safety: not thread-safe; all calls must be made on the loop's thread.
// The owner may destroy the connection at any time, also inside one of its
// callbacks; no callback is called after that. Methods never call callbacks.
class PeerConnection {
 public:
  struct Callbacks {
    // Called when both sides are authenticated; frames may be sent from then
    // on.
    std::function<void(const wire::Hello& remote)> on_ready;
    // Called for each frame that arrives, including heartbeats but not the
    // frames of the handshake.
    std::function<void(const wire::Frame& frame)> on_frame;
    // Called when the connection has ended. The last callback.
    std::function<void(PeerCloseReason reason)> on_closed;
  };

  // Starts to connect to `address`.
  static std::unique_ptr<PeerConnection> Connect(PeerContext& context,
                                                 const Address& address,
                                                 Callbacks callbacks);

  // Takes ownership of an accepted connection and starts the handshake.
  static std::unique_ptr<PeerConnection> Accept(
      PeerContext& context,
      std::unique_ptr<TcpConnection> connection,
      Callbacks callbacks);

  ~PeerConnection();
  PeerConnection(const PeerConnection&) = delete;
  PeerConnection& operator=(const PeerConnection&) = delete;

  // Sends `frame`, or drops it if the connection is not ready. The frame must
  // be below the size limit, which holds for every frame built from accepted
  // input. An oversized frame is dropped and counted in `bad_frames`.
  void Send(const wire::Frame& frame);

  // Selects the busy or the idle heartbeat interval and timeout.
  void SetBusy(bool busy);

  // Returns whether the handshake has succeeded and the connection is open.
  bool ready() const { return state_ == State::kReady; }

  // Returns the `Hello` of the other side. Precondition: `ready()`.
  const wire::Hello& remote() const { return remote_; }

  // Returns when bytes last arrived. `SetBusy(true)` and a pause of this
  // process reset it to the current time.
  Time last_received() const { return last_received_; }

  // Returns the number of bytes that wait to be sent.
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
  Time tick_due_;
  Time last_heartbeat_;
  std::int64_t heartbeat_sequence_ = 0;
  TimerId tick_timer_ = 0;
  // Set to false by the destructor, so that a loop over received frames ends
  // when a callback destroys the connection.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace amaranthcove

#endif  // AMARANTHCOVE_PEER_PEER_CONNECTION_H_
