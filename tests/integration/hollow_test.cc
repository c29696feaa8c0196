#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>

#include "support/fleet.h"

namespace calicodrift::testing {
namespace {

namespace json = boost::json;

BOOST_AUTO_TEST_CASE(hollowNodesAndARealRouterAreOneFleet) {
  const std::size_t kHollow = 20;
  const std::vector<std::string> timing{"--member-probe-interval-ms",    "200",
                                        "--member-probe-timeout-ms",     "60",
                                        "--member-suspicion-timeout-ms", "1500"};
  std::vector<std::string> hollowFlags{"hollow", "--nodes", std::to_string(kHollow), "--zones",
                                       "3"};
  hollowFlags.insert(hollowFlags.end(), timing.begin(), timing.end());
  Process hollow("calicodrift-sim", hollowFlags, 1);
  const Fleet fleet;
  std::vector<std::string> routerFlags{"--peer-listen", "127.0.0.1:0", "--seeds",
                                       hollow.endpoint("hollow").toString()};
  routerFlags.insert(routerFlags.end(), timing.begin(), timing.end());
  const auto router = fleet.startRouter("r1", routerFlags);
  const auto countMembers = [&router] {
    const auto response = get(router->endpoint("router"), "/admin/members");
    return response ? json::parse(response.value().body).at("members").as_array().size() : 0;
  };
  BOOST_TEST(eventually([&] { return countMembers() == kHollow + 1; }));
  hollow.killAtOnce();
  BOOST_TEST(eventually([&] { return countMembers() == 1; }, std::chrono::seconds(60)));
}

BOOST_AUTO_TEST_CASE(scaleBenchReportsEverySizeAndItsFits) {
  Process bench("calicodrift-bench", {"scale", "--nodes",
                                      "10,20", "--zones",
                                      "3",     "--threads",
                                      "2",     "--changes",
                                      "1",     "--failures",
                                      "1",     "--leaves",
                                      "1",     "--steady-ms",
                                      "500",   "--member-probe-interval-ms",
                                      "200",   "--member-probe-timeout-ms",
                                      "60",    "--member-suspicion-timeout-ms",
                                      "600"});
  const std::string output = bench.remainingOutput();
  BOOST_TEST(bench.wait() == 0);
  const std::size_t begin = output.find('{');
  BOOST_REQUIRE(begin != std::string::npos);
  const json::value report = json::parse(output.substr(begin));
  BOOST_TEST(report.at("complete").as_bool());
  BOOST_REQUIRE_EQUAL(report.at("sizes").as_array().size(), 2U);
  for (const json::value& size : report.at("sizes").as_array()) {
    BOOST_TEST(size.at("sent_bytes_per_node_s").to_number<double>() > 0);
    BOOST_TEST(size.at("failure_last_ms").to_number<double>() >=
               size.at("failure_p50_ms").to_number<double>());
    BOOST_TEST(size.at("change_last_ms").to_number<double>() > 0);
    BOOST_TEST(size.at("channels").as_object().contains("membership"));
  }
  BOOST_TEST(report.at("fits").as_object().contains("failure_last_ms"));
}

}  // namespace
}  // namespace calicodrift::testing
