#include <boost/test/unit_test.hpp>

#include "claims/simulated_fleet.h"

namespace calicodrift::claims::testing {
namespace {

/// Predominant type of fault that a schedule injects.
enum class FaultProfile { kRestarts, kPartitions, kPartitionsWithRestarts };

/// Runs random faults and claims, drawn from the seed of the fleet.
class Schedule {
 public:
  Schedule(SimulatedFleet& fleet, FaultProfile profile) : fleet_(fleet), profile_(profile) {}

  void run() {
    constexpr int kSteps = 200;
    fleet_.network.run(Milliseconds(1500));
    for (int step = 0; step < kSteps; ++step) {
      takeStep();
      fleet_.network.run(Milliseconds(random(80)));
    }
  }

  /// Removes all faults and waits for the fleet to recover.
  void recover() {
    fleet_.network.setFaults({});
    fleet_.network.healAll();
    for (std::size_t index = 0; index < fleet_.size(); ++index) {
      fleet_.store(index).setDown(false);
      if (!fleet_.running(index)) {
        fleet_.start(index);
      }
      fleet_.setPaused(index, false);
      fleet_.directory(index).suspected.clear();
    }
    fleet_.network.run(Milliseconds(10'000));
  }

 private:
  std::uint64_t random(std::uint64_t bound) { return fleet_.network.random()() % bound; }
  std::size_t randomNode() { return random(fleet_.size()); }

  void takeStep() {
    const std::uint64_t choice = random(20);
    if (profile_ != FaultProfile::kRestarts && choice >= 11) {
      if (choice < 14) {
        partition();
        keys_.clear();
        requestOnRandomNodes();
      } else if (choice < 16 && profile_ == FaultProfile::kPartitionsWithRestarts) {
        restartRandomNodes();
      }
    } else if (choice < 11) {
      requestOnRandomNodes();
    } else if (choice < 13) {
      restartRandomNodes();
    } else if (choice < 15) {
      changeNetwork();
    } else if (choice < 17) {
      changeMembership();
    } else if (choice < 18) {
      setStoreDown(random(2) == 0);
    } else {
      togglePause();
    }
  }

  void requestOnRandomNodes() {
    constexpr std::size_t kKeys = 3;
    if (keys_.size() < kKeys || random(8) == 0) {
      // From nearly expired to further ahead than any replica accepts.
      const std::int64_t oldest = profile_ == FaultProfile::kRestarts ? 900 : 100;
      const std::int64_t lead = static_cast<std::int64_t>(random(oldest + 300)) - oldest;
      keys_.insert(keys_.begin(), fleet_.makeKey(lead));
      keys_.resize(std::min(keys_.size(), kKeys));
    }
    const ClaimKey& key = keys_[random(keys_.size())];
    const std::uint64_t routers = 1 + random(3);
    for (std::uint64_t count = 0; count < routers; ++count) {
      const std::size_t index = randomNode();
      if (fleet_.running(index) && !fleet_.paused(index)) {
        fleet_.request(index, key, Milliseconds(random(300)));
      }
    }
  }

  /// Splits the fleet into two sides that cannot reach each other; the object API may be reachable
  /// from only one side.
  void partition() {
    fleet_.network.healAll();
    const std::uint64_t sides = random(std::uint64_t{1} << fleet_.size());
    const auto sideOf = [sides](std::size_t index) { return (sides >> index) & 1U; };
    const std::uint64_t withStore = random(3);
    for (std::size_t from = 0; from < fleet_.size(); ++from) {
      fleet_.store(from).setDown(sideOf(from) != withStore && withStore < 2);
      auto& suspected = fleet_.directory(from).suspected;
      suspected.clear();
      for (std::size_t to = 0; to < fleet_.size(); ++to) {
        if (sideOf(from) != sideOf(to)) {
          fleet_.network.cut(fleet_.endpoint(from), fleet_.endpoint(to));
          suspected.insert(NodeId("n" + std::to_string(to)));
        }
      }
    }
  }

  void setStoreDown(bool down) {
    for (std::size_t index = 0; index < fleet_.size(); ++index) {
      fleet_.store(index).setDown(down);
    }
  }

  void restartRandomNodes() {
    const bool all = random(6) == 0;
    for (std::size_t index = 0; index < fleet_.size(); ++index) {
      if (all || random(fleet_.size()) == 0) {
        fleet_.restart(index);
      }
    }
  }

  void changeNetwork() {
    if (random(2) == 0) {
      fleet_.network.healAll();
      fleet_.network.setFaults({0.05, 0.1, Milliseconds(1), Milliseconds(15)});
      return;
    }
    fleet_.network.setFaults({0.2, 0.2, Milliseconds(1), Milliseconds(60)});
    const std::size_t from = randomNode();
    const std::size_t to = randomNode();
    fleet_.network.cut(fleet_.endpoint(from), fleet_.endpoint(to));
    if (random(2) == 0) {
      fleet_.network.cut(fleet_.endpoint(to), fleet_.endpoint(from));
    }
  }

  void changeMembership() {
    const std::size_t index = randomNode();
    if (!fleet_.running(index)) {
      fleet_.start(index);
    } else if (random(3) == 0) {
      fleet_.stop(index);
    } else {
      auto& suspected = fleet_.directory(index).suspected;
      suspected.clear();
      suspected.insert(NodeId("n" + std::to_string(randomNode())));
    }
  }

  void togglePause() {
    const std::size_t index = randomNode();
    if (fleet_.running(index)) {
      fleet_.setPaused(index, !fleet_.paused(index));
    }
  }

  SimulatedFleet& fleet_;
  FaultProfile profile_;
  std::vector<ClaimKey> keys_;
};

struct Totals {
  int schedules = 0;
  int withDuplicateDispatch = 0;
  int granted = 0;
  std::uint64_t epochs = 0;
  /// Seeds of the schedules in which a key was dispatched twice.
  std::string seeds;
};

Totals runSchedules(std::uint64_t seeds, FaultProfile profile, const SafetyRules& rules) {
  Totals totals;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    ClaimSettings settings = shortTimeoutSettings();
    settings.rules = rules;
    const std::size_t smallest = profile == FaultProfile::kRestarts ? 2 : 4;
    SimulatedFleet fleet(seed, smallest + seed % 4, settings);
    Schedule schedule(fleet, profile);
    schedule.run();
    ++totals.schedules;
    if (fleet.maxDispatchesOfAnyKey() > 1) {
      ++totals.withDuplicateDispatch;
      totals.seeds += " " + std::to_string(seed);
    }
    totals.granted += fleet.verdicts[ClaimVerdict::kGranted];
    schedule.recover();
    totals.epochs += fleet.node(0).view().epoch.value();
  }
  BOOST_TEST_MESSAGE("schedules " << totals.schedules << ", with a duplicate dispatch "
                                  << totals.withDuplicateDispatch << ", claims granted "
                                  << totals.granted << ", epochs " << totals.epochs);
  return totals;
}

BOOST_AUTO_TEST_CASE(noKeyIsEverDispatchedTwice) {
  for (const FaultProfile profile : {FaultProfile::kRestarts, FaultProfile::kPartitions,
                                     FaultProfile::kPartitionsWithRestarts}) {
    const Totals totals = runSchedules(300, profile, SafetyRules{});
    BOOST_TEST_CONTEXT("seeds" << totals.seeds) {
      BOOST_TEST(totals.withDuplicateDispatch == 0);
    }
    // Schedules that granted no claims or changed no views would prove nothing.
    BOOST_TEST(totals.granted > 300);
    BOOST_TEST(totals.epochs > 900U);
  }
}

BOOST_AUTO_TEST_CASE(withoutAbstentionAfterARestartAKeyIsDispatchedTwice) {
  SafetyRules rules;
  rules.abstainAfterRestart = false;
  BOOST_TEST(runSchedules(100, FaultProfile::kRestarts, rules).withDuplicateDispatch > 0);
}

BOOST_AUTO_TEST_CASE(withoutSealingThePreviousEpochAKeyIsDispatchedTwice) {
  SafetyRules rules;
  rules.sealPreviousEpoch = false;
  BOOST_TEST(runSchedules(300, FaultProfile::kPartitions, rules).withDuplicateDispatch > 0);
}

BOOST_AUTO_TEST_CASE(withoutTheEpochCheckAKeyIsDispatchedTwice) {
  SafetyRules rules;
  rules.checkEpoch = false;
  BOOST_TEST(runSchedules(300, FaultProfile::kPartitions, rules).withDuplicateDispatch > 0);
}

BOOST_AUTO_TEST_CASE(everyNodeClaimsAgainAfterFaultsEnd) {
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    SimulatedFleet fleet(seed, 1 + seed % 6, shortTimeoutSettings());
    Schedule schedule(fleet, static_cast<FaultProfile>(seed % 3));
    schedule.run();
    schedule.recover();
    for (std::size_t index = 0; index < fleet.size(); ++index) {
      const ClaimKey key = fleet.makeKey(0);
      fleet.request(index, key, Milliseconds(10));
      fleet.network.run(Milliseconds(1000));
      BOOST_TEST_CONTEXT("seed " << seed << ", node " << index) {
        BOOST_TEST((fleet.lastVerdict[key] == ClaimVerdict::kGranted));
      }
    }
  }
}

}  // namespace
}  // namespace calicodrift::claims::testing
