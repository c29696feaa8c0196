#include <boost/test/unit_test.hpp>

#include "support/fleet.h"

namespace calicodrift::testing {
namespace {

std::string outputOf(const std::vector<std::string>& arguments) {
  Process ctl("calicodriftctl", arguments);
  return ctl.remainingOutput();
}

BOOST_AUTO_TEST_CASE(anOperatorSeesTheArmsAndWhyARequestWentWhereItWent) {
  Fleet fleet;
  fleet.submitBundle(Fleet::bundleText(1, "NestedPrefixAffinity"));
  const auto engine = fleet.startEngine("e1");
  const auto router = fleet.startRouter("r1");
  const Endpoint endpoint = router->endpoint("router");
  BOOST_REQUIRE(waitUntilServing(endpoint));
  constexpr int kRequests = 3;
  for (int number = 0; number < kRequests; ++number) {
    const std::string body = completionBody(std::string(640, 'p'), 2, false);
    http::Request request = authorized("POST", "/v1/completions", body);
    request.headers.set(http::kRequestIdHeader, "asked-" + std::to_string(number));
    BOOST_REQUIRE(exchange(endpoint, request).value().status == 200U);
  }
  const std::string explained = outputOf({"--routers", endpoint.toString(), "explain", "asked-2"});
  BOOST_TEST(explained.find(R"("reason":"prefix believed cached")") != std::string::npos);
  BOOST_TEST(explained.find(R"("expected_cached_blocks":10)") != std::string::npos);
  BOOST_TEST(explained.find(R"("backend":"e1")") != std::string::npos);
  const std::string report = outputOf({"--routers", endpoint.toString(), "policy", "report"});
  BOOST_TEST(report.find("NestedPrefixAffinity") != std::string::npos);
  BOOST_TEST(outputOf({"--routers", endpoint.toString(), "explain", "unknown"}).empty());
}

}  // namespace
}  // namespace calicodrift::testing
