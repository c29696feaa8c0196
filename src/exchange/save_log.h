#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "exchange/messages.h"

namespace calicodrift::exchange {

/// Saves for one peer.
struct SaveBatch {
  std::vector<fleet::SavedPart> parts;
  /// Number of the first entry behind it.
  std::uint64_t end = 0;
};

/// A node's recent list of cached prompt parts that were saved to a store, and how far each peer
/// has been told. Bounded: a peer that falls behind misses the oldest, which costs a second save.
class SaveLog {
 public:
  /// @param ownGroup whether a node below this one, or itself, saved them; only those are told to
  ///   its parent and to other roots.
  /// @param teller the peer that told of them, which is not told of them again; empty: this node.
  void append(const std::vector<fleet::SavedPart>& parts, bool ownGroup,
              const std::string& teller = "");
  /// What this peer has not been told.
  SaveBatch nextFor(const std::string& peer, bool ownGroupOnly) const;
  /// The peer has restarted and knows nothing.
  void forgetPeer(const std::string& peer) { told_.erase(peer); }
  /// The peer has been told of all entries before `end`.
  void setTold(const std::string& peer, std::uint64_t end);
  /// The peer comes from another relay, which has told it what is older.
  void adoptPeer(const std::string& peer);

 private:
  struct Entry {
    fleet::SavedPart part;
    bool ownGroup = false;
    /// Hash of the teller's name.
    std::uint64_t teller = 0;
  };

  std::deque<Entry> entries_;
  /// Number of the first entry.
  std::uint64_t begin_ = 0;
  std::map<std::string, std::uint64_t> told_;
};

}  // namespace calicodrift::exchange
