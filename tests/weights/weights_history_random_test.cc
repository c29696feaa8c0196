// Randomized schedules of several nodes sharing a store: versions are named while nodes restart,
// miss changes, list anew and exchange state with delays. The versions each node uses are compared
// with the true times of the namings.

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <iterator>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "weights/weights_targets.h"

namespace calicodrift::weights {
namespace {

const ModelId kModel("m");
constexpr WeightsTerms kTerms{Milliseconds(6000), Milliseconds(7500)};
constexpr MonotonicTime kOrigin{std::chrono::hours(1)};
constexpr Milliseconds kStep{50};
constexpr Milliseconds kDuration{40'000};
/// A change received later than this after the last proof counts as discovered, as in the gateway.
constexpr Milliseconds kDiscoveryThreshold{1250};
/// Maximum delays until a node learns of a naming and until a message arrives.
constexpr Milliseconds kMaxReadDelay{100};
constexpr Milliseconds kMaxMessageDelay{400};
constexpr Milliseconds kMaxBroadcastInterval{800};
/// A naming in a change counts from when it is received, at most kDiscoveryThreshold late, and a
/// reported age from when the message arrives.
constexpr Milliseconds kTolerance =
    kDiscoveryThreshold + kMaxReadDelay + kMaxMessageDelay + 2 * kStep;

struct Node {
  std::optional<WeightsTargets> targets;
  MonotonicTime upAt;
  MonotonicTime readsFrom;
  MonotonicTime provenAt{};
  /// Since when the view has been proven without a gap.
  MonotonicTime provenSince{};
  /// When it last discovered a version, whose age other nodes have to report to it.
  MonotonicTime discoveredAt{};
  MonotonicTime disconnectedUntil{};
  MonotonicTime nextBroadcastAt;
  unsigned incarnation = 0;
};

struct Message {
  MonotonicTime at;
  std::size_t to;
  unsigned incarnation;
  std::vector<fleet::NamedWeights> named;
};

class Schedule {
 public:
  /// @param firstNodeStable the first node neither restarts nor lists anew, and misses only
  /// versions that the next one replaced immediately.
  Schedule(std::uint64_t seed, bool firstNodeStable)
      : random_(seed), firstNodeStable_(firstNodeStable) {
    persistsFloor_ = randomBelow(2) == 0;
    MonotonicTime at = kOrigin - Milliseconds(60'000);
    for (std::uint64_t version = 1; at < kOrigin + kDuration; version += 1 + randomBelow(2)) {
      namings_[at] = WeightsVersion(version);
      at = std::max(at, kOrigin) +
           Milliseconds(randomBelow(4) == 0 ? randomBelow(600) : randomBelow(14'000));
    }
    nodes_.resize(2 + randomBelow(4));
    for (Node& node : nodes_) {
      restart(node, kOrigin - Milliseconds(30'000), Milliseconds(0));
    }
  }

  /// Returns the first violation; empty if there is none.
  std::string run() {
    for (MonotonicTime now = kOrigin; now < kOrigin + kDuration; now += kStep) {
      injectFaults(now);
      deliver(now);
      for (std::size_t index = 0; index < nodes_.size(); ++index) {
        step(index, now);
        if (const std::string wrong = checkInvariants(nodes_[index], now); !wrong.empty()) {
          return wrong + " at node " + std::to_string(index) + " after " +
                 std::to_string(std::chrono::floor<Milliseconds>(now - kOrigin).count()) + " ms";
        }
      }
    }
    return {};
  }

 private:
  std::int64_t randomBelow(std::int64_t below) {
    return std::uniform_int_distribution<std::int64_t>(0, below - 1)(random_);
  }
  void restart(Node& node, MonotonicTime now, Milliseconds maxReadDelay) {
    const unsigned incarnation = node.incarnation + 1;
    node = Node{};
    node.incarnation = incarnation;
    node.upAt = now;
    node.readsFrom = now + Milliseconds(randomBelow(maxReadDelay.count() + 1));
    node.nextBroadcastAt = now;
  }
  void injectFaults(MonotonicTime now) {
    const bool fleetRestart = randomBelow(400) == 0;
    for (std::size_t index = firstNodeStable_ ? 1 : 0; index < nodes_.size(); ++index) {
      Node& node = nodes_[index];
      if ((fleetRestart && randomBelow(8) != 0) || randomBelow(200) == 0) {
        restart(node, now + Milliseconds(randomBelow(600)), Milliseconds(2500));
      } else if (randomBelow(150) == 0) {
        node.disconnectedUntil =
            now + Milliseconds(randomBelow(3) == 0 ? randomBelow(8000) : randomBelow(1200));
      }
    }
  }
  void deliver(MonotonicTime now) {
    for (const Message& message : messages_) {
      Node& to = nodes_[message.to];
      if (message.at <= now && message.incarnation == to.incarnation && to.targets) {
        to.targets->merge(message.named, now);
      }
    }
    std::erase_if(messages_, [now](const Message& message) { return message.at <= now; });
  }
  void step(std::size_t index, MonotonicTime now) {
    Node& node = nodes_[index];
    if (now < node.upAt) {
      return;
    }
    if (!node.targets) {
      node.targets.emplace(kTerms, node.upAt);
    }
    if (now >= node.readsFrom && now >= node.disconnectedUntil) {
      read(node, now);
    }
    if (now >= node.nextBroadcastAt) {
      broadcast(index, now);
    }
  }
  void read(Node& node, MonotonicTime now) {
    const MonotonicTime state =
        std::max(node.provenAt, now - Milliseconds(randomBelow(kMaxReadDelay.count())));
    const bool isFirst = node.provenAt == MonotonicTime{};
    const bool gap = now - node.provenAt > kDiscoveryThreshold;
    const WeightsVersion newest = namedBefore(state);
    // In some cases the store has discarded its history and the node lists anew.
    const bool relists = randomBelow(5) == 0 && !(firstNodeStable_ && &node == &nodes_.front());
    const bool isNew = node.targets->newest(kModel) < newest;
    if (isNew && (isFirst || gap || relists)) {
      node.discoveredAt = now;
      node.targets->addDiscovered(kModel, newest, node.provenAt, now);
    } else if (isNew) {
      node.targets->addObserved(kModel, newest, now);
    }
    node.targets->raiseFloor(kModel, floor_, now);
    if (persistsFloor_) {
      floor_ = std::max(floor_, node.targets->confirmedLeast(kModel, now));
    }
    node.provenSince = isFirst || gap ? now : node.provenSince;
    node.provenAt = state;
  }
  void broadcast(std::size_t index, MonotonicTime now) {
    Node& node = nodes_[index];
    node.nextBroadcastAt =
        now + Milliseconds(100 + randomBelow(kMaxBroadcastInterval.count() - 100));
    const auto named = node.targets->exportNamings(now);
    for (std::size_t to = 0; to < nodes_.size(); ++to) {
      if (to != index && (index == 0 || randomBelow(2) == 0)) {
        messages_.push_back({now + Milliseconds(randomBelow(kMaxMessageDelay.count())), to,
                             nodes_[to].incarnation, named});
      }
    }
  }
  /// Newest version actually named at `time`.
  WeightsVersion namedBefore(MonotonicTime time) const {
    return std::prev(namings_.upper_bound(time))->second;
  }
  std::string checkInvariants(const Node& node, MonotonicTime now) const {
    const Milliseconds found = WeightsTargets::kDiscoveredTerm + kStep;
    if (!node.targets || node.provenAt == MonotonicTime{} ||
        now - node.provenAt > kDiscoveryThreshold) {
      return {};
    }
    if (now - node.upAt > found && now - node.provenSince > found) {
      if (node.targets->leastSendable(kModel, now) < namedBefore(now - kTerms.send - kTolerance)) {
        return "requests are sent to outdated weights";
      }
      if (node.targets->leastWaitable(kModel, now) < namedBefore(now - kTerms.wait - kTolerance)) {
        return "requests wait for outdated weights";
      }
    }
    const Milliseconds propagationTime = kMaxBroadcastInterval + kMaxMessageDelay + found;
    const bool early =
        node.targets->leastSendable(kModel, now) > namedBefore(now - kTerms.send + kStep);
    if (firstNodeStable_ && now - node.discoveredAt > propagationTime && early) {
      return "weights are abandoned too soon";
    }
    return {};
  }

  std::mt19937_64 random_;
  bool firstNodeStable_;
  bool persistsFloor_ = false;
  std::map<MonotonicTime, WeightsVersion> namings_;
  std::vector<Node> nodes_;
  std::vector<Message> messages_;
  WeightsVersion floor_;
};

void checkSchedules(bool firstNodeStable) {
  constexpr std::uint64_t kSchedules = 3000;
  std::size_t wrong = 0;
  std::string first;
  for (std::uint64_t seed = 1; seed <= kSchedules; ++seed) {
    const std::string found = Schedule(seed, firstNodeStable).run();
    if (!found.empty() && ++wrong == 1) {
      first = "seed " + std::to_string(seed);
      first += ": " + found;
    }
  }
  BOOST_TEST(wrong == 0U, wrong << " of " << kSchedules << " schedules; " << first);
}

BOOST_AUTO_TEST_CASE(noNodeUsesExpiredWeightsWhateverItMissed) {
  checkSchedules(false);
}

BOOST_AUTO_TEST_CASE(nodesWithAStablePeerAbandonNoWeightsTooSoon) {
  checkSchedules(true);
}

}  // namespace
}  // namespace calicodrift::weights
