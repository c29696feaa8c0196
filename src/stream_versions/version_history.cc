#include "stream_versions/version_history.h"

#include <algorithm>
#include <utility>

namespace calicodrift::stream_versions {
namespace {

/// Since when the longest-running server has run; `now` if none tells.
MonotonicTime earliestStart(const std::vector<ListedVersion>& servers,
                            const SoftwareVersion& version, MonotonicTime now) {
  MonotonicTime earliest = now;
  for (const ListedVersion& server : servers) {
    if (server.version == version && server.running) {
      earliest = std::min(earliest, now - *server.running);
    }
  }
  return earliest;
}

}  // namespace

void VersionHistory::apply(const VersionListing& listing, MonotonicTime now) {
  for (auto& [service, presences] : services_) {
    for (auto& [version, presence] : presences) {
      if (std::exchange(presence.listed, false)) {
        presence.lastSeen = now;
      }
    }
    std::erase_if(presences,
                  [&](const auto& item) { return now - item.second.lastSeen > life_ + kListLag; });
  }
  for (const auto& [service, servers] : listing) {
    Presences& presences = services_[service];
    for (const ListedVersion& server : servers) {
      const auto [place, added] =
          presences.try_emplace(server.version, Presence{now, now, true, now});
      if (added) {
        place->second.runningSince = earliestStart(servers, server.version, now);
      }
      place->second.listed = true;
      place->second.lastSeen = now;
    }
  }
}

void VersionHistory::noteListed(const std::string& service, const SoftwareVersion& version,
                                MonotonicTime now) {
  const auto place = services_[service].try_emplace(version, Presence{now, now, false, now}).first;
  place->second.lastSeen = now;
}

std::map<SoftwareVersion, MonotonicTime> VersionHistory::present(const std::string& service,
                                                                 MonotonicTime now) const {
  std::map<SoftwareVersion, MonotonicTime> versions;
  const auto found = services_.find(service);
  if (found == services_.end()) {
    return versions;
  }
  for (const auto& [version, presence] : found->second) {
    if (presence.listed || now - presence.lastSeen <= life_ + kListLag) {
      versions[version] = std::min(presence.firstSeen, presence.runningSince);
    }
  }
  return versions;
}

std::optional<SoftwareVersion> VersionHistory::onlyVersion(const std::string& service,
                                                           MonotonicTime now) const {
  const std::map<SoftwareVersion, MonotonicTime> versions = present(service, now);
  const bool only =
      versions.size() == 1 && hasSeenAll(now) && now - versions.begin()->second >= life_;
  return only ? std::optional(versions.begin()->first) : std::nullopt;
}

std::optional<SoftwareVersion> VersionHistory::onlySeenVersion(const std::string& service,
                                                               MonotonicTime now) const {
  const std::map<SoftwareVersion, MonotonicTime> versions = present(service, now);
  return versions.size() == 1 ? std::optional(versions.begin()->first) : std::nullopt;
}

std::optional<SoftwareVersion> VersionHistory::provenOnlyVersion(const std::string& service,
                                                                 MonotonicTime now) const {
  if (archivedServices_.contains(service)) {
    return hasSeenAll(now) ? onlySeenVersion(service, now) : std::nullopt;
  }
  std::optional<SoftwareVersion> only = onlyVersion(service, now);
  if (!only || hasArchive_) {
    return only;
  }
  const Presence& presence = services_.at(service).at(*only);
  return now - presence.firstSeen >= life_ ? only : std::nullopt;
}

bool VersionHistory::anyHasSeveral(MonotonicTime now) const {
  return std::any_of(services_.begin(), services_.end(),
                     [&](const auto& service) { return hasSeveral(service.first, now); });
}

ArchivedHistory VersionHistory::archived(MonotonicTime now, WallTime wallNow) const {
  ArchivedHistory history;
  for (const auto& [service, presences] : services_) {
    if (present(service, now).empty()) {
      continue;
    }
    ArchivedVersions& versions = history[service];
    for (const auto& [version, presence] : presences) {
      std::optional<WallTime>& leftAt = versions[version];
      if (!presence.listed) {
        leftAt = wallNow - std::chrono::duration_cast<WallTime::duration>(now - presence.lastSeen);
      }
    }
  }
  return history;
}

void VersionHistory::applyArchived(const ArchivedHistory& history, MonotonicTime now,
                                   WallTime wallNow) {
  hasArchive_ = true;
  for (const auto& [service, versions] : history) {
    archivedServices_.insert(service);
    for (const auto& [version, leftAt] : versions) {
      const auto sinceThen =
          leftAt ? std::chrono::duration_cast<Milliseconds>(wallNow - *leftAt) : Milliseconds(0);
      const Milliseconds age = std::max(sinceThen - kClockTolerance, Milliseconds(0));
      if (age > life_ + kListLag) {
        continue;
      }
      const MonotonicTime seen = now - age;
      const auto [place, added] =
          services_[service].try_emplace(version, Presence{seen, seen, false, seen});
      place->second.lastSeen = std::max(place->second.lastSeen, seen);
    }
  }
}

bool VersionHistory::hasSeveral(const std::string& service, MonotonicTime now) const {
  return present(service, now).size() > 1;
}

bool VersionHistory::isListed(const std::string& service, const SoftwareVersion& version) const {
  const auto found = services_.find(service);
  if (found == services_.end()) {
    return false;
  }
  const auto presence = found->second.find(version);
  return presence != found->second.end() && presence->second.listed;
}

}  // namespace calicodrift::stream_versions
