#include "service_rollout/traffic_rules.h"

#include <boost/test/unit_test.hpp>

namespace calicodrift::service_rollout {
namespace {

const std::string kService = "quotes";
const SoftwareVersion kOld("1");
const SoftwareVersion kNew("2");
const MonotonicTime kNow = MonotonicTime() + Milliseconds(100'000);

struct Rules : TrafficRules {
  Rules() : TrafficRules({Milliseconds(1500)}) {}

  void list(std::size_t old, std::size_t fresh) {
    std::map<SoftwareVersion, std::size_t> listed;
    if (old > 0) {
      listed[kOld] = old;
    }
    if (fresh > 0) {
      listed[kNew] = fresh;
    }
    setListed(kService, listed);
  }
  TrafficRule rule(Milliseconds proofAge = Milliseconds(100)) const {
    return ruleFor(kService, kNow - proofAge, kNow);
  }
};

Order orderFor(const SoftwareVersion& target, std::uint64_t revision) {
  Order order;
  order.name = kService;
  order.service = kService;
  order.target = target;
  order.duration = Milliseconds(8000);
  order.revision = store::Revision(revision);
  return order;
}

ServiceRecord recordIn(Phase phase, std::uint64_t revision) {
  ServiceRecord record;
  record.service = kService;
  record.stable = kOld;
  record.candidate = kNew;
  record.phase = phase;
  record.order = store::Revision(10);
  record.revision = store::Revision(revision);
  return record;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(traffic_rules)

BOOST_AUTO_TEST_CASE(aVersionWithoutAnOrderGetsNothing) {
  Rules rules;
  rules.list(7, 0);
  rules.list(7, 7);
  BOOST_TEST((rules.rule().stable == kOld));
  BOOST_TEST((rules.rule().use == CandidateUse::kNothing));
}

BOOST_AUTO_TEST_CASE(anOrderAlonePermitsNothingBeforeItsRecord) {
  Rules rules;
  rules.list(7, 7);
  rules.applyOrder(orderFor(kNew, 10));
  BOOST_TEST((rules.rule().stable == kOld));
  BOOST_TEST((rules.rule().use == CandidateUse::kNothing));
}

BOOST_AUTO_TEST_CASE(aNodeThatStartsBesideACandidateTakesTheOtherVersionForTheStableOne) {
  Rules rules;
  rules.applyOrder(orderFor(kOld, 10));
  // Both versions have the same number of servers: the order shows which one is the candidate.
  rules.list(7, 7);
  BOOST_TEST((rules.rule().stable == kNew));
}

BOOST_AUTO_TEST_CASE(aRecordPermitsTheCanaryAndThenEverything) {
  Rules rules;
  rules.list(7, 7);
  rules.applyOrder(orderFor(kNew, 10));
  rules.applyRecord(recordIn(Phase::kBaking, 11));
  BOOST_TEST((rules.rule().use == CandidateUse::kCanary));
  BOOST_TEST((rules.rule().candidate == kNew));
  rules.applyRecord(recordIn(Phase::kShifting, 12));
  BOOST_TEST((rules.rule().use == CandidateUse::kEverything));
  // An older record that arrives late changes nothing.
  rules.applyRecord(recordIn(Phase::kBaking, 11));
  BOOST_TEST((rules.rule().use == CandidateUse::kEverything));
}

BOOST_AUTO_TEST_CASE(aPermitEndsWithTheProofOfTheViews) {
  Rules rules;
  rules.list(7, 7);
  rules.applyOrder(orderFor(kNew, 10));
  rules.applyRecord(recordIn(Phase::kShifting, 11));
  BOOST_TEST((rules.rule(Milliseconds(1500)).use == CandidateUse::kEverything));
  BOOST_TEST((rules.rule(Milliseconds(1501)).use == CandidateUse::kNothing));
  BOOST_TEST((rules.rule(Milliseconds(1501)).stable == kOld));
}

BOOST_AUTO_TEST_CASE(aRejectedOrderIsNeverPermittedAgain) {
  Rules rules;
  rules.list(7, 7);
  rules.applyOrder(orderFor(kNew, 10));
  const ServiceRecord record = recordIn(Phase::kBaking, 11);
  rules.applyRecord(record);
  rules.reject(keyOf(record));
  BOOST_TEST((rules.rule().use == CandidateUse::kNothing));
  rules.applyRecord(recordIn(Phase::kShifting, 12));
  BOOST_TEST((rules.rule().use == CandidateUse::kNothing));
}

BOOST_AUTO_TEST_CASE(anotherTargetOrAWithdrawnOrderEndsThePermit) {
  Rules rules;
  rules.list(7, 7);
  rules.applyRecord(recordIn(Phase::kBaking, 11));
  rules.applyOrder(orderFor(SoftwareVersion("3"), 12));
  BOOST_TEST((rules.rule().use == CandidateUse::kNothing));
  rules.applyOrder(orderFor(kNew, 13));
  BOOST_TEST((rules.rule().use == CandidateUse::kCanary));
  Order withdrawn = orderFor(kNew, 14);
  withdrawn.withdrawn = true;
  rules.applyOrder(withdrawn);
  BOOST_TEST((rules.rule().use == CandidateUse::kNothing));
  rules.removeOrder(kService);
  BOOST_TEST((rules.rule().use == CandidateUse::kNothing));
  BOOST_TEST((rules.rule().stable == kOld));
}

BOOST_AUTO_TEST_CASE(aCompletedOrderMakesItsTargetStableBeforeTheRecordIsRead) {
  Rules rules;
  rules.list(7, 7);
  rules.applyRecord(recordIn(Phase::kShifting, 11));
  Order completed = orderFor(kNew, 12);
  completed.state = OrderState::kCompleted;
  completed.stateTarget = kNew;
  rules.applyOrder(completed);
  BOOST_TEST((rules.rule().stable == kNew));
  // The state belongs to the target that the order had then.
  completed.target = SoftwareVersion("3");
  rules.applyOrder(completed);
  BOOST_TEST((rules.rule().stable == kOld));
}

BOOST_AUTO_TEST_CASE(aServiceWithoutARecordGoesOnWhereAllItsServersWereReplaced) {
  Rules rules;
  rules.list(7, 0);
  rules.list(0, 7);
  BOOST_TEST((rules.rule().stable == kNew));
}

BOOST_AUTO_TEST_CASE(severalVersionsGetNothingBeforeTheOrdersWereRead) {
  Rules rules;
  rules.blockTraffic(kService);
  BOOST_TEST((rules.rule().stable != kOld));
  BOOST_TEST((rules.rule().stable != kNew));
  BOOST_TEST(!rules.rule().stable.value().empty());
  rules.list(7, 6);
  BOOST_TEST((rules.rule().stable == kOld));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace calicodrift::service_rollout
