#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cstdlib>

#include "simulated_tree.h"

namespace calicodrift::relay {
namespace {

/// A fleet and the bound on the age of the configuration at a node that can read the store.
struct Fleet {
  std::size_t nodes;
  Milliseconds bound;
};

constexpr Fleet kFleets[] = {
    {8, Milliseconds(2000)},
    {24, Milliseconds(2000)},
    {73, Milliseconds(3000)},
    {300, Milliseconds(4000)},
};
/// The bound holds for a node that has had its path for the bound plus this time.
constexpr Milliseconds kContactBeyondBound{1000};
constexpr Milliseconds kStep{50};

/// Other seeds than those of CI, by hand.
std::uint64_t seedFrom(const char* variable, std::uint64_t absent) {
  const char* given = std::getenv(variable);
  return given == nullptr ? absent : std::stoull(given);
}

SimulatedTree settledTree(const Fleet& fleet, std::uint64_t seed) {
  RelaySettings settings;
  // The value that a gateway derives from the bound.
  settings.readAges[SimulatedTree::kRefreshedKind] = fleet.bound * 3 / 5;
  SimulatedTree tree(fleet.nodes, 5, seed, settings);
  tree.startAll(Milliseconds(300));
  tree.run(Milliseconds(6000));
  return tree;
}

/// Makes the store unavailable to varying sets of nodes for overlapping periods.
class StoreFaults {
 public:
  explicit StoreFaults(std::uint64_t seed) : random_(seed) {}

  void inject(SimulatedTree& tree) {
    for (const std::size_t number : pick(tree)) {
      tree.loseStore(number, anyLoss(), Milliseconds(any(300, 9000)));
    }
  }
  Milliseconds pause() { return Milliseconds(any(200, 1500)); }

 private:
  std::int64_t any(std::int64_t least, std::int64_t most) {
    return std::uniform_int_distribution<std::int64_t>(least, most)(random_);
  }
  StoreLoss anyLoss() {
    constexpr StoreLoss kLosses[] = {StoreLoss::kRefused, StoreLoss::kSilent, StoreLoss::kRejected};
    return kLosses[any(0, 2)];
  }
  std::vector<std::size_t> pick(const SimulatedTree& tree) {
    std::vector<std::size_t> roots = tree.roots();
    if (any(0, 3) == 0 && roots.size() > 1) {
      roots.resize(1);
    }
    std::vector<std::size_t> picked = roots;
    const std::int64_t kind = any(0, 2);
    if (kind == 1 && !roots.empty()) {
      // A root and some of the children that could replace it.
      for (const std::size_t child : tree.childrenOf(roots[0])) {
        if (any(0, 1) == 0) {
          picked.push_back(child);
        }
      }
    }
    for (std::size_t number = 0; kind == 2 && number < tree.size(); ++number) {
      if (any(0, 2) == 0) {
        picked.push_back(number);
      }
    }
    return picked;
  }

  std::mt19937_64 random_;
};

BOOST_AUTO_TEST_SUITE(configuration_age)

BOOST_AUTO_TEST_CASE(nodeThatReachesTheStoreHasNoViewOlderThanTheBound) {
  for (const Fleet& fleet : kFleets) {
    Milliseconds oldestOfAll{0};
    std::size_t readings = 0;
    std::size_t worstSecond = 0;
    const std::uint64_t lastSeed = seedFrom("LAST_SEED", 20);
    for (std::uint64_t seed = seedFrom("FIRST_SEED", 1); seed <= lastSeed; ++seed) {
      SimulatedTree tree = settledTree(fleet, seed);
      StoreFaults faults(seed);
      MonotonicTime nextFault = tree.now();
      Milliseconds oldest{0};
      const MonotonicTime end = tree.now() + Milliseconds(40'000);
      while (tree.now() < end) {
        if (tree.now() >= nextFault) {
          faults.inject(tree);
          nextFault = tree.now() + faults.pause();
        }
        tree.run(kStep);
        oldest = std::max(oldest, tree.oldestViewWithPath(fleet.bound + kContactBeyondBound));
      }
      BOOST_TEST(oldest.count() <= fleet.bound.count(),
                 fleet.nodes << " nodes, seed " << seed << ": " << oldest.count() << " ms");
      oldestOfAll = std::max(oldestOfAll, oldest);
      readings += tree.viewReadings();
      worstSecond = std::max(worstSecond, tree.mostViewReadingsInASecond());
    }
    BOOST_TEST_MESSAGE(fleet.nodes << " nodes, bound " << fleet.bound.count() << " ms: oldest "
                                   << oldestOfAll.count() << " ms, " << readings
                                   << " readings in all, 40 s a seed, " << worstSecond
                                   << " in the worst second");
    // A tenth of what the smallest store allows per second, or two for each node.
    BOOST_TEST(worstSecond <= std::max<std::size_t>(200, 2 * fleet.nodes));
  }
}

BOOST_AUTO_TEST_CASE(treeInNormalOperationReadsNoViewsFromTheStore) {
  for (const Fleet& fleet : kFleets) {
    SimulatedTree tree = settledTree(fleet, 7);
    const std::size_t before = tree.viewReadings();
    tree.run(Milliseconds(60'000));
    BOOST_TEST(tree.viewReadings() == before, fleet.nodes << " nodes");
  }
}

BOOST_AUTO_TEST_CASE(lossOfBothRootsCostsAFewReadings) {
  std::size_t most = 0;
  for (const Fleet& fleet : kFleets) {
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
      SimulatedTree tree = settledTree(fleet, seed);
      const std::size_t before = tree.viewReadings();
      for (const std::size_t root : tree.roots()) {
        tree.loseStore(root, StoreLoss::kSilent, Milliseconds(9000));
      }
      tree.run(Milliseconds(9000));
      // The roots themselves, and their children until one of them has replaced a root.
      BOOST_TEST(tree.viewReadings() - before <= 80U, tree.viewReadings() - before << " readings");
      most = std::max(most, tree.viewReadings() - before);
    }
  }
  BOOST_TEST_MESSAGE("most readings after a loss of both roots: " << most);
}

BOOST_AUTO_TEST_CASE(storeIsNotFloodedDuringItsOutage) {
  for (const std::size_t nodes : {300U, 3800U}) {
    const Fleet fleet{nodes, Milliseconds(4000)};
    SimulatedTree tree = settledTree(fleet, 7);
    const std::size_t before = tree.viewReadings();
    tree.setStoreDown(true);
    tree.run(Milliseconds(9000));
    tree.setStoreDown(false);
    tree.run(Milliseconds(6000));
    BOOST_TEST(tree.mostViewReadingsInASecond() <= 3 * nodes);
    BOOST_TEST(tree.viewReadings() - before <= 8 * nodes, tree.viewReadings() - before);
    BOOST_TEST_MESSAGE(nodes << " nodes, store unavailable for 9 s: "
                             << tree.viewReadings() - before << " readings, "
                             << tree.mostViewReadingsInASecond() << " in the worst second");
    BOOST_TEST(tree.oldestViewWithPath(Milliseconds(0)).count() <= fleet.bound.count());
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace calicodrift::relay
