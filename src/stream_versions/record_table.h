#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <unordered_map>

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
  /// Each version that a record holds, once, and the number of these records.
  using Versions = std::map<SoftwareVersion, std::size_t>;
  struct Record {
    Versions::iterator version;
    MonotonicTime at;
  };
  struct Expiry {
    StreamKey stream;
    MonotonicTime at;
  };

  void expire(MonotonicTime now);
  /// Drops the oldest entry of the queue, and its record unless that was renewed.
  void dropOldest();
  Milliseconds life_;
  std::unordered_map<StreamKey, Record> records_;
  /// In the order in which the records were put.
  std::deque<Expiry> queue_;
  Versions versions_;
};

}  // namespace calicodrift::stream_versions
