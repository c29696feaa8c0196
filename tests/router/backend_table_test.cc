#include "router/backend_table.h"

#include <boost/test/unit_test.hpp>
#include <random>

namespace calicodrift::router {
namespace {

const ModelId kModel("m");

object_api::Machine engineMachine(const std::string& id) {
  object_api::Machine machine;
  machine.id = BackendId(id);
  machine.kind = object_api::MachineKind::kEngine;
  machine.serves = kModel.value();
  machine.endpoint = {"127.0.0.1", 1};
  return machine;
}

ProbeResult probeOf(const BackendId& id, std::uint64_t incarnation, std::uint64_t weights,
                    std::size_t requests = 0) {
  ProbeResult result;
  result.id = id;
  result.incarnation = Incarnation(incarnation);
  result.weights = WeightsVersion(weights);
  result.reportedRequests = requests;
  return result;
}

BOOST_AUTO_TEST_CASE(theCandidateSetsFollowEverySource) {
  BackendTable table([](const BackendId&, BackendLoss) {});
  const BackendId first("e1");
  table.applyMachineList({engineMachine("e1"), engineMachine("e2")});
  const auto usable = [&](std::uint64_t weights) {
    return table.engines(kModel, WeightsVersion(weights)).size();
  };
  BOOST_TEST(usable(1) == 0U);
  table.applyProbe(first, probeOf(first, 1, 1, 5));
  table.applyProbe(BackendId("e2"), probeOf(BackendId("e2"), 1, 1));
  BOOST_TEST(usable(1) == 2U);
  BOOST_TEST(table.engines(kModel, WeightsVersion(1)).totalRequests() == 5U);

  table.addOutstanding(first, 100);
  table.addPrefill(first, 70);
  const routing::CandidateSet& set = table.engines(kModel, WeightsVersion(1));
  BOOST_TEST(set[*set.find(first)].outstandingTokens == 100U);
  BOOST_TEST(set.totalPrefillTokens() == 70U);
  table.removeOutstanding(first, 100);
  BOOST_TEST(set[*set.find(first)].outstanding == 0U);

  table.applyProbe(first, probeOf(first, 1, 2));
  BOOST_TEST(usable(1) == 1U);
  BOOST_TEST(usable(2) == 1U);
  BOOST_TEST(table.engineVersions(kModel).size() == 2U);
  table.markOutdated(first);
  BOOST_TEST(usable(2) == 0U);
  table.applyProbe(first, probeOf(first, 2, 2));
  BOOST_TEST(usable(2) == 1U);
  table.markUnreachable(first);
  BOOST_TEST(usable(2) == 0U);

  object_api::Machine leaving = engineMachine("e2");
  leaving.terminating = true;
  table.applyMachineList({leaving});
  BOOST_TEST(usable(1) == 0U);
  BOOST_TEST(!table.endpointOf(first).has_value());
}

}  // namespace
}  // namespace calicodrift::router
