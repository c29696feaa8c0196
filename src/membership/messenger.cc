#include "membership/messenger.h"

#include <algorithm>
#include <bit>

#include "peer/codec.h"

namespace calicodrift::membership {
namespace {

/// Bytes that a large body leaves less for records.
std::size_t largeBodyBytes(const Body& body) {
  if (const auto* pages = std::get_if<KeyPages>(&body)) {
    std::size_t bytes = 0;
    for (const KeyPage& page : pages->pages) {
      bytes += encodedBytes(page);
    }
    return bytes;
  }
  if (const auto* summaries = std::get_if<ZoneSummaries>(&body)) {
    return summaries->zones.size() * sizeof(ZoneSummary);
  }
  if (const auto* request = std::get_if<RecordRequest>(&body)) {
    return request->members.size() * sizeof(MemberKey);
  }
  return 0;
}

}  // namespace

std::size_t Messenger::transmissionLimit() const {
  constexpr std::size_t kPerDoubling = 1;
  // bit_width(n) is log2 rounded up, and at least 1 as self is counted.
  return kPerDoubling * static_cast<std::size_t>(std::bit_width(table_.presentCount() + 1));
}

void Messenger::send(const Endpoint& to, Body body, const std::vector<MemberRecord>& records) {
  const MemberRecord& self = table_.self();
  const std::size_t taken = std::min(largeBodyBytes(body), kRecordBytes);
  std::size_t left = kRecordBytes - taken;
  Envelope envelope{{self.info.id, self.info.incarnation, self.refutations},
                    table_.digest(),
                    std::move(body),
                    {}};
  for (const MemberRecord& record : records) {
    const std::size_t size = encodedBytes(record);
    if (size > left) {
      break;
    }
    left -= size;
    envelope.records.push_back(record);
  }
  if (spreadsRecords(envelope.body)) {
    const std::vector<MemberRecord> news =
        news_.take(table_, std::min(left, kNewsBytes), transmissionLimit());
    envelope.records.insert(envelope.records.end(), news.begin(), news.end());
  }
  transport_.send(to, peer::Channel::kMembership, peer::encode(envelope));
}

}  // namespace calicodrift::membership
