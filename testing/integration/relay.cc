#include "testing/integration/relay.h"

#include <utility>

namespace amaranthcove::testing {

Relay::Relay(EventLoop& loop, const Address& target)
    : loop_(loop), target_(target) {
  listener_ = *TcpListener::Listen(
      loop, {"127.0.0.1", 0}, [this](std::unique_ptr<TcpConnection> client) {
        OnAccept(std::move(client));
      });
}

void Relay::OnAccept(std::unique_ptr<TcpConnection> client) {
  ++accepted_;
  if (refusing_) {
    return;
  }
  pairs_.push_back(std::make_shared<Pair>());
  Pair* pair = pairs_.back().get();
  pair->client = std::move(client);
  pair->server = TcpConnection::Connect(loop_, target_,
                                        {nullptr,
                                         [pair](std::string_view bytes) {
                                           if (!pair->drop_answers) {
                                             pair->client->Write(bytes);
                                           }
                                         },
                                         [this, pair] { CloseLater(pair); }});
  pair->client->Open({nullptr,
                      [pair](std::string_view bytes) {
                        if (!pair->drop_requests) {
                          pair->server->Write(bytes);
                        }
                      },
                      [this, pair] { CloseLater(pair); }});
}

void Relay::CloseLater(Pair* pair) {
  // A silenced connection must not close when its other side closes.
  if (pair->drop_requests || pair->drop_answers) {
    return;
  }
  const auto found =
      std::find_if(pairs_.begin(), pairs_.end(),
                   [&](const auto& entry) { return entry.get() == pair; });
  if (found == pairs_.end()) {
    return;
  }
  // A callback of the pair is running, so the pair must not be destroyed yet.
  loop_.RunAfter(Duration(0), [closed = *found] {});
  pairs_.erase(found);
}

void Relay::DropAllTraffic() {
  for (const auto& pair : pairs_) {
    pair->drop_requests = true;
    pair->drop_answers = true;
  }
}

void Relay::DropServerTraffic() {
  for (const auto& pair : pairs_) {
    pair->drop_answers = true;
  }
}

void Relay::CloseConnections() {
  pairs_.clear();
}

}  // namespace amaranthcove::testing
