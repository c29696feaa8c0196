#pragma once

#include "membership/context.h"

namespace calicodrift::membership {

/// Finds and repairs differences between two nodes' tables that spreading news has left: digest of
/// all, then digests of zones, then a page of one zone's keys, then the records that differ. Each
/// step is one bounded message, and a node starts at most one comparison in two probe periods.
class Synchronizer {
 public:
  explicit Synchronizer(MembershipContext& context) : context_(context) {}

  /// A message from `from` carried `digest`.
  void onDigest(const Endpoint& from, const Digest& digest, MonotonicTime now);
  void onZoneSummaries(const Endpoint& from, const ZoneSummaries& summaries);
  void onKeyPage(const Endpoint& from, const KeyPage& page);
  void onRecordRequest(const Endpoint& from, const RecordRequest& request);

 private:
  MembershipContext& context_;
  MonotonicTime nextComparison_{};
};

}  // namespace calicodrift::membership
