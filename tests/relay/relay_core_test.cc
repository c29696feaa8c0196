#include "relay/relay_core.h"

#include <boost/test/unit_test.hpp>

#include "simulated_tree.h"

namespace calicodrift::relay {
namespace {

constexpr Milliseconds kStartSpread{300};
/// Views this old are still good for every request.
constexpr Milliseconds kGoodAge{1500};
/// Below the age from which requests with keys are refused.
constexpr Milliseconds kKeyProofAge{3800};
constexpr std::size_t kSizes[] = {8, 30, 300, 3800};

SimulatedTree makeTree(std::size_t nodes, std::uint64_t seed = 7) {
  return SimulatedTree(nodes, 5, seed, RelaySettings{});
}

/// A tree in which all have their place.
SimulatedTree settledTree(std::size_t nodes, std::uint64_t seed = 7) {
  SimulatedTree tree = makeTree(nodes, seed);
  tree.startAll(kStartSpread);
  tree.run(Milliseconds(6000));
  BOOST_REQUIRE(tree.roots().size() == 2U);
  BOOST_REQUIRE(tree.olderThan(kGoodAge) == 0U);
  return tree;
}

BOOST_AUTO_TEST_SUITE(relay_core)

BOOST_AUTO_TEST_CASE(crowdThatStartsTogetherAsksTheStoreOnceANode) {
  for (const std::size_t nodes : kSizes) {
    SimulatedTree tree = makeTree(nodes);
    tree.startAll(kStartSpread);
    tree.run(Milliseconds(1500));
    BOOST_TEST(tree.olderThan(kGoodAge) == 0U, nodes << " nodes");
    tree.run(Milliseconds(3500));
    BOOST_TEST(tree.roots().size() == 2U, nodes << " nodes");
    // A reading each, and the few that found no root before the first was written.
    BOOST_TEST(tree.storeCalls() <= nodes + nodes / 4 + 20, tree.storeCalls() << " calls");
    BOOST_TEST(tree.mostChildren() <= 16U);
    BOOST_TEST(tree.greatestDepth() <= (nodes > 600 ? 5U : 4U));
  }
}

BOOST_AUTO_TEST_CASE(rootsWhoseMachinesStartLaterKeepTheirPlace) {
  // Questions to a machine that is not up yet say nothing; they must not cost a root its place.
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    SimulatedTree tree = settledTree(300, seed);
    const std::vector<std::size_t> roots = tree.roots();
    tree.killAll(true);
    for (std::size_t number = 0; number < tree.size(); ++number) {
      const bool root = std::find(roots.begin(), roots.end(), number) != roots.end();
      if (!root) {
        tree.start(number, kStartSpread);
      }
    }
    tree.run(Milliseconds(400));
    for (const std::size_t root : roots) {
      tree.start(root, Milliseconds(0));
    }
    tree.run(Milliseconds(5000));
    BOOST_TEST((tree.roots() == roots), "seed " << seed);
    BOOST_TEST(tree.olderThan(kGoodAge) == 0U);
  }
}

BOOST_AUTO_TEST_CASE(treeOfNodesWithSlowLinksIsDeeperAndWhole) {
  RelaySettings settings;
  settings.maxFollowers = 4;
  SimulatedTree tree(600, 5, 7, settings);
  tree.startAll(kStartSpread);
  tree.run(Milliseconds(3000));
  BOOST_TEST(tree.olderThan(kGoodAge) == 0U);
  BOOST_TEST(tree.mostChildren() <= 4U);
  BOOST_TEST(tree.greatestDepth() <= 9U);
  tree.run(Milliseconds(3000));
  BOOST_TEST(tree.storeCalls() <= 600U + 170U, tree.storeCalls() << " calls");
}

BOOST_AUTO_TEST_CASE(calmTreeAsksTheStoreForReviewsAlone) {
  SimulatedTree tree = settledTree(300);
  const std::size_t before = tree.storeCalls();
  tree.run(Milliseconds(60'000));
  // Two roots each 10 s.
  BOOST_TEST(tree.storeCalls() - before <= 14U);
  BOOST_TEST(tree.olderThan(kGoodAge) == 0U);
}

BOOST_AUTO_TEST_CASE(lossOfBothRootsIsMendedBeforeViewsAreTooOld) {
  for (const bool powerOff : {false, true}) {
    for (const std::uint64_t seed : {1U, 2U, 3U}) {
      SimulatedTree tree = settledTree(300, seed);
      const std::size_t before = tree.storeCalls();
      for (const std::size_t root : tree.roots()) {
        tree.kill(root, powerOff);
      }
      for (int look = 0; look < 30; ++look) {
        tree.run(Milliseconds(200));
        BOOST_TEST(tree.olderThan(kKeyProofAge) == 0U, "look " << look);
      }
      BOOST_TEST(tree.olderThan(kGoodAge) == 0U);
      BOOST_TEST(tree.roots().size() == 2U);
      // The roots' children alone may ask the store.
      BOOST_TEST(tree.storeCalls() - before <= 90U, tree.storeCalls() - before << " calls");
    }
  }
}

BOOST_AUTO_TEST_CASE(smallFleetHasTheNewestStateTwoSecondsAfterItsRootsAreLost) {
  // A configuration is to be in force after two seconds on the smallest deployments, also where
  // both roots are cut off, or cannot reach the store, a moment before.
  // What passes before the roots notice, and what a way to a server takes, is part of that.
  constexpr Milliseconds kInForce{1700};
  for (const bool cutFromStore : {false, true}) {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
      SimulatedTree tree = settledTree(8, seed);
      for (const std::size_t root : tree.roots()) {
        if (cutFromStore) {
          tree.setCutFromStore(root, true);
        } else {
          tree.kill(root, true);
        }
      }
      const MonotonicTime lost = tree.now();
      tree.run(kInForce);
      // Views of all but the lost roots are of after the loss.
      const std::size_t lostRoots = cutFromStore ? 2 : 0;
      const std::size_t stale = tree.olderThan(std::chrono::floor<Milliseconds>(tree.now() - lost));
      BOOST_TEST(stale <= lostRoots, "seed " << seed << ", cut from the store " << cutFromStore);
    }
  }
}

BOOST_AUTO_TEST_CASE(relayWhoseViewIsAlmostOldIsNotFollowedWhereAnotherIsFresh) {
  // The other root lost the store a moment later: its view is 1,050 ms old when a child looks for a
  // parent, and would be too old right after.
  RelaySettings settings;
  settings.node = NodeId("n");
  settings.endpoint = {"n", 1};
  RelayCore core(settings, 7);
  const Relay lost{{"lost", 1}, ZoneId("z")};
  const Relay fresh{{"fresh", 1}, ZoneId("z")};
  MonotonicTime now(Milliseconds(1'000'000));
  RelayAction action = core.next(now, {});
  now = action.until;
  action = core.next(now, {});
  BOOST_REQUIRE((action.step == RelayStep::kReadList));
  core.onList(RelayList{store::Revision(3), {lost, fresh}}, now, {});
  for (int question = 0; question < 2; ++question) {
    action = core.next(now, {});
    BOOST_REQUIRE((action.step == RelayStep::kAsk));
    JoinReply reply;
    reply.outcome = JoinOutcome::kAccepted;
    reply.proofAgeMs = action.relay == fresh ? 300 : 1050;
    core.onReply(action, reply, now, {});
    if (action.relay == fresh) {
      break;
    }
    BOOST_TEST((core.role() == RelayRole::kSearching));
  }
  BOOST_TEST((core.parent() == fresh.endpoint));
}

BOOST_AUTO_TEST_CASE(lossOfHalfOfTheNodesLeavesTheOthersTheirViews) {
  for (const std::uint64_t seed : {1U, 2U, 3U}) {
    SimulatedTree tree = settledTree(300, seed);
    const std::size_t before = tree.storeCalls();
    for (std::size_t number = 0; number < 150; ++number) {
      tree.kill(number, true);
    }
    tree.run(Milliseconds(4500));
    BOOST_TEST(tree.olderThan(kKeyProofAge) == 0U);
    tree.run(Milliseconds(4000));
    BOOST_TEST(tree.olderThan(kGoodAge) == 0U);
    BOOST_TEST(tree.storeCalls() - before <= 150U, tree.storeCalls() - before << " calls");
  }
}

BOOST_AUTO_TEST_CASE(restartOfAllServesAtOnceAndKeepsItsRoots) {
  for (const bool powerOff : {false, true}) {
    for (const std::size_t nodes : kSizes) {
      SimulatedTree tree = settledTree(nodes);
      const std::vector<std::size_t> roots = tree.roots();
      const std::size_t before = tree.storeCalls();
      tree.killAll(powerOff);
      tree.startAll(kStartSpread);
      tree.run(Milliseconds(1500));
      BOOST_TEST(tree.olderThan(kGoodAge) == 0U, nodes << " nodes");
      BOOST_TEST(tree.storeCalls() - before <= nodes + nodes / 4 + 20);
      tree.run(Milliseconds(3000));
      BOOST_TEST((tree.roots() == roots), nodes << " nodes, power off " << powerOff);
    }
  }
}

BOOST_AUTO_TEST_CASE(restartWhileTheStoreIsAwayBringsNoFlood) {
  SimulatedTree tree = settledTree(300);
  tree.killAll(false);
  tree.setStoreDown(true);
  const std::size_t before = tree.storeCalls();
  tree.startAll(kStartSpread);
  tree.run(Milliseconds(4400));
  BOOST_TEST(tree.storeCalls() - before <= 4 * 300U, tree.storeCalls() - before << " calls");
  tree.setStoreDown(false);
  tree.run(Milliseconds(3000));
  BOOST_TEST(tree.olderThan(kGoodAge) == 0U);
  tree.run(Milliseconds(3000));
  BOOST_TEST(tree.roots().size() == 2U);
}

BOOST_AUTO_TEST_CASE(childrenStayWhileTheStoreIsAway) {
  SimulatedTree tree = settledTree(300);
  tree.setStoreDown(true);
  const std::size_t before = tree.storeCalls();
  tree.run(Milliseconds(4500));
  // The roots' children look now and then whether it is there for them.
  BOOST_TEST(tree.storeCalls() - before <= 150U, tree.storeCalls() - before << " calls");
  tree.setStoreDown(false);
  // The simulation passes a proof on every 200 ms a level.
  tree.run(Milliseconds(1200));
  BOOST_TEST(tree.olderThan(kGoodAge) == 0U);
}

BOOST_AUTO_TEST_CASE(rootsThatLoseTheStoreAloneAreReplaced) {
  for (const std::uint64_t seed : {1U, 2U, 3U}) {
    SimulatedTree tree = settledTree(300, seed);
    const std::vector<std::size_t> cut = tree.roots();
    for (const std::size_t root : cut) {
      tree.setCutFromStore(root, true);
    }
    tree.run(Milliseconds(8000));
    BOOST_TEST(tree.olderThan(kGoodAge) == 0U);
    for (const std::size_t root : tree.roots()) {
      BOOST_TEST((std::find(cut.begin(), cut.end(), root) == cut.end()));
    }
    for (const std::size_t root : cut) {
      tree.setCutFromStore(root, false);
    }
    tree.run(Milliseconds(15'000));
    BOOST_TEST(tree.roots().size() == 2U);
  }
}

BOOST_AUTO_TEST_CASE(oneRootThatLosesTheStoreFollowsTheOther) {
  SimulatedTree tree = settledTree(300);
  tree.setCutFromStore(tree.roots()[0], true);
  for (int look = 0; look < 20; ++look) {
    tree.run(Milliseconds(200));
    BOOST_TEST(tree.olderThan(kKeyProofAge) == 0U);
  }
  BOOST_TEST(tree.olderThan(kGoodAge) == 0U);
}

BOOST_AUTO_TEST_CASE(frozenRootsAreReplacedAndStepDownWhenTheyWake) {
  SimulatedTree tree = settledTree(300);
  const std::vector<std::size_t> frozen = tree.roots();
  for (const std::size_t root : frozen) {
    tree.setFrozen(root, true);
  }
  tree.run(Milliseconds(4500));
  BOOST_TEST(tree.olderThan(kGoodAge) == 0U);
  for (const std::size_t root : frozen) {
    tree.setFrozen(root, false);
  }
  tree.run(Milliseconds(15'000));
  BOOST_TEST(tree.roots().size() == 2U);
  BOOST_TEST(tree.olderThan(kGoodAge) == 0U);
}

BOOST_AUTO_TEST_CASE(lostCallsCostNobodyItsView) {
  for (const std::uint64_t seed : {1U, 2U, 3U}) {
    SimulatedTree tree = settledTree(300, seed);
    const std::size_t before = tree.storeCalls();
    tree.setLoss(0.05);
    for (int look = 0; look < 50; ++look) {
      tree.run(Milliseconds(200));
      BOOST_TEST(tree.olderThan(kKeyProofAge) == 0U);
    }
    BOOST_TEST(tree.storeCalls() - before <= 60U, tree.storeCalls() - before << " calls");
  }
}

BOOST_AUTO_TEST_CASE(rollOverAllCostsAReadingEach) {
  SimulatedTree tree = settledTree(100);
  const std::size_t before = tree.storeCalls();
  for (std::size_t number = 0; number < tree.size(); ++number) {
    tree.kill(number, false);
    tree.start(number, Milliseconds(50));
    tree.run(Milliseconds(150));
  }
  tree.run(Milliseconds(3000));
  BOOST_TEST(tree.olderThan(kGoodAge) == 0U);
  BOOST_TEST(tree.storeCalls() - before <= 160U, tree.storeCalls() - before << " calls");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace calicodrift::relay
