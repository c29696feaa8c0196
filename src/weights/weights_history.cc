#include "weights/weights_history.h"

#include <algorithm>

namespace calicodrift::weights {
namespace {

/// More versions than are in use at once, so a dropped version expired long before.
constexpr std::size_t kMaxNamings = 16;

/// Expiry after two consecutive gaps: the earlier one, or that of the second gap if the first has
/// passed.
MonotonicTime combineExpiries(MonotonicTime before, MonotonicTime after, MonotonicTime now) {
  return now < before ? std::min(before, after) : after;
}

}  // namespace

std::string_view toString(NamingSource source) {
  switch (source) {
    case NamingSource::kObserved:
      return "seen";
    case NamingSource::kDiscovered:
      return "found";
    case NamingSource::kReportedByPeer:
      return "told";
  }
  return "found";
}

void WeightsHistory::addObserved(WeightsVersion version, MonotonicTime now, Milliseconds maxDelay) {
  // Known versions keep the time at which they were first observed.
  namings_.emplace(version, Naming{now - maxDelay, now, NamingSource::kObserved});
  while (namings_.size() > kMaxNamings) {
    namings_.erase(namings_.begin());
  }
}

void WeightsHistory::addDiscovered(WeightsVersion version, const IncompleteHistoryLimits& limits,
                                   MonotonicTime now) {
  if (version <= newest()) {
    return;
  }
  // Limits from earlier discoveries stay in force: a second gap makes no version usable again.
  abandonedBelow_ = leastWithIncompleteHistory(incompleteLimits_.send, now);
  incompleteLimits_.send = combineExpiries(incompleteLimits_.send, limits.send, now);
  incompleteLimits_.wait = combineExpiries(incompleteLimits_.wait, limits.wait, now);
  incompleteLimits_.since = limits.since;
  coveredFrom_ = version;
  discoveredAt_ = now;
  // The version was named by now at the latest, which bounds the expiry of older ones on all nodes.
  namings_.emplace(version, Naming{now, now, NamingSource::kDiscovered});
}

bool WeightsHistory::raiseFloor(WeightsVersion floor, MonotonicTime now) {
  if (floor <= this->floor() || floor > newest()) {
    return false;
  }
  floors_.emplace(floor, now);
  while (floors_.size() > kMaxNamings) {
    floors_.erase(floors_.begin());
  }
  return true;
}

bool WeightsHistory::merge(const fleet::NamedWeights& received, MonotonicTime now) {
  bool changed = raiseFloor(received.floor, now);
  bool includesDiscovered = false;
  for (const fleet::WeightsNaming& naming : received.namings) {
    changed = mergeNaming(naming, now) || changed;
    includesDiscovered = includesDiscovered || naming.weights >= coveredFrom_;
  }
  if (includesDiscovered && received.coveredFrom < coveredFrom_) {
    coveredFrom_ = received.coveredFrom;
    abandonedBelow_ = std::min(abandonedBelow_, coveredFrom_);
    changed = true;
  }
  return changed;
}

bool WeightsHistory::mergeNaming(const fleet::WeightsNaming& received, MonotonicTime now) {
  if (received.weights > newest()) {
    return false;
  }
  const MonotonicTime since = now - received.age;
  // This node learned that older weights are outdated when it discovered the newer version.
  const MonotonicTime learnedAt = received.weights <= coveredFrom_ ? discoveredAt_ : now;
  const auto [known, added] = namings_.try_emplace(
      received.weights, Naming{since, learnedAt, NamingSource::kReportedByPeer});
  if (added) {
    return true;
  }
  if (since >= known->second.since) {
    return false;
  }
  known->second.since = since;
  known->second.source = NamingSource::kReportedByPeer;
  return true;
}

std::optional<fleet::NamedWeights> WeightsHistory::exportNamings(const ModelId& model,
                                                                 const WeightsTerms& terms,
                                                                 MonotonicTime now) const {
  fleet::NamedWeights exported;
  exported.model = model;
  exported.floor = confirmedLeast(terms, now);
  exported.coveredFrom = std::max(coveredFrom_, exported.floor);
  // Versions that have expired on all nodes are reported for one more term, for nodes that can't
  // read them from the store.
  if (newestNamedFor(2 * terms.send, now) >= newest()) {
    return std::nullopt;
  }
  for (auto naming = namings_.lower_bound(exported.coveredFrom); naming != namings_.end();
       ++naming) {
    // The time of this naming is not known; the entry only bounds the versions before it.
    if (naming->first == coveredFrom_ && naming->second.source == NamingSource::kDiscovered) {
      continue;
    }
    // Rounded down, so that an age doesn't grow by being passed from node to node.
    const auto age = std::chrono::floor<Milliseconds>(now - naming->second.since);
    exported.namings.push_back({naming->first, age});
  }
  const bool isEmpty = exported.namings.empty() && exported.floor == WeightsVersion();
  return isEmpty ? std::nullopt : std::optional(exported);
}

WeightsVersion WeightsHistory::newest() const {
  return namings_.empty() ? coveredFrom_ : std::max(coveredFrom_, namings_.rbegin()->first);
}

WeightsVersion WeightsHistory::leastSendable(const WeightsTerms& terms, MonotonicTime now) const {
  return std::max(confirmedLeast(terms, now),
                  leastWithIncompleteHistory(incompleteLimits_.send, now));
}

WeightsVersion WeightsHistory::leastWaitable(const WeightsTerms& terms, MonotonicTime now) const {
  WeightsVersion least = std::max(newestNamedFor(terms.wait, now),
                                  leastWithIncompleteHistory(incompleteLimits_.wait, now));
  for (const auto& [floor, learnedAt] : floors_) {
    if (now - learnedAt >= terms.wait - terms.send) {
      least = std::max(least, floor);
    }
  }
  return least;
}

WeightsVersion WeightsHistory::leastWithIncompleteHistory(MonotonicTime end,
                                                          MonotonicTime now) const {
  return now < end ? abandonedBelow_ : std::max(abandonedBelow_, coveredFrom_);
}

WeightsVersion WeightsHistory::confirmedLeast(const WeightsTerms& terms, MonotonicTime now) const {
  return std::max(floor(), newestNamedFor(terms.send, now));
}

WeightsVersion WeightsHistory::newestNamedFor(Milliseconds term, MonotonicTime now) const {
  WeightsVersion found;
  for (const auto& [version, naming] : namings_) {
    if (now - naming.since >= term) {
      found = version;
    }
  }
  return found;
}

std::optional<MonotonicTime> WeightsHistory::nextExpiry(const WeightsTerms& terms,
                                                        MonotonicTime now) const {
  std::optional<MonotonicTime> next;
  const auto consider = [&next, now](MonotonicTime end) {
    if (end > now) {
      next = std::min(end, next.value_or(end));
    }
  };
  consider(incompleteLimits_.send);
  consider(incompleteLimits_.wait);
  for (const auto& [version, naming] : namings_) {
    consider(naming.since + terms.send);
    consider(naming.since + terms.wait);
  }
  for (const auto& [floor, learnedAt] : floors_) {
    consider(learnedAt + (terms.wait - terms.send));
  }
  return next;
}

const WeightsHistory::Naming* WeightsHistory::successorOf(WeightsVersion version) const {
  const auto successor = namings_.upper_bound(version);
  return successor == namings_.end() ? nullptr : &successor->second;
}

std::optional<MonotonicTime> WeightsHistory::outdatedSince(WeightsVersion version) const {
  std::optional<MonotonicTime> since;
  if (historyIncomplete(version)) {
    since = incompleteLimits_.since;
  }
  if (const Naming* successor = successorOf(version)) {
    since = std::min(successor->since, since.value_or(successor->since));
  }
  return since;
}

std::optional<MonotonicTime> WeightsHistory::supersessionLearnedAt(WeightsVersion version) const {
  std::optional<MonotonicTime> learnedAt;
  if (historyIncomplete(version)) {
    learnedAt = discoveredAt_;
  }
  if (const Naming* successor = successorOf(version)) {
    learnedAt = std::min(successor->learnedAt, learnedAt.value_or(successor->learnedAt));
  }
  return learnedAt;
}

std::optional<NamingSource> WeightsHistory::supersessionSource(WeightsVersion version) const {
  if (historyIncomplete(version)) {
    return NamingSource::kDiscovered;
  }
  const Naming* successor = successorOf(version);
  return successor == nullptr ? std::nullopt : std::optional(successor->source);
}

}  // namespace calicodrift::weights
