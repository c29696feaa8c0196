#pragma once

#include <utility>

#include "peer/directory.h"

namespace calicodrift::peer {

/// The directory of a node that has no peers.
class LoneDirectory : public PeerDirectory {
 public:
  explicit LoneDirectory(PeerInfo self) : self_(std::move(self)) {}
  const PeerInfo& self() const override { return self_; }
  std::vector<PeerInfo> alivePeers() const override { return {}; }

 private:
  PeerInfo self_;
};

}  // namespace calicodrift::peer
