#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace calicodrift::routing {

/// Points on a ring of 64-bit hashes, each with the position of the candidate that it stands for.
///
/// Points that were added since the last lookup are kept apart and merged by the next one, so that
/// adding n points costs O(n log n) in all, not O(n) each. A lookup takes O(log n).
class HashRing {
 public:
  struct Point {
    std::uint64_t hash = 0;
    std::size_t position = 0;

    auto operator<=>(const Point&) const = default;
  };

  bool empty() const { return points_.empty(); }
  std::size_t size() const { return points_.size(); }
  void add(std::uint64_t hash, std::size_t position);
  /// Removes the point, which must be on the ring.
  void remove(std::uint64_t hash, std::size_t position);
  /// Changes the position of the point, which must be on the ring.
  void move(std::uint64_t hash, std::size_t from, std::size_t to);
  /// The first point at or after the hash, around the ring. The ring must not be empty.
  const Point& firstFrom(std::uint64_t hash) const;
  /// Number of times that a point was written to another place in memory; a measure of the cost of
  /// changes.
  std::size_t pointMoves() const { return pointMoves_; }

 private:
  using Points = std::vector<Point>;

  /// Merges the added points.
  void merge() const;
  Points::iterator find(std::uint64_t hash, std::size_t position) const;

  /// The first `sorted_` points are in order. A lookup changes the order of the points only, so
  /// that it counts as const.
  mutable Points points_;
  mutable std::size_t sorted_ = 0;
  mutable std::size_t pointMoves_ = 0;
};

}  // namespace calicodrift::routing
