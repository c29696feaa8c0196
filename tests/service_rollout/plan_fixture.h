#pragma once

#include <boost/test/unit_test.hpp>
#include <string>

#include "service_rollout/plan.h"

namespace calicodrift::service_rollout::testing {

inline const std::string kService = "quotes";
inline const SoftwareVersion kOld("1");
inline const SoftwareVersion kNew("2");
inline const SoftwareVersion kThird("3");

/// One service as seen by the lease holder, and the store's conditional writes. The 8 s order has
/// just been placed; both versions have seven servers.
class PlanFixture {
 public:
  PlanFixture() {
    input.firstSeen = kOld;
    input.stableServers = 7;
    input.candidateServers = 7;
    input.requestsPerSecond = 200;
    input.stableInFlight = 5;
    placeOrder(kNew);
  }

  /// The operator recreates the order's object.
  void placeOrder(const SoftwareVersion& target) {
    Order order;
    order.name = kService;
    order.service = kService;
    order.target = target;
    order.duration = Milliseconds(8000);
    input.order = order;
    touchOrder();
  }
  /// The operator changes the object, which keeps its status.
  void changeTarget(const SoftwareVersion& target) {
    input.order->target = target;
    touchOrder();
  }
  void touchOrder() {
    input.order->revision = nextRevision();
    showAll();
  }

  PlanAction next() const { return nextAction(input, settings); }
  /// Applies the write like the store; returns false if its condition fails.
  bool apply(const PlanAction& action, const PlanInput& decidedOn) {
    if (action.step == PlanStep::kWriteRecord) {
      const store::Revision stored = input.record ? input.record->revision : store::Revision();
      if (action.record.revision != stored) {
        return false;
      }
      input.record = action.record;
      input.record->revision = nextRevision();
    } else if (action.step == PlanStep::kWriteState) {
      if (!input.order || decidedOn.order->revision != input.order->revision) {
        return false;
      }
      input.order->state = action.state;
      input.order->stateTarget = decidedOn.order->target;
      input.order->revision = nextRevision();
    }
    showAll();
    return true;
  }
  bool apply(const PlanAction& action) { return apply(action, input); }
  /// Executes the plan until there is nothing to write.
  void settle() {
    constexpr int kMaxWrites = 10;
    for (int write = 0; write < kMaxWrites; ++write) {
      const PlanAction action = next();
      if (action.step == PlanStep::kNothing) {
        return;
      }
      BOOST_REQUIRE(apply(action));
    }
    BOOST_FAIL("the plan does not settle");
  }

  /// Sets the sums of all nodes for the record's order.
  void observe(Verdict verdict, Milliseconds age) {
    input.verdict = verdict;
    input.observations = {};
    input.observations.order = keyOf(*input.record);
    input.observations.age = age;
    input.observations.reached = 1600;
    input.observations.exposed = 80;
  }
  void startBaking() {
    settle();
    BOOST_REQUIRE((input.record->phase == Phase::kBaking));
    observe(Verdict::kUndecided, Milliseconds(1000));
  }
  void startShifting() {
    startBaking();
    observe(Verdict::kSound, Milliseconds(7900));
    settle();
    BOOST_REQUIRE((input.record->phase == Phase::kShifting));
    input.phaseAge = Milliseconds(1000);
  }
  void drain() {
    input.stableInFlight = 0;
    input.drainedFor = Milliseconds(500);
  }

  void expectNothing(std::string_view reasonPart = "") const {
    const PlanAction action = next();
    BOOST_TEST((action.step == PlanStep::kNothing));
    BOOST_TEST(action.reason.find(reasonPart) != std::string::npos, action.reason);
  }
  void expectRecord(Phase phase, const SoftwareVersion& stable,
                    const SoftwareVersion& candidate = SoftwareVersion()) const {
    const PlanAction action = next();
    BOOST_REQUIRE((action.step == PlanStep::kWriteRecord));
    BOOST_TEST((action.record.phase == phase));
    BOOST_TEST(action.record.stable.value() == stable.value());
    BOOST_TEST(action.record.candidate.value() == candidate.value());
    BOOST_TEST(!action.reason.empty());
  }
  void expectState(OrderState state) const {
    const PlanAction action = next();
    BOOST_REQUIRE((action.step == PlanStep::kWriteState));
    BOOST_TEST(toString(action.state) == toString(state));
    BOOST_TEST(!action.reason.empty());
  }
  void expectSettledAs(OrderState state, const SoftwareVersion& stable) {
    settle();
    BOOST_TEST(toString(input.order->state) == toString(state));
    BOOST_TEST((input.order->stateTarget == input.order->target));
    BOOST_TEST((input.record->phase == Phase::kSteady));
    BOOST_TEST(input.record->stable.value() == stable.value());
  }

  PlanInput input;
  PlanSettings settings;

 private:
  store::Revision nextRevision() { return store::Revision(++storeRevision_); }
  void showAll() {
    input.orders.revision = store::Revision(storeRevision_);
    input.records.revision = store::Revision(storeRevision_);
  }

  std::uint64_t storeRevision_ = 10;
};

}  // namespace calicodrift::service_rollout::testing
