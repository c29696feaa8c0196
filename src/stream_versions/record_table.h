#pragma once

#include <cstddef>
#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

#include "common/clock.h"
#include "common/ids.h"
#include "stream_versions/messages.h"

namespace calicodrift::stream_versions {

/// The versions of streams that this node keeps, its own and those of other nodes, each for the
/// same time. Does no I/O; callers pass the time.
class RecordTable {
 public:
  /// @param life how long a record is kept.
  explicit RecordTable(Milliseconds life) : life_(life) {}

  /// Adds a record. The version of a stream never changes: a later record of it only renews it.
  /// Returns whether an older record was dropped for want of room.
  bool put(StreamKey stream, const SoftwareVersion& version, MonotonicTime now);
  /// The version of the stream, and how old its record is.
  struct Found {
    SoftwareVersion version;
    Milliseconds age{0};
  };
  std::optional<Found> find(StreamKey stream, MonotonicTime now);
  std::size_t size() const { return records_.size(); }

  /// Some 5 MB.
  static constexpr std::size_t kMaxRecords = 65'536;

 private:
  struct Record {
    /// Position in versions_.
    std::uint32_t version = 0;
    MonotonicTime at;
  };
  struct Expiry {
    StreamKey stream;
    MonotonicTime at;
  };

  void expire(MonotonicTime now);
  /// Drops the oldest entry of the queue, and its record unless that was renewed.
  void dropOldest();
  std::uint32_t positionOf(const SoftwareVersion& version);

  Milliseconds life_;
  std::unordered_map<StreamKey, Record> records_;
  /// In the order in which the records were put.
  std::deque<Expiry> queue_;
  /// Each version that was ever recorded, once.
  std::vector<SoftwareVersion> versions_;
};

}  // namespace calicodrift::stream_versions
