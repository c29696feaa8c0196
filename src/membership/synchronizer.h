#pragma once

#include "membership/context.h"

namespace calicodrift::membership {

/// Finds and repairs differences between two nodes' tables that spreading news has left: digest of
/// all, then digests of zones, then pages of the keys of zones, then the records that differ. Each
/// step is one bounded message, and a node starts at most one comparison in two probe periods.
class Synchronizer {
 public:
  explicit Synchronizer(MembershipContext& context) : context_(context) {}

  /// A message from `from` carried `digest`.
  void onDigest(const Endpoint& from, const Digest& digest, MonotonicTime now);
  void onZoneSummaries(const Endpoint& from, const ZoneSummaries& summaries);
  void onKeyPages(const Endpoint& from, const KeyPages& pages);
  void onRecordRequest(const Endpoint& from, const RecordRequest& request);

 private:
  /// Adds what `page` shows to differ: own records to send, and keys to ask for.
  void compare(const KeyPage& page, std::vector<MemberRecord>& mine, RecordRequest& wanted);

  MembershipContext& context_;
  MonotonicTime nextComparison_{};
};

}  // namespace calicodrift::membership
