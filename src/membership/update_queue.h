#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <tuple>
#include <vector>

#include "membership/member_table.h"

namespace calicodrift::membership {

/// News that is spread by attaching it to other messages. Each item is sent a bounded number of
/// times, least-sent and newest first; after O(log n) sendings by each node that heard it, all
/// have it but for a small chance, and comparing digests repairs the rest. Of a flood of news only
/// the least-sent kMaxItems are kept, so that new items don't wait behind it.
class UpdateQueue {
 public:
  static constexpr std::size_t kMaxItems = 128;

  /// Starts (again) to spread the record of `member`.
  void add(MemberKey member);
  /// Records of the table in at most `byteLimit` bytes, each counted as sent once. An item goes
  /// after `transmissionLimit` sendings.
  std::vector<MemberRecord> take(const MemberTable& table, std::size_t byteLimit,
                                 std::size_t transmissionLimit);
  bool empty() const { return order_.empty(); }
  std::size_t size() const { return order_.size(); }

 private:
  struct Item {
    std::size_t transmissions = 0;
    /// Falls with each addition, so that the newest comes first.
    std::int64_t rank = 0;
  };
  using OrderKey = std::tuple<std::size_t, std::int64_t, MemberKey>;

  std::map<MemberKey, Item> items_;
  std::set<OrderKey> order_;
  std::int64_t nextRank_ = 0;
};

}  // namespace calicodrift::membership
