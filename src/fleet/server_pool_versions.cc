// Software versions of the servers: tracks, canaries and counts by version.

#include <algorithm>
#include <cmath>

#include "common/hashing.h"
#include "fleet/server_pool.h"

namespace calicodrift::fleet {
namespace {

/// After loading weights a server works off the requests that waited for it, with empty caches.
/// Takes about as long as the load itself.
constexpr Milliseconds kLoadRecovery{1000};

}  // namespace

void ServerPool::setVersions(const std::string& service, const SoftwareVersion& stable,
                             const SoftwareVersion& candidate, MonotonicTime now) {
  ServiceVersions& known = versions_[service];
  if (known.stable == stable && known.candidate == candidate) {
    return;
  }
  known = {stable, candidate};
  for (auto& [id, entry] : servers_) {
    if (entry.server.service == service) {
      entry.track = trackOf(entry.server);
      refresh(entry, now);
    }
  }
}

std::optional<Track> ServerPool::trackOf(const Server& server) const {
  const auto found = versions_.find(server.service);
  if (found == versions_.end() || found->second.stable.value().empty()) {
    return Track::kStable;
  }
  const ServiceVersions& versions = found->second;
  if (server.version == versions.stable) {
    return Track::kStable;
  }
  const bool isCandidate =
      !versions.candidate.value().empty() && server.version == versions.candidate;
  return isCandidate ? std::optional(Track::kCandidate) : std::nullopt;
}

routing::CandidateSet ServerPool::canary(std::string_view service, const ModelId& model,
                                         double share, MonotonicTime now) {
  /// Keeps floating-point error on a whole number from rounding up to one more server.
  constexpr double kRounding = 1e-9;
  const routing::CandidateSet& all = candidates(service, model, now, Track::kCandidate);
  std::vector<std::pair<std::uint64_t, std::size_t>> ranked;
  for (std::size_t position = 0; position < all.size(); ++position) {
    const Entry* entry = entryOf(all[position].id);
    if (entry != nullptr && now >= entry->warmUntil && !awaitsWeights(*entry)) {
      // Ranked by id alone, so that a restart does not move the canary.
      ranked.emplace_back(hashBytes(entry->server.id.value()), position);
    }
  }
  const double wanted = std::ceil(share * static_cast<double>(all.size()) - kRounding);
  const std::size_t count =
      std::min(ranked.size(), static_cast<std::size_t>(std::max(1.0, wanted)));
  std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(count),
                    ranked.end());
  routing::CandidateSet chosen;
  for (std::size_t place = 0; place < count; ++place) {
    chosen.put(all[ranked[place].second]);
  }
  return chosen;
}

routing::CandidateSet ServerPool::candidatesOfVersion(std::string_view service,
                                                      const ModelId& model,
                                                      const SoftwareVersion& version,
                                                      MonotonicTime now) {
  expirePauses(now);
  expireDistances(now);
  routing::CandidateSet preferred;
  routing::CandidateSet fallback;
  const auto addAll = [&](const routing::CandidateSet& from, routing::CandidateSet& to) {
    for (std::size_t position = 0; position < from.size(); ++position) {
      const Entry* entry = entryOf(from[position].id);
      if (entry != nullptr && entry->server.version == version) {
        to.put(from[position]);
      }
    }
  };
  for (const Track track : {Track::kStable, Track::kCandidate}) {
    const auto found = sets_.find(SetKey{std::string(service), model, track});
    if (found != sets_.end()) {
      addAll(found->second.preferred, preferred);
      addAll(found->second.fallback, fallback);
    }
  }
  return preferred.empty() ? fallback : preferred;
}

std::map<std::string, std::map<SoftwareVersion, std::size_t>> ServerPool::listedVersions() const {
  std::map<std::string, std::map<SoftwareVersion, std::size_t>> listed;
  for (const auto& [service, versions] : counts_.versions()) {
    for (const auto& [version, servers] : versions) {
      if (servers.serving > 0) {
        listed[service][version] = servers.serving;
      }
    }
  }
  return listed;
}

std::size_t ServerPool::countUsable(const std::string& service, const SoftwareVersion& version,
                                    MonotonicTime now) const {
  std::size_t count = 0;
  for (const auto& [id, entry] : servers_) {
    const bool asked = entry.server.service == service && entry.server.version == version;
    count += asked && usable(entry) && !entry.health.ejected(now) ? 1 : 0;
  }
  return count;
}

std::size_t ServerPool::countInFlight(const std::string& service,
                                      const SoftwareVersion& version) const {
  std::size_t requests = 0;
  for (const auto& [id, entry] : active_) {
    if (entry->server.service == service && entry->server.version == version) {
      requests += entry->outstanding + entry->peers.requests;
    }
  }
  for (const auto& [run, earlier] : replacedRuns_) {
    if (earlier.service == service && earlier.version == version) {
      requests += earlier.outstanding;
    }
  }
  return requests;
}

bool ServerPool::isSpeedSample(const BackendId& id, MonotonicTime now) const {
  const auto found = servers_.find(id);
  if (found == servers_.end()) {
    return false;
  }
  const Entry& entry = found->second;
  const bool recentlyLoaded = entry.reloadedAt && now - *entry.reloadedAt < kLoadRecovery;
  return now >= entry.warmUntil && !awaitsWeights(entry) && !recentlyLoaded;
}

bool ServerPool::isReachableFromAllNodes(const BackendId& id) const {
  const auto found = servers_.find(id);
  return found != servers_.end() && found->second.health.reachable() &&
         found->second.peers.unreachableFrom == 0;
}

}  // namespace calicodrift::fleet
