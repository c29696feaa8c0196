#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "common/clock.h"
#include "common/ids.h"
#include "stream_versions/archive_segment.h"

namespace calicodrift::stream_versions {

/// A software version of which servers are listed.
struct ListedVersion {
  SoftwareVersion version;
  /// How long the longest-running of them has run; empty if the list does not tell.
  std::optional<Milliseconds> running;
};

/// Versions of each service, including those whose servers are all draining: they still serve
/// streams.
using VersionListing = std::map<std::string, std::vector<ListedVersion>>;

/// Which versions each service has had lately. Does no I/O; callers pass the time.
///
/// A list may lag behind, and servers that have left it serve on for a while: a version counts for
/// kListLag longer than it was listed.
class VersionHistory {
 public:
  /// @param life how long a stream and its returns may last.
  explicit VersionHistory(Milliseconds life) : life_(life) {}

  void apply(const VersionListing& listing, MonotonicTime now);
  /// A server of this version was listed, however short. It counts as having left until the next
  /// apply().
  void noteListed(const std::string& service, const SoftwareVersion& version, MonotonicTime now);
  /// Servers may have come and gone unseen since the last apply(): nothing is certain of the
  /// streams that may have begun at them.
  void noteMissedChanges(MonotonicTime now) { missedAt_ = now; }
  /// The only version that the service seems to have had in the last `life`; empty if it may have
  /// had several, if changes were missed, or if neither this node nor the starts of the listed
  /// servers tell of all that time.
  std::optional<SoftwareVersion> onlyVersion(const std::string& service, MonotonicTime now) const;
  /// The same where it is certain: another version may have left the list before this node started,
  /// unless the archive tells of that time. Where it tells of the service, what it tells and what
  /// is listed is all that there was.
  std::optional<SoftwareVersion> provenOnlyVersion(const std::string& service,
                                                   MonotonicTime now) const;
  /// What nodes that start later have to know.
  ArchivedHistory archived(MonotonicTime now, WallTime wallNow) const;
  /// Takes in what was known before this node started.
  void applyArchived(const ArchivedHistory& history, MonotonicTime now, WallTime wallNow);
  /// The only version that this node has seen of the service in the last `life`, however short a
  /// part of it that is; empty if there are none or several.
  std::optional<SoftwareVersion> onlySeenVersion(const std::string& service,
                                                 MonotonicTime now) const;
  /// Whether the service has had several versions in the last `life`.
  bool hasSeveral(const std::string& service, MonotonicTime now) const;
  /// Whether any service has.
  bool anyHasSeveral(MonotonicTime now) const;
  /// Whether servers of the version are listed now.
  bool isListed(const std::string& service, const SoftwareVersion& version) const;

  static constexpr Milliseconds kListLag{5000};
  /// Clocks of nodes differ, and may jump for a while.
  static constexpr Milliseconds kClockTolerance{10'000};

 private:
  struct Presence {
    MonotonicTime firstSeen;
    MonotonicTime lastSeen;
    bool listed = true;
    /// Since when its servers that are listed have run, as far as told; otherwise firstSeen.
    MonotonicTime runningSince;
  };
  using Presences = std::map<SoftwareVersion, Presence>;

  /// Whether a version that came and went unseen has no streams any more.
  bool hasSeenAll(MonotonicTime now) const {
    return !missedAt_ || now - *missedAt_ > life_ + kListLag;
  }
  /// The versions that count at `now`, each with the time since when it has been known to serve.
  std::map<SoftwareVersion, MonotonicTime> present(const std::string& service,
                                                   MonotonicTime now) const;

  Milliseconds life_;
  std::map<std::string, Presences> services_;
  /// When changes were last missed.
  std::optional<MonotonicTime> missedAt_;
  bool hasArchive_ = false;
  /// Services of which the archive told.
  std::set<std::string> archivedServices_;
};

}  // namespace calicodrift::stream_versions
