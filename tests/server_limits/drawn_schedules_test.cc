// The units of one server over drawn schedules: roots that are killed, stand still, lose the store
// and are replaced, while all nodes ask for units far above the limit.

#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "relay/simulated_tree.h"
#include "server_limits/root_order.h"
#include "server_limits/unit_minter.h"
#include "support/arrival_windows.h"

namespace calicodrift::server_limits {
namespace {

constexpr Milliseconds kStep{20};
constexpr Milliseconds kCourse{20'000};
const fleet::ServerKey kServer(77);

/// By hand 10,000 (SCHEDULES=10000); fewer where it runs with all other tests.
std::uint64_t schedules() {
  constexpr std::uint64_t kFew = 500;
  const char* wanted = std::getenv("SCHEDULES");
  return wanted == nullptr ? kFew : std::stoull(wanted);
}

/// Asks for units as nodes do: the first of the roots that they know of, then the next one.
class AskingFleet {
 public:
  AskingFleet(std::size_t nodes, std::uint64_t seed, double perSecond)
      : tree_(nodes, 3, seed, settings()),
        random_(seed),
        limit_{kServer, LimitVersion(1), true, perSecond} {
    tree_.setKeepsConfirmed(true);
    tree_.startAll(Milliseconds(300));
    tree_.run(Milliseconds(6000));
  }

  relay::SimulatedTree& tree() { return tree_; }
  std::mt19937_64& random() { return random_; }
  const std::vector<MonotonicTime>& given() const { return given_; }

  void run(Milliseconds duration) {
    // Each step some nodes have a request for the server.
    constexpr std::size_t kAsking = 2;
    for (Milliseconds passed{0}; passed < duration; passed += kStep) {
      tree_.run(kStep);
      for (std::size_t count = 0; count < kAsking; ++count) {
        ask(random_() % tree_.size());
      }
    }
  }
  std::size_t worstWindow() const { return testing::mostInAnyWindow(given_); }

 private:
  static relay::RelaySettings settings() {
    relay::RelaySettings settings;
    settings.group = "g";
    return settings;
  }

  std::vector<Endpoint> rootsAsKnownBy(std::size_t number) {
    std::vector<Endpoint> roots;
    for (const relay::Relay& root : tree_.coreOf(number)->newestRoots()) {
      roots.push_back(root.endpoint);
    }
    return inOrderFor(kServer, std::move(roots));
  }

  void ask(std::size_t number) {
    if (tree_.coreOf(number) == nullptr) {
      return;
    }
    for (const Endpoint& root : rootsAsKnownBy(number)) {
      const std::size_t asked = relay::SimulatedTree::numberOf(root);
      const bool decides = tree_.coreOf(asked) != nullptr && tree_.mayGrant(asked);
      if (!decides || rootsAsKnownBy(asked).front() != root) {
        minters_[asked].minter.forget(kServer);
        continue;
      }
      Minter& minter = minters_[asked];
      if (minter.incarnation != tree_.incarnationOf(asked)) {
        minter = {tree_.incarnationOf(asked), UnitMinter()};
      }
      const MonotonicTime now = tree_.now();
      if (minter.minter.take(limit_, tree_.coreOf(asked)->settledAt(), now).granted) {
        given_.push_back(now);
      }
      return;
    }
  }

  struct Minter {
    std::uint64_t incarnation = 0;
    UnitMinter minter;
  };

  relay::SimulatedTree tree_;
  std::mt19937_64 random_;
  LimitFact limit_;
  std::map<std::size_t, Minter> minters_;
  std::vector<MonotonicTime> given_;
};

void strike(AskingFleet& fleet) {
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
      tree.loseStore(victim,
                     any(0, 1) == 0 ? relay::StoreLoss::kSilent : relay::StoreLoss::kTurnedAway,
                     length);
      break;
  }
}

BOOST_AUTO_TEST_SUITE(drawn_schedules)

BOOST_AUTO_TEST_CASE(calmFleetsUseTheLimitAndKeepIt) {
  for (const std::size_t nodes : {7UL, 79UL, 300UL}) {
    for (const double limit : {0.25, 1.0, 5.0, 20.0}) {
      AskingFleet fleet(nodes, nodes, limit);
      fleet.run(kCourse);
      BOOST_TEST(static_cast<double>(fleet.worstWindow()) <= testing::kAimedArrivals.at(limit));
      constexpr double kLeastUse = 0.9;
      const double due = limit * toMilliseconds(kCourse) / 1000;
      BOOST_TEST(static_cast<double>(fleet.given().size()) + 1 >= kLeastUse * due,
                 nodes << " nodes, limit " << limit << ": " << fleet.given().size());
    }
  }
}

BOOST_AUTO_TEST_CASE(noWindowPassesTheLimitWhateverFails) {
  double worstShare = 0;
  double used = 0;
  const std::vector<double> limits{0.25, 1, 3, 20};
  for (std::uint64_t seed = 1; seed <= schedules(); ++seed) {
    const double limit = limits[seed % limits.size()];
    const std::size_t nodes = seed % 50 == 0 ? 300 : 7 + seed % 3 * 10;
    AskingFleet fleet(nodes, seed, limit);
    const MonotonicTime begin = fleet.tree().now();
    while (fleet.tree().now() - begin < kCourse) {
      strike(fleet);
      fleet.run(Milliseconds(200 + static_cast<std::int64_t>(fleet.random()() % 3000)));
    }
    const double seconds = toMilliseconds(fleet.tree().now() - begin) / 1000;
    used += static_cast<double>(fleet.given().size()) / (limit * seconds);
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
