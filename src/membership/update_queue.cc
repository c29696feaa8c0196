#include "membership/update_queue.h"

#include <iterator>

namespace calicodrift::membership {

void UpdateQueue::add(MemberKey member) {
  Item& item = items_[member];
  order_.erase({item.transmissions, item.rank, member});
  item = Item{0, --nextRank_};
  order_.insert({item.transmissions, item.rank, member});
  if (order_.size() > kMaxItems) {
    const auto last = std::prev(order_.end());
    items_.erase(std::get<2>(*last));
    order_.erase(last);
  }
}

std::vector<MemberRecord> UpdateQueue::take(const MemberTable& table, std::size_t byteLimit,
                                            std::size_t transmissionLimit) {
  std::vector<MemberRecord> records;
  std::vector<MemberKey> taken;
  std::size_t bytes = 0;
  for (const auto& [transmissions, rank, member] : order_) {
    const MemberRecord* record = table.find(member);
    const std::size_t size = record == nullptr ? 0 : encodedBytes(*record);
    if (bytes + size > byteLimit) {
      break;
    }
    taken.push_back(member);
    if (record != nullptr) {
      bytes += size;
      records.push_back(*record);
    }
  }
  for (const MemberKey member : taken) {
    Item& item = items_.at(member);
    order_.erase({item.transmissions, item.rank, member});
    ++item.transmissions;
    if (item.transmissions >= transmissionLimit || table.find(member) == nullptr) {
      items_.erase(member);
    } else {
      order_.insert({item.transmissions, item.rank, member});
    }
  }
  return records;
}

}  // namespace calicodrift::membership
