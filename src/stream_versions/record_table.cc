#include "stream_versions/record_table.h"

namespace calicodrift::stream_versions {

bool RecordTable::put(StreamKey stream, const SoftwareVersion& version, MonotonicTime now) {
  expire(now);
  const auto [place, added] = records_.try_emplace(stream, Record{{}, now});
  if (added) {
    place->second.version = versions_.try_emplace(version, 0).first;
    ++place->second.version->second;
  }
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
  return Found{found->second.version->first,
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
    if (--found->second.version->second == 0) {
      versions_.erase(found->second.version);
    }
    records_.erase(found);
  }
}

}  // namespace calicodrift::stream_versions
