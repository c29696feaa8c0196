#include "router/decision_log.h"

#include <boost/test/unit_test.hpp>

namespace calicodrift::router {
namespace {

Decision decisionOf(std::size_t number) {
  Decision decision;
  decision.request = RequestId("r" + std::to_string(number));
  decision.attempt = Attempt(1);
  decision.reason = "because";
  return decision;
}

BOOST_AUTO_TEST_CASE(theNewestDecisionsAreKeptAndFound) {
  DecisionLog log;
  BOOST_TEST(log.explain(RequestId("r0")) == "[]");
  for (std::size_t number = 0; number <= DecisionLog::kCapacity; ++number) {
    log.record(decisionOf(number));
  }
  BOOST_TEST(log.explain(RequestId("r0")) == "[]");
  BOOST_TEST(log.explain(RequestId("r1")).find("because") != std::string::npos);
  Decision second = decisionOf(7);
  second.attempt = Attempt(2);
  log.record(second);
  const std::string both = log.explain(RequestId("r7"));
  BOOST_TEST(both.find(R"("attempt":1)") < both.find(R"("attempt":2)"));
}

}  // namespace
}  // namespace calicodrift::router
