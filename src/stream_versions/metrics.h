#pragma once

#include <string_view>

#include "metrics/metrics.h"

namespace calicodrift::stream_versions {

/// Metrics of the stream_versions module.
class StreamVersionMetrics {
 public:
  explicit StreamVersionMetrics(prometheus::Registry& registry);

  /// Counts a stream of this node whose version was recorded.
  void countRecorded() { recorded_.Increment(); }
  /// Counts a record of another node.
  void countKept() { kept_.Increment(); }
  /// Counts a record that was dropped before its time for want of room.
  void countShed() { shed_.Increment(); }
  /// Counts a write to the store of records that must outlive all nodes.
  void countArchiveWrite(bool written) {
    (written ? archiveWrites_ : failedArchiveWrites_).Increment();
  }
  /// Counts a read of the list of servers for a return without a record.
  void countProof(bool read) { (read ? proofs_ : failedProofs_).Increment(); }
  /// Counts a time at which servers may have come and gone unseen.
  void countMissedChanges() { missedChanges_.Increment(); }
  void countUnreadable() { unreadable_.Increment(); }
  /// Counts a caller's return to a stream, by how its version was known.
  void countResolved(std::string_view source);
  void setRecords(std::size_t count) { records_.Set(static_cast<double>(count)); }
  void setKeepers(std::size_t count) { keepers_.Set(static_cast<double>(count)); }

 private:
  prometheus::Counter& recorded_;
  prometheus::Counter& kept_;
  prometheus::Counter& shed_;
  prometheus::Counter& archiveWrites_;
  prometheus::Counter& failedArchiveWrites_;
  prometheus::Counter& proofs_;
  prometheus::Counter& failedProofs_;
  prometheus::Counter& missedChanges_;
  prometheus::Counter& unreadable_;
  prometheus::Family<prometheus::Counter>& resolved_;
  prometheus::Gauge& records_;
  prometheus::Gauge& keepers_;
};

}  // namespace calicodrift::stream_versions
