#include "lease/candidates.h"

#include <utility>

#include "common/hashing.h"

namespace calicodrift::lease {
namespace {

std::pair<std::uint64_t, NodeId> candidateRank(const peer::PeerInfo& node, std::string_view lease) {
  return {hashBytes(node.id.value(), hashBytes(lease)), node.id};
}

}  // namespace

bool isCandidate(const peer::PeerDirectory& directory, std::string_view lease, std::size_t count) {
  const auto own = candidateRank(directory.self(), lease);
  std::size_t ahead = 0;
  for (const peer::PeerInfo& peer : directory.alivePeers()) {
    ahead += candidateRank(peer, lease) < own ? 1 : 0;
  }
  return ahead < count;
}

bool Candidacy::check(MonotonicTime now) {
  constexpr Milliseconds kInterval{1000};
  if (now >= nextCheck_) {
    candidate_ = isCandidate(directory_, lease_, count_);
    nextCheck_ = now + kInterval;
  }
  return candidate_;
}

}  // namespace calicodrift::lease
