#include "exchange/save_log.h"

#include <algorithm>

namespace calicodrift::exchange {
namespace {

constexpr std::size_t kMostEntries = 4096;
constexpr std::size_t kMostPeers = 1024;

}  // namespace

void SaveLog::append(const std::vector<fleet::SavedPart>& parts, bool ownGroup) {
  for (const fleet::SavedPart& part : parts) {
    entries_.push_back({part, ownGroup});
  }
  while (entries_.size() > kMostEntries) {
    entries_.pop_front();
    ++begin_;
  }
}

std::vector<fleet::SavedPart> SaveLog::nextFor(const std::string& peer, bool ownGroupOnly) {
  if (told_.size() >= kMostPeers && !told_.contains(peer)) {
    told_.clear();
  }
  std::uint64_t& told = told_[peer];
  std::vector<fleet::SavedPart> next;
  for (std::uint64_t number = std::max(told, begin_); number < begin_ + entries_.size(); ++number) {
    const Entry& entry = entries_[number - begin_];
    if (entry.ownGroup || !ownGroupOnly) {
      next.push_back(entry.part);
    }
  }
  told = begin_ + entries_.size();
  return next;
}

}  // namespace calicodrift::exchange
