#include "membership/member_table.h"

#include <algorithm>

namespace calicodrift::membership {
namespace {

MemberChange classify(const MemberRecord& old, const MemberRecord& record) {
  switch (record.state) {
    case MemberState::kSuspect:
      return old.present() ? MemberChange::kSuspected : MemberChange::kJoined;
    case MemberState::kDead:
      return MemberChange::kDied;
    case MemberState::kLeft:
      return MemberChange::kLeft;
    case MemberState::kAlive:
      break;
  }
  if (!old.present()) {
    return MemberChange::kJoined;
  }
  if (record.info.incarnation > old.info.incarnation) {
    return MemberChange::kRestarted;
  }
  return old.state == MemberState::kSuspect ? MemberChange::kRefuted : MemberChange::kUpdated;
}

}  // namespace

std::string_view toString(MemberChange change) {
  switch (change) {
    case MemberChange::kJoined:
      return "joined";
    case MemberChange::kRestarted:
      return "restarted";
    case MemberChange::kSuspected:
      return "suspected";
    case MemberChange::kRefuted:
      return "refuted";
    case MemberChange::kDied:
      return "died";
    case MemberChange::kLeft:
      return "left";
    case MemberChange::kUpdated:
      return "updated";
  }
  return "unknown";
}

MemberTable::MemberTable(const MemberRecord& self) : selfKey_(keyOf(self.info.id)) {
  apply(self, MonotonicTime{});
}

const MemberRecord* MemberTable::find(MemberKey key) const {
  const auto found = members_.find(key);
  return found == members_.end() ? nullptr : &found->second.record;
}

std::optional<MemberChange> MemberTable::apply(const MemberRecord& record, MonotonicTime now) {
  const MemberKey key = keyOf(record.info.id);
  const auto [position, added] = members_.try_emplace(key, Entry{record, now});
  Entry& entry = position->second;
  if (added) {
    include(key, entry.record);
    return record.present() ? std::optional(MemberChange::kJoined) : std::nullopt;
  }
  if (!record.supersedes(entry.record)) {
    return std::nullopt;
  }
  const bool wasPresent = entry.record.present();
  const MemberChange change = classify(entry.record, record);
  exclude(key, entry.record);
  entry = Entry{record, now};
  include(key, entry.record);
  return wasPresent || record.present() ? std::optional(change) : std::nullopt;
}

void MemberTable::include(MemberKey key, const MemberRecord& record) {
  if (record.state == MemberState::kDead) {
    dead_.insert(key);
  }
  if (!record.present()) {
    return;
  }
  const std::uint64_t hash = versionHash(record);
  Zone& zone = zones_[keyOf(record.info.zone)];
  zone.present[key] = &record;
  for (Digest* digest : {&zone.digest, &digest_}) {
    ++digest->count;
    digest->hash += hash;
  }
}

void MemberTable::exclude(MemberKey key, const MemberRecord& record) {
  dead_.erase(key);
  if (!record.present()) {
    return;
  }
  const std::uint64_t hash = versionHash(record);
  const auto zone = zones_.find(keyOf(record.info.zone));
  for (Digest* digest : {&zone->second.digest, &digest_}) {
    --digest->count;
    digest->hash -= hash;
  }
  zone->second.present.erase(key);
  if (zone->second.present.empty()) {
    zones_.erase(zone);
  }
}

void MemberTable::forgetTombstones(MonotonicTime now, Milliseconds retention) {
  for (auto position = members_.begin(); position != members_.end();) {
    const Entry& entry = position->second;
    if (!entry.record.present() && now - entry.changed > retention) {
      dead_.erase(position->first);
      position = members_.erase(position);
    } else {
      ++position;
    }
  }
}

void MemberTable::forEachPresent(const std::function<void(const MemberRecord&)>& visit) const {
  for (const auto& [zoneKey, zone] : zones_) {
    for (const auto& [key, record] : zone.present) {
      visit(*record);
    }
  }
}

std::vector<ZoneSummary> MemberTable::summaries(std::size_t limit, std::mt19937_64& random) const {
  std::vector<ZoneSummary> all;
  all.reserve(zones_.size());
  for (const auto& [key, zone] : zones_) {
    all.push_back({key, zone.digest});
  }
  if (all.size() > limit) {
    std::shuffle(all.begin(), all.end(), random);
    all.resize(limit);
  }
  return all;
}

std::vector<ZoneKey> MemberTable::differingZones(const std::vector<ZoneSummary>& others) const {
  std::vector<ZoneKey> differing;
  std::uint32_t described = 0;
  for (const ZoneSummary& other : others) {
    const auto mine = zones_.find(other.zone);
    described += mine == zones_.end() ? 0 : 1;
    if (mine == zones_.end() || mine->second.digest != other.digest) {
      differing.push_back(other.zone);
    }
  }
  if (described == zones_.size()) {
    return differing;
  }
  for (const auto& [key, zone] : zones_) {
    const bool known = std::any_of(others.begin(), others.end(),
                                   [key = key](const auto& other) { return other.zone == key; });
    if (!known) {
      differing.push_back(key);
    }
  }
  return differing;
}

KeyPage MemberTable::keyPage(ZoneKey zone, MemberKey first, std::size_t limit) const {
  KeyPage page{zone, first, std::numeric_limits<MemberKey>::max(), {}};
  const auto found = zones_.find(zone);
  if (found == zones_.end()) {
    page.first = 0;
    return page;
  }
  const auto& present = found->second.present;
  if (present.size() <= limit) {
    page.first = 0;
  }
  for (auto member = present.lower_bound(page.first); member != present.end(); ++member) {
    if (page.members.size() == limit) {
      page.last = page.members.back().member;
      break;
    }
    const auto version = static_cast<std::uint32_t>(versionHash(*member->second));
    page.members.push_back({member->first, version});
  }
  return page;
}

std::vector<MemberRecord> MemberTable::page(const PageRequest& request, std::size_t byteLimit,
                                            Page& page) const {
  std::vector<MemberRecord> records;
  std::size_t bytes = 0;
  MemberKey first = request.from.member;
  for (auto zone = zones_.lower_bound(request.from.zone);
       zone != zones_.end() && zone->first <= request.lastZone; ++zone) {
    if (zone->first != request.from.zone) {
      first = 0;
    }
    const auto& present = zone->second.present;
    for (auto member = present.lower_bound(first); member != present.end(); ++member) {
      bytes += encodedBytes(*member->second);
      if (bytes > byteLimit) {
        page = Page{Cursor{zone->first, member->first}, true};
        return records;
      }
      records.push_back(*member->second);
    }
  }
  page = Page{};
  return records;
}

}  // namespace calicodrift::membership
