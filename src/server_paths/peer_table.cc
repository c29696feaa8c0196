#include "server_paths/peer_table.h"

#include <algorithm>

namespace calicodrift::server_paths {

void PeerTable::learn(const std::vector<Endpoint>& peers, MonotonicTime now) {
  for (const Endpoint& peer : peers) {
    if (peer != own_ && peer.port != 0) {
      peers_[peer].heardOfAt = now;
    }
  }
  while (peers_.size() > kMaxPeers) {
    peers_.erase(std::min_element(peers_.begin(), peers_.end(), [](const auto& a, const auto& b) {
      return a.second.heardOfAt < b.second.heardOfAt;
    }));
  }
}

void PeerTable::recordWorking(const Endpoint& peer) {
  if (const auto found = peers_.find(peer); found != peers_.end()) {
    found->second.failures = 0;
    found->second.avoidedUntil = {};
  }
}

void PeerTable::recordFailed(const Endpoint& peer, MonotonicTime now) {
  const auto found = peers_.find(peer);
  if (found == peers_.end()) {
    return;
  }
  constexpr std::size_t kMaxDoublings = 10;
  const auto factor = std::int64_t{1} << std::min(found->second.failures, kMaxDoublings);
  found->second.avoidedUntil = now + std::min(kFirstFailedTime * factor, kMaxFailedTime);
  ++found->second.failures;
}

void PeerTable::recordDeclined(const Endpoint& peer, MonotonicTime now) {
  if (const auto found = peers_.find(peer); found != peers_.end()) {
    found->second.avoidedUntil = std::max(found->second.avoidedUntil, now + kDeclinedTime);
  }
}

bool PeerTable::isUsable(const Endpoint& peer, MonotonicTime now) const {
  const auto found = peers_.find(peer);
  return found != peers_.end() && now >= found->second.avoidedUntil;
}

std::vector<Endpoint> PeerTable::choose(std::size_t most, MonotonicTime now,
                                        std::mt19937_64& random) const {
  std::vector<Endpoint> usable;
  for (const auto& [endpoint, peer] : peers_) {
    if (now >= peer.avoidedUntil) {
      usable.push_back(endpoint);
    }
  }
  if (usable.empty() && !peers_.empty()) {
    const auto first = std::min_element(
        peers_.begin(), peers_.end(),
        [](const auto& a, const auto& b) { return a.second.avoidedUntil < b.second.avoidedUntil; });
    return {first->first};
  }
  std::shuffle(usable.begin(), usable.end(), random);
  if (usable.size() > 1 && peers_.at(usable[1]).calls < peers_.at(usable[0]).calls) {
    std::swap(usable[0], usable[1]);
  }
  usable.resize(std::min(usable.size(), most));
  return usable;
}

void PeerTable::addCall(const Endpoint& peer) {
  if (const auto found = peers_.find(peer); found != peers_.end()) {
    ++found->second.calls;
  }
}

void PeerTable::removeCall(const Endpoint& peer) {
  if (const auto found = peers_.find(peer); found != peers_.end() && found->second.calls > 0) {
    --found->second.calls;
  }
}

}  // namespace calicodrift::server_paths
