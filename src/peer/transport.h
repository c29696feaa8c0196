#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "common/endpoint.h"

/// Messages between router nodes: typed by channel, encoded with cereal, sent as datagrams.
namespace calicodrift::peer {

/// Which module a message belongs to. A node ignores channels that it does not know.
enum class Channel : std::uint8_t {
  kMembership = 1,
  kConfig = 2,
  kClaims = 3,
  kLimits = 4,
  kIndex = 5,
  kStreamVersions = 6,
};

/// Largest payload of one message: fits an ordinary path MTU, so that no fragment can be lost
/// apart from the rest. Larger contents are asked for in pieces.
inline constexpr std::size_t kMaxPayloadBytes = 1300;

/// Unreliable, unordered delivery of messages: one may be lost, doubled, late or out of order, and
/// every protocol above must stand that. Implemented over UDP, and by a simulated network in tests.
class Transport {
 public:
  using Receiver = std::function<void(const Endpoint& from, std::string_view payload)>;

  virtual ~Transport() = default;
  /// Sends at most kMaxPayloadBytes; a larger payload is counted and dropped.
  virtual void send(const Endpoint& to, Channel channel, std::string payload) = 0;
  /// Sets who receives a channel's messages; each channel has one receiver.
  virtual void setReceiver(Channel channel, Receiver receiver) = 0;
};

}  // namespace calicodrift::peer
