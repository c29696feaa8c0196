// Units of one server over randomized fault schedules: roots are killed, frozen, lose the store and
// are replaced, while all nodes request units far above the limit.

#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "relay/simulated_tree.h"
#include "server_limits/root_order.h"
#include "server_limits/unit_issuer.h"
#include "support/arrival_windows.h"

namespace calicodrift::server_limits {
namespace {

constexpr Milliseconds kStep{20};
constexpr Milliseconds kDuration{20'000};
const fleet::ServerKey kServer(77);

/// Number of schedules: 10,000 for manual runs (SCHEDULES=10000), fewer when run with all other
/// tests.
std::uint64_t schedules() {
  constexpr std::uint64_t kDefault = 500;
  const char* wanted = std::getenv("SCHEDULES");
  return wanted == nullptr ? kDefault : std::stoull(wanted);
}

/// Requests units as nodes do: from the first of the roots that they know of, then from the next
/// one.
class RequestingFleet {
 public:
  RequestingFleet(std::size_t nodes, std::uint64_t seed, double perSecond)
      : tree_(nodes, 3, seed, settings()),
        random_(seed),
        limit_{kServer, LimitVersion(1), true, perSecond} {
    tree_.setKeepsConfirmed(true);
    tree_.startAll(Milliseconds(300));
    tree_.run(Milliseconds(6000));
  }

  relay::SimulatedTree& tree() { return tree_; }
  std::mt19937_64& random() { return random_; }
  const std::vector<MonotonicTime>& grants() const { return grants_; }

  void run(Milliseconds duration) {
    // Nodes that have a request for the server in each step.
    constexpr std::size_t kRequestsPerStep = 2;
    for (Milliseconds passed{0}; passed < duration; passed += kStep) {
      tree_.run(kStep);
      for (std::size_t count = 0; count < kRequestsPerStep; ++count) {
        ask(random_() % tree_.size());
      }
    }
  }
  std::size_t worstWindow() const { return testing::mostInAnyWindow(grants_); }

 private:
  static relay::RelaySettings settings() {
    relay::RelaySettings settings;
    settings.group = "g";
    return settings;
  }

  std::vector<Endpoint> knownRoots(std::size_t number) {
    std::vector<Endpoint> roots;
    for (const relay::Relay& root : tree_.coreOf(number)->newestRoots()) {
      roots.push_back(root.endpoint);
    }
    return rankRoots(kServer, std::move(roots));
  }

  void ask(std::size_t number) {
    if (tree_.coreOf(number) == nullptr) {
      return;
    }
    for (const Endpoint& root : knownRoots(number)) {
      const std::size_t asked = relay::SimulatedTree::numberOf(root);
      const bool canGrant = tree_.coreOf(asked) != nullptr && tree_.mayGrant(asked);
      if (!canGrant || knownRoots(asked).front() != root) {
        issuers_[asked].issuer.forget(kServer);
        continue;
      }
      Issuer& issuer = issuers_[asked];
      if (issuer.incarnation != tree_.incarnationOf(asked)) {
        issuer = {tree_.incarnationOf(asked), UnitIssuer()};
      }
      const MonotonicTime now = tree_.now();
      if (issuer.issuer.take(limit_, tree_.coreOf(asked)->settledAt(), now).granted) {
        grants_.push_back(now);
      }
      return;
    }
  }

  struct Issuer {
    std::uint64_t incarnation = 0;
    UnitIssuer issuer;
  };

  relay::SimulatedTree tree_;
  std::mt19937_64 random_;
  LimitRecord limit_;
  std::map<std::size_t, Issuer> issuers_;
  std::vector<MonotonicTime> grants_;
};

void injectFault(RequestingFleet& fleet) {
  relay::SimulatedTree& tree = fleet.tree();
  const auto any = [&fleet](std::int64_t from, std::int64_t to) {
    return std::uniform_int_distribution<std::int64_t>(from, to)(fleet.random());
  };
  const std::vector<std::size_t> roots = tree.roots();
  const bool hitsRoot = any(0, 3) > 0 && !roots.empty();
  const std::size_t victim =
      hitsRoot ? roots[fleet.random()() % roots.size()] : fleet.random()() % tree.size();
  const Milliseconds length(any(300, 4000));
  switch (any(0, 4)) {
    case 0:
      tree.kill(victim, any(0, 1) == 0);
      fleet.run(length);
      tree.start(victim, Milliseconds(0));
      break;
    case 1:
      tree.setFrozen(victim, true);
      fleet.run(length);
      tree.setFrozen(victim, false);
      break;
    case 2:
      tree.killAll(false);
      tree.startAll(Milliseconds(800));
      break;
    default:
      tree.loseStore(
          victim, any(0, 1) == 0 ? relay::StoreLoss::kSilent : relay::StoreLoss::kRejected, length);
      break;
  }
}

BOOST_AUTO_TEST_SUITE(drawn_schedules)

BOOST_AUTO_TEST_CASE(faultFreeFleetsUseAndEnforceTheLimit) {
  for (const std::size_t nodes : {7UL, 79UL, 300UL}) {
    for (const double limit : {0.25, 1.0, 5.0, 20.0}) {
      RequestingFleet fleet(nodes, nodes, limit);
      fleet.run(kDuration);
      BOOST_TEST(static_cast<double>(fleet.worstWindow()) <= testing::kAimedArrivals.at(limit));
      constexpr double kLeastUse = 0.9;
      const double expected = limit * toMilliseconds(kDuration) / 1000;
      BOOST_TEST(static_cast<double>(fleet.grants().size()) + 1 >= kLeastUse * expected,
                 nodes << " nodes, limit " << limit << ": " << fleet.grants().size());
    }
  }
}

BOOST_AUTO_TEST_CASE(noWindowExceedsTheLimitUnderFaults) {
  double worstShare = 0;
  double used = 0;
  const std::vector<double> limits{0.25, 1, 3, 20};
  for (std::uint64_t seed = 1; seed <= schedules(); ++seed) {
    const double limit = limits[seed % limits.size()];
    const std::size_t nodes = seed % 50 == 0 ? 300 : 7 + seed % 3 * 10;
    RequestingFleet fleet(nodes, seed, limit);
    const MonotonicTime begin = fleet.tree().now();
    while (fleet.tree().now() - begin < kDuration) {
      injectFault(fleet);
      fleet.run(Milliseconds(200 + static_cast<std::int64_t>(fleet.random()() % 3000)));
    }
    const double seconds = toMilliseconds(fleet.tree().now() - begin) / 1000;
    used += static_cast<double>(fleet.grants().size()) / (limit * seconds);
    const double share =
        static_cast<double>(fleet.worstWindow()) / testing::kAimedArrivals.at(limit);
    worstShare = std::max(worstShare, share);
    BOOST_TEST(share <= 1, "seed " << seed << ", limit " << limit << ": " << share);
  }
  BOOST_TEST_MESSAGE(schedules() << " schedules: worst window " << worstShare
                                 << " of what is allowed, used "
                                 << used / static_cast<double>(schedules()) << " of the limits");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace calicodrift::server_limits
