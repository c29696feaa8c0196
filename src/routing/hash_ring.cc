#include "routing/hash_ring.h"

#include <algorithm>

namespace calicodrift::routing {

void HashRing::add(std::uint64_t hash, std::size_t position) {
  points_.push_back({hash, position});
  ++pointMoves_;
}

void HashRing::remove(std::uint64_t hash, std::size_t position) {
  const auto place = find(hash, position);
  pointMoves_ += static_cast<std::size_t>(points_.end() - place);
  points_.erase(place);
  sorted_ = points_.size();
}

void HashRing::move(std::uint64_t hash, std::size_t from, std::size_t to) {
  // Points of equal hashes, which are rare, may be out of order until the next merge() has sorted
  // them; so the point is added anew.
  const auto place = find(hash, from);
  const bool alone = (place == points_.begin() || std::prev(place)->hash != hash) &&
                     (std::next(place) == points_.end() || std::next(place)->hash != hash);
  if (alone) {
    place->position = to;
    return;
  }
  remove(hash, from);
  add(hash, to);
}

const HashRing::Point& HashRing::firstFrom(std::uint64_t hash) const {
  merge();
  const auto found = std::lower_bound(points_.begin(), points_.end(), Point{hash, 0});
  return found == points_.end() ? points_.front() : *found;
}

void HashRing::merge() const {
  if (sorted_ == points_.size()) {
    return;
  }
  const auto added = points_.begin() + static_cast<std::ptrdiff_t>(sorted_);
  std::sort(added, points_.end());
  const auto first = std::upper_bound(points_.begin(), added, *added);
  pointMoves_ += static_cast<std::size_t>(points_.end() - first);
  std::inplace_merge(first, added, points_.end());
  sorted_ = points_.size();
}

HashRing::Points::iterator HashRing::find(std::uint64_t hash, std::size_t position) const {
  merge();
  return std::lower_bound(points_.begin(), points_.end(), Point{hash, position});
}

}  // namespace calicodrift::routing
