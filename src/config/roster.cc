#include "config/roster.h"

#include <algorithm>
#include <cstdint>
#include <iterator>
#include <map>
#include <tuple>
#include <utility>

#include "common/hashing.h"

namespace calicodrift::config {
namespace {

constexpr Milliseconds kReadInterval{1000};
/// A node chooses among a quarter of the nodes ahead of it, so that the tree is about log4(zone
/// size) deep and no node is queried by many.
constexpr std::size_t kTreeFanout = 4;
/// One in this many queries goes to another zone, in case this zone is cut off from the store.
constexpr std::uint64_t kRemoteZoneQueryRatio = 8;

struct Ranked {
  std::uint64_t weight = 0;
  Endpoint endpoint;
  bool operator<(const Ranked& other) const {
    return std::tie(weight, endpoint) < std::tie(other.weight, other.endpoint);
  }
};

std::uint64_t weightOf(const peer::PeerInfo& node) {
  constexpr std::string_view kRole = "config-watcher";
  return hashBytes(node.id.value(), hashBytes(kRole));
}

std::size_t randomIndex(std::size_t size, std::mt19937_64& random) {
  return std::uniform_int_distribution<std::size_t>(0, size - 1)(random);
}

std::vector<Endpoint> sampleOf(const std::vector<Endpoint>& items, std::size_t count,
                               std::mt19937_64& random) {
  std::vector<Endpoint> chosen;
  std::sample(items.begin(), items.end(), std::back_inserter(chosen),
              static_cast<std::ptrdiff_t>(count), random);
  return chosen;
}

}  // namespace

void Roster::refresh(MonotonicTime now) {
  // A node that has just started may learn of its peers at any time.
  if (readAt_ && now - *readAt_ < kReadInterval && !peers_.empty()) {
    return;
  }
  readAt_ = now;
  const std::vector<peer::PeerInfo> alive = directory_.alivePeers();
  const peer::PeerInfo& self = directory_.self();
  const Ranked own{weightOf(self), self.endpoint};
  std::map<ZoneId, std::vector<Ranked>> zones;
  peers_.clear();
  elsewhere_.clear();
  for (const peer::PeerInfo& node : alive) {
    peers_.push_back(node.endpoint);
    zones[node.zone].push_back({weightOf(node), node.endpoint});
    if (node.zone != self.zone) {
      elsewhere_.push_back(node.endpoint);
    }
  }
  zone_.clear();
  remoteWatchers_.clear();
  rank_ = 0;
  for (auto& [zone, nodes] : zones) {
    const bool ownZone = zone == self.zone;
    if (ownZone) {
      std::sort(nodes.begin(), nodes.end());
      rank_ = static_cast<std::size_t>(
          std::distance(nodes.begin(), std::lower_bound(nodes.begin(), nodes.end(), own)));
    } else {
      const std::size_t kept = std::min(watchersPerZone_, nodes.size());
      std::partial_sort(nodes.begin(), nodes.begin() + static_cast<std::ptrdiff_t>(kept),
                        nodes.end());
      nodes.resize(kept);
    }
    std::vector<Endpoint>& endpoints = ownZone ? zone_ : remoteWatchers_;
    for (const Ranked& node : nodes) {
      endpoints.push_back(node.endpoint);
    }
  }
}

std::optional<Endpoint> Roster::chooseSource(std::mt19937_64& random) const {
  const bool remote = isWatcher() || random() % kRemoteZoneQueryRatio == 0;
  if (remote && !remoteWatchers_.empty()) {
    return remoteWatchers_[randomIndex(remoteWatchers_.size(), random)];
  }
  const std::size_t ahead =
      std::clamp(rank_ / kTreeFanout, std::min(watchersPerZone_, zone_.size()), zone_.size());
  if (ahead == 0) {
    return std::nullopt;
  }
  return zone_[randomIndex(ahead, random)];
}

std::vector<Endpoint> Roster::chooseAnnouncementTargets(std::size_t inZone, std::size_t elsewhere,
                                                        std::mt19937_64& random) const {
  std::vector<Endpoint> chosen = sampleOf(zone_, inZone, random);
  const std::vector<Endpoint> others = sampleOf(elsewhere_, elsewhere, random);
  chosen.insert(chosen.end(), others.begin(), others.end());
  return chosen;
}

std::vector<Endpoint> Roster::chooseRandomPeers(std::size_t count, std::mt19937_64& random) const {
  return sampleOf(peers_, count, random);
}

}  // namespace calicodrift::config
