#include "routing/candidate_set.h"

#include <algorithm>

#include "common/hashing.h"

namespace calicodrift::routing {

std::size_t requestsAt(const Candidate& candidate) {
  return std::max(candidate.outstanding + candidate.peerRequests, candidate.reportedRequests);
}

std::size_t prefillTokensAt(const Candidate& candidate) {
  return candidate.reportedPrefillTokens + candidate.sentPrefillTokens +
         candidate.peerPrefillTokens;
}

std::size_t tokensAt(const Candidate& candidate) {
  return candidate.outstandingTokens + candidate.peerTokens;
}

std::optional<std::size_t> CandidateSet::find(const BackendId& id) const {
  const auto found = positions_.find(id);
  if (found == positions_.end()) {
    return std::nullopt;
  }
  return found->second;
}

void CandidateSet::put(Candidate candidate) {
  totalRequests_ += requestsAt(candidate);
  totalPrefillTokens_ += prefillTokensAt(candidate);
  distantCount_ += candidate.nearby ? 0 : 1;
  if (const auto position = find(candidate.id)) {
    Candidate& old = candidates_[*position];
    totalRequests_ -= requestsAt(old);
    totalPrefillTokens_ -= prefillTokensAt(old);
    distantCount_ -= old.nearby ? 0 : 1;
    old = std::move(candidate);
    return;
  }
  const std::size_t position = candidates_.size();
  const std::uint64_t hash = hashBytes(candidate.id.value());
  positions_[candidate.id] = position;
  idHashes_.push_back(hash);
  candidates_.push_back(std::move(candidate));
  ring_.add(hash, position);
}

void CandidateSet::erase(const BackendId& id) {
  const auto found = positions_.find(id);
  if (found == positions_.end()) {
    return;
  }
  const std::size_t position = found->second;
  const std::size_t last = candidates_.size() - 1;
  totalRequests_ -= requestsAt(candidates_[position]);
  totalPrefillTokens_ -= prefillTokensAt(candidates_[position]);
  distantCount_ -= candidates_[position].nearby ? 0 : 1;
  ring_.remove(idHashes_[position], position);
  positions_.erase(found);
  if (position != last) {
    ring_.move(idHashes_[last], last, position);
    candidates_[position] = std::move(candidates_[last]);
    idHashes_[position] = idHashes_[last];
    positions_[candidates_[position].id] = position;
  }
  candidates_.pop_back();
  idHashes_.pop_back();
}

std::vector<std::size_t> CandidateSet::inAffinityOrder(std::uint64_t key, std::size_t count) const {
  std::vector<Ranked> ranked = size() <= kSmallSetSize ? rankAll(key) : rankByProbes(key, count);
  const std::size_t wanted = std::min(count, ranked.size());
  const auto end = ranked.begin() + static_cast<std::ptrdiff_t>(wanted);
  std::partial_sort(ranked.begin(), end, ranked.end(), [](const Ranked& left, const Ranked& right) {
    return left.order < right.order;
  });
  std::vector<std::size_t> positions;
  positions.reserve(wanted);
  for (std::size_t index = 0; index < wanted; ++index) {
    positions.push_back(ranked[index].position);
  }
  return positions;
}

std::vector<std::size_t> CandidateSet::inAffinityOrderNearbyFirst(std::uint64_t key,
                                                                  std::size_t count) const {
  if (allNearby()) {
    return inAffinityOrder(key, count);
  }
  // In a large set only some candidates are ranked: enough that a region with an eighth of the
  // candidates is represented.
  constexpr std::size_t kRegions = 8;
  const std::size_t ranked = size() <= kSmallSetSize ? size() : count * kRegions;
  std::vector<std::size_t> nearby;
  std::vector<std::size_t> others;
  for (const std::size_t position : inAffinityOrder(key, ranked)) {
    std::vector<std::size_t>& part = candidates_[position].nearby ? nearby : others;
    if (part.size() < count) {
      part.push_back(position);
    }
  }
  nearby.insert(nearby.end(), others.begin(), others.end());
  return nearby;
}

void CandidateSet::sortByAffinity(std::vector<std::size_t>& positions, std::size_t count,
                                  std::uint64_t key) const {
  const auto end = positions.begin() + static_cast<std::ptrdiff_t>(count);
  std::sort(positions.begin(), end, [&](std::size_t left, std::size_t right) {
    return hashPair(idHashes_[left], key) < hashPair(idHashes_[right], key);
  });
}

std::vector<CandidateSet::Ranked> CandidateSet::rankAll(std::uint64_t key) const {
  std::vector<Ranked> ranked;
  ranked.reserve(size());
  for (std::size_t position = 0; position < size(); ++position) {
    ranked.push_back({hashPair(idHashes_[position], key), position});
  }
  return ranked;
}

std::vector<CandidateSet::Ranked> CandidateSet::rankByProbes(std::uint64_t key,
                                                             std::size_t count) const {
  // Several probes per requested position: the nearest points of many probes are spread far more
  // evenly over the candidates than the arcs of one probe.
  constexpr std::size_t kProbesPerPosition = 4;
  std::vector<Ranked> ranked;
  ranked.reserve(count * kProbesPerPosition);
  for (std::size_t probe = 0; probe < count * kProbesPerPosition; ++probe) {
    const std::uint64_t hash = hashPair(key, probe);
    const HashRing::Point& point = ring_.firstFrom(hash);
    const Ranked found{point.hash - hash, point.position};
    const auto same = std::find_if(ranked.begin(), ranked.end(), [&found](const Ranked& other) {
      return other.position == found.position;
    });
    if (same == ranked.end()) {
      ranked.push_back(found);
    } else {
      same->order = std::min(same->order, found.order);
    }
  }
  return ranked;
}

}  // namespace calicodrift::routing
