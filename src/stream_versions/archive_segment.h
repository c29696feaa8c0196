#pragma once

#include <boost/json/value.hpp>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "common/clock.h"
#include "common/error.h"
#include "common/ids.h"
#include "stream_versions/messages.h"

namespace calicodrift::stream_versions {

/// The version of a stream as the store keeps it.
struct ArchivedRecord {
  StreamKey stream;
  SoftwareVersion version;

  bool operator==(const ArchivedRecord&) const = default;
};

/// Records that were made within a short time, kept as one object of the store. Segments of one
/// writer form a ring, of which the object with the lowest sequence is the next to be replaced.
struct ArchiveSegment {
  /// Rises by one with each segment of its writer.
  std::uint64_t sequence = 0;
  std::vector<ArchivedRecord> records;
};

/// Versions that a service has had lately, each with the time at which its servers left the list;
/// empty while they are listed.
using ArchivedVersions = std::map<SoftwareVersion, std::optional<WallTime>>;
/// Of all services that have had servers lately.
using ArchivedHistory = std::map<std::string, ArchivedVersions>;

/// All that is archived.
struct Archived {
  std::vector<ArchivedRecord> records;
  ArchivedHistory history;
};

boost::json::value toJson(const ArchivedHistory& history);
/// Fails with kProtocolViolation if the value was written by another program.
Result<ArchivedHistory> historyFromJson(const boost::json::value& value);

boost::json::value toJson(const ArchiveSegment& segment);
/// Fails with kProtocolViolation if the value was written by another program.
Result<ArchiveSegment> segmentFromJson(const boost::json::value& value);

/// Writers of segments that do not share objects: as many as a relay tree has roots.
inline constexpr std::size_t kArchiveWriters = 4;
/// Objects of one writer. They hold what it wrote in the last 32 s at least, as a segment takes
/// records for 250 ms.
inline constexpr std::size_t kArchiveSlots = 128;

/// Name of the object that holds the history.
inline constexpr std::string_view kHistoryName = "history";
/// Name of the object that holds the writer's segment with this sequence.
std::string segmentName(std::size_t writer, std::uint64_t sequence);
/// Whether the name is that of one of the writer's objects.
bool isSegmentOf(std::size_t writer, const std::string& name);

}  // namespace calicodrift::stream_versions
