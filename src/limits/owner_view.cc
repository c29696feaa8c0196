#include "limits/owner_view.h"

#include <algorithm>

#include "common/hashing.h"

namespace calicodrift::limits {

void OwnerView::refresh(const peer::PeerDirectory& directory, MonotonicTime now) {
  std::vector<Member> members;
  const auto add = [&members](const peer::PeerInfo& peer, bool self) {
    members.push_back(
        {hashBytes(peer.id.value()), peer.incarnation.value(), {peer.endpoint, self}});
  };
  add(directory.self(), true);
  for (const peer::PeerInfo& peer : directory.alivePeers()) {
    add(peer, false);
  }
  std::sort(members.begin(), members.end());
  const bool same =
      std::equal(members.begin(), members.end(), members_.begin(), members_.end(),
                 [](const Member& first, const Member& second) { return first.sameAs(second); });
  if (same) {
    return;
  }
  members_ = std::move(members);
  known_.clear();
  changed_ = now;
}

const OwnerView::Owner& OwnerView::ownerOf(std::uint64_t tenant) const {
  const auto found = known_.find(tenant);
  if (found != known_.end()) {
    return members_[found->second].owner;
  }
  std::size_t best = 0;
  std::uint64_t bestScore = 0;
  for (std::size_t index = 0; index < members_.size(); ++index) {
    const std::uint64_t score = hashPair(members_[index].hash, tenant);
    if (index == 0 || score > bestScore) {
      best = index;
      bestScore = score;
    }
  }
  known_[tenant] = best;
  return members_[best].owner;
}

}  // namespace calicodrift::limits
