#include "service_rollout/metrics.h"

#include <boost/test/unit_test.hpp>

namespace calicodrift::service_rollout {
namespace {

RolloutStatus bakingStatus() {
  RolloutStatus status;
  status.service = "quotes";
  status.stable = SoftwareVersion("1");
  status.candidate = SoftwareVersion("2");
  status.phase = Phase::kBaking;
  status.use = CandidateUse::kCanary;
  status.target = SoftwareVersion("2");
  status.state = OrderState::kRunning;
  status.verdict = "undecided";
  status.reached = 1200;
  status.exposed = 60;
  status.age = Milliseconds(1500);
  return status;
}

struct MetricsFixture {
  bool shows(std::string_view part) const {
    return metrics::renderText(registry).find(part) != std::string::npos;
  }

  prometheus::Registry registry;
  RolloutMetrics metrics{registry};
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(rollout_metrics, MetricsFixture)

BOOST_AUTO_TEST_CASE(rolloutInProgressIsShownWithItsFigures) {
  metrics.setStatuses({bakingStatus()});
  for (const std::string_view label :
       {"candidate=\"2\"", "phase=\"baking\"", "service=\"quotes\"", "stable=\"1\"",
        "state=\"running\"", "target=\"2\"", "use=\"canary\"", "verdict=\"undecided\""}) {
    BOOST_TEST(shows(label), label);
  }
  BOOST_TEST(shows("calicodrift_service_rollout_reached{service=\"quotes\"} 1200"));
  BOOST_TEST(shows("calicodrift_service_rollout_exposed{service=\"quotes\"} 60"));
  BOOST_TEST(shows("calicodrift_service_rollout_age_seconds{service=\"quotes\"} 1.5"));
}

BOOST_AUTO_TEST_CASE(changedStatusReplacesThePreviousOne) {
  metrics.setStatuses({bakingStatus()});
  RolloutStatus ended = bakingStatus();
  ended.phase = Phase::kSteady;
  ended.candidate = SoftwareVersion();
  ended.use = CandidateUse::kNothing;
  ended.state = OrderState::kRolledBack;
  metrics.setStatuses({ended});
  BOOST_TEST(shows("state=\"rolled_back\""));
  BOOST_TEST(!shows("phase=\"baking\""));
  BOOST_TEST(!shows("calicodrift_service_rollout_exposed{"));
}

BOOST_AUTO_TEST_CASE(removedServiceIsNoLongerShown) {
  metrics.setStatuses({bakingStatus()});
  metrics.setStatuses({});
  BOOST_TEST(!shows("quotes"));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace calicodrift::service_rollout
