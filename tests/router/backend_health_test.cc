#include "fleet/backend_health.h"

#include <boost/test/unit_test.hpp>

#include "router/backend_table.h"

namespace calicodrift::testing {
namespace {

using fleet::BackendHealth;
using router::BackendLoss;
using router::BackendTable;
constexpr MonotonicTime kStart{std::chrono::hours(1)};

BOOST_AUTO_TEST_CASE(restartedBackendIsBackWithItsFirstGoodProbe) {
  BackendHealth health;
  health.probeSucceeded(kStart);
  BOOST_TEST(health.becameUnreachable(kStart + Milliseconds(10)));
  BOOST_TEST(!health.becameUnreachable(kStart + Milliseconds(20)));
  health.probeSucceeded(kStart + Milliseconds(30));
  BOOST_TEST(health.reachable());
}

BOOST_AUTO_TEST_CASE(flappingBackendStaysOutLongerEachTime) {
  BackendHealth health;
  std::size_t returns = 0;
  constexpr Milliseconds kMinute{60'000};
  // It answers every probe and refuses the next request, for a minute.
  for (Milliseconds at{0}; at < kMinute; at += Milliseconds(50)) {
    health.probeSucceeded(kStart + at);
    returns += health.becameUnreachable(kStart + at) ? 1 : 0;
  }
  BOOST_TEST_MESSAGE("returns within a minute: " << returns);
  BOOST_TEST(returns <= 8U);
}

BOOST_AUTO_TEST_CASE(failuresInARowEjectAndOneSuccessForgives) {
  BackendHealth health;
  health.requestFailed(kStart);
  health.requestFailed(kStart);
  health.requestSucceeded();
  BOOST_TEST(!health.requestFailed(kStart));
  health.requestFailed(kStart);
  BOOST_TEST(health.requestFailed(kStart));
  BOOST_TEST(health.ejected(kStart + BackendHealth::kFirstEjection / 2));
  BOOST_TEST(!health.ejected(kStart + BackendHealth::kFirstEjection));
}

struct Table {
  Table() {
    for (const char* id : {"e1", "e2"}) {
      object_api::Machine machine;
      machine.id = BackendId(id);
      machine.serves = "m";
      machine.endpoint = Endpoint{"127.0.0.1", 1};
      machines.push_back(machine);
    }
    table.applyMachineList(machines);
    probe("e1", 1, 1);
    probe("e2", 1, 1);
  }
  void probe(const std::string& id, std::uint64_t incarnation, std::uint64_t weights,
             bool draining = false) {
    table.applyProbe(
        BackendId(id),
        {BackendId(id), Incarnation(incarnation), WeightsVersion(weights), 0, draining}, kStart);
  }
  std::size_t usable() const { return table.engines(ModelId("m"), WeightsVersion(1)).size(); }

  std::vector<object_api::Machine> machines;
  std::vector<BackendLoss> losses;
  BackendTable table{[this](const BackendId&, BackendLoss loss) { losses.push_back(loss); }};
};

BOOST_FIXTURE_TEST_CASE(firstSignOfLeavingCountsWhicheverSourceGivesIt, Table) {
  probe("e1", 1, 1, true);
  BOOST_TEST(usable() == 1U);
  table.applyMachineList(machines);
  BOOST_TEST(usable() == 1U);
  machines[1].terminating = true;
  table.applyMachineList(machines);
  BOOST_TEST(usable() == 0U);
  BOOST_TEST(losses.size() == 2U);
}

BOOST_FIXTURE_TEST_CASE(answerOfAnotherIncarnationIsReportedAsALossAtOnce, Table) {
  table.applyAnswer(BackendId("e1"), Incarnation(2), WeightsVersion(1));
  BOOST_REQUIRE(losses.size() == 1U);
  BOOST_CHECK(losses.front() == BackendLoss::kRestarted);
  table.applyAnswer(BackendId("e1"), Incarnation(2), WeightsVersion(7));
  BOOST_TEST(usable() == 1U);
}

BOOST_FIXTURE_TEST_CASE(anotherProcessAtTheAddressIsNotTakenForTheBackend, Table) {
  table.applyProbe(BackendId("e1"), {BackendId("e9"), Incarnation(1), WeightsVersion(1), 0, false},
                   kStart);
  BOOST_TEST(usable() == 1U);
}

BOOST_FIXTURE_TEST_CASE(ejectionNeverLeavesNobody, Table) {
  for (std::size_t failure = 0; failure < BackendHealth::kFailuresToEject; ++failure) {
    table.recordFailure(BackendId("e1"), kStart);
  }
  BOOST_TEST(usable() == 1U);
  for (std::size_t failure = 0; failure < BackendHealth::kFailuresToEject; ++failure) {
    table.recordFailure(BackendId("e2"), kStart);
  }
  BOOST_TEST(usable() == 2U);
}

}  // namespace
}  // namespace calicodrift::testing
