#include "service_rollout/rollout_controller.h"

#include <boost/asio.hpp>
#include <boost/test/unit_test.hpp>
#include <deque>
#include <vector>

#include "log/log.h"

namespace calicodrift::service_rollout {
namespace {

namespace asio = boost::asio;
using asio::awaitable;

const std::string kService = "quotes";
const SoftwareVersion kOld("1");
const SoftwareVersion kNew("2");

/// What the store does with a write.
enum class Fate {
  kDone,
  /// Done, but the answer is lost.
  kAnswerLost,
  /// Nothing is done.
  kUnavailable,
};

/// One order and one record under conditional writes, shared by the controllers of a test.
class FakeStore {
 public:
  explicit FakeStore(asio::io_context& context) : context_(context) {
    order.name = kService;
    order.service = kService;
    order.target = kNew;
    order.duration = Milliseconds(8000);
    order.revision = store::Revision(revision_);
  }

  awaitable<Result<store::Revision>> writeRecord(ServiceRecord written) {
    const Fate fate = co_await nextFate();
    if (fate == Fate::kUnavailable) {
      co_return fail(ErrorKind::kStoreUnavailable, "");
    }
    const store::Revision stored = record ? record->revision : store::Revision();
    if (written.revision != stored) {
      ++conflicts;
      co_return fail(ErrorKind::kVersionConflict, "");
    }
    record = written;
    record->revision = store::Revision(++revision_);
    done.push_back(std::string(toString(written.phase)));
    co_return answer(fate);
  }
  awaitable<Result<store::Revision>> writeState(Order decidedOn, OrderState state) {
    const Fate fate = co_await nextFate();
    if (fate == Fate::kUnavailable) {
      co_return fail(ErrorKind::kStoreUnavailable, "");
    }
    if (decidedOn.revision != order.revision) {
      ++conflicts;
      co_return fail(ErrorKind::kVersionConflict, "");
    }
    order.state = state;
    order.stateTarget = decidedOn.target;
    order.revision = store::Revision(++revision_);
    done.push_back(std::string(toString(state)));
    co_return answer(fate);
  }
  store::Revision revision() const { return store::Revision(revision_); }

  Order order;
  std::optional<ServiceRecord> record;
  /// Of the next writes; those beyond are done.
  std::deque<Fate> fates;
  Milliseconds delay{2};
  std::vector<std::string> done;
  unsigned calls = 0;
  unsigned conflicts = 0;
  unsigned underWay = 0;
  unsigned mostUnderWay = 0;

 private:
  awaitable<Fate> nextFate() {
    ++calls;
    mostUnderWay = std::max(mostUnderWay, ++underWay);
    asio::steady_timer timer(context_, delay);
    co_await timer.async_wait(asio::use_awaitable);
    --underWay;
    Fate fate = Fate::kDone;
    if (!fates.empty()) {
      fate = fates.front();
      fates.pop_front();
    }
    co_return fate;
  }
  Result<store::Revision> answer(Fate fate) const {
    if (fate == Fate::kAnswerLost) {
      return fail(ErrorKind::kOutcomeUnknown, "");
    }
    return store::Revision(revision_);
  }

  asio::io_context& context_;
  std::uint64_t revision_ = 10;
};

/// One node: its lease, its view of the store and its controller.
class Holder {
 public:
  Holder(asio::io_context& context, FakeStore& store) : store_(store) {
    RolloutPorts ports;
    ports.token = [this] { return token; };
    ports.inputs = [this] { return inputs(); };
    ports.writeRecord = [this](ServiceRecord record) {
      ++writes;
      return store_.writeRecord(std::move(record));
    };
    ports.writeState = [this](Order order, OrderState state) {
      ++writes;
      return store_.writeState(std::move(order), state);
    };
    RolloutControllerSettings settings;
    settings.interval = Milliseconds(2);
    settings.pacing.firstPause = Milliseconds(4);
    settings.pacing.longestPause = Milliseconds(64);
    settings.pacing.longestViewWait = Milliseconds(100);
    controller_.emplace(context.get_executor(), std::move(ports), settings);
    controller_->start();
  }

  std::optional<FencingToken> token;
  /// The view is read anew at each look; else it stays as it was.
  bool reads = true;
  /// Called after the views were taken, before anything is decided on them.
  std::function<void()> afterInputs;
  Verdict verdict = Verdict::kUndecided;
  Milliseconds age{0};
  std::size_t stableInFlight = 0;
  unsigned writes = 0;

 private:
  std::map<std::string, PlanInput> inputs() {
    if (reads) {
      view_.order = store_.order;
      view_.record = store_.record;
      view_.orders = {store_.revision(), monotonicNow()};
      view_.records = view_.orders;
    }
    view_.firstSeen = kOld;
    view_.stableServers = 7;
    view_.candidateServers = 7;
    view_.stableInFlight = stableInFlight;
    view_.verdict = verdict;
    view_.seen.age = age;
    if (view_.record) {
      view_.seen.order = keyOf(*view_.record);
    }
    if (afterInputs) {
      afterInputs();
    }
    return {{kService, view_}};
  }

  FakeStore& store_;
  PlanInput view_;
  std::optional<RolloutController> controller_;
};

struct ControllerFixture {
  ControllerFixture() { log::silence(); }

  asio::io_context context;
  FakeStore store{context};
  void run(Milliseconds time) { context.run_for(time); }
};

const std::vector<std::string> kRolledBack{"baking", "running", "steady", "rolled_back"};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(rollout_controller, ControllerFixture)

BOOST_AUTO_TEST_CASE(carriesOutThePlanWriteByWrite) {
  Holder holder(context, store);
  holder.token = FencingToken(1);
  run(Milliseconds(100));
  BOOST_TEST((store.done == std::vector<std::string>{"baking", "running"}));
  holder.verdict = Verdict::kBad;
  run(Milliseconds(100));
  BOOST_TEST(store.done == kRolledBack, boost::test_tools::per_element());
  BOOST_TEST(holder.writes == 4U);
  BOOST_TEST(store.mostUnderWay == 1U);
}

BOOST_AUTO_TEST_CASE(completesAShiftOnceTheStableVersionHasDrained) {
  Holder holder(context, store);
  holder.token = FencingToken(1);
  holder.verdict = Verdict::kSound;
  holder.age = store.order.duration;
  holder.stableInFlight = 1;
  run(Milliseconds(700));
  BOOST_TEST((store.done == std::vector<std::string>{"baking", "running", "shifting"}));
  holder.stableInFlight = 0;
  // Drained, but the candidate has not had all of the traffic for long enough.
  run(Milliseconds(200));
  BOOST_TEST((store.done == std::vector<std::string>{"baking", "running", "shifting"}));
  run(Milliseconds(700));
  BOOST_TEST((store.done ==
              std::vector<std::string>{"baking", "running", "shifting", "steady", "completed"}));
  BOOST_TEST((store.record->stable == kNew));
}

BOOST_AUTO_TEST_CASE(writesNothingWithoutTheLease) {
  Holder holder(context, store);
  run(Milliseconds(50));
  BOOST_TEST(store.calls == 0U);
}

BOOST_AUTO_TEST_CASE(writesNothingOnceTheLeaseEndsBetweenDecisionAndWrite) {
  Holder holder(context, store);
  holder.token = FencingToken(1);
  holder.afterInputs = [&holder] { holder.token.reset(); };
  run(Milliseconds(50));
  BOOST_TEST(store.calls == 0U);
}

BOOST_AUTO_TEST_CASE(writesNothingThatWasDecidedInAnEarlierTenure) {
  Holder holder(context, store);
  holder.token = FencingToken(1);
  std::uint64_t tenure = 1;
  holder.afterInputs = [&] { holder.token = FencingToken(++tenure); };
  run(Milliseconds(50));
  BOOST_TEST(store.calls == 0U);
}

BOOST_AUTO_TEST_CASE(aLostAnswerOfEachWriteLeadsToOneDecision) {
  for (std::size_t lost = 0; lost < kRolledBack.size(); ++lost) {
    asio::io_context ownContext;
    FakeStore ownStore(ownContext);
    ownStore.fates.assign(lost, Fate::kDone);
    ownStore.fates.push_back(Fate::kAnswerLost);
    Holder holder(ownContext, ownStore);
    holder.token = FencingToken(1);
    ownContext.run_for(Milliseconds(100));
    holder.verdict = Verdict::kBad;
    ownContext.run_for(Milliseconds(200));
    BOOST_TEST(ownStore.done == kRolledBack, boost::test_tools::per_element());
    BOOST_TEST(holder.writes == kRolledBack.size());
  }
}

BOOST_AUTO_TEST_CASE(aLostAnswerIsNotFollowedByAWriteBeforeTheViewsAreReadAgain) {
  Holder holder(context, store);
  holder.token = FencingToken(1);
  store.fates.push_back(Fate::kAnswerLost);
  // The first look reads the views, all others find them as they were.
  holder.afterInputs = [&holder] { holder.reads = false; };
  run(Milliseconds(200));
  BOOST_TEST(holder.writes == 1U);
  holder.afterInputs = nullptr;
  holder.reads = true;
  run(Milliseconds(100));
  BOOST_TEST((store.done == std::vector<std::string>{"baking", "running"}));
}

BOOST_AUTO_TEST_CASE(theNextWriteWaitsUntilTheViewsShowTheLast) {
  Holder holder(context, store);
  holder.token = FencingToken(1);
  holder.afterInputs = [&holder] { holder.reads = false; };
  run(Milliseconds(60));
  BOOST_TEST(holder.writes == 1U);
  // After the longest wait it goes on; the store refuses what rests on the old view.
  run(Milliseconds(200));
  BOOST_TEST(store.conflicts == 1U);
  BOOST_TEST((store.done == std::vector<std::string>{"baking"}));
}

BOOST_AUTO_TEST_CASE(anOldHolderAndItsSuccessorNeverBothWrite) {
  Holder old(context, store);
  Holder successor(context, store);
  old.token = FencingToken(1);
  // Its lease ends when the first write is done.
  const auto handOver = [&] {
    if (!store.done.empty()) {
      old.token.reset();
      successor.token = FencingToken(2);
    }
  };
  old.afterInputs = handOver;
  run(Milliseconds(150));
  BOOST_TEST(old.writes == 1U);
  successor.verdict = Verdict::kBad;
  old.verdict = Verdict::kBad;
  run(Milliseconds(150));
  BOOST_TEST(old.writes == 1U);
  BOOST_TEST(store.done == kRolledBack, boost::test_tools::per_element());
  BOOST_TEST(store.conflicts == 0U);
}

BOOST_AUTO_TEST_CASE(aWriteOfAnOldHolderThatComesLateIsRefused) {
  Holder old(context, store);
  Holder successor(context, store);
  store.delay = Milliseconds(40);
  old.token = FencingToken(1);
  run(Milliseconds(10));
  BOOST_REQUIRE(old.writes == 1U);
  // The old holder's write is still under way when the successor decides the same.
  old.token.reset();
  successor.token = FencingToken(2);
  run(Milliseconds(400));
  BOOST_TEST((store.done == std::vector<std::string>{"baking", "running"}));
  BOOST_TEST(store.conflicts == 1U);
}

BOOST_AUTO_TEST_CASE(aStoreThatFailsIsNotHammered) {
  Holder holder(context, store);
  holder.token = FencingToken(1);
  store.fates.assign(1000, Fate::kUnavailable);
  run(Milliseconds(600));
  // Pauses of 4, 8, 16, 32 and then 64 ms, of which jitter leaves half at least: 23 calls at most,
  // where one each look would be 150.
  BOOST_TEST(store.calls >= 5U);
  BOOST_TEST(store.calls <= 23U);
  BOOST_TEST(store.done.empty());
  store.fates.clear();
  run(Milliseconds(200));
  BOOST_TEST((store.done == std::vector<std::string>{"baking", "running"}));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace calicodrift::service_rollout
