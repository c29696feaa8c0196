#include "lease/lease_core.h"

#include <boost/test/unit_test.hpp>
#include <memory>
#include <optional>
#include <random>
#include <vector>

#include "support/simulated_network.h"

namespace calicodrift::lease {
namespace {

constexpr double kDrift = 0.05;
constexpr Milliseconds kOperationTimeout{400};

/// A store in virtual time. Each operation is applied at one moment; its reply may be lost. It may
/// return from an earlier state, after which it gives out the same numbers again.
struct Store {
  struct State {
    LeaseRecord record;
    std::uint64_t number = 0;
  };
  State current;
  std::vector<State> history{State{}};
  std::uint64_t takeovers = 0;
  store::Era era{1};

  /// A condition holds by its number alone: the store doesn't know of which era it is.
  bool put(const ObservedLease& write) {
    if (current.number != numberOf(write)) {
      return false;
    }
    takeovers += write.record.holder == current.record.holder ? 0 : 1;
    current = {write.record, current.number + 1};
    history.push_back(current);
    return true;
  }
  void returnFromCopy(std::size_t lostWrites) {
    history.resize(history.size() - std::min(lostWrites, history.size() - 1));
    current = history.back();
    era = store::Era(era.value() + 1);
  }
  ObservedLease observed() const {
    const bool exists = current.number != 0;
    const store::Revision version = store::makeRevision(era, current.number);
    return {
        object_api::ResourceVersion(exists ? version.value() : 0), current.record, true, era, {}};
  }
  static std::uint64_t numberOf(const ObservedLease& lease) {
    return store::numberOf(store::Revision(lease.version.value()));
  }
};

/// A candidate whose clock runs at its own rate and which does nothing during pauses.
class Candidate {
 public:
  Candidate(testing::SimulatedNetwork& time, Store& store, const std::string& name, double rate)
      : time_(time),
        store_(store),
        rate_(rate),
        core_(
            LeaseSettings{name, Milliseconds(1000), Milliseconds(300), Milliseconds(50), kDrift}) {
    step();
  }

  MonotonicTime clock() const {
    const auto elapsed = std::chrono::duration<double>(time_.now() - MonotonicTime{}) * rate_;
    return MonotonicTime{} + std::chrono::duration_cast<MonotonicTime::duration>(elapsed);
  }
  std::optional<FencingToken> token() const { return core_.token(clock()); }
  void pause(Milliseconds duration) { pausedUntil_ = time_.now() + duration; }

 private:
  void step() {
    constexpr Milliseconds kStep{10};
    time_.schedule(kStep, [this] { step(); });
    if (busy_ || time_.now() < pausedUntil_) {
      return;
    }
    const LeaseAction action = core_.next(clock());
    if (action.step != LeaseStep::kWait) {
      begin(action);
    }
  }

  void begin(const LeaseAction& action) {
    const bool conditional = action.write.version.value() != 0;
    if (action.step == LeaseStep::kWrite && conditional && action.write.era != era_) {
      core_.onWriteFailed(clock());
      return;
    }
    busy_ = true;
    const std::uint64_t operation = ++operation_;
    time_.schedule(delay(), [this, action, operation] { apply(action, operation); });
    time_.schedule(kOperationTimeout, [this, action, operation] { timeOut(action, operation); });
  }

  /// The store applies the operation, possibly after the sender's timeout.
  void apply(const LeaseAction& action, std::uint64_t operation) {
    const bool wrote = action.step == LeaseStep::kWrite && store_.put(action.write);
    const ObservedLease seen = store_.observed();
    if (chance(0.1)) {
      return;
    }
    time_.schedule(delay(), [=, this] { answer(action, operation, wrote, seen); });
  }

  void answer(const LeaseAction& action, std::uint64_t operation, bool wrote,
              const ObservedLease& seen) {
    if (time_.now() < pausedUntil_) {
      time_.schedule(Milliseconds(7), [=, this] { answer(action, operation, wrote, seen); });
      return;
    }
    if (operation != operation_ || !busy_) {
      return;
    }
    busy_ = false;
    if (seen.era < era_) {
      action.step == LeaseStep::kRead ? core_.onReadFailed(clock()) : core_.onWriteFailed(clock());
      return;
    }
    if (seen.era > era_) {
      era_ = seen.era;
      eraSeenAt_ = clock();
    }
    const bool creates = action.write.version.value() == 0;
    if (action.step == LeaseStep::kRead) {
      ObservedLease observed = seen;
      observed.eraSeenAt = eraSeenAt_;
      core_.onRead(observed, clock());
    } else if (wrote && (creates || action.write.era == seen.era)) {
      core_.onWritten(action.write, seen.version, clock());
    } else {
      core_.onWriteFailed(clock());
    }
  }

  void timeOut(const LeaseAction& action, std::uint64_t operation) {
    if (operation != operation_ || !busy_ || time_.now() < pausedUntil_) {
      if (operation == operation_ && busy_) {
        time_.schedule(Milliseconds(7), [=, this] { timeOut(action, operation); });
      }
      return;
    }
    busy_ = false;
    if (action.step == LeaseStep::kRead) {
      core_.onReadFailed(clock());
    } else {
      core_.onWriteFailed(clock());
    }
  }

  bool chance(double probability) {
    return std::uniform_real_distribution<double>(0, 1)(time_.random()) < probability;
  }
  Milliseconds delay() {
    const int longest = chance(0.05) ? 1500 : 40;
    return Milliseconds(std::uniform_int_distribution<int>(1, longest)(time_.random()));
  }

  testing::SimulatedNetwork& time_;
  Store& store_;
  double rate_;
  LeaseCore core_;
  MonotonicTime pausedUntil_{};
  store::Era era_;
  MonotonicTime eraSeenAt_{};
  std::uint64_t operation_ = 0;
  bool busy_ = false;
};

struct Outcome {
  std::uint64_t takeovers = 0;
  std::uint64_t heldSamples = 0;
  std::uint64_t doubleHeldSamples = 0;
  bool tokensRise = true;
};

/// Runs four candidates for 30 s of virtual time under random delays, pauses and lost replies.
/// @param returns whether the store returns from copies, now and then twice within a term.
Outcome runSchedule(std::uint64_t seed, bool returns) {
  constexpr int kCandidates = 4;
  constexpr int kSamples = 30'000;
  testing::SimulatedNetwork time(seed);
  Store store;
  std::vector<std::unique_ptr<Candidate>> candidates;
  for (int index = 0; index < kCandidates; ++index) {
    // Every schedule includes clocks at both extremes of the drift bound.
    const double rate = index % 2 == 0 ? 1 - kDrift : 1 + kDrift;
    candidates.push_back(
        std::make_unique<Candidate>(time, store, "n" + std::to_string(index), rate));
  }
  Outcome outcome;
  FencingToken highest;
  std::optional<std::size_t> lastHolder;
  for (int sample = 0; sample < kSamples; ++sample) {
    time.run(Milliseconds(1));
    std::size_t holders = 0;
    for (std::size_t index = 0; index < candidates.size(); ++index) {
      const std::optional<FencingToken> token = candidates[index]->token();
      if (!token) {
        continue;
      }
      ++holders;
      const bool otherHolder = lastHolder && *lastHolder != index;
      outcome.tokensRise =
          outcome.tokensRise && (otherHolder ? *token > highest : *token >= highest);
      highest = *token;
      lastHolder = index;
    }
    outcome.heldSamples += holders > 0 ? 1 : 0;
    outcome.doubleHeldSamples += holders > 1 ? 1 : 0;
    if (sample % 1500 == 0) {
      std::uniform_int_distribution<std::size_t> which(0, candidates.size() - 1);
      std::uniform_int_distribution<int> length(100, 3000);
      candidates[which(time.random())]->pause(Milliseconds(length(time.random())));
    }
    const bool again = sample % 5000 == 4400 && seed % 2 == 0;
    if (returns && (sample % 5000 == 4000 || again)) {
      std::uniform_int_distribution<std::size_t> lost(0, 12);
      store.returnFromCopy(lost(time.random()));
    }
  }
  outcome.takeovers = store.takeovers;
  return outcome;
}

BOOST_AUTO_TEST_CASE(neverTwoHoldersUnderDelaysPausesLostRepliesAndDrift) {
  constexpr std::uint64_t kSchedules = 60;
  Outcome total;
  for (std::uint64_t seed = 1; seed <= kSchedules; ++seed) {
    const Outcome outcome = runSchedule(seed, false);
    total.takeovers += outcome.takeovers;
    total.heldSamples += outcome.heldSamples;
    total.doubleHeldSamples += outcome.doubleHeldSamples;
    total.tokensRise = total.tokensRise && outcome.tokensRise;
  }
  BOOST_TEST_MESSAGE("takeovers " << total.takeovers << ", held ms " << total.heldSamples
                                  << ", held by two ms " << total.doubleHeldSamples);
  BOOST_TEST(total.doubleHeldSamples == 0U);
  BOOST_TEST(total.tokensRise);
  // A run without a change of holder, or without any holder, would prove nothing.
  BOOST_TEST(total.takeovers > kSchedules);
  BOOST_TEST(total.heldSamples > kSchedules * 10'000);
}

// A store that returns from a copy has lost the latest writes and gives out their numbers again: a
// successor must not begin beside a holder that still believes in its term, nor with its token.
BOOST_AUTO_TEST_CASE(neverTwoHoldersAndNoTokenTwiceOverReturnsOfTheStore) {
  constexpr std::uint64_t kSchedules = 400;
  Outcome total;
  for (std::uint64_t seed = 1; seed <= kSchedules; ++seed) {
    const Outcome outcome = runSchedule(seed, true);
    total.takeovers += outcome.takeovers;
    total.heldSamples += outcome.heldSamples;
    total.doubleHeldSamples += outcome.doubleHeldSamples;
    BOOST_TEST(outcome.tokensRise, "a token was issued twice with seed " << seed);
  }
  BOOST_TEST_MESSAGE("takeovers " << total.takeovers << ", held ms " << total.heldSamples
                                  << ", held by two ms " << total.doubleHeldSamples);
  BOOST_TEST(total.doubleHeldSamples == 0U);
  BOOST_TEST(total.takeovers > kSchedules);
  BOOST_TEST(total.heldSamples > kSchedules * 8'000);
}

struct SingleCandidateFixture {
  MonotonicTime now{};
  LeaseCore core{LeaseSettings{"a#1", Milliseconds(1000), Milliseconds(300), Milliseconds(50)}};

  LeaseAction acquire() {
    core.next(now);
    core.onRead({}, now);
    LeaseAction action = core.next(now);
    BOOST_REQUIRE((action.step == LeaseStep::kWrite));
    return action;
  }
};

BOOST_FIXTURE_TEST_CASE(leaseCountsFromBeforeTheWriteWasSent, SingleCandidateFixture) {
  const LeaseAction action = acquire();
  core.onWritten(action.write, object_api::ResourceVersion(1), now + Milliseconds(900));
  BOOST_TEST(core.token(now + Milliseconds(999)).has_value());
  BOOST_TEST(!core.token(now + Milliseconds(1000)).has_value());
}

BOOST_FIXTURE_TEST_CASE(lostReplyIsResolvedByReadingBack, SingleCandidateFixture) {
  const LeaseAction action = acquire();
  core.onWriteFailed(now + Milliseconds(100));
  BOOST_TEST(!core.token(now + Milliseconds(100)).has_value());
  BOOST_TEST((core.next(now + Milliseconds(100)).step == LeaseStep::kRead));
  core.onRead({object_api::ResourceVersion(1), action.write.record}, now + Milliseconds(200));
  BOOST_TEST(core.token(now + Milliseconds(200)).has_value());
  BOOST_TEST(!core.token(now + Milliseconds(1000)).has_value());
}

BOOST_FIXTURE_TEST_CASE(fencedHolderStopsAndContinuesOnlyWithAHigherToken, SingleCandidateFixture) {
  const LeaseAction action = acquire();
  core.onWritten(action.write, object_api::ResourceVersion(1), now);
  core.onFenced(FencingToken(9));
  BOOST_TEST(!core.token(now).has_value());
  BOOST_TEST((core.next(now).step == LeaseStep::kRead));
  core.onRead({object_api::ResourceVersion(1), action.write.record}, now);
  BOOST_TEST(!core.token(now).has_value());
  const LeaseAction raised = core.next(now);
  BOOST_REQUIRE((raised.step == LeaseStep::kWrite));
  BOOST_TEST(raised.write.record.token.value() == 10U);
}

BOOST_FIXTURE_TEST_CASE(releasedLeaseIsFreeAtOnceAndNeverHeldAgainByItsReleaser,
                        SingleCandidateFixture) {
  const LeaseAction action = acquire();
  core.onWritten(action.write, object_api::ResourceVersion(1), now);
  const std::optional<ObservedLease> released = core.release(now);
  BOOST_REQUIRE(released.has_value());
  BOOST_TEST(!core.token(now).has_value());
  LeaseCore successor(LeaseSettings{"b#1", Milliseconds(1000), Milliseconds(300)});
  successor.onRead({object_api::ResourceVersion(2), released->record}, now);
  const LeaseAction taken = successor.next(now);
  BOOST_REQUIRE((taken.step == LeaseStep::kWrite));
  BOOST_TEST(taken.write.record.token.value() == 2U);
}

BOOST_AUTO_TEST_CASE(nonCandidateNeverAccessesTheStore) {
  LeaseCore core(LeaseSettings{"c#1"});
  BOOST_TEST((core.next(MonotonicTime{}, false).step == LeaseStep::kWait));
}

}  // namespace
}  // namespace calicodrift::lease
