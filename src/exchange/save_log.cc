#include "exchange/save_log.h"

#include <algorithm>

#include "common/hashing.h"

namespace calicodrift::exchange {
namespace {

constexpr std::size_t kMaxEntries = 4096;
constexpr std::size_t kMaxPeers = 1024;

}  // namespace

void SaveLog::append(const std::vector<fleet::SavedPart>& parts, bool ownGroup,
                     const std::string& source) {
  for (const fleet::SavedPart& part : parts) {
    entries_.push_back({part, ownGroup, hashBytes(source)});
  }
  while (entries_.size() > kMaxEntries) {
    entries_.pop_front();
    ++begin_;
  }
}

SaveBatch SaveLog::pendingFor(const std::string& peer, bool ownGroupOnly) const {
  const auto sentEnd = sentEnd_.find(peer);
  const std::uint64_t peerHash = hashBytes(peer);
  SaveBatch batch;
  batch.end = begin_ + entries_.size();
  const std::uint64_t first =
      sentEnd == sentEnd_.end() ? begin_ : std::max(sentEnd->second, begin_);
  for (std::uint64_t number = first; number < batch.end; ++number) {
    const Entry& entry = entries_[number - begin_];
    if ((entry.ownGroup || !ownGroupOnly) && entry.source != peerHash) {
      batch.parts.push_back(entry.part);
    }
  }
  return batch;
}

void SaveLog::addPeer(const std::string& peer) {
  if (!sentEnd_.contains(peer)) {
    markSent(peer, begin_ + entries_.size());
  }
}

void SaveLog::markSent(const std::string& peer, std::uint64_t end) {
  if (sentEnd_.size() >= kMaxPeers && !sentEnd_.contains(peer)) {
    sentEnd_.clear();
  }
  sentEnd_[peer] = end;
}

}  // namespace calicodrift::exchange
