#include "exchange/save_log.h"

#include <algorithm>

#include "common/hashing.h"

namespace calicodrift::exchange {
namespace {

constexpr std::size_t kMostEntries = 4096;
constexpr std::size_t kMostPeers = 1024;

}  // namespace

void SaveLog::append(const std::vector<fleet::SavedPart>& parts, bool ownGroup,
                     const std::string& teller) {
  for (const fleet::SavedPart& part : parts) {
    entries_.push_back({part, ownGroup, hashBytes(teller)});
  }
  while (entries_.size() > kMostEntries) {
    entries_.pop_front();
    ++begin_;
  }
}

SaveBatch SaveLog::nextFor(const std::string& peer, bool ownGroupOnly) const {
  const auto told = told_.find(peer);
  const std::uint64_t peerHash = hashBytes(peer);
  SaveBatch batch;
  batch.end = begin_ + entries_.size();
  const std::uint64_t first = told == told_.end() ? begin_ : std::max(told->second, begin_);
  for (std::uint64_t number = first; number < batch.end; ++number) {
    const Entry& entry = entries_[number - begin_];
    if ((entry.ownGroup || !ownGroupOnly) && entry.teller != peerHash) {
      batch.parts.push_back(entry.part);
    }
  }
  return batch;
}

void SaveLog::adoptPeer(const std::string& peer) {
  if (!told_.contains(peer)) {
    setTold(peer, begin_ + entries_.size());
  }
}

void SaveLog::setTold(const std::string& peer, std::uint64_t end) {
  if (told_.size() >= kMostPeers && !told_.contains(peer)) {
    told_.clear();
  }
  told_[peer] = end;
}

}  // namespace calicodrift::exchange
