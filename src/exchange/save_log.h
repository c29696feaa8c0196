#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "exchange/messages.h"

namespace calicodrift::exchange {

/// Saves to send to one peer.
struct SaveBatch {
  std::vector<fleet::SavedPart> parts;
  /// Sequence number after the last entry of the batch.
  std::uint64_t end = 0;
};

/// Log of recently saved prompt parts, with the position up to which each peer has been sent them.
/// Bounded: a peer that falls behind misses the oldest entries, which costs a second save.
class SaveLog {
 public:
  /// @param ownGroup whether this node or a node below it saved the parts; only those are sent to
  /// the parent and to other roots.
  /// @param source peer that reported the parts and is not sent them again; empty for this node.
  void append(const std::vector<fleet::SavedPart>& parts, bool ownGroup,
              const std::string& source = "");
  /// Returns the entries that the peer has not been sent.
  SaveBatch pendingFor(const std::string& peer, bool ownGroupOnly) const;
  /// Resets a peer that has restarted, so that it is sent all entries again.
  void resetPeer(const std::string& peer) { sentEnd_.erase(peer); }
  /// Records that the peer has been sent all entries before `end`.
  void markSent(const std::string& peer, std::uint64_t end);
  /// Adds a peer that was attached to another relay, which has already sent it the older entries.
  void addPeer(const std::string& peer);

 private:
  struct Entry {
    fleet::SavedPart part;
    bool ownGroup = false;
    /// Hash of the source's name.
    std::uint64_t source = 0;
  };

  std::deque<Entry> entries_;
  /// Sequence number of the first entry.
  std::uint64_t begin_ = 0;
  std::map<std::string, std::uint64_t> sentEnd_;
};

}  // namespace calicodrift::exchange
