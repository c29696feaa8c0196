#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "exchange/messages.h"

namespace calicodrift::exchange {

/// A relay's recent list of cached prompt parts that were saved to a store, and how far each peer
/// has been told. Bounded: a peer that falls behind misses the oldest, which costs a second save.
class SaveLog {
 public:
  /// @param ownGroup whether this relay's group saved them; only those are told to other relays.
  void append(const std::vector<fleet::SavedPart>& parts, bool ownGroup);
  /// What came since the last call for this peer.
  std::vector<fleet::SavedPart> nextFor(const std::string& peer, bool ownGroupOnly);

 private:
  struct Entry {
    fleet::SavedPart part;
    bool ownGroup = false;
  };

  std::deque<Entry> entries_;
  /// Number of the first entry.
  std::uint64_t begin_ = 0;
  std::map<std::string, std::uint64_t> told_;
};

}  // namespace calicodrift::exchange
