#include "amaranthcove/agent_link/datagram.h"

#include <memory>

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

namespace amaranthcove {

namespace {

using apache::thrift::TException;
using apache::thrift::protocol::TCompactProtocolT;
using apache::thrift::transport::TMemoryBuffer;

// Limits of the strings and containers in a datagram, so that a hostile sender
// cannot make the decoder allocate much memory.
constexpr int kMaxStringBytes = 4096;
constexpr int kMaxContainerElements = 8192;

}  // namespace

std::string EncodeDatagram(const agent_wire::AgentDatagram& datagram) {
  const auto buffer = std::make_shared<TMemoryBuffer>();
  TCompactProtocolT<TMemoryBuffer> protocol(buffer);
  datagram.write(&protocol);
  return buffer->getBufferAsString();
}

Result<agent_wire::AgentDatagram> DecodeDatagram(std::string_view bytes) {
  // TMemoryBuffer in OBSERVE mode only reads, but its interface is not const.
  auto* data = const_cast<std::uint8_t*>(
      reinterpret_cast<const std::uint8_t*>(bytes.data()));
  const auto buffer = std::make_shared<TMemoryBuffer>(
      data, static_cast<std::uint32_t>(bytes.size()), TMemoryBuffer::OBSERVE);
  TCompactProtocolT<TMemoryBuffer> protocol(buffer, kMaxStringBytes,
                                            kMaxContainerElements);
  Result<agent_wire::AgentDatagram> datagram(tl::in_place);
  try {
    datagram->read(&protocol);
  } catch (const TException& error) {
    datagram =
        MakeError(ErrorCode::kInvalidArgument,
                  std::string("cannot decode datagram: ") + error.what());
  }
  return datagram;
}

}  // namespace amaranthcove
