#include "stream_versions/record_table.h"

#include <algorithm>

namespace calicodrift::stream_versions {

bool RecordTable::put(StreamKey stream, const SoftwareVersion& version, MonotonicTime now) {
  expire(now);
  const std::uint32_t position = positionOf(version);
  const auto [place, added] = records_.try_emplace(stream, Record{position, now});
  place->second.at = now;
  queue_.push_back({stream, now});
  const bool full = queue_.size() > kMaxRecords;
  if (full) {
    dropOldest();
  }
  return full;
}

std::optional<RecordTable::Found> RecordTable::find(StreamKey stream, MonotonicTime now) {
  expire(now);
  const auto found = records_.find(stream);
  if (found == records_.end()) {
    return std::nullopt;
  }
  return Found{versions_[found->second.version],
               std::chrono::duration_cast<Milliseconds>(now - found->second.at)};
}

void RecordTable::expire(MonotonicTime now) {
  while (!queue_.empty() && now - queue_.front().at > life_) {
    dropOldest();
  }
}

void RecordTable::dropOldest() {
  const Expiry oldest = queue_.front();
  queue_.pop_front();
  const auto found = records_.find(oldest.stream);
  if (found != records_.end() && found->second.at == oldest.at) {
    records_.erase(found);
  }
}

std::uint32_t RecordTable::positionOf(const SoftwareVersion& version) {
  const auto found = std::find(versions_.begin(), versions_.end(), version);
  if (found == versions_.end()) {
    versions_.push_back(version);
    return static_cast<std::uint32_t>(versions_.size() - 1);
  }
  return static_cast<std::uint32_t>(found - versions_.begin());
}

}  // namespace calicodrift::stream_versions
