#pragma once

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "common/clock.h"
#include "peer/directory.h"

namespace calicodrift::limits {

/// Which node owns which tenant's rate: the alive node with the highest rendezvous hash. A node
/// that leaves or comes changes the owner of its own part of the tenants only.
class OwnerView {
 public:
  /// Where to send a request for a tenant.
  struct Owner {
    Endpoint endpoint;
    bool self = false;
  };

  /// Reads the alive nodes; costs as much as listing them.
  void refresh(const peer::PeerDirectory& directory, MonotonicTime now);
  /// Valid after the first refresh().
  const Owner& ownerOf(std::uint64_t tenant) const;
  std::size_t aliveNodes() const { return members_.size(); }
  /// When the set of alive nodes (or an incarnation) last changed here.
  MonotonicTime changed() const { return changed_; }

 private:
  struct Member {
    std::uint64_t hash = 0;
    std::uint64_t incarnation = 0;
    Owner owner;
    bool operator<(const Member& other) const { return hash < other.hash; }
    bool sameAs(const Member& other) const {
      return hash == other.hash && incarnation == other.incarnation &&
             owner.endpoint == other.owner.endpoint;
    }
  };

  std::vector<Member> members_;
  MonotonicTime changed_{};
  /// Tenants looked up since the last change: position in members_.
  mutable std::unordered_map<std::uint64_t, std::size_t> known_;
};

}  // namespace calicodrift::limits
