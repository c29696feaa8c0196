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

/// Result of a write to the store.
enum class WriteOutcome {
  kDone,
  /// Applied, but the answer is lost.
  kAnswerLost,
  /// Not applied.
  kUnavailable,
};

/// One order and one record with conditional writes, shared by the controllers of a test.
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
    const WriteOutcome outcome = co_await nextOutcome();
    if (outcome == WriteOutcome::kUnavailable) {
      co_return fail(ErrorKind::kStoreUnavailable, "");
    }
    const store::Revision stored = record ? record->revision : store::Revision();
    if (written.revision != stored) {
      ++conflicts;
      co_return fail(ErrorKind::kVersionConflict, "");
    }
    record = written;
    record->revision = store::Revision(++revision_);
    completedWrites.push_back(std::string(toString(written.phase)));
    co_return answer(outcome);
  }
  awaitable<Result<store::Revision>> writeState(Order decidedOn, OrderState state) {
    const WriteOutcome outcome = co_await nextOutcome();
    if (outcome == WriteOutcome::kUnavailable) {
      co_return fail(ErrorKind::kStoreUnavailable, "");
    }
    if (decidedOn.revision != order.revision) {
      ++conflicts;
      co_return fail(ErrorKind::kVersionConflict, "");
    }
    order.state = state;
    order.stateTarget = decidedOn.target;
    order.revision = store::Revision(++revision_);
    completedWrites.push_back(std::string(toString(state)));
    co_return answer(outcome);
  }
  store::Revision revision() const { return store::Revision(revision_); }

  Order order;
  std::optional<ServiceRecord> record;
  /// Outcomes of the next writes; any further writes are applied.
  std::deque<WriteOutcome> outcomes;
  Milliseconds delay{2};
  std::vector<std::string> completedWrites;
  unsigned calls = 0;
  unsigned conflicts = 0;
  unsigned inFlight = 0;
  unsigned maxInFlight = 0;

 private:
  awaitable<WriteOutcome> nextOutcome() {
    ++calls;
    maxInFlight = std::max(maxInFlight, ++inFlight);
    asio::steady_timer timer(context_, delay);
    co_await timer.async_wait(asio::use_awaitable);
    --inFlight;
    WriteOutcome outcome = WriteOutcome::kDone;
    if (!outcomes.empty()) {
      outcome = outcomes.front();
      outcomes.pop_front();
    }
    co_return outcome;
  }
  Result<store::Revision> answer(WriteOutcome outcome) const {
    if (outcome == WriteOutcome::kAnswerLost) {
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
    settings.pacing.initialPause = Milliseconds(4);
    settings.pacing.maxPause = Milliseconds(64);
    settings.pacing.maxViewWait = Milliseconds(100);
    controller_.emplace(context.get_executor(), std::move(ports), settings);
    controller_->start();
  }

  std::optional<FencingToken> token;
  /// Whether the view is read anew in each pass; otherwise it stays unchanged.
  bool refreshesViews = true;
  /// Called after the views were read, before any decision is made.
  std::function<void()> afterInputs;
  Verdict verdict = Verdict::kUndecided;
  Milliseconds age{0};
  std::size_t stableInFlight = 0;
  unsigned writes = 0;

 private:
  std::map<std::string, PlanInput> inputs() {
    if (refreshesViews) {
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
    view_.observations.age = age;
    if (view_.record) {
      view_.observations.order = keyOf(*view_.record);
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
  BOOST_TEST((store.completedWrites == std::vector<std::string>{"baking", "running"}));
  holder.verdict = Verdict::kBad;
  run(Milliseconds(100));
  BOOST_TEST(store.completedWrites == kRolledBack, boost::test_tools::per_element());
  BOOST_TEST(holder.writes == 4U);
  BOOST_TEST(store.maxInFlight == 1U);
}

BOOST_AUTO_TEST_CASE(completesAShiftOnceTheStableVersionHasDrained) {
  Holder holder(context, store);
  holder.token = FencingToken(1);
  holder.verdict = Verdict::kSound;
  holder.age = store.order.duration;
  holder.stableInFlight = 1;
  run(Milliseconds(700));
  BOOST_TEST((store.completedWrites == std::vector<std::string>{"baking", "running", "shifting"}));
  holder.stableInFlight = 0;
  // Drained, but the candidate has not had all traffic for long enough.
  run(Milliseconds(200));
  BOOST_TEST((store.completedWrites == std::vector<std::string>{"baking", "running", "shifting"}));
  run(Milliseconds(700));
  BOOST_TEST((store.completedWrites ==
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
    ownStore.outcomes.assign(lost, WriteOutcome::kDone);
    ownStore.outcomes.push_back(WriteOutcome::kAnswerLost);
    Holder holder(ownContext, ownStore);
    holder.token = FencingToken(1);
    ownContext.run_for(Milliseconds(100));
    holder.verdict = Verdict::kBad;
    ownContext.run_for(Milliseconds(200));
    BOOST_TEST(ownStore.completedWrites == kRolledBack, boost::test_tools::per_element());
    BOOST_TEST(holder.writes == kRolledBack.size());
  }
}

BOOST_AUTO_TEST_CASE(aLostAnswerIsNotFollowedByAWriteBeforeTheViewsAreReadAgain) {
  Holder holder(context, store);
  holder.token = FencingToken(1);
  store.outcomes.push_back(WriteOutcome::kAnswerLost);
  // The first pass reads the views; all others find them unchanged.
  holder.afterInputs = [&holder] { holder.refreshesViews = false; };
  run(Milliseconds(200));
  BOOST_TEST(holder.writes == 1U);
  holder.afterInputs = nullptr;
  holder.refreshesViews = true;
  run(Milliseconds(100));
  BOOST_TEST((store.completedWrites == std::vector<std::string>{"baking", "running"}));
}

BOOST_AUTO_TEST_CASE(theNextWriteWaitsUntilTheViewsShowTheLast) {
  Holder holder(context, store);
  holder.token = FencingToken(1);
  holder.afterInputs = [&holder] { holder.refreshesViews = false; };
  run(Milliseconds(60));
  BOOST_TEST(holder.writes == 1U);
  // After the maximum wait it continues; the store refuses writes based on the old view.
  run(Milliseconds(200));
  BOOST_TEST(store.conflicts == 1U);
  BOOST_TEST((store.completedWrites == std::vector<std::string>{"baking"}));
}

BOOST_AUTO_TEST_CASE(anOldHolderAndItsSuccessorNeverBothWrite) {
  Holder old(context, store);
  Holder successor(context, store);
  old.token = FencingToken(1);
  // The lease ends when the first write is completed.
  const auto handOver = [&] {
    if (!store.completedWrites.empty()) {
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
  BOOST_TEST(store.completedWrites == kRolledBack, boost::test_tools::per_element());
  BOOST_TEST(store.conflicts == 0U);
}

BOOST_AUTO_TEST_CASE(aWriteOfAnOldHolderThatComesLateIsRefused) {
  Holder old(context, store);
  Holder successor(context, store);
  store.delay = Milliseconds(40);
  old.token = FencingToken(1);
  run(Milliseconds(10));
  BOOST_REQUIRE(old.writes == 1U);
  // The old holder's write is still in flight when the successor makes the same decision.
  old.token.reset();
  successor.token = FencingToken(2);
  run(Milliseconds(400));
  BOOST_TEST((store.completedWrites == std::vector<std::string>{"baking", "running"}));
  BOOST_TEST(store.conflicts == 1U);
}

BOOST_AUTO_TEST_CASE(writesToAFailingStoreBackOff) {
  Holder holder(context, store);
  holder.token = FencingToken(1);
  store.outcomes.assign(1000, WriteOutcome::kUnavailable);
  run(Milliseconds(600));
  // Pauses of 4, 8, 16, 32 and then 64 ms, of which jitter leaves at least half: at most 23 calls,
  // where one per pass would be 150.
  BOOST_TEST(store.calls >= 5U);
  BOOST_TEST(store.calls <= 23U);
  BOOST_TEST(store.completedWrites.empty());
  store.outcomes.clear();
  run(Milliseconds(200));
  BOOST_TEST((store.completedWrites == std::vector<std::string>{"baking", "running"}));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace calicodrift::service_rollout
