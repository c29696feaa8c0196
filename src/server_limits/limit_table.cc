#include "server_limits/limit_table.h"

#include <cmath>

namespace calicodrift::server_limits {
namespace {

/// Relative difference below which a limit counts as unchanged, so that fluctuations are not sent
/// to all nodes.
constexpr double kSameTolerance = 0.05;

bool isApproximately(double named, double known) {
  return std::abs(named - known) <= kSameTolerance * known;
}

bool isStricter(const LimitRecord& record, const LimitRecord& other) {
  if (record.limited != other.limited) {
    return record.limited;
  }
  return record.limited && record.perSecond < other.perSecond;
}

LimitVersion next(LimitVersion version) {
  return LimitVersion(version.value() + 1);
}

}  // namespace

bool LimitTable::recordAnswer(fleet::ServerKey server, LimitVersion seen,
                              std::optional<double> named) {
  const LimitRecord* found = find(server);
  const LimitRecord known = found == nullptr ? LimitRecord{server, LimitVersion()} : *found;
  const bool isNewer = seen >= known.version;
  if (!named) {
    return known.limited && isNewer && store({server, next(known.version)});
  }
  const bool raises = known.limited && *named > known.perSecond;
  const bool unchanged = known.limited && isApproximately(*named, known.perSecond);
  if (unchanged || (raises && !isNewer)) {
    return false;
  }
  return store({server, next(known.version), true, *named});
}

bool LimitTable::merge(const LimitRecord& record) {
  const LimitRecord* known = find(record.server);
  const bool isChange = known == nullptr || record.version > known->version ||
                        (record.version == known->version && isStricter(record, *known));
  return isChange && store(record);
}

bool LimitTable::store(const LimitRecord& record) {
  Entry& entry = entries_[record.server];
  countLimited_ -= entry.record.limited ? 1U : 0U;
  countLimited_ += record.limited ? 1U : 0U;
  entry.record = record;
  entry.changedAt = ++changes_;
  entry.unlistedOnce = false;
  return true;
}

const LimitRecord* LimitTable::find(fleet::ServerKey server) const {
  const auto found = entries_.find(server);
  return found == entries_.end() ? nullptr : &found->second.record;
}

LimitVersion LimitTable::versionOf(fleet::ServerKey server) const {
  const LimitRecord* known = find(server);
  return known == nullptr ? LimitVersion() : known->version;
}

std::optional<double> LimitTable::limitOf(fleet::ServerKey server) const {
  const LimitRecord* known = find(server);
  return known != nullptr && known->limited ? std::optional(known->perSecond) : std::nullopt;
}

std::vector<LimitRecord> LimitTable::changedSince(std::uint64_t change) const {
  std::vector<LimitRecord> records;
  for (const auto& [server, entry] : entries_) {
    if (entry.changedAt > change) {
      records.push_back(entry.record);
    }
  }
  return records;
}

std::vector<LimitRecord> LimitTable::limited() const {
  std::vector<LimitRecord> records;
  for (const auto& [server, entry] : entries_) {
    if (entry.record.limited) {
      records.push_back(entry.record);
    }
  }
  return records;
}

void LimitTable::removeUnlisted(const std::function<bool(fleet::ServerKey)>& isListed) {
  for (auto item = entries_.begin(); item != entries_.end();) {
    Entry& entry = item->second;
    const bool unlisted = !isListed(item->first);
    if (unlisted && entry.unlistedOnce) {
      countLimited_ -= entry.record.limited ? 1U : 0U;
      item = entries_.erase(item);
      continue;
    }
    entry.unlistedOnce = unlisted;
    ++item;
  }
}

}  // namespace calicodrift::server_limits
