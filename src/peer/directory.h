#pragma once

#include <vector>

#include "common/endpoint.h"
#include "common/ids.h"

namespace calicodrift::peer {

/// One router node as its peers know it.
struct PeerInfo {
  NodeId id;
  /// Changes when the node restarts; its memory of before is gone then.
  Incarnation incarnation;
  ZoneId zone;
  RegionId region;
  /// UDP address of its peer transport.
  Endpoint endpoint;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(id, incarnation, zone, region, endpoint);
  }
};

/// Who is believed to be alive. Implemented by the membership module, and by fixed lists in tests.
/// Two nodes may differ in what they believe at any moment.
class PeerDirectory {
 public:
  virtual ~PeerDirectory() = default;
  virtual const PeerInfo& self() const = 0;
  /// All peers believed to be alive, without self.
  virtual std::vector<PeerInfo> alivePeers() const = 0;
};

}  // namespace calicodrift::peer
