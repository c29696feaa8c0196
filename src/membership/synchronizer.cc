#include "membership/synchronizer.h"

#include <algorithm>

namespace calicodrift::membership {
namespace {

/// 20 bytes each.
constexpr std::size_t kZonesPerMessage = 50;
/// 12 bytes each.
constexpr std::size_t kKeysPerPage = 80;
/// 8 bytes each.
constexpr std::size_t kKeysPerRequest = 40;

}  // namespace

void Synchronizer::onDigest(const Endpoint& from, const Digest& digest, MonotonicTime now) {
  if (digest == context_.table.digest() || now < nextComparison_) {
    return;
  }
  nextComparison_ = now + context_.jittered(2 * context_.settings.probeInterval);
  ++context_.counters.synchronizations;
  context_.messenger.send(
      from, ZoneSummaries{context_.table.summaries(kZonesPerMessage, context_.random)});
}

void Synchronizer::onZoneSummaries(const Endpoint& from, const ZoneSummaries& summaries) {
  std::vector<ZoneKey> zones = context_.table.differingZones(summaries.zones);
  std::shuffle(zones.begin(), zones.end(), context_.random);
  KeyPages pages;
  std::size_t bytes = 0;
  for (const ZoneKey zone : zones) {
    const MemberKey first = context_.random();
    KeyPage page = context_.table.keyPage(zone, first, kKeysPerPage);
    bytes += encodedBytes(page);
    if (bytes > Messenger::kRecordBytes) {
      break;
    }
    pages.pages.push_back(std::move(page));
  }
  if (!pages.pages.empty()) {
    context_.messenger.send(from, std::move(pages));
  }
}

void Synchronizer::onKeyPages(const Endpoint& from, const KeyPages& pages) {
  std::vector<MemberRecord> mine;
  RecordRequest wanted;
  for (const KeyPage& page : pages.pages) {
    compare(page, mine, wanted);
  }
  if (!mine.empty() || !wanted.members.empty()) {
    std::shuffle(mine.begin(), mine.end(), context_.random);
    context_.messenger.send(from, std::move(wanted), mine);
  }
}

void Synchronizer::compare(const KeyPage& page, std::vector<MemberRecord>& mine,
                           RecordRequest& wanted) {
  std::vector<MemberKey> theirs;
  theirs.reserve(page.members.size());
  for (const KeyedVersion& entry : page.members) {
    theirs.push_back(entry.member);
    const MemberRecord* record = context_.table.find(entry.member);
    const bool present = record != nullptr && record->present();
    if (present && static_cast<std::uint32_t>(versionHash(*record)) == entry.version) {
      continue;
    }
    if (record != nullptr) {
      mine.push_back(*record);
    }
    if (wanted.members.size() < kKeysPerRequest) {
      wanted.members.push_back(entry.member);
    }
  }
  std::sort(theirs.begin(), theirs.end());
  const KeyPage own = context_.table.keyPage(page.zone, 0, std::numeric_limits<std::size_t>::max());
  for (const KeyedVersion& entry : own.members) {
    const bool inRange = entry.member >= page.first && entry.member <= page.last;
    if (inRange && !std::binary_search(theirs.begin(), theirs.end(), entry.member)) {
      mine.push_back(*context_.table.find(entry.member));
    }
  }
}

void Synchronizer::onRecordRequest(const Endpoint& from, const RecordRequest& request) {
  std::vector<MemberRecord> records;
  for (const MemberKey member : request.members) {
    if (const MemberRecord* record = context_.table.find(member)) {
      records.push_back(*record);
    }
  }
  if (!records.empty()) {
    context_.messenger.send(from, Records{}, records);
  }
}

}  // namespace calicodrift::membership
