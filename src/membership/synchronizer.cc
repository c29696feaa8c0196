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
  const std::vector<ZoneKey> zones = context_.table.differingZones(summaries.zones);
  if (zones.empty()) {
    return;
  }
  std::uniform_int_distribution<std::size_t> index(0, zones.size() - 1);
  const ZoneKey zone = zones[index(context_.random)];
  const MemberKey first = context_.random();
  context_.messenger.send(from, context_.table.keyPage(zone, first, kKeysPerPage));
}

void Synchronizer::onKeyPage(const Endpoint& from, const KeyPage& page) {
  std::vector<MemberRecord> mine;
  RecordRequest wanted;
  std::vector<MemberKey> theirs;
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
  if (!mine.empty() || !wanted.members.empty()) {
    std::shuffle(mine.begin(), mine.end(), context_.random);
    context_.messenger.send(from, std::move(wanted), mine);
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
